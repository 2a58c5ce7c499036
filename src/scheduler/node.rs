//! What the scheduler knows of one storage node, and all of them by shard and by what they can take.

use super::concurrency_window::ConcurrencyWindow;
use super::endpoint_health::{EndpointHealth, DOUBTFUL_AFTER};
use super::fair_queueing::FairQueue;
use super::in_flight::InFlightAttempts;
use super::slow_start::{new_throughput_window, SlowStartAllowance};
use crate::structures::{RollingWindow, TimerQueue};
use crate::types::{Endpoint, EndpointState, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// The conditions under which no queued request could leave. More requests expire as time passes, so the result holds
/// until a request is added.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FruitlessScan {
    pub now: Ms,
    pub accepts: bool,
    pub allows_retry: bool,
}

/// A storage node: its queue, what is in flight there, and what is known of its load and health.
pub(super) struct Node {
    pub endpoint: Endpoint,
    pub queue: FairQueue,
    /// The last scan of the queue, if it found no request that may leave and none was added since.
    pub fruitless_scan: Option<FruitlessScan>,
    pub in_flight: InFlightAttempts,
    pub window: ConcurrencyWindow,
    pub health: EndpointHealth,
    pub slow_start: SlowStartAllowance,
    /// Units of this host's requests that succeeded lately.
    pub served_units: RollingWindow,
}

impl Node {
    /// A node that the endpoint list names for the first time.
    pub(super) fn new(latency_objective: Ms, has_gossip: bool) -> Node {
        Node {
            endpoint: Endpoint::default(),
            queue: FairQueue::default(),
            fruitless_scan: None,
            in_flight: InFlightAttempts::new(DOUBTFUL_AFTER),
            window: ConcurrencyWindow::new(latency_objective, has_gossip),
            health: EndpointHealth::new(),
            slow_start: SlowStartAllowance::default(),
            served_units: new_throughput_window(),
        }
    }

    /// Whether the endpoint list has it as ready.
    pub(super) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Starts fair queueing again from zero where nothing is queued or in flight.
    pub(super) fn reset_queue_if_idle(&mut self) {
        if self.queue.is_empty() && self.in_flight.is_empty() {
            self.queue.reset();
        }
    }

    /// Whether the window has a free slot, for a request that is spared spacing or for another.
    pub(super) fn has_capacity(&self, spared: bool) -> bool {
        self.is_ready() && self.window.has_capacity(&self.in_flight, spared)
    }

    /// Whether all slots of the window but one are taken.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.window.is_nearly_full(&self.in_flight)
    }

    /// The queueing delay to expect of an attempt that is sent now.
    pub(super) fn expected_queueing_delay(&self) -> Ms {
        self.window.expected_queueing_delay(&self.in_flight)
    }
}

/// All known nodes, by the index that the caller gave them.
#[derive(Default)]
pub(super) struct Nodes {
    slots: Vec<Option<Node>>,
    by_shard: BTreeMap<usize, Vec<usize>>,
    with_capacity: BTreeSet<usize>,
    /// Those with capacity that have requests queued.
    dispatchable: BTreeSet<usize>,
    /// When the first attempt at each may be overdue.
    overdue_checks: TimerQueue<usize>,
}

impl Nodes {
    /// The node of an index.
    pub(super) fn get(&self, node: usize) -> Option<&Node> {
        self.slots.get(node)?.as_ref()
    }

    /// The node of an index, to change it; [`Nodes::refresh`] follows where queue, slots or attempts changed.
    pub(super) fn get_mut(&mut self, node: usize) -> Option<&mut Node> {
        self.slots.get_mut(node)?.as_mut()
    }

    /// The node of an index, which is made where there is none.
    pub(super) fn get_or_insert_with(&mut self, node: usize, new: impl FnOnce() -> Node) -> &mut Node {
        if self.slots.len() <= node {
            self.slots.resize_with(node + 1, || None);
        }
        self.slots[node].get_or_insert_with(new)
    }

    /// All nodes, by index.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Node> {
        self.slots.iter().flatten()
    }

    /// All nodes, by index, to change them.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.slots.iter_mut().flatten()
    }

    /// The nodes of a shard.
    pub(super) fn of_shard(&self, shard: usize) -> impl Iterator<Item = &Node> {
        let nodes = self.by_shard.get(&shard).into_iter().flatten();
        nodes.filter_map(|node| self.get(*node))
    }

    /// The nodes that have a free slot.
    pub(super) fn with_capacity(&self) -> impl Iterator<Item = &Node> {
        self.with_capacity.iter().filter_map(|node| self.get(*node))
    }

    /// The nodes that have a free slot and requests queued.
    pub(super) fn dispatchable(&self) -> Vec<usize> {
        self.dispatchable.iter().copied().collect()
    }

    /// The nodes where an attempt may be overdue, by index.
    pub(super) fn due_overdue_checks(&self, now: Ms) -> Vec<usize> {
        let mut due: Vec<usize> = self.overdue_checks.due(now).collect();
        due.sort_unstable();
        due
    }

    /// Brings what is known of a node's capacity and of its overdue attempts up to date.
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

    /// Drops removed nodes where nothing is in flight, and lists the others by shard anew.
    pub(super) fn rebuild(&mut self) {
        let is_over =
            |node: &mut Node| node.endpoint.state == EndpointState::Removed && node.in_flight.is_empty();
        for slot in &mut self.slots {
            slot.take_if(is_over);
        }
        self.by_shard.clear();
        for node in self.slots.iter_mut().flatten() {
            node.fruitless_scan = None;
            self.by_shard.entry(node.endpoint.shard).or_default().push(node.endpoint.node);
        }
        for index in 0..self.slots.len() {
            self.refresh(index);
        }
    }
}
