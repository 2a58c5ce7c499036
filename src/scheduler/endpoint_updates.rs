//! Endpoint list: the times of its polls, and the effect of its changes on nodes and queued requests.

use super::node::Node;
use super::Scheduler;
use crate::backoff::Backoff;
use crate::random_source::RandomSource;
use crate::types::{Endpoint, EndpointState, EndpointUpdate, Ms};
use std::collections::BTreeSet;

/// First backoff after a failed poll, and the longest backoff as a fraction of the longest poll interval.
const FIRST_POLL_BACKOFF: Ms = 50.0;
const LONGEST_POLL_BACKOFF: f64 = 0.1;
/// Delays of the next poll as fractions of the longest poll interval: after a poll without an answer, and
/// after an answer, as a watch may break unnoticed.
const POLL_TIMEOUT: f64 = 0.4;
const POLL_INTERVAL: f64 = 0.8;

/// Schedule of the polls of the endpoint list, where polling is required.
pub(super) struct EndpointPolling {
    max_interval: Option<Ms>,
    next_at: Option<Ms>,
    backoff: Backoff,
}

impl EndpointPolling {
    /// Schedules the first poll for now.
    pub(super) fn new(now: Ms, max_interval: Option<Ms>) -> EndpointPolling {
        let longest_backoff = LONGEST_POLL_BACKOFF * max_interval.unwrap_or(0.0);
        EndpointPolling {
            max_interval,
            next_at: max_interval.map(|_| now),
            backoff: Backoff::new(FIRST_POLL_BACKOFF, longest_backoff),
        }
    }

    /// Returns the time of the next poll.
    pub(super) fn next_at(&self) -> Option<Ms> {
        self.next_at
    }

    /// Returns whether a poll is due now, and schedules the next one if so.
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
    /// Applies the endpoint list, or the changes in it.
    pub(super) fn apply_endpoint_update(&mut self, now: Ms, update: EndpointUpdate, endpoints: &[Endpoint]) {
        match update {
            EndpointUpdate::PollFailed => return self.polling.on_failure(now, &mut self.rng),
            EndpointUpdate::Restored => {}
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => self.polling.on_answer(now),
        }
        if update != EndpointUpdate::Delta {
            self.remove_unlisted(endpoints);
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

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<usize> = endpoints.iter().map(|endpoint| endpoint.node).collect();
        for node in self.nodes.iter_mut().filter(|node| !listed.contains(&node.endpoint.node)) {
            node.endpoint.state = EndpointState::Removed;
        }
    }

    fn update_endpoint(&mut self, now: Ms, endpoint: &Endpoint) {
        let (latency_objective, has_gossip) = (self.latency_objective, self.gossip.is_active());
        let new_node = || Node::new(latency_objective, has_gossip);
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

    /// Removes requests from the queues of draining and removed nodes: they wait for the node that takes
    /// over their shard.
    fn requeue_from_unusable_nodes(&mut self) {
        let unusable = self.nodes.iter().filter(|node| !node.is_ready());
        let requests: Vec<usize> = unusable.flat_map(|node| node.queue.requests()).collect();
        for id in requests {
            self.dequeue(id);
        }
    }
}
