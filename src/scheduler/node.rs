//! State of one storage node, and all nodes by shard and by free capacity.

use super::concurrency_window::ConcurrencyWindow;
use super::endpoint_health::{EndpointHealth, DOUBTFUL_AFTER};
use super::fair_queueing::FairQueue;
use super::in_flight::InFlightAttempts;
use super::slow_start::{new_throughput_window, SlowStartAllowance};
use crate::structures::{RollingWindow, TimerQueue};
use crate::types::{Endpoint, EndpointState, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Conditions under which no queued request could be sent. More requests expire as time passes, so the
/// result remains valid until a request is added.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ScanConditions {
    pub now: Ms,
    pub accepts: bool,
    pub allows_retry: bool,
}

/// Storage node: its queue, its attempts in flight, its load and its health.
pub(super) struct Node {
    pub endpoint: Endpoint,
    pub queue: FairQueue,
    /// Conditions of the last scan of the queue, if the scan found no request to send and none was added
    /// since.
    pub unsuccessful_scan: Option<ScanConditions>,
    pub in_flight: InFlightAttempts,
    pub window: ConcurrencyWindow,
    pub health: EndpointHealth,
    pub slow_start: SlowStartAllowance,
    /// Units of this host's requests that succeeded recently.
    pub served_units: RollingWindow,
}

impl Node {
    /// Creates a node that the endpoint list names for the first time.
    pub(super) fn new(latency_objective: Ms, has_gossip: bool) -> Node {
        Node {
            endpoint: Endpoint::default(),
            queue: FairQueue::default(),
            unsuccessful_scan: None,
            in_flight: InFlightAttempts::new(DOUBTFUL_AFTER),
            window: ConcurrencyWindow::new(latency_objective, has_gossip),
            health: EndpointHealth::new(),
            slow_start: SlowStartAllowance::default(),
            served_units: new_throughput_window(),
        }
    }

    /// Returns whether the endpoint list names the node as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Resets fair queueing if no request is queued or in flight.
    pub(super) fn reset_queue_if_idle(&mut self) {
        if self.queue.is_empty() && self.in_flight.is_empty() {
            self.queue.reset();
        }
    }

    /// Returns whether the window has a free slot for a request, which may be exempt from spacing.
    pub(super) fn has_capacity(&self, exempt: bool) -> bool {
        self.is_ready() && self.window.has_capacity(&self.in_flight, exempt)
    }

    /// Returns whether at most one slot of the window is free.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.window.is_nearly_full(&self.in_flight)
    }

    /// Returns the expected queueing delay of an attempt that is sent now.
    pub(super) fn expected_queueing_delay(&self) -> Ms {
        self.window.expected_queueing_delay(&self.in_flight)
    }
}

/// All nodes, by the index that the caller assigned.
#[derive(Default)]
pub(super) struct Nodes {
    slots: Vec<Option<Node>>,
    by_shard: BTreeMap<usize, Vec<usize>>,
    with_capacity: BTreeSet<usize>,
    /// Nodes with a free slot that have requests queued.
    dispatchable: BTreeSet<usize>,
    /// Time at which the first attempt at each node may be overdue.
    overdue_checks: TimerQueue<usize>,
}

impl Nodes {
    /// Returns the approximate memory of the flows of all nodes.
    pub(super) fn flow_bytes(&self) -> usize {
        self.slots.iter().flatten().map(|node| node.queue.flow_bytes()).sum()
    }

    /// Returns the node of an index.
    pub(super) fn get(&self, node: usize) -> Option<&Node> {
        self.slots.get(node)?.as_ref()
    }

    /// Returns the node of an index for modification; the caller must call [`Nodes::refresh`] if queue,
    /// slots or attempts change.
    pub(super) fn get_mut(&mut self, node: usize) -> Option<&mut Node> {
        self.slots.get_mut(node)?.as_mut()
    }

    /// Returns the node of an index, and creates it where there is none.
    pub(super) fn get_or_insert_with(&mut self, node: usize, new: impl FnOnce() -> Node) -> &mut Node {
        if self.slots.len() <= node {
            self.slots.resize_with(node + 1, || None);
        }
        self.slots[node].get_or_insert_with(new)
    }

    /// Returns all nodes, by index.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Node> {
        self.slots.iter().flatten()
    }

    /// Returns all nodes, by index, for modification.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.slots.iter_mut().flatten()
    }

    /// Returns the nodes of a shard.
    pub(super) fn of_shard(&self, shard: usize) -> impl Iterator<Item = &Node> {
        let nodes = self.by_shard.get(&shard).into_iter().flatten();
        nodes.filter_map(|node| self.get(*node))
    }

    /// Returns the nodes that have a free slot.
    pub(super) fn with_capacity(&self) -> impl Iterator<Item = &Node> {
        self.with_capacity.iter().filter_map(|node| self.get(*node))
    }

    /// Returns the nodes that have a free slot and requests queued.
    pub(super) fn dispatchable(&self) -> Vec<usize> {
        self.dispatchable.iter().copied().collect()
    }

    /// Returns the nodes where an attempt may be overdue, by index.
    pub(super) fn due_overdue_checks(&self, now: Ms) -> Vec<usize> {
        let mut due: Vec<usize> = self.overdue_checks.due(now).collect();
        due.sort_unstable();
        due
    }

    /// Updates a node's entries by capacity and the time of its next check for overdue attempts.
    pub(super) fn refresh(&mut self, index: usize) {
        let node = self.slots[index].as_ref();
        let has_capacity = node.is_some_and(|node| node.has_capacity(true));
        let is_dispatchable = has_capacity && node.is_some_and(|node| !node.queue.is_empty());
        let overdue_at = node.and_then(Node::next_overdue_at);
        for (set, contains) in
            [(&mut self.with_capacity, has_capacity), (&mut self.dispatchable, is_dispatchable)]
        {
            _ = if contains { set.insert(index) } else { set.remove(&index) };
        }
        self.overdue_checks.set(index, overdue_at);
    }

    /// Drops removed nodes that have no attempt in flight, and rebuilds the lists of nodes by shard.
    pub(super) fn rebuild(&mut self) {
        let is_unused =
            |node: &mut Node| node.endpoint.state == EndpointState::Removed && node.in_flight.is_empty();
        for slot in &mut self.slots {
            slot.take_if(is_unused);
        }
        self.by_shard.clear();
        for node in self.slots.iter_mut().flatten() {
            node.unsuccessful_scan = None;
            self.by_shard.entry(node.endpoint.shard).or_default().push(node.endpoint.node);
        }
        for index in 0..self.slots.len() {
            self.refresh(index);
        }
    }
}
