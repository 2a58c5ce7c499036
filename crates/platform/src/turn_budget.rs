//! Limits of the work that one turn of the event loop does for clients and endpoints, of its time, and the order in which
//! it reads clients; free of I/O. What exceeds a limit waits for the next turn, which begins after the poller was asked for
//! other events.

use crate::reactor::ConnectionKey;
use magpiewick::Ms;
use magpiewick_transport::ReadShare;

/// Rounds in which a turn runs the engine and writes answers. Each round takes at most one request of a client.
pub(crate) const MAX_ROUNDS: u32 = 4;
/// Requests behind earlier ones of their clients that a turn takes from all clients together.
const MAX_PIPELINED_REQUESTS: u32 = 128;
/// Bytes that a turn reads from one client.
pub(crate) const MAX_BYTES_PER_CLIENT: usize = 16 << 10;
/// The same while the host shuts down: all requests that were read must be answered before the process is killed.
pub(crate) const MAX_BYTES_PER_CLIENT_IN_SHUTDOWN: usize = 4 << 10;
/// Bytes after which a turn reads from no further client.
const MAX_CLIENT_BYTES: usize = 1 << 20;
/// The same for clients whose connections close, and whose input is discarded: that input must not keep requests of
/// others waiting, and the end of such a connection frees a place.
const MAX_CLOSING_CLIENT_BYTES: usize = 256 << 10;
/// Bytes after which a turn reads from no further endpoint.
const MAX_UPSTREAM_BYTES: usize = 4 << 20;
/// Time after which a turn reads from no further client, and the same for endpoints.
const MAX_READ_MS: Ms = 2.0;
/// The same for clients whose connections close, and for those that wait for the answer to an earlier request.
const MAX_MINOR_READ_MS: Ms = 1.0;
/// Time after which a turn takes no further request behind an earlier one.
const MAX_PIPELINED_MS: Ms = 2.0;
/// Duration from which a turn is logged: answers of a longer turn may be late.
const SLOW_TURN_MS: Ms = 50.0;

/// Clients with input, in the order in which a turn reads them. Each kind has limits of its own, so that none keeps
/// another from being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientKind {
    /// The connection closes, and its input is discarded.
    Closing,
    /// The next request of the client can be served.
    Free,
    /// The client waits for the answer to an earlier request.
    Busy,
}

/// Position of a client in the order in which a turn reads: by kind, then by the time of the last read, so that the client
/// that was read least recently comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadPosition(ClientKind, u64, ConnectionKey);

impl ReadPosition {
    /// Returns the position of a client that was last read at `read_at`.
    pub(crate) fn new(kind: ClientKind, read_at: Ms, key: ConnectionKey) -> ReadPosition {
        // The bits of numbers that are not negative are in the order of the numbers.
        ReadPosition(kind, read_at.to_bits(), key)
    }
}

/// Work that the current turn has done and may still do.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    free_clients: ReadShare,
    busy_clients: ReadShare,
    closing_clients: ReadShare,
    /// Connections to endpoints.
    pub upstreams: ReadShare,
    rounds: u32,
    requests_left: u32,
    /// Time from which the turn takes no further request behind an earlier one; none before the first.
    requests_until: Option<Ms>,
    answers: u32,
}

impl Default for TurnBudget {
    fn default() -> TurnBudget {
        TurnBudget {
            free_clients: ReadShare::new(MAX_CLIENT_BYTES, MAX_READ_MS),
            busy_clients: ReadShare::new(MAX_CLIENT_BYTES, MAX_MINOR_READ_MS),
            closing_clients: ReadShare::new(MAX_CLOSING_CLIENT_BYTES, MAX_MINOR_READ_MS),
            upstreams: ReadShare::new(MAX_UPSTREAM_BYTES, MAX_READ_MS),
            rounds: 0,
            requests_left: MAX_PIPELINED_REQUESTS,
            requests_until: None,
            answers: 0,
        }
    }
}

impl TurnBudget {
    /// Begins a turn. `previous_ms`: duration of the previous one, which is logged if it was slow.
    pub(crate) fn begin_turn(&mut self, previous_ms: Ms) {
        if previous_ms > SLOW_TURN_MS {
            tracing::warn!(
                turn_ms = previous_ms,
                rounds = self.rounds,
                answers = self.answers,
                client_bytes = self.client_bytes(),
                endpoint_bytes = self.upstreams.used(),
                "slow_turn"
            );
        }
        self.free_clients.begin_turn();
        self.busy_clients.begin_turn();
        self.closing_clients.begin_turn();
        self.upstreams.begin_turn();
        (self.rounds, self.requests_left, self.requests_until, self.answers) =
            (0, MAX_PIPELINED_REQUESTS, None, 0);
    }

    fn client_bytes(&self) -> usize {
        self.free_clients.used() + self.busy_clients.used() + self.closing_clients.used()
    }

    /// Returns the share of the clients of a kind.
    pub(crate) fn client_share(&mut self, kind: ClientKind) -> &mut ReadShare {
        match kind {
            ClientKind::Closing => &mut self.closing_clients,
            ClientKind::Free => &mut self.free_clients,
            ClientKind::Busy => &mut self.busy_clients,
        }
    }

    /// Counts a round of the engine.
    pub(crate) fn on_round(&mut self) {
        self.rounds += 1;
    }

    /// Counts an answer to a client.
    pub(crate) fn on_answer(&mut self) {
        self.answers += 1;
    }

    /// Leaves all further requests behind earlier ones to the next turn.
    pub(crate) fn end_rounds(&mut self) {
        self.requests_left = 0;
    }

    /// Returns whether this turn may take another request behind an earlier one, and counts that request. `now`: current
    /// time, which is later than the begin of the turn.
    pub(crate) fn take_request(&mut self, now: Ms) -> bool {
        let until = *self.requests_until.get_or_insert(now + MAX_PIPELINED_MS);
        if now >= until {
            self.requests_left = 0;
        }
        let may_take = self.requests_left > 0;
        self.requests_left = self.requests_left.saturating_sub(1);
        may_take
    }

    /// Returns whether this turn may take another request behind an earlier one.
    pub(crate) fn has_request_left(&self) -> bool {
        self.requests_left > 0
    }
}

#[cfg(test)]
mod tests;
