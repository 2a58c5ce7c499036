//! Expiry of requests: a request that can no longer be answered within its latency objective gets its
//! final answer.

use super::pending_request::{PendingRequest, RequestState};
use super::unloaded_latency::relative_duration;
use super::{Scheduler, TIMER_TOLERANCE};
use crate::structures::QueuePosition;
use crate::types::Ms;

impl Scheduler {
    /// Returns whether the expected latency exceeds the time left until the request's latency objective.
    pub(super) fn is_objective_unreachable(&self, now: Ms, id: usize) -> bool {
        let pending = self.requests.get(id);
        pending.is_some_and(|pending| now + self.expected_latency(pending) >= pending.expires_at)
    }

    /// Returns the expected latency at the node that would be selected for the request, or 0 if there is
    /// none.
    fn expected_latency(&self, pending: &PendingRequest) -> Ms {
        let request = &pending.request;
        let node = request.shard.and_then(|shard| self.select_node(shard));
        node.map_or(0.0, |node| {
            let duration = relative_duration(request.units, self.config.mean_units);
            node.expected_queueing_delay() + self.latencies.of_class(request.class) * duration
        })
    }

    /// Adds a request to the waiting requests that may expire, or removes it.
    pub(super) fn set_waiting(&mut self, id: usize, waiting: bool) {
        let Some(pending) = self.requests.get(id) else { return };
        let shard = pending.request.shard;
        self.expiry.set_waiting(shard, pending.expires_at, id, waiting);
        self.schedule_expiry_check(shard);
        if waiting {
            self.wake(id);
        }
    }

    /// Sets the time at which the first waiting request of a shard is checked, which depends on the
    /// shard's node.
    pub(super) fn schedule_expiry_check(&mut self, shard: Option<usize>) {
        let first = self.expiry.first_waiting(shard).and_then(|id| self.requests.get(id));
        let check_at = first.map(|pending| pending.expires_at - self.expected_latency(pending));
        self.expiry.set_check(shard, check_at);
    }

    /// Marks a request that is no longer waiting as expiring, with its current position.
    pub(super) fn mark_expiring(&mut self, id: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        let position = match pending.state {
            RequestState::Queued(node) => QueuePosition::Queued(node, pending.queue_entry),
            _ => QueuePosition::Blocked(pending.arrival),
        };
        self.expiry.mark_expiring(id, position);
    }

    /// Returns the next request whose latency objective is unreachable.
    pub(super) fn next_expired(&mut self, now: Ms) -> Option<usize> {
        for shard in self.expiry.due_checks(now + TIMER_TOLERANCE) {
            while let Some(id) = self.first_expired(now, shard) {
                self.set_waiting(id, false);
                self.mark_expiring(id);
            }
        }
        while let Some(id) = self.expiry.first_expiring() {
            if self.is_objective_unreachable(now, id) {
                return Some(id);
            }
            // The expected latency of the node has decreased since the request was marked.
            self.set_waiting(id, true);
        }
        None
    }

    fn first_expired(&self, now: Ms, shard: Option<usize>) -> Option<usize> {
        self.expiry.first_waiting(shard).filter(|id| self.is_objective_unreachable(now, *id))
    }
}
