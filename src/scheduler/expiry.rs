//! When a request cannot be answered within its latency objective any more, so that it gets its final
//! answer now.

use super::pending_request::{PendingRequest, RequestState};
use super::unloaded_latency::relative_duration;
use super::{Scheduler, TIMER_TOLERANCE};
use crate::structures::QueuePosition;
use crate::types::Ms;

impl Scheduler {
    /// Whether the expected latency does not fit before the request's latency objective any more.
    pub(super) fn is_objective_unreachable(&self, now: Ms, id: usize) -> bool {
        let pending = self.requests.get(id);
        pending.is_some_and(|pending| now + self.expected_latency(pending) >= pending.expires_at)
    }

    /// The latency to expect at the node that the request would go to; 0 where that is not known.
    fn expected_latency(&self, pending: &PendingRequest) -> Ms {
        let request = &pending.request;
        let node = request.shard.and_then(|shard| self.select_node(shard));
        node.map_or(0.0, |node| {
            let duration = relative_duration(request.units, self.config.mean_units);
            node.expected_queueing_delay() + self.latencies.of_class(request.class) * duration
        })
    }

    /// Adds a request to those that wait and may expire, or removes it.
    pub(super) fn set_waiting(&mut self, id: usize, waiting: bool) {
        let Some(pending) = self.requests.get(id) else { return };
        let shard = pending.request.shard;
        self.expiry.set_waiting(shard, pending.expires_at, id, waiting);
        self.schedule_expiry_check(shard);
        if waiting {
            self.wake(id);
        }
    }

    /// Sets when the first waiting request of a shard is to be checked, which depends on the shard's node.
    pub(super) fn schedule_expiry_check(&mut self, shard: Option<usize>) {
        let first = self.expiry.first_waiting(shard).and_then(|id| self.requests.get(id));
        let check_at = first.map(|pending| pending.expires_at - self.expected_latency(pending));
        self.expiry.set_check(shard, check_at);
    }

    /// Records that a request, which waits no longer, is expiring, with its present position.
    pub(super) fn mark_expiring(&mut self, id: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        let position = match pending.state {
            RequestState::Queued(node) => QueuePosition::Queued(node, pending.queue_entry),
            _ => QueuePosition::Blocked(pending.arrival),
        };
        self.expiry.mark_expiring(id, position);
    }

    /// The next request whose latency objective is unreachable.
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
            // Its node has become faster since.
            self.set_waiting(id, true);
        }
        None
    }

    fn first_expired(&self, now: Ms, shard: Option<usize>) -> Option<usize> {
        self.expiry.first_waiting(shard).filter(|id| self.is_objective_unreachable(now, *id))
    }
}
