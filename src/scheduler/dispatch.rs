//! The way of a request from arrival to an attempt: blocked, in the queue of its node, in flight. Each step asks the
//! decisions that may forbid it.

use super::fair_queueing::{flow_weight, FrameBounds, QueueEntry};
use super::in_flight::InFlightAttempt;
use super::node::Node;
use super::pending_request::{PendingRequest, RequestState, UncertainAttempt};
use super::Scheduler;
use crate::types::{Ms, RouteDecision};

/// Requests of a class are spared spacing if it has at least the best priority weight over this: guards against long
/// requests that may wait long and earn little for the slots that they take.
const SPARED_WEIGHT_DIVISOR: f64 = 2.0;

/// What the node and the retry budget allow at a moment.
struct DispatchConditions {
    accepts: bool,
    /// Whether the node accepts requests that are spared spacing.
    accepts_spared: bool,
    allows_retry: bool,
    best_priority_weight: f64,
}

impl Node {
    /// Whether a request may leave to it now, as far as the window, its spacing and the node's health say.
    pub(super) fn accepts_attempt(&self, now: Ms, spared: bool) -> bool {
        !self.health.is_backing_off(now)
            && self.window.spacing_has_passed(now, &self.in_flight, spared)
            && self.has_capacity(spared)
            && !self.is_unresponsive(now)
    }
}

impl Scheduler {
    /// Has a blocked request checked again.
    pub(super) fn wake(&mut self, id: usize) {
        let Some(pending) = self.requests.blocked(id) else { return };
        self.blocked.wake(pending.arrival, id, pending.request.shard.is_some());
    }

    /// Has all blocked requests of a shard checked again.
    pub(super) fn wake_shard(&mut self, shard: usize) {
        for id in self.expiry.waiting_for(shard) {
            self.wake(id);
        }
    }

    /// Takes a request off the list of blocked ones.
    pub(super) fn unblock(&mut self, id: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        self.blocked.remove(pending.arrival, id, pending.request.volume);
    }

    /// Puts a blocked request into the queue of its node, or to sleep until its key and its rate limit may allow that.
    pub(super) fn enqueue_if_allowed(&mut self, now: Ms, id: usize) {
        let Some(pending) = self.requests.blocked(id) else { return };
        let Some(shard) = pending.request.shard else { return };
        let arrival = pending.arrival;
        let Some(node) = self.select_node(shard).map(|node| node.endpoint.node) else {
            return self.blocked.sleep(arrival, id, None);
        };
        let mut allowed_at = self.blocked_until(now, id, node);
        if allowed_at.is_some_and(|at| at <= now) {
            allowed_at = self.reserve_tokens(now, id);
        }
        if allowed_at.is_some_and(|at| at <= now) {
            return self.enqueue(now, id, node);
        }
        self.blocked.sleep(arrival, id, allowed_at);
    }

    /// Until when time alone keeps a request out of a node's queue; none where its key or idempotency do.
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
            node.window.await_turn(now, self.rng.fraction());
        }
        let tag = node.queue.enqueue(now, &entry, &bounds);
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

    /// Takes an unsent request out of its queue, and gives back what it reserved.
    pub(super) fn dequeue(&mut self, id: usize) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let RequestState::Queued(index) = pending.state else { return };
        pending.state = RequestState::Blocked;
        let mut woken = vec![id];
        let request = &pending.request;
        if pending.has_tokens && pending.attempts == 0 && self.rate_limits.release(request) {
            pending.has_tokens = false;
            woken.extend(self.blocked.short_of_tokens(request.volume));
        }
        if pending.tag.reserved {
            self.reserves.put_back(request);
        }
        let Some(node) = self.nodes.get_mut(index) else { return };
        node.queue.remove_unsent(id, pending);
        node.reset_queue_if_idle();
        self.nodes.refresh(index);
        for id in woken {
            self.wake(id);
        }
    }

    /// The request that leaves next to a node: the first in the queue that nothing forbids.
    pub(super) fn next_to_dispatch(&mut self, now: Ms, index: usize) -> Option<usize> {
        if self.endpoint_list_expired {
            return None;
        }
        let node = self.nodes.get(index).filter(|node| !node.queue.is_empty())?;
        let (accepts, accepts_spared) = (node.accepts_attempt(now, false), node.accepts_attempt(now, true));
        if !accepts_spared || !self.slow_start_allows(now, index) {
            return None;
        }
        let priority_weights = self.config.classes.iter().map(|class| class.priority_weight);
        let conditions = DispatchConditions {
            accepts,
            accepts_spared,
            best_priority_weight: priority_weights.fold(0.0, f64::max),
            allows_retry: self.retry_budget_allows(now),
        };
        let mut queued = self.nodes.get(index)?.queue.requests();
        queued.find(|id| {
            self.requests.get(*id).is_some_and(|pending| self.may_leave(now, pending, index, &conditions))
        })
    }

    fn may_leave(
        &self,
        now: Ms,
        pending: &PendingRequest,
        node: usize,
        conditions: &DispatchConditions,
    ) -> bool {
        let priority_weight = self.config.classes[pending.request.class].priority_weight;
        let spared = pending.tag.reserved
            && SPARED_WEIGHT_DIVISOR * priority_weight >= conditions.best_priority_weight;
        let has_slot = if spared { conditions.accepts_spared } else { conditions.accepts };
        has_slot
            && (conditions.allows_retry || pending.attempts == 0)
            && now < pending.expires_at
            && self.idempotency_allows(now, pending, node)
    }

    /// Sends a queued request that was found to be the next one.
    pub(super) fn dispatch(&mut self, now: Ms, id: usize, node: usize) -> RouteDecision {
        self.batches += 1;
        self.start_attempt(now, id, node)
    }

    /// Sends a queued request along with one that was just sent, where only the order of tags forbids it to be next and
    /// its tag starts less than a frame after that one's. Guards the bounds of fair queueing, whatever is coalesced; it
    /// may hurt other volumes, which wait for what the batch adds.
    pub(super) fn dispatch_coalesced(&mut self, now: Ms, id: usize, first: usize) -> RouteDecision {
        let Some(index) = self.coalescing_node(now, id, first) else { return RouteDecision::Queue };
        if !self.slow_start_allows(now, index) {
            return RouteDecision::Queue;
        }
        let decision = self.start_attempt(now, id, index);
        if let Some(node) = self.nodes.get_mut(index) {
            node.in_flight.join_batch(first);
        }
        decision
    }

    /// The node to which a request may leave along with another, but for the node's slow start.
    fn coalescing_node(&mut self, now: Ms, id: usize, first: usize) -> Option<usize> {
        let (pending, leader) = (self.requests.get(id)?, self.requests.get(first)?);
        let RequestState::InFlight(index) = leader.state else { return None };
        let node = self.nodes.get(index).filter(|_| pending.state == RequestState::Queued(index))?;
        let leaves_now = node.in_flight.newest().is_some_and(|newest| newest.sent_at == now);
        let starts_in_time = pending.tag.start < leader.tag.start + 1.0;
        let may_leave = leaves_now
            && starts_in_time
            && now < pending.expires_at
            && self.idempotency_allows(now, pending, index);
        let is_retry = pending.attempts > 0;
        (may_leave && (!is_retry || self.retry_budget_allows(now))).then_some(index)
    }

    fn start_attempt(&mut self, now: Ms, id: usize, index: usize) -> RouteDecision {
        self.set_waiting(id, false);
        let send_by = self.requests.get(id).map_or(f64::INFINITY, |pending| self.latest_send_time(pending));
        let (Some(pending), Some(node)) = (self.requests.get_mut(id), self.nodes.get_mut(index)) else {
            return RouteDecision::Queue;
        };
        node.queue.depart(now, id, pending);
        node.window.on_send(now, self.rng.fraction());
        let request = &pending.request;
        let unloaded_latency = self.latencies.of_class(request.class);
        node.in_flight.push(InFlightAttempt {
            request: id,
            attempt: pending.attempts,
            sent_at: now,
            response_timeout: self.config.classes[request.class].latency_objective,
            unloaded_latency: unloaded_latency * (1.0 + request.units / self.config.mean_units) / 2.0,
            batch: self.batches,
            batch_units: request.units,
            overtaken_by: 0,
            cancelled: false,
        });
        node.slow_start.spend(request.units);
        if pending.attempts > 0 {
            self.retries.add_retry(now);
        } else if pending.has_tokens {
            self.rate_limits.spend(now, request, &self.config.policies[request.policy]);
        }
        pending.attempts += 1;
        pending.state = RequestState::InFlight(index);
        let attempt = UncertainAttempt { number: pending.attempts, sent_at: now, node: index };
        pending.uncertain_attempt.get_or_insert(attempt);
        let timeout = pending.deadline - now;
        self.in_flight += 1;
        self.nodes.refresh(index);
        RouteDecision::Send { node: index, timeout, send_by }
    }
}
