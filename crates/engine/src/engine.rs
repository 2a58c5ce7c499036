//! Engine: pending requests, their ids, and the calls to the scheduler.

use crate::environment::{AttemptRef, Environment};
use crate::id_table::RecentIdTable;
use crate::node_table::NodeTable;
use crate::pending_request::RequestTable;
use magpiewick::{
    Action, AfterOutcome, Answer, Endpoint, EndpointUpdate, FinalAnswer, GossipReport, Ms, Request,
    RouteDecision, Scheduler, SchedulerConfig,
};

/// Largest number of keys in use at a time; more than a host can have pending.
const MAX_KEYS: usize = 100_000;
/// Largest number of volumes in use at a time. A volume that is used again after that many others may share the
/// token buckets of another volume, which matters only where neither has been idle long enough for the buckets to
/// fill.
const MAX_VOLUMES: usize = 20_000;

/// Request as received on a wire, before its ids are mapped.
pub struct IncomingRequest {
    /// Driver's id of the request, which must not be reused.
    pub id: u64,
    /// Driver's id of the key; 0 for a request without a key.
    pub key: u64,
    /// Driver's id of the volume.
    pub volume: u64,
    /// Other properties of the request; the engine sets the volume and the key.
    pub request: Request,
}

/// Requests of one host and the scheduler that decides on them.
pub struct Engine {
    scheduler: Scheduler,
    nodes: NodeTable,
    volumes: RecentIdTable,
    keys: RecentIdTable,
    requests: RequestTable,
    /// Batch under construction; empty between calls and kept for its allocation.
    batch: Vec<AttemptRef>,
}

impl Engine {
    /// Creates an engine without requests and nodes, which may have up to 100,000 keys in use.
    pub fn new(config: SchedulerConfig, now: Ms) -> Engine {
        Engine::with_max_keys(config, now, MAX_KEYS)
    }

    /// Creates an engine without requests and nodes. `max_keys`: largest number of keys in use at a time, of which a
    /// client may choose ever new ones. The engine remembers up to twice as many.
    pub fn with_max_keys(config: SchedulerConfig, now: Ms, max_keys: usize) -> Engine {
        Engine {
            scheduler: Scheduler::new(config, now),
            nodes: NodeTable::default(),
            volumes: RecentIdTable::new(MAX_VOLUMES),
            keys: RecentIdTable::new(max_keys),
            requests: RequestTable::default(),
            batch: Vec::new(),
        }
    }

    /// Returns the approximate memory of the tables that have entries for names that clients choose.
    #[must_use]
    pub fn table_bytes(&self) -> usize {
        self.volumes.memory_bytes() + self.keys.memory_bytes() + self.scheduler.volume_state_bytes()
    }

    /// Returns the number of requests that have no final answer or still have an attempt in flight.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.requests.len()
    }

    /// Sets whether the endpoint list has expired; while the list is expired, no new attempt is sent.
    pub fn set_endpoint_list_expired(&mut self, expired: bool) {
        self.scheduler.set_endpoint_list_expired(expired);
    }

    /// Applies an update of the endpoint list; `endpoints` are named by the driver's node ids.
    pub fn on_endpoint_update(&mut self, now: Ms, update: EndpointUpdate, endpoints: &[(u32, Endpoint)]) {
        let mut mapped = Vec::with_capacity(endpoints.len());
        for (id, endpoint) in endpoints {
            let node = self.nodes.index_of(*id);
            mapped.push(Endpoint { node, ..endpoint.clone() });
        }
        self.scheduler.on_endpoint_update(now, update, &mapped);
    }

    /// Submits a new request: routes, queues or answers it.
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
                    self.route_coalesced(now, slot, other);
                }
                environment.send(self.nodes.id(node), &self.batch);
                self.batch.clear();
            }
            RouteDecision::Queue => {}
            RouteDecision::Finish(answer) => self.answer(slot, answer, environment),
        }
    }

    /// Adds a request to the batch of the one at `first`, which is sent now, if the scheduler permits this.
    fn route_coalesced(&mut self, now: Ms, first: usize, other: u64) {
        let Some(slot) = self.requests.slot_of(other) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.request_mut().coalesce_with = Some(first);
        let decision = self.scheduler.route(now, slot, pending.request());
        if let RouteDecision::Send { timeout, send_by, .. } = decision {
            self.batch.push(pending.begin_attempt(timeout, send_by));
        }
        pending.request_mut().coalesce_with = None;
    }

    fn answer(&mut self, slot: usize, answer: FinalAnswer, environment: &mut impl Environment) {
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.finish();
        environment.answer(pending.id(), answer, pending.reason());
        self.requests.release(slot);
    }

    /// Records the outcome of an attempt; `answer.request_finished` is set if the outcome finishes the request. The
    /// driver must report exactly one outcome for each attempt of [`Environment::send`].
    pub fn on_outcome(&mut self, now: Ms, id: u64, mut answer: Answer, environment: &mut impl Environment) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        answer.request_finished = pending.end_attempt(answer.outcome, answer.request_finished);
        match self.scheduler.on_outcome(now, slot, &answer) {
            AfterOutcome::Finish(final_answer) => self.answer(slot, final_answer, environment),
            AfterOutcome::Done | AfterOutcome::Retry => self.requests.release(slot),
        }
    }

    /// Ends a queued request with its final answer when the host shuts down. A request with an attempt in flight
    /// waits for the outcome.
    pub fn finish(&mut self, now: Ms, id: u64, environment: &mut impl Environment) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        if self.requests.get(slot).is_some_and(|pending| pending.is_queued()) {
            let answer = self.scheduler.finish(now, slot);
            self.answer(slot, answer, environment);
        }
    }

    /// Records that the client has disconnected or cancelled: no answer is sent, but attempts in flight continue.
    pub fn on_client_disconnect(&mut self, now: Ms, id: u64) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        if !pending.is_finished() {
            pending.finish();
            self.scheduler.on_client_disconnect(now, slot);
            self.requests.release(slot);
        }
    }

    /// Applies a message from another host. Reports on nodes that this host's list has not named are ignored.
    pub fn on_gossip(&mut self, now: Ms, from: usize, reports: &[(u16, GossipReport)]) {
        let resolved: Vec<GossipReport> =
            reports.iter().filter_map(|report| self.nodes.resolve(report)).collect();
        self.scheduler.on_gossip(now, from, &resolved);
    }

    /// Records that the data of a request has moved to another shard.
    pub fn on_shard_moved(&mut self, now: Ms, id: u64, shard: usize) {
        let Some(slot) = self.requests.slot_of(id) else { return };
        let Some(pending) = self.requests.get_mut(slot) else { return };
        pending.request_mut().shard = Some(shard);
        self.scheduler.on_shard_moved(now, slot, shard);
    }

    /// Carries out all due actions and schedules the next call.
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
                        reports.iter().map(|report| self.nodes.to_tagged(report)).collect();
                    environment.send_gossip(&to, &reports);
                }
                Action::WaitUntil(until) => return environment.schedule_run(until),
            }
        }
    }
}
