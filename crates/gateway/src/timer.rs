//! Timers of a gateway.

/// Event of a due timer. The ids show whether the timer is still needed; otherwise it is ignored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The timeout of an attempt.
    AttemptTimeout { request_id: u64, attempt: u32 },
    /// The timeout of a node's greeting.
    Connect { upstream: usize, connect_attempt: u64 },
    /// The timeout of a partial frame from a client.
    PartialFrame { client: usize, serial: u64 },
    /// The end of a pause in accepting client connections.
    ResumeAccept,
    /// The next connect to the list service.
    ReconnectList,
    /// The next lookup of extents in migration.
    Reroute,
    /// The end of the maximum wait of a write for an earlier overlapping write.
    OverlapTimeout { request_id: u64 },
    /// The time after which a finished write can no longer take effect.
    OverlapRelease { request_id: u64 },
}
