//! Scheduler of a host: all decisions on its requests. This file contains the state and the interface,
//! each other file one kind of decision.
//!
//! A caller uses [`Scheduler::route`] to find out where to send a request, [`Scheduler::on_outcome`] for
//! what to do after an outcome, and [`Scheduler::next_action`] for due actions, repeated until it returns
//! a time. The other methods are notifications. The mechanism and its differences from the paper are
//! described in `docs/design.md`.

mod admission;
mod concurrency_window;
mod dispatch;
mod endpoint_health;
mod endpoint_selection;
mod endpoint_updates;
mod expiry;
mod fair_queueing;
mod gossip;
mod in_flight;
mod node;
mod ordering;
mod pending_request;
mod queueing;
mod rate_limit;
mod retry_policy;
mod slow_start;
mod unloaded_latency;
mod unserved_cause;

use crate::random_source::RandomSource;
use crate::structures::{BlockedRequests, ExpiryQueue, KeyLocks};
use crate::types::*;
use admission::{ClientTimeouts, ReserveCoverage};
use endpoint_health::{LossEstimate, DOUBTFUL_AFTER, FIRST_BACKOFF};
use endpoint_updates::EndpointPolling;
use gossip::Gossip;
use node::Nodes;
use pending_request::{PendingRequests, RequestState};
use rate_limit::RateLimits;
use retry_policy::RetryCounts;
use slow_start::ShardThroughput;
use unloaded_latency::UnloadedLatency;

/// Longest waits until the next action: without a scheduled poll, with attempts in flight, and with
/// requests waiting.
const MAX_IDLE_WAIT: Ms = 1000.0;
const MAX_WAIT_IN_FLIGHT: Ms = 20.0;
const MAX_WAIT_PENDING: Ms = 5.0;
/// Time by which a timer may fire early, so that rounding delays no action.
const TIMER_TOLERANCE: Ms = 1e-6;

/// Scheduler of one host's requests.
pub struct Scheduler {
    config: SchedulerConfig,
    rng: RandomSource,
    started_at: Ms,
    /// Last number given to an arrival or a queue entry.
    sequence: u64,
    batches: u64,
    requests: PendingRequests,
    blocked: BlockedRequests,
    expiry: ExpiryQueue,
    nodes: Nodes,
    /// Number of attempts in flight at all nodes.
    in_flight: usize,
    key_locks: KeyLocks,
    rate_limits: RateLimits,
    reserves: ReserveCoverage,
    client_timeouts: ClientTimeouts,
    retries: RetryCounts,
    shard_throughput: ShardThroughput,
    latencies: UnloadedLatency,
    losses: LossEstimate,
    polling: EndpointPolling,
    endpoint_list_expired: bool,
    gossip: Gossip,
    /// Shortest latency objective of all classes.
    latency_objective: Ms,
    /// Floor of the window at a congested node.
    congested_floor: f64,
    /// Least weight of any flow.
    least_weight: f64,
}

impl Scheduler {
    /// Creates the scheduler of a host that starts now.
    pub fn new(config: SchedulerConfig, now: Ms) -> Scheduler {
        let objectives = config.classes.iter().map(|class| class.latency_objective);
        let latency_objective = objectives.fold(f64::INFINITY, f64::min);
        Scheduler {
            rng: RandomSource::new(config.seed),
            started_at: now,
            sequence: 0,
            batches: 0,
            requests: PendingRequests::default(),
            blocked: BlockedRequests::default(),
            expiry: ExpiryQueue::default(),
            nodes: Nodes::default(),
            in_flight: 0,
            key_locks: KeyLocks::default(),
            rate_limits: RateLimits::new(now),
            reserves: ReserveCoverage::default(),
            client_timeouts: ClientTimeouts::new(&config),
            retries: RetryCounts::new(config.budget.as_ref()),
            shard_throughput: ShardThroughput::default(),
            latencies: UnloadedLatency::new(&config, latency_objective),
            losses: LossEstimate::new(),
            polling: EndpointPolling::new(now, config.max_poll_interval),
            endpoint_list_expired: false,
            gossip: Gossip::new(now),
            latency_objective,
            congested_floor: concurrency_window::congested_floor(config.hosts),
            least_weight: fair_queueing::least_flow_weight(&config),
            config,
        }
    }

    /// Returns the approximate memory of the state that is kept by volume.
    pub fn volume_state_bytes(&self) -> usize {
        self.rate_limits.memory_bytes() + self.reserves.memory_bytes() + self.nodes.flow_bytes()
    }

    /// Decides where to send a request. Called when the request arrives, and each time
    /// [`Scheduler::next_action`] names it.
    pub fn route(&mut self, now: Ms, id: usize, request: &Request) -> RouteDecision {
        if let Some(first) = request.coalesce_with {
            return self.dispatch_coalesced(now, id, first);
        }
        if !self.requests.contains(id) {
            self.accept(now, id, request);
        }
        self.enqueue_if_allowed(now, id);
        let Some(state) = self.requests.get(id).map(|pending| pending.state) else {
            return RouteDecision::Queue;
        };
        match state {
            RequestState::Queued(node) if self.next_to_dispatch(now, node) == Some(id) => {
                self.dispatch(now, id, node)
            }
            RequestState::Queued(_) | RequestState::Blocked if self.is_objective_unreachable(now, id) => {
                RouteDecision::Finish(self.finish(now, id))
            }
            _ => RouteDecision::Queue,
        }
    }

    /// Records the outcome of an attempt and decides what to do next with its request.
    pub fn on_outcome(&mut self, now: Ms, id: usize, answer: &Answer) -> AfterOutcome {
        let Some(pending) = self.requests.get_mut(id) else { return AfterOutcome::Done };
        let (RequestState::InFlight(node) | RequestState::Finished(node)) = pending.state else {
            return AfterOutcome::Done;
        };
        let is_finished = answer.request_finished || matches!(pending.state, RequestState::Finished(_));
        let never_ran = answer.outcome.never_ran();
        let attempts = pending.attempts;
        pending.uncertain_attempt.take_if(|uncertain| never_ran && uncertain.number == attempts);
        self.reserves.drain(pending.request.volume, answer.remote_units);
        self.record_outcome(now, id, node, answer);
        self.start_quiet_period(now, id, answer.outcome);
        if is_finished {
            self.remove_request(now, id);
            return AfterOutcome::Done;
        }
        if let Some(pending) = self.requests.get_mut(id) {
            pending.state = RequestState::Blocked;
            pending.earliest_retry_at = if never_ran { now + FIRST_BACKOFF } else { now };
        }
        self.set_waiting(id, true);
        self.retry_or_finish(now, id, node)
    }

    /// Returns the next due action, or the time until which none is due.
    pub fn next_action(&mut self, now: Ms) -> Action {
        if let Some(cancellation) = self.next_cancellation(now) {
            return cancellation;
        }
        if self.polling.take_due(now) {
            return Action::PollEndpoints;
        }
        if let Some(id) = self.next_dispatchable(now).or_else(|| self.next_expired(now)) {
            return Action::Route(id);
        }
        match self.config.host_number {
            Some(own_number) if self.has_gossip_to_send() && now >= self.gossip.next_at() => {
                self.send_gossip(now, own_number)
            }
            _ => Action::WaitUntil(self.next_wakeup(now)),
        }
    }

    /// Enqueues all requests that may be queued now, and returns the next request to send.
    fn next_dispatchable(&mut self, now: Ms) -> Option<usize> {
        self.enqueue_allowed(now);
        while self.place_request_without_shard(now) {}
        let nodes = self.nodes.dispatchable();
        nodes.into_iter().find_map(|node| self.next_to_dispatch(now, node))
    }

    fn has_gossip_to_send(&self) -> bool {
        self.gossip.has_unreported() || self.in_flight > 0 || self.expiry.has_checks()
    }

    fn next_wakeup(&self, now: Ms) -> Ms {
        let mut until = self.polling.next_at().unwrap_or(now + MAX_IDLE_WAIT);
        if self.config.host_number.is_some() && self.has_gossip_to_send() {
            until = until.min(self.gossip.next_at());
        }
        if self.in_flight > 0 {
            until = until.min(now + MAX_WAIT_IN_FLIGHT);
        }
        if self.expiry.has_checks() {
            until = until.min(now + MAX_WAIT_PENDING);
        }
        until
    }

    /// Applies the reports of another host on nodes.
    pub fn on_gossip(&mut self, now: Ms, from: usize, reports: &[GossipReport]) {
        self.receive_gossip(now, from, reports);
    }

    /// Sets whether the endpoint list has expired. While the list is expired, a listed node may be
    /// draining or removed, so no new attempt is sent: requests wait for a new list until they expire.
    /// Guards against attempts to nodes that other components already treat as draining or removed; the
    /// cost is that a host that cannot reach a running discovery service serves nothing.
    pub fn set_endpoint_list_expired(&mut self, expired: bool) {
        self.endpoint_list_expired = expired;
    }

    /// Applies the endpoint list, or the changes in it.
    pub fn on_endpoint_update(&mut self, now: Ms, update: EndpointUpdate, endpoints: &[Endpoint]) {
        self.apply_endpoint_update(now, update, endpoints);
    }

    /// Records that the client has disconnected, so that its request needs no answer.
    pub fn on_client_disconnect(&mut self, now: Ms, id: usize) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        match pending.state {
            RequestState::InFlight(index) => {
                pending.state = RequestState::Finished(index);
                if let Some(node) = self.nodes.get_mut(index) {
                    node.in_flight.abandon(id, DOUBTFUL_AFTER);
                }
                self.nodes.refresh(index);
            }
            RequestState::Finished(_) => {}
            RequestState::Blocked | RequestState::Queued(_) => _ = self.finish(now, id),
        }
    }

    /// Records that the data of a request has moved to another shard. A request that is not in flight
    /// moves to the new shard before it is sent, and its tag is released; an attempt in flight completes
    /// where it is. Guards against attempts at nodes that no longer hold the data, whichever component
    /// moved it; a wrong notification costs one attempt.
    pub fn on_shard_moved(&mut self, now: Ms, id: usize, shard: usize) {
        let Some(pending) = self.requests.get(id) else { return };
        let is_in_flight = pending.is_in_flight();
        self.dequeue(id);
        self.unblock(id);
        self.set_waiting(id, false);
        if let Some(pending) = self.requests.get_mut(id) {
            pending.request.shard = Some(shard);
            pending.earliest_retry_at = now.min(pending.earliest_retry_at);
        }
        self.set_waiting(id, !is_in_flight);
    }

    /// Returns the final answer of a request that has no attempt in flight, and removes the request.
    pub fn finish(&mut self, now: Ms, id: usize) -> FinalAnswer {
        self.reject_or_fail(now, id)
    }
}
