//! The endpoint list: when it is polled, and what a change of it does to nodes and queued requests.

use super::node::Node;
use super::Scheduler;
use crate::backoff::Backoff;
use crate::random_source::RandomSource;
use crate::types::{Endpoint, EndpointState, EndpointUpdate, Ms};
use std::collections::BTreeSet;

/// The first backoff after a poll that failed, and the longest as a part of the longest poll interval.
const FIRST_POLL_BACKOFF: Ms = 50.0;
const LONGEST_POLL_BACKOFF: f64 = 0.1;
/// When the list is polled again, as parts of the longest poll interval: where a poll has no answer, and
/// after one, as a watch may break unnoticed.
const POLL_TIMEOUT: f64 = 0.4;
const POLL_INTERVAL: f64 = 0.8;

/// When the endpoint list is polled next, where it must be polled.
pub(super) struct EndpointPolling {
    max_interval: Option<Ms>,
    next_at: Option<Ms>,
    backoff: Backoff,
}

impl EndpointPolling {
    /// The first poll is due now.
    pub(super) fn new(now: Ms, max_interval: Option<Ms>) -> EndpointPolling {
        let longest_backoff = LONGEST_POLL_BACKOFF * max_interval.unwrap_or(0.0);
        EndpointPolling {
            max_interval,
            next_at: max_interval.map(|_| now),
            backoff: Backoff::new(FIRST_POLL_BACKOFF, longest_backoff),
        }
    }

    /// When the next poll is due.
    pub(super) fn next_at(&self) -> Option<Ms> {
        self.next_at
    }

    /// Whether a poll is due now, which it is no more then.
    pub(super) fn take_due(&mut self, now: Ms) -> bool {
        let is_due = self.next_at.is_some_and(|at| now >= at);
        if is_due {
            self.next_at = self.max_interval.map(|interval| now + POLL_TIMEOUT * interval);
        }
        is_due
    }

    fn on_failure(&mut self, now: Ms, rng: &mut RandomSource) {
        let backoff = self.backoff.failed(rng);
        self.next_at = self.max_interval.map(|_| now + backoff);
    }

    fn on_answer(&mut self, now: Ms) {
        self.backoff.reset();
        self.next_at = self.max_interval.map(|interval| now + POLL_INTERVAL * interval);
    }
}

impl Scheduler {
    /// Takes in the endpoint list, or what changed in it.
    pub(super) fn apply_endpoint_update(&mut self, now: Ms, update: EndpointUpdate, endpoints: &[Endpoint]) {
        match update {
            EndpointUpdate::PollFailed => return self.polling.on_failure(now, &mut self.rng),
            EndpointUpdate::Restored => {}
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => self.polling.on_answer(now),
        }
        if update != EndpointUpdate::Delta {
            self.remove_unnamed(endpoints);
        }
        self.shard_throughput.measure(now, &mut self.nodes, self.config.slow_start_duration);
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        self.requeue_from_unusable_nodes();
        self.nodes.rebuild();
        for shard in self.expiry.shards() {
            self.schedule_expiry_check(shard);
            if let Some(shard) = shard {
                self.wake_shard(shard);
            }
        }
    }

    fn remove_unnamed(&mut self, endpoints: &[Endpoint]) {
        let named: BTreeSet<usize> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for node in self.nodes.iter_mut().filter(|node| !named.contains(&node.endpoint.node)) {
            node.endpoint.state = EndpointState::Removed;
        }
    }

    fn update_endpoint(&mut self, now: Ms, endpoint: &Endpoint) {
        let (latency_objective, is_active) = (self.latency_objective, self.gossip.is_active());
        let new_node = || Node::new(latency_objective, is_active);
        let node = self.nodes.get_or_insert_with(endpoint.node, new_node);
        let is_new_process = node.endpoint.started_at != endpoint.started_at;
        node.endpoint = endpoint.clone();
        if is_new_process {
            let allowance = self.initial_allowance(now);
            if let Some(node) = self.nodes.get_mut(endpoint.node) {
                node.restart(now, allowance);
            }
        }
    }

    /// Requests in the queue of a node that drains or went wait for the node that takes its shard.
    fn requeue_from_unusable_nodes(&mut self) {
        let unusable = self.nodes.iter().filter(|node| !node.is_ready());
        let requests: Vec<usize> = unusable.flat_map(|node| node.queue.requests()).collect();
        for id in requests {
            self.dequeue(id);
        }
    }
}
