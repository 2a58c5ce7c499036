//! Connection limits, the choice of the client to evict, and the actions on a client's timeout; free of I/O.

use crate::reactor::ConnectionKey;
use magpiewick::Ms;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time within which a client must send its first request or the remainder of a request, or read its response. The
/// platform allows a connection without an open request to be closed after 2 s, and requires an error or a close within
/// 3 s.
pub(crate) const CLIENT_TIMEOUT_MS: Ms = 2200.0;
/// Time during which input is still read and discarded after the last response, so that the client can read that
/// response first.
pub(crate) const LINGER_MS: Ms = 300.0;
/// Limit of the bytes queued behind an open request while memory is available.
pub(crate) const MAX_PIPELINED_BYTES: usize = 1 << 20;
/// Interval of the check for a disconnect of a client whose input is not read: half of the time after which no attempt
/// may start for a disconnected client.
pub(crate) const DISCONNECT_CHECK_MS: Ms = 50.0;
/// Limit of the input that is read and discarded.
pub(crate) const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Time by which a timer may fire early.
const TIMER_SLACK_MS: Ms = 1.0;
/// Time after its last event from which a client counts as idle, and a partial request as slow.
const RECENT_MS: Ms = 300.0;
/// Share of the available descriptors that clients may use.
const CLIENT_SHARE: f64 = 0.6;
/// Share of the descriptor limit from which on the process is assumed to have none available, because not all of its
/// descriptors are counted.
const EXHAUSTED_SHARE: f64 = 0.9;
/// Share of all descriptors that clients use for connections with requests, and the part of that share that clients
/// with at least one request may keep. Without the second limit, clients that send one request and stay connected would
/// occupy all of it.
const ACTIVE_CLIENT_SHARE: f64 = 1.0 / 3.0;
const SERVED_CLIENT_SHARE: f64 = 0.7;

/// Limits of the numbers of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConnectionLimits {
    /// Limit of client connections.
    pub clients: usize,
    /// Limit of the connections of clients that have sent a request.
    pub served_clients: usize,
    /// Limit of connections to endpoints.
    pub upstreams: usize,
}

impl ConnectionLimits {
    /// Derives the limits. `descriptors`: all descriptors that the process may have; `available`: the descriptors
    /// available to clients and endpoints.
    pub(crate) fn new(descriptors: usize, available: usize) -> ConnectionLimits {
        let clients = (available as f64 * CLIENT_SHARE) as usize;
        let served_clients = (descriptors as f64 * ACTIVE_CLIENT_SHARE * SERVED_CLIENT_SHARE) as usize;
        ConnectionLimits { clients, served_clients, upstreams: available - clients }
    }
}

/// Returns whether a process that counts `counted` descriptors has reached the limit, or nearly so.
pub(crate) fn has_exhausted_descriptors(counted: usize, limit: usize) -> bool {
    counted as f64 >= limit as f64 * EXHAUSTED_SHARE
}

/// State of a client's connection that decides about eviction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EvictionCandidate {
    /// Key of the connection.
    pub key: ConnectionKey,
    /// True if a request is open or a response is not written completely.
    pub busy: bool,
    /// True if the last response was written and the connection only discards input.
    pub lingering: bool,
    /// Time at which the first byte of a partial request arrived.
    pub partial_since: Option<Ms>,
    /// Number of requests that the client has sent.
    pub requests: u32,
    /// Time at which the client connected or its last request was answered.
    pub idle_since: Ms,
    /// Serial number; later connections have higher ones.
    pub serial: u64,
}

/// State of a client's connection when its timer is due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClientActivity {
    /// True if a request is open.
    pub request_open: bool,
    /// True if a response is not written completely.
    pub response_pending: bool,
    /// Time since which the operating system has accepted no output; none where no write has been attempted yet.
    pub write_blocked_since: Option<Ms>,
    /// Time at which writing ended; input is discarded since then.
    pub lingering_since: Option<Ms>,
    /// Time since which a part of a request is buffered.
    pub partial_request_since: Option<Ms>,
    /// True if the client has sent a complete request.
    pub has_sent_request: bool,
}

/// Action on a client's connection when its timer is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TimeoutAction {
    /// No action, and no other timer is needed for now.
    None,
    /// The timer is set again, counted from this time.
    RearmFrom(Ms),
    /// The connection is closed: the client does not read its response.
    CloseResponseNotRead,
    /// The connection is closed: the client had time to read its last response.
    CloseLingering,
    /// The client receives an error: its request is incomplete.
    RejectIncomplete,
    /// The connection is closed: the client has never sent a request.
    CloseIdle,
}

/// Returns the action for a connection whose timer is due. A newly queued response without a write attempt does not
/// count as unread by the client.
pub(crate) fn timeout_action(now: Ms, activity: &ClientActivity) -> TimeoutAction {
    let is_over = |since: Ms| now - since >= CLIENT_TIMEOUT_MS - TIMER_SLACK_MS;
    if activity.response_pending {
        return match activity.write_blocked_since {
            Some(since) if is_over(since) => TimeoutAction::CloseResponseNotRead,
            since => TimeoutAction::RearmFrom(since.unwrap_or(now)),
        };
    }
    if let Some(since) = activity.lingering_since {
        return match now - since >= LINGER_MS - TIMER_SLACK_MS {
            true => TimeoutAction::CloseLingering,
            false => TimeoutAction::None,
        };
    }
    match activity.partial_request_since {
        _ if activity.request_open => TimeoutAction::None,
        Some(since) if is_over(since) => TimeoutAction::RejectIncomplete,
        Some(since) => TimeoutAction::RearmFrom(since),
        None if activity.has_sent_request => TimeoutAction::None,
        None => TimeoutAction::CloseIdle,
    }
}

/// Cost of closing a connection for a new one, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionCost {
    /// The connection is finished.
    Lingering,
    /// The client has sent one request at most, and has been idle for some time.
    Unused,
    /// The client reuses its connection, and has been idle for some time: it has to connect again.
    Reused,
    /// A request has been arriving for some time, which closing loses. Ordinary clients send a request at once.
    SlowRequest,
    /// The client has just connected or got a response, and may have sent the next request.
    Recent,
    /// A request has begun to arrive.
    IncomingRequest,
}

impl EvictionCandidate {
    fn cost(&self, now: Ms) -> EvictionCost {
        match self.partial_since {
            _ if self.lingering => EvictionCost::Lingering,
            Some(since) if now - since < RECENT_MS => EvictionCost::IncomingRequest,
            Some(_) => EvictionCost::SlowRequest,
            None if now - self.idle_since < RECENT_MS => EvictionCost::Recent,
            None if self.requests > 1 => EvictionCost::Reused,
            None => EvictionCost::Unused,
        }
    }
}

/// Returns the connections that may be closed for a new one, those first that cost least to close; among equals the
/// longest idle one comes first. Connections that await a response are excluded.
///
/// The order is computed as far as it is used: mostly the first connection suffices, and a host that is out of places
/// asks for each connection that it accepts.
pub(crate) fn eviction_order(
    now: Ms,
    candidates: impl Iterator<Item = EvictionCandidate>,
) -> impl Iterator<Item = EvictionCandidate> {
    let candidates: Vec<EvictionCandidate> = candidates.filter(|candidate| !candidate.busy).collect();
    // Times of the event loop are not negative, so that their bits are in their order.
    let rank = |position: usize, c: &EvictionCandidate| {
        Reverse((c.cost(now), c.idle_since.to_bits(), c.serial, position))
    };
    let ranks = candidates.iter().enumerate().map(|(position, candidate)| rank(position, candidate));
    let mut order: BinaryHeap<_> = ranks.collect();
    std::iter::from_fn(move || {
        let Reverse((_, _, _, position)) = order.pop()?;
        candidates.get(position).copied()
    })
}

#[cfg(test)]
mod tests;
