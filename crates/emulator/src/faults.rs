//! Faults of a node, and defects that a scenario seeds into the emulated services.

/// Current faults of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeFaults {
    /// Set if the node executes requests but sends no answers.
    pub unresponsive: bool,
    /// Fraction of answers that are lost.
    pub answer_loss: f64,
    /// Factor by which the work of the node takes longer.
    pub slowdown: f64,
    /// Set if the node rejects all requests as if its queue were full.
    pub queue_full: bool,
    /// Set if the node sends no greeting, executes no requests and sends no answers; received requests are
    /// recorded.
    pub hung: bool,
    /// Fraction of requests that fail: a third is rejected, a third is answered with an error, and a third loses
    /// the answer.
    pub partial_failure: f64,
    /// Set if the next answer is truncated in the middle and the connection closed.
    pub reset_mid_frame: bool,
    /// Set if the node does not report the units that it served through other hosts.
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

/// Defects that a scenario seeds into the emulated services, to show that the audit detects them.
#[derive(Clone, Copy, Debug, Default)]
pub struct EmulatorDefects {
    /// The source of a migration continues to serve after its fence.
    pub fence_ignored: bool,
    /// An answer that the shard moved is sent as success.
    pub moved_as_success: bool,
    /// Answers to reads of several blocks contain the first block last.
    pub swapped_blocks: bool,
    /// Hosts receive only half of the entries of a map update.
    pub half_map_updates: bool,
}
