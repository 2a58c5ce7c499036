//! The engine: requests in hand, ids, and the calls on the scheduler.

use crate::environment::{AttemptRef, Environment};
use crate::id_table::RecentIdTable;
use crate::node_table::NodeTable;
use crate::pending_request::RequestTable;
use magpiewick::{
    Action, AfterOutcome, Answer, Endpoint, EndpointUpdate, FinalStatus, GossipReport, Ms, Request,
    RouteDecision, Scheduler, SchedulerConfig,
};

/// Keys known at once; more than a host can have in hand.
const MAX_KEYS: usize = 100_000;
/// Volumes known at once. A volume that returns after that many others may share the token buckets of another, which
/// matters only where neither has been idle long enough for them to fill up.
const MAX_VOLUMES: usize = 20_000;

/// A request as it stands on a wire, before its ids are mapped.
pub struct IncomingRequest {
    /// The driver's id, never used again.
    pub id: u64,
    /// The driver's id of its key; 0 where it has none.
    pub key: u64,
    /// The driver's id of its volume.
    pub volume: u64,
    /// All else of it; the engine sets its volume and key.
    pub request: Request,
}

/// The requests of one host and the scheduler that decides on them.
pub struct Engine {
    scheduler: Scheduler,
    nodes: NodeTable,
    volumes: RecentIdTable,
    keys: RecentIdTable,
    requests: RequestTable,
    /// The batch that is about to be sent; empty between calls, kept for its allocation.
    batch: Vec<AttemptRef>,
}

impl Engine {
    /// An engine without requests and nodes.
    pub fn new(config: SchedulerConfig, now: Ms) -> Engine {
        Engine {
            scheduler: Scheduler::new(config, now),
            nodes: NodeTable::default(),
            volumes: RecentIdTable::new(MAX_VOLUMES),
            keys: RecentIdTable::new(MAX_KEYS),
            requests: RequestTable::default(),
            batch: Vec::new(),
        }
    }

    /// Requests without their final answer, and finished ones that still have an attempt in flight.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Whether the endpoint list may be relied on; while it may not, nothing new is sent.
    pub fn set_endpoint_list_expired(&mut self, expired: bool) {
        self.scheduler.set_endpoint_list_expired(expired);
    }

    /// An update of the endpoint list; `endpoints` are named by the driver's node ids.
    pub fn on_endpoint_update(&mut self, now: Ms, update: EndpointUpdate, endpoints: &[(u32, Endpoint)]) {
        let mut mapped = Vec::with_capacity(endpoints.len());
        for (id, endpoint) in endpoints {
            let node = self.nodes.index_of(*id);
            mapped.push(Endpoint { node, ..endpoint.clone() });
        }
        self.scheduler.on_endpoint_update(now, update, &mapped);
    }

    /// A new request: routes it, queues it or answers it.
    pub fn submit(&mut self, now: Ms, incoming: IncomingRequest, environment: &mut impl Environment) {
        let mut request = incoming.request;
        request.volume = self.volumes.index_of(incoming.volume);
        request.key = (incoming.key != 0).then(|| self.keys.index_of(incoming.key));
        let slot = self.requests.insert(incoming.id, request);
        self.route(now, slot, environment);
    }

    fn route(&mut self, now: Ms, slot: usize, environment: &mut impl Environment) {
        let Some(pending) = self.requests.get_mut(slot) else { return };
        match self.scheduler.route(now, slot, pending.request()) {
            RouteDecision::Send { node, timeout, send_by } => {
                self.batch.push(pending.begin_attempt(timeout, send_by));
                while let Some(other) = environment.next_coalesced(&self.batch) {
                    self.route_with(now, slot, other);
                }
                environment.send(self.nodes.id(node), &self.batch);
                self.batch.clear();
            }
            RouteDecision::Queue => {}
            RouteDecision::Finish(status) => self.answer(slot, status, environment),
        }
    }

    /// Asks the scheduler whether a request may join the batch of the one at `first`, which leaves now.
    fn route_with(&mut self, now: Ms, first: usize, other: u64) {
        let Some(slot) = self.requests.slot_of(other) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.request_mut().coalesce_with = Some(first);
        let decision = self.scheduler.route(now, slot, pending.request());
        if let RouteDecision::Send { timeout, send_by, .. } = decision {
            self.batch.push(pending.begin_attempt(timeout, send_by));
        }
        pending.request_mut().coalesce_with = None;
    }

    fn answer(&mut self, slot: usize, status: FinalStatus, environment: &mut impl Environment) {
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.finish();
        environment.answer(pending.id(), status, pending.reason());
        self.requests.release(slot);
    }

    /// Records the outcome of an attempt; `answer.request_finished` is set if the outcome finishes the request. The
    /// driver must report exactly one outcome for each attempt of [`Environment::send`].
    pub fn on_outcome(&mut self, now: Ms, id: u64, mut answer: Answer, environment: &mut impl Environment) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        answer.request_finished = pending.end_attempt(answer.outcome, answer.request_finished);
        match self.scheduler.on_outcome(now, slot, &answer) {
            AfterOutcome::Finish(status) => self.answer(slot, status, environment),
            AfterOutcome::Done | AfterOutcome::Retry => self.requests.release(slot),
        }
    }

    /// The host shuts down: a queued request gets its final answer now. One with an attempt in flight waits for the
    /// outcome.
    pub fn finish(&mut self, now: Ms, id: u64, environment: &mut impl Environment) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        if self.requests.get(slot).is_some_and(|pending| pending.is_queued()) {
            let status = self.scheduler.finish(now, slot);
            self.answer(slot, status, environment);
        }
    }

    /// The client disconnected or cancelled: no answer is due any more, but attempts in flight go on.
    pub fn on_client_disconnect(&mut self, now: Ms, id: u64) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        if !pending.is_finished() {
            pending.finish();
            self.scheduler.on_client_disconnect(now, slot);
            self.requests.release(slot);
        }
    }

    /// A message from another host. Reports on nodes that this host's list has not named are ignored.
    pub fn on_gossip(&mut self, now: Ms, from: usize, reports: &[(u16, GossipReport)]) {
        let resolved: Vec<GossipReport> =
            reports.iter().filter_map(|report| self.nodes.resolve(report)).collect();
        self.scheduler.on_gossip(now, from, &resolved);
    }

    /// The data of a request lies on another shard now.
    pub fn on_shard_moved(&mut self, now: Ms, id: u64, shard: usize) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.request_mut().shard = Some(shard);
        self.scheduler.on_shard_moved(now, slot, shard);
    }

    /// Does all that is due and schedules the next call.
    pub fn run(&mut self, now: Ms, environment: &mut impl Environment) {
        loop {
            match self.scheduler.next_action(now) {
                Action::Route(slot) => self.route(now, slot, environment),
                Action::CancelAttempt { request: slot, attempt } => {
                    if let Some(pending) = self.requests.get(slot).filter(|p| p.has_begun(attempt)) {
                        environment.cancel(pending.id(), attempt);
                    }
                }
                Action::CheckHealth(node) => environment.check_health(self.nodes.id(node)),
                Action::PollEndpoints => environment.poll_endpoints(),
                Action::SendGossip { to, reports } => {
                    let reports: Vec<(u16, GossipReport)> =
                        reports.iter().map(|report| self.nodes.tagged(report)).collect();
                    environment.send_gossip(&to, &reports);
                }
                Action::WaitUntil(until) => return environment.schedule_run(until),
            }
        }
    }
}
