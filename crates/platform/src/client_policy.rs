//! Which clients' connections give way, and when; free of I/O.

use magpiewick::Ms;

/// By when a client must have sent its first request whole, or what it started_at: it is owed an error or an end
/// within 3 s of connecting, and a connection without an open request may be closed after 2 s.
pub const CLIENT_TIMEOUT_MS: Ms = 2200.0;
/// How long what a refused client still sends is read and discarded_bytes away, so that it can read the refusal first.
pub const LINGER_MS: Ms = 300.0;
/// How many bytes may wait behind a request that is open, where the memory is there.
pub const MAX_PIPELINED_BYTES: usize = 1 << 20;
/// How often a connection whose bytes are not read is looked at, as it may have ended behind them: half of the time
/// within which nothing may begin any more for a client that has gone.
pub const DISCONNECT_CHECK_MS: Ms = 50.0;
/// How much of it: reading 60 MB that nobody wants would cost the processor that requests need.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// The part of the descriptors that are not the host's own which may be clients': those that are in earnest hold a
/// third of all at most.
const CLIENT_SHARE: f64 = 0.6;
/// The part of all descriptors up to which clients open connections to ask on, and the part of that which those may
/// hold that have asked: clients that ask once and stay would else leave no limits for the next.
const ACTIVE_CLIENT_SHARE: f64 = 1.0 / 3.0;
const SERVED_CLIENT_SHARE: f64 = 0.7;

/// How many connections there may be: of clients, of those of them that have asked, and to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimits {
    pub clients: usize,
    pub asked: usize,
    pub upstream_count: usize,
}

impl ConnectionLimits {
    /// `shared`: those of all descriptors that are for clients and nodes.
    pub fn new(sockets: usize, shared: usize) -> ConnectionLimits {
        let clients = (shared as f64 * CLIENT_SHARE) as usize;
        let asked = (sockets as f64 * ACTIVE_CLIENT_SHARE * SERVED_CLIENT_SHARE) as usize;
        ConnectionLimits { clients, asked, upstream_count: shared - clients }
    }
}

/// What is known of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvictionCandidate {
    pub key: usize,
    /// A request is open or an answer is not written whole.
    pub busy: bool,
    /// A part of a request came.
    pub partial: bool,
    /// How many whole requests it sent.
    pub asked: u32,
    /// Since when it has been as it is, and its number in the order of arrival: many come in one turn of the loop.
    pub since: Ms,
    pub serial: u64,
}

/// A newcomer is given this long to say what it wants before it gives way sooner than clients that come again.
const NEWCOMER_MS: Ms = 300.0;

/// What is known of a client's connection when a timer looks at it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClientActivity {
    /// A request of it is open.
    pub open: bool,
    /// An answer is not written whole.
    pub pending: bool,
    /// Since when the system has taken nothing of what is pending; none where nobody has tried to write it yet.
    pub blocked: Option<Ms>,
    /// Since when nothing more is written to it and what it sends is discarded_bytes away.
    pub lingering_since: Option<Ms>,
    /// Since when a part of a request is there.
    pub partial: Option<Ms>,
    /// It has sent a whole request.
    pub asked: bool,
}

/// What becomes of a client's connection at a activity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimeoutAction {
    /// Nothing is due, and no other activity is needed for now.
    Nothing,
    /// It is looked at again when its patience since then is over.
    RearmFrom(Ms),
    /// It ends: its client does not read its answer.
    Unread,
    /// It ends: its client has had the time to read its last answer.
    Finished,
    /// Its client is config that its request did not come whole.
    Incomplete,
    /// It ends: its client has never asked.
    Idle,
}

/// Decides about a connection whose time may be over. An answer that was queued in this very moment, and that nobody
/// has tried to write yet, is no answer that its client does not read: only what the system refuses to take for long is.
pub fn late(now: Ms, activity: &ClientActivity) -> TimeoutAction {
    let over = |since: Ms| now - since >= CLIENT_TIMEOUT_MS - 1.0;
    if activity.pending {
        return match activity.blocked {
            Some(since) if over(since) => TimeoutAction::Unread,
            since => TimeoutAction::RearmFrom(since.unwrap_or(now)),
        };
    }
    if let Some(since) = activity.lingering_since {
        return if now - since >= LINGER_MS - 1.0 { TimeoutAction::Finished } else { TimeoutAction::Nothing };
    }
    match activity.partial {
        _ if activity.open => TimeoutAction::Nothing,
        Some(since) if over(since) => TimeoutAction::Incomplete,
        Some(since) => TimeoutAction::RearmFrom(since),
        None if activity.asked => TimeoutAction::Nothing,
        None => TimeoutAction::Idle,
    }
}

/// The one that gives way to a newcomer: never one that is owed something; those that asked once or never before
/// those that asked again, unless they have only just come; of these the one that has rested longest. Guards against
/// clients that connect and say nothing, or ask once and stay; it could harm clients that keep many connections and
/// use them rarely: they connect anew.
pub fn gives_way(now: Ms, all: impl Iterator<Item = EvictionCandidate>) -> Option<usize> {
    // One that is sending is taken last of all: its request would be lost with it.
    let dear = |s: &EvictionCandidate| (s.partial, s.asked > 1 || now - s.since < NEWCOMER_MS);
    let free = all.filter(|s| !s.busy);
    let order = |a: &EvictionCandidate, b: &EvictionCandidate| {
        dear(a).cmp(&dear(b)).then(a.since.total_cmp(&b.since)).then(a.serial.cmp(&b.serial))
    };
    free.min_by(order).map(|s| s.key)
}

#[cfg(test)]
mod tests;
