//! Entry of blocked requests into the queues of nodes, and the resources that unsent requests return when
//! they leave a queue.

use super::fair_queueing::{flow_weight, FrameBounds, QueueEntry};
use super::pending_request::RequestState;
use super::{Scheduler, TIMER_TOLERANCE};
use crate::types::Ms;

impl Scheduler {
    /// Schedules another check of a blocked request.
    pub(super) fn wake(&mut self, id: usize) {
        let Some(pending) = self.requests.blocked(id) else { return };
        self.blocked.wake(pending.token_waiter(id), pending.request.shard.is_some());
    }

    /// Schedules another check of all blocked requests of a shard.
    pub(super) fn wake_shard(&mut self, shard: usize) {
        for id in self.expiry.waiting_for(shard) {
            self.wake(id);
        }
    }

    /// Removes a request from the list of blocked requests.
    pub(super) fn unblock(&mut self, id: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        self.blocked.remove(pending.token_waiter(id));
    }

    /// Enqueues all blocked requests that may be queued now.
    pub(super) fn enqueue_allowed(&mut self, now: Ms) {
        self.blocked.wake_due(now + TIMER_TOLERANCE);
        self.wake_token_waiters(now);
        while let Some(id) = self.blocked.next_to_check() {
            self.enqueue_if_allowed(now, id);
            if !self.blocked.has_any_to_check() {
                self.wake_token_waiters(now);
            }
        }
    }

    /// Puts a blocked request into the queue of its node, or suspends it until its key and its rate limit
    /// may permit this.
    pub(super) fn enqueue_if_allowed(&mut self, now: Ms, id: usize) {
        let Some(pending) = self.requests.blocked(id) else { return };
        let Some(shard) = pending.request.shard else { return };
        let (arrival, waiter) = (pending.arrival, pending.token_waiter(id));
        let Some(node) = self.select_node(shard).map(|node| node.endpoint.node) else {
            return self.blocked.sleep(arrival, id, None);
        };
        let allowed_at = self.blocked_until(now, id, node);
        if allowed_at.is_none_or(|at| at > now) {
            return self.blocked.sleep(arrival, id, allowed_at);
        }
        match self.reserve_tokens(now, id) {
            Some(covered_at) if covered_at > now => self.blocked.await_tokens(waiter, covered_at),
            Some(_) => self.enqueue(now, id, node),
            None => {}
        }
    }

    /// Returns the time until which a request must stay out of a node's queue, or none where its key or
    /// idempotency excludes it regardless of time.
    pub(super) fn blocked_until(&self, now: Ms, id: usize, node: usize) -> Option<Ms> {
        let pending = self.requests.get(id)?;
        let lock = self.ordering_key(&pending.request).and_then(|key| self.key_locks.holder(key));
        let holds_lock = lock.is_none_or(|(holder, _)| holder == id);
        if !holds_lock || !self.idempotency_allows(now, pending, node) {
            return None;
        }
        let quiet_until = lock.map(|(_, quiet_until)| quiet_until).filter(|_| pending.attempts == 0);
        Some(quiet_until.map_or(pending.earliest_retry_at, |until| until.max(pending.earliest_retry_at)))
    }

    /// Puts a request into the queue of a node.
    pub(super) fn enqueue(&mut self, now: Ms, id: usize, index: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        let request = &pending.request;
        let reserved = self.reserves.take(now, request, &self.config);
        let entry = QueueEntry {
            request: id,
            arrival: pending.arrival,
            volume: request.volume,
            reserved,
            units: request.units,
            weight: flow_weight(&self.config, request.class, request.policy, reserved),
        };
        let bounds =
            FrameBounds { max_batch_units: self.config.max_batch_units, least_weight: self.least_weight };
        let Some(node) = self.nodes.get_mut(index) else { return };
        node.reset_queue_if_idle();
        if node.queue.is_empty() && node.window.has_competitors() {
            node.window.restart_spacing(now, self.rng.fraction());
        }
        let tag = node.queue.enqueue(now, &entry, &bounds);
        node.unsuccessful_scan = None;
        self.unblock(id);
        if let Some(pending) = self.requests.get_mut(id) {
            self.sequence += 1;
            (pending.state, pending.tag, pending.queue_entry) =
                (RequestState::Queued(index), tag, self.sequence);
        }
        if self.expiry.is_expiring(id) {
            self.mark_expiring(id);
        }
        self.nodes.refresh(index);
    }

    /// Removes an unsent request from its queue and returns the tokens and the reserve that it had taken.
    pub(super) fn dequeue(&mut self, id: usize) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let RequestState::Queued(index) = pending.state else { return };
        pending.state = RequestState::Blocked;
        let request = &pending.request;
        if pending.has_tokens && pending.attempts == 0 && self.rate_limits.release(request) {
            pending.has_tokens = false;
            self.blocked.check_tokens_at(request.volume, f64::NEG_INFINITY);
        }
        if pending.tag.reserved {
            self.reserves.put_back(request);
        }
        let Some(node) = self.nodes.get_mut(index) else { return };
        node.queue.remove_unsent(id, pending);
        node.reset_queue_if_idle();
        self.nodes.refresh(index);
        self.wake(id);
    }
}
