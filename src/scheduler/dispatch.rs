//! Dispatch of queued requests to their nodes, alone or in a batch.

use super::in_flight::InFlightAttempt;
use super::node::{Node, ScanConditions};
use super::pending_request::{PendingRequest, RequestState, UncertainAttempt};
use super::unloaded_latency::relative_duration;
use super::Scheduler;
use crate::types::{Ms, RouteDecision};

/// Divisor of the best priority weight that gives the least priority weight of a class exempt from
/// spacing. Guards against long requests that may wait long and earn little for the slots that they take.
const EXEMPT_WEIGHT_DIVISOR: f64 = 2.0;

/// Permissions of a node and of the retry budget at one moment.
struct DispatchConditions {
    accepts: bool,
    /// True if the node accepts requests that are exempt from spacing.
    accepts_exempt: bool,
    allows_retry: bool,
    best_priority_weight: f64,
}

impl Node {
    /// Returns whether the window, its spacing and the node's health permit sending a request now.
    pub(super) fn accepts_attempt(&self, now: Ms, exempt: bool) -> bool {
        !self.health.is_backing_off(now)
            && self.window.spacing_has_passed(now, &self.in_flight, exempt)
            && self.has_capacity(exempt)
            && !self.is_unresponsive(now)
    }
}

impl Scheduler {
    /// Returns the next request to send to a node: the first one in the queue that may be sent.
    pub(super) fn next_to_dispatch(&mut self, now: Ms, index: usize) -> Option<usize> {
        if self.endpoint_list_expired {
            return None;
        }
        let node = self.nodes.get(index).filter(|node| !node.queue.is_empty())?;
        let (accepts, accepts_exempt) = (node.accepts_attempt(now, false), node.accepts_attempt(now, true));
        if !accepts_exempt || !self.slow_start_allows(now, index) {
            return None;
        }
        let priority_weights = self.config.classes.iter().map(|class| class.priority_weight);
        let conditions = DispatchConditions {
            accepts,
            accepts_exempt,
            best_priority_weight: priority_weights.fold(0.0, f64::max),
            allows_retry: self.retry_budget_allows(now),
        };
        let scan = ScanConditions { now, accepts, allows_retry: conditions.allows_retry };
        let node = self.nodes.get(index).filter(|node| node.unsuccessful_scan != Some(scan))?;
        let first = node.queue.requests().find(|id| {
            self.requests.get(*id).is_some_and(|pending| self.may_leave(now, pending, index, &conditions))
        });
        if let (None, Some(node)) = (first, self.nodes.get_mut(index)) {
            node.unsuccessful_scan = Some(scan);
        }
        first
    }

    fn may_leave(
        &self,
        now: Ms,
        pending: &PendingRequest,
        node: usize,
        conditions: &DispatchConditions,
    ) -> bool {
        let priority_weight = self.config.classes[pending.request.class].priority_weight;
        let exempt = pending.tag.reserved
            && EXEMPT_WEIGHT_DIVISOR * priority_weight >= conditions.best_priority_weight;
        let has_slot = if exempt { conditions.accepts_exempt } else { conditions.accepts };
        has_slot
            && (conditions.allows_retry || pending.attempts == 0)
            && now < pending.expires_at
            && self.idempotency_allows(now, pending, node)
    }

    /// Sends a queued request that [`Scheduler::next_to_dispatch`] returned.
    pub(super) fn dispatch(&mut self, now: Ms, id: usize, node: usize) -> RouteDecision {
        self.batches += 1;
        self.start_attempt(now, id, node)
    }

    /// Sends a queued request in the batch of a request that was just sent, if only the order of tags
    /// prevents the queued request from being next, and its tag starts less than a frame after that of
    /// the first request. Keeps the bounds of fair queueing for any batch; may delay other volumes by
    /// the requests that the batch adds.
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

    /// Returns the node to which a request may be sent in the batch of another, regardless of the node's
    /// slow start.
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
            unloaded_latency: unloaded_latency * relative_duration(request.units, self.config.mean_units),
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
