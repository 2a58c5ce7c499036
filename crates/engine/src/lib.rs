//! The engine of one host: the requests in hand, the ids of a wire and the calls on the decision module.
//!
//! The engine is free of I/O and decides nothing. A driver calls it when something happened, with the time in
//! milliseconds on a clock that never runs back; the engine asks the module and calls the driver's [`Environment`]
//! for what is to be done. The bench's adapter and the gateway are two such drivers, so that the bench
//! measures the very code that serves.
//!
//! Ids of requests, nodes, volumes and keys are the driver's own; a request's id must never be used again.

mod indices;
mod stall_detector;

pub use stall_detector::StallDetector;

use indices::{Indices, Recent};
use magpiewick::{
    Action, AfterOutcome, Answer, Endpoint, EndpointUpdate, FinalStatus, GossipReport, Ms, Outcome, Request,
    RouteDecision, Scheduler, SchedulerConfig,
};
use std::collections::HashMap;

/// How many keys and volumes are known at once; more than a host can have in hand. A volume that comes back after so
/// many others finds its stores as another left them, which is as good as its own only where both have rested.
const KEYS: usize = 100_000;
const VOLUMES: usize = 20_000;

/// A request on its way to a node: the number of its attempt, counted from 0, within what time its outcome is owed
/// to the engine, and by when it must have left the host, if it has not yet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptRef {
    pub request_id: u64,
    pub attempt: u32,
    pub timeout: Ms,
    pub send_by: Ms,
}

/// What a driver does for the engine. None of these may call the engine back: what comes of them is told to the
/// desk afterwards.
pub trait Environment {
    /// Hands requests to a node, all of them as one. The outcome of each is owed to the engine by itself.
    fn send(&mut self, node: u32, attempts: &[AttemptRef]);
    /// A held request that may travel with those that are about to be sent; one that was named and is not the
    /// last of them at the next call was kept back. Nothing is sent together unless a driver says so here.
    fn next_coalesced(&mut self, _parts: &[AttemptRef]) -> Option<u64> {
        None
    }
    /// Stops the wait for an attempt. Its outcome is still owed: what is on the way, or `Cancelled`.
    fn cancel(&mut self, request: u64, attempt: u32);
    /// The one final answer that the host gives itself; a succeeded answer is the driver's to pass on.
    fn answer(&mut self, request: u64, ending: FinalStatus, reason: Reason);
    fn check_health(&mut self, node: u32);
    /// Asks for the endpoint list and its changes from now on.
    fn poll_endpoints(&mut self);
    /// Tells other hosts, by their numbers, what this one saw of nodes, by their tags. It may get lost.
    fn send_gossip(&mut self, _to: &[usize], _told: &[(u16, GossipReport)]) {}
    /// Calls [`Engine::run`] at this time at the latest. A later call takes the place of an earlier one.
    fn wake(&mut self, at: Ms);
}

/// Why a host ended a request itself: what its last attempt met, or that no place came free in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    Waited,
    After(Outcome),
}

impl Reason {
    /// The word that stands for it in logs, on the wire and in the operators' page.
    pub fn word(self) -> &'static str {
        match self {
            Reason::Waited => "waited",
            Reason::After(Outcome::Succeeded) => "settled",
            Reason::After(Outcome::Error) => "error",
            Reason::After(Outcome::Overloaded) => "full",
            Reason::After(Outcome::TimedOut) => "timed-out",
            Reason::After(Outcome::ConnectFailed) => "no-connection",
            Reason::After(Outcome::Reset) => "reset",
            Reason::After(Outcome::Cancelled) => "cancelled",
            Reason::After(Outcome::DeadlineExceeded) => "moot",
            Reason::After(Outcome::ShardMoved) => "moved",
        }
    }
}

/// A request as it stands on a wire, before its ids are mapped; `key` is 0 where it has none.
pub struct IncomingRequest {
    pub id: u64,
    pub key: u64,
    pub volume: u64,
    /// Its volume and key are set by the engine.
    pub request: Request,
}

struct PendingRequest {
    id: u64,
    request: Request,
    sent: u32,
    out: u32,
    over: bool,
    last: Option<Outcome>,
}

impl PendingRequest {
    fn begin_attempt(&mut self, timeout: Ms, send_by: Ms) -> AttemptRef {
        assert!(!self.over, "a hand-off of command {}, which is over", self.id);
        (self.sent, self.out) = (self.sent + 1, self.out + 1);
        AttemptRef { request_id: self.id, attempt: self.sent - 1, timeout, send_by }
    }
}

/// By what hosts name a node to each other: part of its id, scattered, as ids may differ in any bits.
fn tag(id: u32) -> u16 {
    (id.wrapping_mul(0x9e37_79b1) >> 16) as u16
}

pub struct Engine {
    scheduler: Scheduler,
    nodes: Indices,
    node_ids: Vec<u32>,
    /// By tag: the node, or none where several have it.
    tags: HashMap<u16, Option<usize>>,
    volumes: Recent,
    keys: Recent,
    by_id: HashMap<u64, usize>,
    requests: Vec<Option<PendingRequest>>,
    free: Vec<usize>,
    /// What is about to be sent; empty between calls.
    attempts: Vec<AttemptRef>,
}

impl Engine {
    pub fn new(start: SchedulerConfig, now: Ms) -> Engine {
        Engine {
            scheduler: Scheduler::new(start, now),
            nodes: Indices::default(),
            node_ids: Vec::new(),
            tags: HashMap::new(),
            volumes: Recent::new(VOLUMES),
            keys: Recent::new(KEYS),
            by_id: HashMap::new(),
            requests: Vec::new(),
            free: Vec::new(),
            attempts: Vec::new(),
        }
    }

    /// Requests without their final answer, and those that are over while an attempt is still out.
    pub fn pending(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the endpoint list may be relied on; while it may not, nothing new is sent.
    pub fn set_endpoint_list_expired(&mut self, expired: bool) {
        self.scheduler.set_endpoint_list_expired(expired);
    }

    /// EndpointUpdate of the list; `entries` name nodes by the wire's ids, which are mapped here.
    pub fn on_endpoint_update(&mut self, now: Ms, news: EndpointUpdate, entries: &[(u32, Endpoint)]) {
        let mut mapped = Vec::with_capacity(entries.len());
        for (id, entry) in entries {
            let node = self.nodes.of(*id);
            if node == self.node_ids.len() {
                self.node_ids.push(*id);
                self.tags.entry(tag(*id)).and_modify(|node| *node = None).or_insert(Some(node));
            }
            mapped.push(Endpoint { node, ..entry.clone() });
        }
        self.scheduler.on_endpoint_update(now, news, &mapped);
    }

    pub fn submit(&mut self, now: Ms, taken: IncomingRequest, environment: &mut impl Environment) {
        let mut request = taken.request;
        request.volume = self.volumes.of(taken.volume);
        request.key = (taken.key != 0).then(|| self.keys.of(taken.key));
        let slot = self.free.pop().unwrap_or(self.requests.len());
        if slot == self.requests.len() {
            self.requests.push(None);
        }
        let taken_before = self.by_id.insert(taken.id, slot);
        assert!(taken_before.is_none(), "command {} was taken twice", taken.id);
        self.requests[slot] =
            Some(PendingRequest { id: taken.id, request, sent: 0, out: 0, over: false, last: None });
        self.ask(now, slot, environment);
    }

    fn ask(&mut self, now: Ms, slot: usize, environment: &mut impl Environment) {
        let Some(c) = &mut self.requests[slot] else { return };
        match self.scheduler.route(now, slot, &c.request) {
            RouteDecision::Send { node, timeout, send_by } => {
                self.attempts.push(c.begin_attempt(timeout, send_by));
                while let Some(other) = environment.next_coalesced(&self.attempts) {
                    self.ask_with(now, slot, other);
                }
                environment.send(self.node_ids[node], &self.attempts);
                self.attempts.clear();
            }
            RouteDecision::Queue => {}
            RouteDecision::Finish(ending) => self.end(slot, ending, environment),
        }
    }

    /// Asks whether a request may leave with the one at `first`, which leaves now.
    fn ask_with(&mut self, now: Ms, first: usize, other: u64) {
        let Some(&slot) = self.by_id.get(&other) else { return };
        let Some(c) = &mut self.requests[slot] else { return };
        c.request.coalesce_with = Some(first);
        if let RouteDecision::Send { timeout, send_by, .. } = self.scheduler.route(now, slot, &c.request) {
            self.attempts.push(c.begin_attempt(timeout, send_by));
        }
        c.request.coalesce_with = None;
    }

    fn end(&mut self, slot: usize, ending: FinalStatus, environment: &mut impl Environment) {
        let Some(c) = &mut self.requests[slot] else { return };
        assert!(!c.over, "a second final answer for command {}", c.id);
        c.over = true;
        environment.answer(c.id, ending, c.last.map_or(Reason::Waited, Reason::After));
        self.release(slot);
    }

    fn release(&mut self, slot: usize) {
        if let Some(c) = self.requests[slot].take_if(|c| c.over && c.out == 0) {
            self.by_id.remove(&c.id);
            self.free.push(slot);
        }
    }

    /// The outcome of an attempt; `answer.request_over` says that the request is over with it. Exactly one is owed
    /// for each [`Environment::send`].
    pub fn on_outcome(&mut self, now: Ms, id: u64, mut answer: Answer, environment: &mut impl Environment) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.requests[slot] else { return };
        assert!(c.out > 0, "an outcome for command {id}, which has no hand-off out");
        c.out -= 1;
        c.over |= answer.request_over;
        c.last = Some(answer.outcome);
        answer.request_over = c.over;
        match self.scheduler.on_outcome(now, slot, &answer) {
            AfterOutcome::Finish(ending) => self.end(slot, ending, environment),
            AfterOutcome::Done | AfterOutcome::Retry => self.release(slot),
        }
    }

    /// The host ends: a request that is held gets its final answer now. One with an attempt out waits for the outcome.
    pub fn finish(&mut self, now: Ms, id: u64, environment: &mut impl Environment) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        if self.requests[slot].as_ref().is_some_and(|c| !c.over && c.out == 0) {
            let ending = self.scheduler.finish(now, slot);
            self.end(slot, ending, environment);
        }
    }

    /// The client has gone or gave up: nothing is owed any more, but attempts that are out go on.
    pub fn on_client_disconnect(&mut self, now: Ms, id: u64) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.requests[slot] else { return };
        if !c.over {
            c.over = true;
            self.scheduler.on_client_disconnect(now, slot);
            self.release(slot);
        }
    }

    /// What another host told. Nodes that the list has not named to this host are passed over.
    pub fn on_gossip(&mut self, now: Ms, from: usize, told: &[(u16, GossipReport)]) {
        let known =
            |(tag, t): &(u16, GossipReport)| Some(GossipReport { node: (*self.tags.get(tag)?)?, ..*t });
        let told: Vec<GossipReport> = told.iter().filter_map(known).collect();
        self.scheduler.on_gossip(now, from, &told);
    }

    /// The data of a request lies on another shard now.
    pub fn on_shard_moved(&mut self, now: Ms, id: u64, shard: usize) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let Some(c) = &mut self.requests[slot] else { return };
        c.request.shard = Some(shard);
        self.scheduler.on_shard_moved(now, slot, shard);
    }

    /// Does all that is due and says when to come again.
    pub fn run(&mut self, now: Ms, environment: &mut impl Environment) {
        loop {
            match self.scheduler.next_action(now) {
                Action::Route(slot) => self.ask(now, slot, environment),
                Action::CancelAttempt { request, attempt } => {
                    if let Some(c) = self.requests[request].as_ref().filter(|c| attempt < c.sent) {
                        environment.cancel(c.id, attempt);
                    }
                }
                Action::CheckHealth(node) => environment.check_health(self.node_ids[node]),
                Action::PollEndpoints => environment.poll_endpoints(),
                Action::SendGossip { to, reports: told } => {
                    let told: Vec<(u16, GossipReport)> =
                        told.iter().map(|t| (tag(self.node_ids[t.node]), *t)).collect();
                    environment.send_gossip(&to, &told);
                }
                Action::WaitUntil(until) => return environment.wake(until),
            }
        }
    }
}
