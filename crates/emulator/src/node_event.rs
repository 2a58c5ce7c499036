//! Events that the emulated services record.

/// An action or observation of a node or the endpoint list service. A host is identified by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEvent {
    /// The process of a node started.
    Started {
        /// Number of the node.
        node: u32,
        /// Incarnation of the process that started.
        incarnation: u64,
        /// Set if the node warms up, with a fraction of its capacity.
        warming_up: bool,
    },
    /// The process of a node ended.
    Stopped {
        /// Number of the node.
        node: u32,
        /// Incarnation of the process that ended.
        incarnation: u64,
    },
    /// A warming node received more units than it tolerates, and stopped.
    Overloaded {
        /// Number of the node.
        node: u32,
    },
    /// A node received an attempt.
    AttemptReceived {
        /// Number of the node.
        node: u32,
        /// Incarnation of the host that sent the request.
        host: u64,
        /// Request identifier assigned by the host.
        request_id: u64,
        /// Number of the attempt within the request, from 0.
        attempt: u16,
        /// Number of the request class.
        class: u16,
        /// Number of the volume.
        volume: u64,
        /// Key, or first block.
        key: u64,
        /// Idempotency key assigned by the client.
        idempotency_key: u64,
        /// Number of units of work.
        units: f64,
        /// Set for a write.
        write: bool,
        /// Extent version in the map of the host; 0 without a map.
        version: u32,
        /// Number of the node request that carried the attempt.
        batch: u64,
    },
    /// A request took effect.
    EffectApplied {
        /// Number of the node.
        node: u32,
        /// Incarnation of the host that sent the request.
        host: u64,
        /// Request identifier assigned by the host.
        request_id: u64,
        /// Number of the request class.
        class: u16,
        /// Number of the volume.
        volume: u64,
        /// Key, or first block.
        key: u64,
        /// Idempotency key assigned by the client.
        idempotency_key: u64,
        /// Set for a write.
        write: bool,
        /// Number of blocks that start at the key.
        blocks: u32,
    },
    /// The owner of an extent changed, or the extent is served again under a new version.
    ExtentSwitched {
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
        /// Shard that owns the extent.
        shard: u32,
        /// New version of the extent.
        version: u32,
    },
    /// A node sent an answer.
    Answered {
        /// Number of the node.
        node: u32,
        /// Incarnation of the host.
        host: u64,
        /// Request identifier assigned by the host.
        request_id: u64,
        /// Number of the attempt within the request.
        attempt: u16,
        /// Set if the answer was success; every other answer proves that the request was not executed.
        executed: bool,
        /// Set if the answer was that another shard owns the extent.
        shard_moved: bool,
    },
    /// A host cancelled an attempt.
    AttemptCancelled {
        /// Number of the node.
        node: u32,
        /// Incarnation of the host.
        host: u64,
        /// Request identifier assigned by the host.
        request_id: u64,
        /// Number of the attempt within the request.
        attempt: u16,
    },
    /// A connection of a host to a node ended; the host no longer waits for the attempts in flight on the
    /// connection.
    ConnectionClosed {
        /// Number of the node.
        node: u32,
        /// Incarnation of the host.
        host: u64,
    },
    /// A new version of an extent was sent to a host.
    MapUpdateSent {
        /// Incarnation of the host.
        host: u64,
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
        /// Offset after the last offset of the extent.
        end: u64,
        /// Version of the extent.
        version: u32,
    },
    /// A host was notified that a node drains or is no longer listed.
    DrainNotified {
        /// Incarnation of the host.
        host: u64,
        /// Number of the node.
        node: u32,
        /// Incarnation of the node.
        incarnation: u64,
    },
}
