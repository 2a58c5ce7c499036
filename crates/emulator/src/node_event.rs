//! What the emulated services record.

/// What a node or the endpoint list service did or saw. A host is identified by its incarnation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeEvent {
    /// A node's process started.
    Started {
        /// The node.
        node: u32,
        /// The incarnation that started.
        incarnation: u64,
        /// Whether it warms up, with a part of its capacity.
        warming_up: bool,
    },
    /// A node's process ended.
    Stopped {
        /// The node.
        node: u32,
        /// The incarnation that ended.
        incarnation: u64,
    },
    /// A node that warms up was sent more than it tolerates, and stopped.
    Overloaded {
        /// The node.
        node: u32,
    },
    /// A node received an attempt.
    AttemptReceived {
        /// The node.
        node: u32,
        /// The host that sent it.
        host: u64,
        /// The host's number of the request.
        request_id: u64,
        /// Which attempt of the request it is, from 0.
        attempt: u16,
        /// The number of the request class.
        class: u16,
        /// The volume.
        volume: u64,
        /// The key, or the first block.
        key: u64,
        /// The client's mark of the request.
        idempotency_key: u64,
        /// Units of work.
        units: f64,
        /// Whether it writes.
        write: bool,
        /// The extent's version that the host knew; 0 without a map.
        version: u32,
        /// Numbers the node's request that carried it.
        batch: u64,
    },
    /// A request took effect.
    EffectApplied {
        /// The node.
        node: u32,
        /// The host that sent it.
        host: u64,
        /// The host's number of the request.
        request_id: u64,
        /// The number of the request class.
        class: u16,
        /// The volume.
        volume: u64,
        /// The key, or the first block.
        key: u64,
        /// The client's mark of the request.
        idempotency_key: u64,
        /// Whether it writes.
        write: bool,
        /// Blocks from the key on.
        blocks: u32,
    },
    /// An extent has a new owner, or is served again under a new version.
    ExtentSwitched {
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
        /// The owner.
        shard: u32,
        /// The new version.
        version: u32,
    },
    /// A node sent an answer.
    Answered {
        /// The node.
        node: u32,
        /// The host.
        host: u64,
        /// The host's number of the request.
        request_id: u64,
        /// The attempt.
        attempt: u16,
        /// Whether the answer was success; every other answer proves that nothing was executed.
        executed: bool,
        /// Whether the answer was that another shard owns the data.
        shard_moved: bool,
    },
    /// A host cancelled an attempt.
    AttemptCancelled {
        /// The node.
        node: u32,
        /// The host.
        host: u64,
        /// The host's number of the request.
        request_id: u64,
        /// The attempt.
        attempt: u16,
    },
    /// A host's connection to a node ended, and with it the wait for its attempts in flight.
    ConnectionClosed {
        /// The node.
        node: u32,
        /// The host.
        host: u64,
    },
    /// A host was sent a new version of an extent.
    MapUpdateSent {
        /// The host.
        host: u64,
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
        /// The offset after its last one.
        end: u64,
        /// The version.
        version: u32,
    },
    /// A host was sent that a node drains or is not listed any more.
    DrainNotified {
        /// The host.
        host: u64,
        /// The node.
        node: u32,
        /// The node's incarnation.
        incarnation: u64,
    },
}
