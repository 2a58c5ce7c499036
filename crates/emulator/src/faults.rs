//! The faults of a node, and the defects that a scenario seeds into the emulated services.

/// The faults of a node at the moment.
#[derive(Clone, Copy, Debug)]
pub struct NodeFaults {
    /// It executes requests and answers none.
    pub unresponsive: bool,
    /// The part of its answers that are lost.
    pub answer_loss: f64,
    /// Its work takes this many times as long.
    pub slowdown: f64,
    /// It rejects all requests as if its queue were full.
    pub queue_full: bool,
    /// It neither greets, executes nor answers; requests are recorded when they arrive.
    pub hung: bool,
    /// The part of requests that fail: a third is rejected, a third answered with an error, a third loses its answer.
    pub partial_failure: f64,
    /// Its next answer is cut off in the middle, and the connection closed.
    pub reset_mid_frame: bool,
    /// It reports nothing of what it served through other hosts.
    pub usage_withheld: bool,
}

impl NodeFaults {
    pub(crate) const NONE: NodeFaults = NodeFaults {
        unresponsive: false,
        answer_loss: 0.0,
        slowdown: 1.0,
        queue_full: false,
        hung: false,
        partial_failure: 0.0,
        reset_mid_frame: false,
        usage_withheld: false,
    };
}

/// Defects that a scenario seeds into the emulated services, to show that its audit finds them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmulatorDefects {
    /// The source of a migration serves on after its fence.
    pub fence_ignored: bool,
    /// An answer that the shard moved is sent as success.
    pub moved_as_success: bool,
    /// Reads of several blocks are answered with the first block last.
    pub swapped_blocks: bool,
    /// Hosts are sent only half of the lines of a map update.
    pub half_map_updates: bool,
}
