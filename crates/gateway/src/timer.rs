//! What a gateway's timers are set for.

/// What is due. A timer that is no longer wanted is recognized by its numbers and ignored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// An attempt's time is over.
    AttemptTimeout { request_id: u64, attempt: u32 },
    /// A node should have sent its greeting.
    Connect { upstream: usize, connect_attempt: u64 },
    /// A client should have sent the rest of a frame.
    PartialFrame { client: usize, serial: u64 },
    /// Connections of clients are accepted again.
    ResumeAccept,
    /// The list service is connected to again.
    ReconnectList,
    /// Extents that were being migrated are looked up again.
    Reroute,
    /// A write has waited for an earlier one that it overlaps for as long as it may.
    OverlapTimeout { request_id: u64 },
    /// What may have run of a write that is over cannot take effect any more.
    OverlapRelease { request_id: u64 },
}
