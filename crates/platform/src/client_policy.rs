//! How many connections clients may have, which of them is closed for another, and what a client's timeout means;
//! free of I/O.

use crate::reactor::ConnectionKey;
use magpiewick::Ms;

/// By when a client must have sent its first request, or the rest of one, or must have read its response. The platform
/// allows a connection without an open request to be closed after 2 s, and asks for an error or an end within 3 s.
pub(crate) const CLIENT_TIMEOUT_MS: Ms = 2200.0;
/// How long input is still read and discarded after the last response, so that the client can read that first.
pub(crate) const LINGER_MS: Ms = 300.0;
/// How many bytes may be queued behind an open request while there is memory for them.
pub(crate) const MAX_PIPELINED_BYTES: usize = 1 << 20;
/// How often a client whose input is not read is checked for a disconnect: half of the time within which nothing may
/// start any more for a client that has disconnected.
pub(crate) const DISCONNECT_CHECK_MS: Ms = 50.0;
/// How much input is read and discarded at most.
pub(crate) const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Timers may come this much early.
const TIMER_SLACK_MS: Ms = 1.0;
/// How long a new client is spared from eviction.
const NEWCOMER_MS: Ms = 300.0;
/// The share of the available descriptors that clients may have.
const CLIENT_SHARE: f64 = 0.6;
/// The share of the descriptors from which on a process may have none left: it does not count all that it has.
const EXHAUSTED_SHARE: f64 = 0.9;
/// The share of all descriptors up to which clients open connections for requests, and the share of that which
/// clients may keep that have sent a request: those that send one and stay would otherwise leave no room.
const ACTIVE_CLIENT_SHARE: f64 = 1.0 / 3.0;
const SERVED_CLIENT_SHARE: f64 = 0.7;

/// How many connections there may be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ConnectionLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients that have sent a request.
    pub served_clients: usize,
    /// Connections to endpoints.
    pub upstreams: usize,
}

impl ConnectionLimits {
    /// `descriptors`: all that the process may have; `available`: those of them for clients and endpoints.
    pub(crate) fn new(descriptors: usize, available: usize) -> ConnectionLimits {
        let clients = (available as f64 * CLIENT_SHARE) as usize;
        let served_clients = (descriptors as f64 * ACTIVE_CLIENT_SHARE * SERVED_CLIENT_SHARE) as usize;
        ConnectionLimits { clients, served_clients, upstreams: available - clients }
    }
}

/// Whether a process that counts so many descriptors has about as many as it may.
pub(crate) fn has_all_descriptors(counted: usize, limit: usize) -> bool {
    counted as f64 >= limit as f64 * EXHAUSTED_SHARE
}

/// A client's connection, as far as eviction is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct EvictionCandidate {
    /// The connection.
    pub key: ConnectionKey,
    /// A request is open or a response is not written.
    pub busy: bool,
    /// A part of a request has arrived.
    pub has_partial_request: bool,
    /// How many requests it has sent.
    pub requests: u32,
    /// When it connected or its last request was answered.
    pub idle_since: Ms,
    /// Its number; later connections have higher ones.
    pub serial: u64,
}

/// What a client's connection is doing when its timer is due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ClientActivity {
    /// A request is open.
    pub request_open: bool,
    /// A response is not written completely.
    pub response_pending: bool,
    /// Since when the system has taken nothing of it; none where nobody has tried to write it yet.
    pub write_blocked_since: Option<Ms>,
    /// Since when nothing more is written and input is discarded.
    pub lingering_since: Option<Ms>,
    /// Since when a part of a request is there.
    pub partial_request_since: Option<Ms>,
    /// It has sent a complete request.
    pub has_sent_request: bool,
}

/// What is done with a client's connection when its timer is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TimeoutAction {
    /// Nothing, and no other timer is needed for now.
    None,
    /// The timer is set again, counted from this time.
    RearmFrom(Ms),
    /// The connection is closed: the client does not read its response.
    CloseResponseNotRead,
    /// The connection is closed: the client had time to read its last response.
    CloseLingering,
    /// The client is sent an error: its request is incomplete.
    RejectIncomplete,
    /// The connection is closed: the client has never sent a request.
    CloseIdle,
}

/// Decides about a connection whose timer is due. A response that was queued in this very moment, and that nobody has
/// tried to write yet, does not count as one that the client does not read.
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

/// The connection that is closed for a new one: never one that is owed a response; those that sent a request once or
/// never before those that sent more, unless they have only just connected; of these the one that has been idle for
/// longest. One that is sending a request comes last, as that request would be lost.
pub(crate) fn select_for_eviction(
    now: Ms,
    candidates: impl Iterator<Item = EvictionCandidate>,
) -> Option<ConnectionKey> {
    let cost =
        |c: &EvictionCandidate| (c.has_partial_request, c.requests > 1 || now - c.idle_since < NEWCOMER_MS);
    let order = |a: &EvictionCandidate, b: &EvictionCandidate| {
        cost(a).cmp(&cost(b)).then(a.idle_since.total_cmp(&b.idle_since)).then(a.serial.cmp(&b.serial))
    };
    candidates.filter(|c| !c.busy).min_by(order).map(|c| c.key)
}

#[cfg(test)]
mod tests;
