//! Limits of the work that one turn of the event loop does for clients and endpoints; free of I/O. What exceeds a limit
//! waits for the next turn, which begins after the poller was asked for other events.

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
/// Duration from which a turn is logged: answers of a longer turn may be late.
const SLOW_TURN_MS: Ms = 50.0;

/// Work that the current turn has done and may still do.
#[derive(Debug)]
pub(crate) struct TurnBudget {
    /// Connections of clients that send requests.
    clients: ReadShare,
    /// Connections of clients that close.
    closing_clients: ReadShare,
    /// Connections to endpoints.
    pub upstreams: ReadShare,
    rounds: u32,
    requests_left: u32,
    answers: u32,
}

impl Default for TurnBudget {
    fn default() -> TurnBudget {
        TurnBudget {
            clients: ReadShare::new(MAX_CLIENT_BYTES),
            closing_clients: ReadShare::new(MAX_CLOSING_CLIENT_BYTES),
            upstreams: ReadShare::new(MAX_UPSTREAM_BYTES),
            rounds: 0,
            requests_left: MAX_PIPELINED_REQUESTS,
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
                client_bytes = self.clients.used() + self.closing_clients.used(),
                endpoint_bytes = self.upstreams.used(),
                "slow_turn"
            );
        }
        self.clients.begin_turn();
        self.closing_clients.begin_turn();
        self.upstreams.begin_turn();
        (self.rounds, self.requests_left, self.answers) = (0, MAX_PIPELINED_REQUESTS, 0);
    }

    /// Returns the share of clients whose connections close, or that of the others.
    pub(crate) fn client_share(&mut self, is_closing: bool) -> &mut ReadShare {
        match is_closing {
            true => &mut self.closing_clients,
            false => &mut self.clients,
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

    /// Returns whether this turn may take another request behind an earlier one, and counts that request.
    pub(crate) fn take_request(&mut self) -> bool {
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
