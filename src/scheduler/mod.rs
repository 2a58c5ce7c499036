//! Every decision of a host. A caller asks through `place` (where to send this request), `after` (what to do
//! after this outcome) and `wait` (how long to wait, repeated until it names a time); `listed` and
//! `given_up` are notes that return nothing. The types of the interface are in `types.rs`, the mechanism
//! and its departures in `docs/design.md`.

use crate::backoff::Backoff;
use crate::queues::*;
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet};

/// The window of attempts out at one node: the design's floor and start, and its ceiling.
const FLOOR: f64 = 4.0;
const CEILING: f64 = 32.0;
/// Departures for hosts that hear nothing of others, while the wait at a node is over these parts of what the
/// shortest latency objective leaves: the window falls to one, and on until all hosts' windows together are at the
/// floor. Under one it widens by this and doubles.
const TIGHT: f64 = 0.1;
const JAMMED: f64 = 0.2;
const JAM_STEP: f64 = 0.05;
/// What a class takes where nothing waits is no more than this part of its latency objective: a guard against nodes
/// that were never seen idle.
const UNLOADED: f64 = 0.25;
/// How far what the reserve covers may go over the window where hosts hear what others have out.
const SPARED: f64 = 2.0;
/// How much more than its priority weight a volume's reserve counts.
const IN_RESERVE: f64 = 4.0;
/// Waits, in typical latencies of the fastest class, at which the window widens and narrows, and by how much.
const NEAR_BEST: f64 = 0.5;
const FAR_FROM_BEST: f64 = 1.5;
const NARROWING: f64 = 0.1;
/// How much one answer moves the smoothed latency, and at most where the last one is much older than this.
const SMOOTHING: f64 = 0.15;
const MOST_SMOOTHING: f64 = 0.5;
const STALE: Ms = 1000.0;
/// Buckets for a class's latencies (typical is the lowest mean of three or more) and a node's succeeded units.
const SLOT: Ms = 1000.0;
const SLOTS: usize = 12;
/// A volume counts into the weights at a node for this long after its last request there.
const SEEN: Ms = 2000.0;
/// A node that answers nothing for a latency objective, and for this multiple of its latency, is silent. An attempt
/// that this many later answers have passed takes no place, fewer where more than this part proves lost, and
/// is lost when it is out for this multiple of its usual time.
const PATIENCE_TIMES: f64 = 4.0;
const PASSED: u32 = 8;
const DOUBTED: u32 = 4;
const LOSSY: f64 = 0.05;
const LOST_TIMES: f64 = 3.0;
/// Waits between tries at a silent or refusing node: the first, doubled up to the last.
const FIRST_REST: Ms = 50.0;
const LAST_REST: Ms = 1600.0;
/// The longest wait after a failed call for the list, as a part of the time that a host may go without asking.
const LONGEST_ASK_REST: f64 = 0.1;
/// How long a host sleeps at most while it holds requests that nothing else would wake it for.
const NAP: Ms = 5.0;
/// The part of a class's and plan's requests with their longest client timeout from which shorter ones mean later
/// tries, and how much of what was counted stays with each request.
const USUAL: f64 = 0.1;
const RECENT: f64 = 0.995;
/// How often a host tells others, how much more rarely while nothing waits, how many, for how many turns.
const TELL_EVERY: Ms = 100.0;
const CALM: f64 = 2.0;
const TOLD: usize = 48;
const KEPT: f64 = 2.5;
/// Parts into which the windows of the rules are cut; a window counts one part more, to the safe side.
const PARTS: usize = 20;
/// By how much sooner than its time something is looked at, so that rounding makes nothing late.
const SOONER: Ms = 1e-6;

impl Node {
    fn reset_if_idle(&mut self) {
        if self.line.is_empty() && self.out.is_empty() {
            self.flows.values_mut().for_each(|f| f.last_finish = 0.0);
            self.counters.clear();
            (self.potential, self.frame, self.frame_units) = (0.0, 0, 0.0);
        }
    }

    /// A place for a request that is spared rests, as its volume's reserve covers it, or for another.
    fn has_place(&self, now: Ms, reserved: bool) -> bool {
        let free = reserved && (self.hears || self.expected() + self.base <= self.latency_objective);
        let parts = if self.hears { self.turn * (self.rivals + 1.0) } else { 1.0 };
        let alone = if self.hears { self.rivals == 0.0 } else { self.window >= 1.0 };
        let rested = free || alone || now >= self.sent + parts * (self.wait + self.base) / self.window;
        now >= self.rests_until && rested && self.has_room(reserved) && !self.silent(now)
    }

    fn crowded(&self) -> bool {
        self.places() + self.others >= self.window - 1.0
    }

    /// How long an attempt that is sent now is to wait: no more than what is out there takes, where hosts
    /// hear of all of it. Guards against an old jam that rules until the next answer.
    fn expected(&self) -> Ms {
        if self.hears {
            return self.wait.min((self.places() + self.others) * self.base);
        }
        self.wait
    }

    fn has_room(&self, spared: bool) -> bool {
        let most = self.window.max(1.0) * if spared && self.hears { SPARED } else { 1.0 };
        self.entry.state == EndpointState::Ready && self.places() + self.others < most
    }

    fn set_back(&mut self, now: Ms, least: f64, part: f64) {
        self.window = (self.window * part).max(least);
        if now >= self.rests_until {
            self.rests_until = now + self.rest;
            self.rest = (self.rest * 2.0).min(LAST_REST);
        }
    }

    /// What an answer says of the node, a host's own or a peer's: its latency at the mean size.
    fn learn(&mut self, now: Ms, over: Ms, crowded: bool, b: &Bounds) {
        let stale = 1.0 - (-(now - self.answered).min(1e6) / STALE).exp();
        self.wait += SMOOTHING.max(MOST_SMOOTHING * stale) * (over - self.wait);
        (self.base, self.enough) = (b.best, b.enough);
        if self.wait > TIGHT * b.room {
            let floor = match self.wait > JAMMED * b.room {
                _ if self.hears => FLOOR,
                true => b.jam_floor,
                false => self.window.min(1.0),
            };
            self.window = (self.window * (1.0 - NARROWING)).max(floor);
        } else if self.wait > FAR_FROM_BEST * b.best && self.window > FLOOR {
            self.window = (self.window * (1.0 - NARROWING)).max(FLOOR);
        } else if self.window < 1.0 {
            self.window = (2.0 * self.window + JAM_STEP).min(1.0);
        } else if crowded && (self.wait < NEAR_BEST * b.best || self.window < FLOOR) {
            self.window = (self.window + 1.0 / self.window).min(CEILING);
        }
    }

    /// A time after which most attempts like this are answered.
    fn usual_time(&self, out: &InFlightAttempt) -> Ms {
        LOST_TIMES * (self.wait + out.own)
    }

    fn overdue(&self, now: Ms, out: &InFlightAttempt, since: Ms) -> bool {
        now - since > out.patience.max(PATIENCE_TIMES * (self.wait + self.base))
    }

    fn silent(&self, now: Ms) -> bool {
        self.out.first().is_some_and(|o| self.overdue(now, o, o.at.max(self.answered)))
    }
}

/// What a volume's service pays: its reserve in full, its share by weight at the share's part.
fn weight(s: &SchedulerConfig, class: usize, plan: usize, reserved: bool) -> f64 {
    let rates: f64 = s.plans.iter().map(|p| p.rate).sum();
    let weights: f64 = s.plans.iter().map(|p| p.weight).sum();
    let p = &s.plans[plan];
    let share = s.share_weight * p.weight * rates / weights.max(1e-9);
    let part = if reserved && p.reserve > 0.0 { IN_RESERVE * p.reserve } else { share };
    (p.price * s.classes[class].priority_weight * part).max(1e-6)
}

#[derive(Default)]
pub struct Scheduler {
    start: SchedulerConfig,
    rng: RandomSource,
    born: Ms,
    turns: u64,
    batches: u64,
    held: Vec<Option<PendingRequest>>,
    outside: BlockedRequests,
    /// Requests that are not out.
    waiting: ExpiryQueue,
    nodes: Vec<Option<Node>>,
    /// The nodes of each shard; those with a free place in their window; those of them with a line.
    shards: BTreeMap<usize, Vec<usize>>,
    roomy: BTreeSet<usize>,
    able: BTreeSet<usize>,
    /// When the first attempt at a node may be overdue; how many are out in all.
    checks: TimerQueue<usize>,
    outs: usize,
    keys: KeyLocks,
    stores: BTreeMap<usize, TokenBucket>,
    dues: BTreeMap<usize, TokenBucket>,
    /// By class and plan: the longest client timeout met, how many requests had it lately and how many any.
    limits: Vec<(Ms, f64, f64)>,
    /// By shard: what its node succeeded for this host a millisecond, when it was last seen warm.
    usual: BTreeMap<usize, f64>,
    taken: RollingWindow,
    further: RollingWindow,
    ask_at: Option<Ms>,
    ask_backoff: Backoff,
    /// The list may not be relied on: nothing new is sent.
    list_expired: bool,
    bounds: Bounds,
    /// By class: latencies at the mean size of all nodes; the typical one is the lowest mean.
    typical: Vec<RollingWindow>,
    /// By node: answers since the last word to peers and the sum of their latencies; when the next is due.
    gathered: BTreeMap<usize, (u32, Ms)>,
    tell_at: Ms,
    /// The last word named nodes, so that one is owed that tells of their end.
    telling: bool,
    peers: GossipState,
    hears: bool,
    /// The shortest of all classes.
    latency_objective: Ms,
    /// The smallest weight that any volume can have.
    least: f64,
}

impl Scheduler {
    pub fn new(start: SchedulerConfig, now: Ms) -> Scheduler {
        let window = start.budget.as_ref().map_or(1000.0, |b| b.window) / PARTS as f64;
        let (classes, plans) = (start.classes.len(), start.plans.len());
        let weights =
            (0..2 * classes * plans).map(|i| weight(&start, i / 2 / plans, i / 2 % plans, i % 2 > 0));
        let latency_objective =
            start.classes.iter().map(|b| b.latency_objective).fold(f64::INFINITY, f64::min);
        Scheduler {
            rng: RandomSource::new(start.seed),
            born: now,
            limits: vec![(0.0, 0.0, 0.0); classes * plans.max(1)],
            taken: RollingWindow::new(window, PARTS),
            further: RollingWindow::new(window, PARTS),
            ask_at: start.max_poll_interval.map(|_| now),
            ask_backoff: Backoff::new(FIRST_REST, LONGEST_ASK_REST * start.max_poll_interval.unwrap_or(0.0)),
            bounds: Bounds {
                enough: PASSED,
                jam_floor: (FLOOR / start.hosts).min(1.0),
                typical: vec![0.0; classes],
                room: latency_objective,
                ..Bounds::default()
            },
            typical: start.classes.iter().map(|_| RollingWindow::new(SLOT, SLOTS)).collect(),
            tell_at: now,
            latency_objective,
            least: weights.fold(f64::INFINITY, f64::min),
            start,
            ..Scheduler::default()
        }
    }

    /// RouteDecision to send this request: asked when it is taken, and each time `wait` names it.
    pub fn route(&mut self, now: Ms, id: usize, cmd: &Request) -> RouteDecision {
        if let Some(first) = cmd.with {
            return self.ride(now, id, first);
        }
        if self.held.len() <= id {
            self.held.resize_with(id + 1, || None);
        }
        if self.held[id].is_none() {
            self.take(now, id, cmd);
        }
        self.line_up(now, id);
        match self.held[id].as_ref().map(|h| (h.state, self.hopeless(now, id))) {
            Some((RequestState::Queued(node), _)) if self.next_of(now, node) == Some(id) => {
                self.send(now, id, node, false)
            }
            Some((RequestState::Queued(_) | RequestState::Blocked, true)) => {
                RouteDecision::Finish(self.finish(now, id))
            }
            _ => RouteDecision::Queue,
        }
    }

    /// What to do after this outcome of an attempt; `over` says that the request is over with it or was.
    pub fn on_outcome(&mut self, now: Ms, id: usize, answer: &Answer) -> AfterOutcome {
        let outcome = answer.outcome;
        let Some(Some(h)) = self.held.get_mut(id) else { return AfterOutcome::Done };
        let (RequestState::InFlight(node) | RequestState::Finished(node)) = h.state else {
            return AfterOutcome::Done;
        };
        let ended = answer.over || matches!(h.state, RequestState::Finished(_));
        if let Some(due) = self.dues.get_mut(&h.cmd.volume) {
            due.units = (due.units - answer.others).max(0.0);
        }
        if outcome.never_ran() && h.may_have_run.is_some_and(|(number, ..)| number == h.attempts) {
            h.may_have_run = None;
        }
        self.judge(now, id, node, answer);
        let Some(Some(h)) = self.held.get_mut(id) else { return AfterOutcome::Done };
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let key = h.cmd.key.filter(|_| self.start.classes[h.cmd.class].ordered);
            let until = now + self.start.ordering_quiet_period + self.start.round;
            key.into_iter().for_each(|key| self.keys.rest(key, until));
        }
        if ended {
            self.forget(now, id);
            return AfterOutcome::Done;
        }
        h.state = RequestState::Blocked;
        h.not_before = if outcome.never_ran() { now + FIRST_REST } else { now };
        self.waits(id, true);
        let may = self.held[id].as_ref().is_some_and(|h| {
            let fits = self.repeats_fit(now, h, h.may_have_run.map_or(node, |m| m.2));
            fits && h.attempts < self.start.max_attempts && !self.hopeless(now, id)
        });
        if may && self.budget_has_room(now) {
            return AfterOutcome::Retry;
        }
        AfterOutcome::Finish(self.finish(now, id))
    }

    /// What is due, or until when nothing is.
    pub fn next_action(&mut self, now: Ms) -> Action {
        if let Some(cancel) = self.next_cancel(now) {
            return cancel;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            // An answer that never comes is asked for again before the host counts as told of an old list.
            self.ask_at = self.start.max_poll_interval.map(|within| now + 0.4 * within);
            return Action::PollEndpoints;
        }
        self.outside.wake_due(now + SOONER);
        while let Some((_, id)) = self.outside.look.pop_first() {
            self.line_up(now, id);
        }
        while self.draw_open(now) {}
        let able: Vec<usize> = self.able.iter().copied().collect();
        if let Some(id) = able.into_iter().find_map(|node| self.next_of(now, node)) {
            return Action::Route(id);
        }
        let late: Vec<Option<usize>> = self.waiting.late.due(now + SOONER).collect();
        for shard in late {
            while let Some(id) = self.waiting.first(shard).filter(|id| self.hopeless(now, *id)) {
                self.waits(id, false);
                self.doom(id);
            }
        }
        while let Some(id) = self.waiting.first_doomed() {
            if self.hopeless(now, id) {
                return Action::Route(id);
            }
            self.waits(id, true);
        }
        let waits = !self.waiting.late.is_empty();
        let telling = self.telling || self.outs > 0 || waits || !self.gathered.is_empty();
        if let Some(peer) = self.start.peer.filter(|_| telling && now >= self.tell_at) {
            return self.tell(now, peer);
        }
        let mut until = self.ask_at.unwrap_or(now + 1000.0);
        if telling && self.start.peer.is_some() {
            until = until.min(self.tell_at);
        }
        if self.outs > 0 {
            until = until.min(now + 4.0 * NAP);
        }
        if waits {
            until = until.min(now + NAP);
        }
        Action::WaitUntil(until)
    }

    /// Tells some peers, at random, what this host has out at each node and what came in since the last time.
    fn tell(&mut self, now: Ms, peer: usize) -> Action {
        let nodes = self.peers.lapse(now - KEPT * TELL_EVERY * (self.start.hosts / TOLD as f64).max(1.0));
        self.set_others(&nodes);
        let mut gathered = std::mem::take(&mut self.gathered);
        let told = self.nodes.iter().flatten().map(|n| {
            let (node, out, waits) = (n.entry.node, n.places() as u32, !n.line.is_empty());
            let (answers, all) = gathered.remove(&node).unwrap_or_default();
            GossipReport { node, out, waits, answers, wait: all / f64::from(answers.max(1)) }
        });
        let told: Vec<GossipReport> = told.filter(|t| t.out + t.answers > 0 || t.waits).collect();
        let mut to: Vec<usize> = (0..self.start.hosts as usize).filter(|&other| other != peer).collect();
        while to.len() > TOLD {
            let out = self.rng.below(to.len());
            to.swap_remove(out);
        }
        self.telling = !told.is_empty();
        let calm = told.iter().all(|t| !t.waits);
        self.tell_at = now + TELL_EVERY * if calm { CALM } else { 1.0 };
        Action::SendGossip { to, told }
    }

    /// What another host tells of nodes. It moves what is known of a node that this host's list has named, as
    /// own answers do; nothing rests on its coming, and it may come late, twice or never.
    pub fn on_gossip(&mut self, now: Ms, from: usize, told: &[GossipReport]) {
        if from as f64 >= self.start.hosts {
            return;
        }
        let nodes = self.peers.tells(now, from, told);
        self.set_others(&nodes);
        for t in told {
            let Some(Some(n)) = self.nodes.get_mut(t.node) else { continue };
            let crowded = n.crowded();
            // An answer that comes was sent a wait before: what left here earlier has been passed by it.
            let sent = now - t.wait - n.base - TELL_EVERY;
            n.out.iter_mut().filter(|o| o.at < sent).for_each(|o| o.passed += t.answers);
            for _ in 0..t.answers {
                n.learn(now, t.wait, crowded, &self.bounds);
                n.answered = now;
            }
            let shard = n.entry.shard;
            self.set_late(Some(shard));
        }
    }

    /// Brings what is known of others' attempts at nodes up to date. Hosts that begin to hear keep the floor
    /// of all together from then on.
    fn set_others(&mut self, nodes: &[usize]) {
        let hears = !self.peers.is_empty();
        let turned = self.hears != hears;
        self.hears = hears;
        for n in self.nodes.iter_mut().flatten().filter(|_| turned) {
            n.hears = hears;
            n.window = n.window.max(if hears { FLOOR } else { 0.0 });
        }
        for &node in nodes {
            if let Some(Some(n)) = self.nodes.get_mut(node) {
                (n.others, n.rivals) = self.peers.at(node);
                self.touch(node);
            }
        }
    }

    /// The next attempt to cancel: its client has gone, or its answer is not to be hoped for. The latter
    /// guards the places of a window against answers that get lost and nodes that take work and answer
    /// nothing, whatever the cause; it could harm where single requests take many times the usual work.
    fn next_cancel(&mut self, now: Ms) -> Option<Action> {
        let due = self.checks.due(now + SOONER);
        let mut overdue: Vec<usize> = due.filter(|_| self.start.can_cancel).collect();
        overdue.sort_unstable();
        for node in overdue {
            let Some(n) = &mut self.nodes[node] else { continue };
            let silent = n.silent(now);
            let lost = |n: &Node, o: &InFlightAttempt| {
                silent && n.overdue(now, o, o.at) || o.passed >= n.enough && now - o.at > n.usual_time(o)
            };
            let due = n.out.iter().position(|o| !o.cancelled && lost(n, o));
            if let Some(o) = due.map(|i| &mut n.out[i]) {
                o.cancelled = true;
                let (request, attempt) = (o.id, o.attempt);
                self.touch(node);
                return Some(Action::CancelAttempt { request, attempt });
            }
        }
        None
    }

    /// Brings what is known of a node's places and of its overdue attempts up to date.
    fn touch(&mut self, node: usize) {
        let n = self.nodes[node].as_ref();
        let room = n.is_some_and(|n| n.has_room(true));
        let able = room && n.is_some_and(|n| !n.line.is_empty());
        for (set, is) in [(&mut self.roomy, room), (&mut self.able, able)] {
            _ = if is { set.insert(node) } else { set.remove(&node) };
        }
        let open =
            n.into_iter().flat_map(|n| n.out.iter().filter(|o| !o.cancelled).map(|o| o.at + n.usual_time(o)));
        self.checks.set(node, open.min_by(f64::total_cmp));
    }

    /// Has a request that waits outside looked at anew.
    fn wake(&mut self, id: usize) {
        let Some(h) = self.held[id].as_ref().filter(|h| h.state == RequestState::Blocked) else { return };
        self.outside.wake(h.turn, id, h.cmd.shard.is_none());
    }

    /// Has all that wait outside for a shard looked at anew.
    fn wake_shard(&mut self, shard: usize) {
        self.waiting.of(shard).into_iter().for_each(|id| self.wake(id));
    }

    fn waits(&mut self, id: usize, waits: bool) {
        let Some((shard, late_at)) = self.held[id].as_ref().map(|h| (h.cmd.shard, h.late_at)) else { return };
        self.waiting.set(shard, late_at, id, waits);
        self.set_late(shard);
        if waits {
            self.wake(id);
        }
    }

    /// Notes a request, which waits no longer, as hopeless, at the place where it stands.
    fn doom(&mut self, id: usize) {
        let Some(h) = &self.held[id] else { return };
        let lined = if let RequestState::Queued(node) = h.state { Some((node + 1, h.joined)) } else { None };
        self.waiting.doom(id, lined.unwrap_or((0, h.turn)));
    }

    fn set_late(&mut self, shard: Option<usize>) {
        let first = self.waiting.first(shard).and_then(|id| self.held[id].as_ref());
        self.waiting.late.set(shard, first.map(|h| h.late_at - self.latency(h)));
    }

    /// Whether the endpoint list may be relied on. While it may not, a node that takes a request may be one that
    /// drains or has gone, so nothing new is sent anywhere: requests wait for a list, and end when their time does.
    /// Guards against sends that others know to be wrong; it costs all service of a host that hears nothing of a
    /// service which is up.
    pub fn set_endpoint_list_expired(&mut self, expired: bool) {
        self.list_expired = expired;
    }

    /// The endpoint list, or what changed in it.
    pub fn on_endpoint_update(&mut self, now: Ms, news: EndpointUpdate, entries: &[Endpoint]) {
        if news == EndpointUpdate::PollFailed {
            // Asked again within a small part of the time that it may go without, as news count as told all the
            // same, but not in step with other hosts: the list's service has a fixed capacity.
            let rest = self.ask_backoff.failed(&mut self.rng);
            self.ask_at = self.start.max_poll_interval.map(|_| now + rest);
            return;
        }
        if news != EndpointUpdate::Restored {
            self.ask_backoff.reset();
            // A watch that broke unnoticed would leave the host with an old list.
            self.ask_at = self.start.max_poll_interval.map(|within| now + 0.8 * within);
        }
        let named: BTreeSet<usize> = entries.iter().map(|e| e.node).collect();
        let gone = |n: &Node| news != EndpointUpdate::Delta && !named.contains(&n.entry.node);
        for node in self.nodes.iter_mut().flatten().filter(|n| gone(n)) {
            node.entry.state = EndpointState::Removed;
        }
        let warm = self.start.slow_start_duration;
        for n in self.nodes.iter_mut().flatten().filter(|n| n.entry.state == EndpointState::Ready) {
            if n.entry.started_at.is_none_or(|at| now >= at + warm) {
                self.usual.insert(n.entry.shard, n.served.sum(now, false) / SLOT / SLOTS as f64);
            }
        }
        for entry in entries {
            if self.nodes.len() <= entry.node {
                self.nodes.resize_with(entry.node + 1, || None);
            }
            let node = self.nodes[entry.node].get_or_insert_with(|| Node {
                window: FLOOR,
                latency_objective: self.latency_objective,
                served: RollingWindow::new(SLOT, SLOTS),
                rest: FIRST_REST,
                enough: PASSED,
                hears: self.hears,
                ..Node::default()
            });
            if node.entry.started_at != entry.started_at {
                (node.window, node.rests_until) = (FLOOR, now);
                // Spreads the hosts' first requests; a host that has just started may have spent its own.
                let spread = self.rng.fraction();
                let old = f64::from(now - self.born >= self.start.overload_window);
                (node.credit, node.credited) = (self.start.mean_units * spread * old, now);
            }
            node.entry = entry.clone();
        }
        // Requests lined at a node that drains or went wait for the node that takes its shard.
        let unusable = self.nodes.iter().flatten().filter(|n| n.entry.state != EndpointState::Ready);
        let moved: Vec<usize> = unusable.flat_map(|n| n.line.iter().map(|l| l.2)).collect();
        moved.into_iter().for_each(|id| self.unline(id));
        let over = |n: &mut Node| n.entry.state == EndpointState::Removed && n.out.is_empty();
        self.nodes.iter_mut().for_each(|n| _ = n.take_if(over));
        self.shards.clear();
        for n in self.nodes.iter().flatten() {
            self.shards.entry(n.entry.shard).or_default().push(n.entry.node);
        }
        (0..self.nodes.len()).for_each(|node| self.touch(node));
        for shard in self.waiting.shards() {
            self.set_late(shard);
            shard.into_iter().for_each(|shard| self.wake_shard(shard));
        }
    }

    /// The client has gone: nothing is owed any more.
    pub fn on_client_disconnect(&mut self, now: Ms, id: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        match h.state {
            RequestState::InFlight(node) => {
                h.state = RequestState::Finished(node);
                let out = self.nodes[node].iter_mut().flat_map(|n| &mut n.out);
                out.filter(|o| o.id == id).for_each(|o| (o.at, o.passed) = (f64::NEG_INFINITY, PASSED));
                self.touch(node);
            }
            RequestState::Finished(_) => {}
            _ => _ = self.finish(now, id),
        }
    }

    /// The data of a held request lies on another shard now: what waits follows it before it is sent, its tag
    /// given back; what is out ends where it is. Guards against attempts spent on nodes that do not hold the
    /// data, whoever moved it; it could harm where news of moves is wrong: an attempt each.
    pub fn on_shard_moved(&mut self, now: Ms, id: usize, shard: usize) {
        let Some(Some(h)) = self.held.get(id) else { return };
        let out = matches!(h.state, RequestState::InFlight(_) | RequestState::Finished(_));
        self.unline(id);
        self.sleep(id);
        self.waits(id, false);
        if let Some(Some(h)) = self.held.get_mut(id) {
            (h.cmd.shard, h.not_before) = (Some(shard), now.min(h.not_before));
        }
        self.waits(id, !out);
    }

    fn take(&mut self, now: Ms, id: usize, cmd: &Request) {
        self.taken.add(now, cmd.counts);
        self.turns += 1;
        // A client's later try, or one that waited for a stalled host, comes with less than the longest time
        // limit. RouteDecision limits are of many lengths that is no sign.
        let class = &self.start.classes[cmd.class];
        let (longest, usual, all) = &mut self.limits[cmd.class * self.start.plans.len().max(1) + cmd.plan];
        if cmd.client_timeout > *longest + 1.0 {
            (*longest, *usual, *all) = (cmd.client_timeout, 0.0, 0.0);
        }
        *all = *all * RECENT + 1.0;
        *usual = *usual * RECENT + f64::from(cmd.client_timeout > *longest - 1.0);
        let spent = if *usual >= USUAL * *all { *longest - cmd.client_timeout } else { 0.0 };
        let ends = now + cmd.client_timeout - 2.0 * self.start.round;
        let late_at = ends.min(now - spent + class.latency_objective);
        if let Some(key) = self.ordered(cmd) {
            self.keys.join(now, key, id);
        }
        self.held[id] = Some(PendingRequest {
            cmd: cmd.clone(),
            turn: self.turns,
            state: RequestState::Blocked,
            tag: Tag::default(),
            late_at,
            ends,
            attempts: 0,
            may_have_run: None,
            not_before: now,
            drew_limit: false,
            joined: 0,
        });
        self.waits(id, true);
    }

    fn ordered(&self, cmd: &Request) -> Option<usize> {
        cmd.key.filter(|_| self.start.classes[cmd.class].ordered)
    }

    /// Whether a held request cannot be answered within its latency objective any more: it gets its answer now.
    fn hopeless(&self, now: Ms, id: usize) -> bool {
        self.held[id].as_ref().is_some_and(|h| now + self.latency(h) >= h.late_at)
    }

    /// The latency to expect of a held request at the node that it would go to; 0 where that is not known.
    fn latency(&self, h: &PendingRequest) -> Ms {
        let node = h.cmd.shard.and_then(|shard| self.holder(shard)).and_then(|n| self.nodes[n].as_ref());
        let size = (1.0 + h.cmd.units / self.start.mean_units) / 2.0;
        node.map_or(0.0, |n| n.expected() + self.bounds.typical[h.cmd.class] * size)
    }

    /// The node to which requests of a shard go: of those that are ready one that does not fail, and of these
    /// the one started first, as its successor is still cold.
    fn holder(&self, shard: usize) -> Option<usize> {
        let nodes = self.shards.get(&shard).into_iter().flatten().filter_map(|n| self.nodes[*n].as_ref());
        let holders = nodes.filter(|n| n.entry.state == EndpointState::Ready);
        let first = holders.min_by_key(|n| (n.rest > FIRST_REST, n.entry.started_at.map(|at| at as i64)));
        first.map(|n| n.entry.node)
    }

    /// Puts a request that waits outside into its node's line, or to sleep until key and limit may let it.
    fn line_up(&mut self, now: Ms, id: usize) {
        let Some(h) = self.held[id].as_ref().filter(|h| h.state == RequestState::Blocked) else { return };
        let Some(shard) = h.cmd.shard else { return };
        let turn = h.turn;
        let Some(node) = self.holder(shard) else { return self.outside.sleep(turn, id, None) };
        let mut free_at = self.free_at(now, id, node);
        if free_at.is_some_and(|at| at <= now) {
            free_at = self.draw_limit(now, id);
            if free_at.is_some_and(|at| at <= now) {
                return self.join(now, id, node);
            }
        }
        self.outside.sleep(turn, id, free_at);
    }

    /// Lets a node with a free place take the oldest request that names no node into its line, one at a time:
    /// of two at random the one that answers faster. Guards against hosts that all pick the same node.
    fn draw_open(&mut self, now: Ms) -> bool {
        if self.outside.open.is_empty() {
            return false;
        }
        let names_none = |id: usize| self.held[id].as_ref().is_some_and(|h| h.cmd.shard.is_none());
        let takes = |n: &&Node| n.has_place(now, false) && !n.line.iter().any(|l| names_none(l.2));
        let nodes = self.roomy.iter().filter_map(|n| self.nodes[*n].as_ref());
        let free: Vec<usize> = nodes.filter(takes).map(|n| n.entry.node).collect();
        if free.is_empty() {
            return false;
        }
        let mut rng = || free[self.rng.below(free.len())];
        let (one, other) = (rng(), rng());
        let speed = |node: usize| {
            self.nodes[node].as_ref().map_or(0.0, |n| n.wait + (n.places() + n.others) * n.base)
        };
        let node = if speed(other) < speed(one) { other } else { one };
        let mut open = self.outside.open.values().copied();
        let free = |id: &usize| self.free_at(now, *id, node).is_some_and(|at| at <= now);
        let drawn = open.find(free).filter(|id| self.draw_limit(now, *id).is_some_and(|at| at <= now));
        drawn.into_iter().for_each(|id| self.join(now, id, node));
        drawn.is_some()
    }

    /// From when on a request may join a node's line, as far as time alone forbids it; none where more does.
    fn free_at(&self, now: Ms, id: usize, node: usize) -> Option<Ms> {
        let h = self.held[id].as_ref()?;
        let key = self.ordered(&h.cmd).and_then(|key| self.keys.first(key));
        let rest = key.filter(|_| h.attempts == 0).map_or(h.not_before, |(_, rest)| rest.max(h.not_before));
        let turn = key.is_none_or(|(first, _)| first == id);
        (turn && self.repeats_fit(now, h, node)).then_some(rest)
    }

    fn repeats_fit(&self, now: Ms, h: &PendingRequest, node: usize) -> bool {
        let Some((_, at, earlier)) = h.may_have_run else { return true };
        let class = &self.start.classes[h.cmd.class];
        let (Some(to), Some(from)) = (&self.nodes[node], &self.nodes[earlier]) else { return false };
        match (class.idempotency, class.deduplication_scope) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (_, _) if now + self.start.round >= at + class.deduplication_window => false,
            (_, DeduplicationScope::All) => true,
            (_, DeduplicationScope::Zone) => to.entry.zone == from.entry.zone,
            (_, DeduplicationScope::Shard) => to.entry.shard == from.entry.shard,
        }
    }

    /// Takes a request's units from this host's part of its volume's store, or tells when that holds them.
    /// The store starts empty: a host that has just started may have spent it before.
    fn draw_limit(&mut self, now: Ms, id: usize) -> Option<Ms> {
        let h = self.held[id].as_mut()?;
        let plan = &self.start.plans[h.cmd.plan];
        if plan.limit_rate <= 0.0 || h.drew_limit {
            return Some(now);
        }
        let store = self.stores.entry(h.cmd.volume).or_insert(TokenBucket {
            units: 0.0,
            filled: self.born,
            drawn: 0.0,
        });
        let rate = plan.limit_rate / h.cmd.hosts;
        store.fill(now, rate, plan.limit_burst / h.cmd.hosts);
        h.drew_limit = store.units - store.drawn >= h.cmd.units;
        if h.drew_limit {
            store.drawn += h.cmd.units;
            return Some(now);
        }
        self.outside.found_short(h.cmd.volume, id);
        let short = h.cmd.units - (store.units - store.drawn);
        Some(now + (short / rate * 1000.0).max(SOONER))
    }

    /// Whether the volume's reserve still covers a request, as far as this host knows; takes it if so.
    fn within_reserve(&mut self, now: Ms, cmd: &Request) -> bool {
        let plan = &self.start.plans[cmd.plan];
        let reserve = plan.reserve / if self.start.counts_remote_service { 1.0 } else { cmd.hosts.sqrt() };
        let due =
            self.dues.entry(cmd.volume).or_insert(TokenBucket { units: reserve, filled: now, drawn: 0.0 });
        due.fill(now, reserve, reserve + self.start.max_units);
        let within = due.units >= cmd.units && reserve > 0.0;
        if within {
            due.units -= cmd.units;
        }
        within
    }

    fn join(&mut self, now: Ms, id: usize, node: usize) {
        let Some(Some(h)) = self.held.get(id) else { return };
        let (cmd, turn) = (h.cmd.clone(), h.turn);
        let reserved = self.within_reserve(now, &cmd);
        let (weight, units) = (weight(&self.start, cmd.class, cmd.plan, reserved), cmd.units);
        let Some(n) = &mut self.nodes[node] else { return };
        n.reset_if_idle();
        let fresh = Flow { last_finish: 0.0, weight, seen: now, lined: 0 };
        let flow = n.flows.entry((cmd.volume, reserved)).or_insert(fresh);
        flow.seen = now;
        flow.lined += 1;
        let p = n.potential;
        n.flows.retain(|_, f| f.lined > 0 || now - f.seen < SEEN || f.last_finish > p);
        let all: f64 = n.flows.values().map(|f| f.weight).sum();
        n.frame_units = self.start.max_batch_units * all / self.least;
        let length = units * all / (n.frame_units * weight);
        let Some(flow) = n.flows.get_mut(&(cmd.volume, reserved)) else { return };
        let start = flow.last_finish.max(p);
        let tag = Tag { start, finish: start + length, reserved };
        flow.last_finish = tag.finish;
        if let Some(frame) = tag.marked() {
            *n.counters.entry(frame).or_insert(0) += 1;
        }
        if n.line.is_empty() && n.rivals > 0.0 {
            n.sent = n.sent.max(now);
            n.turn = 2.0 * self.rng.fraction();
        }
        n.line.insert((rank(tag.finish), turn, id));
        self.sleep(id);
        if let Some(Some(h)) = self.held.get_mut(id) {
            self.turns += 1;
            (h.state, h.tag, h.joined) = (RequestState::Queued(node), tag, self.turns);
            if self.waiting.is_doomed(id) {
                self.doom(id);
            }
        }
        self.touch(node);
    }

    /// Takes a request out of all in which those outside are looked at.
    fn sleep(&mut self, id: usize) {
        let Some(h) = &self.held[id] else { return };
        self.outside.leave(h.turn, id, h.cmd.volume);
    }

    /// Takes an unsent request out of its line: its frame's counter falls as a send would lower it, and the
    /// volume's next requests move up, as it is not charged for service that it did not get.
    fn unline(&mut self, id: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        let RequestState::Queued(node) = h.state else { return };
        h.state = RequestState::Blocked;
        let mut awake = vec![id];
        if let Some(store) = self.stores.get_mut(&h.cmd.volume).filter(|_| h.drew_limit && h.attempts == 0) {
            h.drew_limit = false;
            store.drawn -= h.cmd.units;
            awake.extend(self.outside.short(h.cmd.volume));
        }
        if let Some(due) = self.dues.get_mut(&h.cmd.volume).filter(|_| h.tag.reserved) {
            due.units += h.cmd.units;
        }
        let Some(n) = &mut self.nodes[node] else { return };
        n.leaves_line(id, h).into_iter().for_each(|flow| flow.last_finish -= h.tag.finish - h.tag.start);
        n.reset_if_idle();
        self.touch(node);
        awake.into_iter().for_each(|id| self.wake(id));
    }

    /// The request that leaves next at a node, if its window has room: the smallest finish tag among those
    /// not past their latency objective, but for those out of budget.
    fn next_of(&mut self, now: Ms, node: usize) -> Option<usize> {
        if self.list_expired {
            return None;
        }
        let places =
            |n: &Node| (!n.line.is_empty()).then(|| [n.has_place(now, false), n.has_place(now, true)]);
        let places = self.nodes[node].as_ref().and_then(places).filter(|p| p[1])?;
        self.bears(now, node).then_some(())?;
        let further = self.budget_has_room(now);
        let most = self.start.classes.iter().map(|b| b.priority_weight).fold(0.0, f64::max);
        let leaves = |id: usize| {
            let Some(h) = &self.held[id] else { return false };
            // Guards against long requests that may wait long and pay little for the places they hold.
            let spared = h.tag.reserved && 2.0 * self.start.classes[h.cmd.class].priority_weight >= most;
            let may = places[usize::from(spared)] && (further || h.attempts == 0) && now < h.late_at;
            may && self.repeats_fit(now, h, node)
        };
        let line = self.nodes[node].iter().flat_map(|n| &n.line);
        line.map(|l| l.2).find(|id| leaves(*id))
    }

    /// Whether a node may be sent a request, cold as it is. The units come from a credit, which grows as the
    /// rule's bound does at the slowest ramp: by this host's part of what the shard's node succeeded while it
    /// was warm (all hosts' parts are no more than a node can do) or of the stated units, if that is more.
    /// Guards against hosts that together push a node over, however many they are and whenever they were
    /// told; it could harm where a shard's traffic moves to hosts that sent it little before.
    fn bears(&mut self, now: Ms, node: usize) -> bool {
        let s = &self.start;
        let Some(n) = &mut self.nodes[node] else { return false };
        let age = n.entry.started_at.map_or(f64::INFINITY, |at| now - at);
        if age >= s.slow_start_duration + s.overload_window {
            return true;
        }
        let ramp = s.slow_start_share
            + (1.0 - s.slow_start_share)
                * ((age - s.overload_window) / s.slow_start_duration).clamp(0.0, 1.0);
        let stated = s.slow_start_units / s.hosts / s.slow_start_share / s.overload_window;
        // A host that has just started knows the shards of warm nodes; their mean stands in for the others.
        let mean = || self.usual.values().sum::<f64>() / self.usual.len().max(1) as f64;
        let usual = s.overload_multiple * self.usual.get(&n.entry.shard).copied().unwrap_or_else(mean);
        let grown = ramp * usual.max(stated) * (now - n.credited);
        (n.credit, n.credited) = ((n.credit + grown).min(s.max_units + s.mean_units), now);
        n.credit >= s.mean_units
    }

    fn budget_has_room(&mut self, now: Ms) -> bool {
        let Some(b) = &self.start.budget else { return true };
        self.further.sum(now, true) + 1.0 <= b.free + b.share * self.taken.sum(now, false)
    }

    fn send(&mut self, now: Ms, id: usize, node: usize, rides: bool) -> RouteDecision {
        self.waits(id, false);
        let (Some(Some(h)), Some(n)) = (self.held.get_mut(id), &mut self.nodes[node]) else {
            return RouteDecision::Queue;
        };
        n.leaves_line(id, h).into_iter().for_each(|flow| flow.seen = now);
        n.sent = now;
        n.turn = 2.0 * self.rng.fraction();
        n.potential += h.cmd.units / n.frame_units;
        let reached = h.tag.finish.floor() as i64;
        if reached > n.frame && n.counters.get(&n.frame).is_none_or(|&c| c == 0) {
            n.frame = reached;
            n.potential = n.potential.max(reached as f64);
            n.counters = n.counters.split_off(&reached);
        }
        let attempt = h.attempts;
        let patience = self.start.classes[h.cmd.class].latency_objective;
        self.batches += u64::from(!rides);
        let (batch, load) = (self.batches, h.cmd.units);
        let own = self.bounds.typical[h.cmd.class] * (1.0 + load / self.start.mean_units) / 2.0;
        n.out.push(InFlightAttempt {
            batch,
            load,
            id,
            attempt,
            at: now,
            patience,
            own,
            passed: 0,
            cancelled: false,
        });
        n.credit -= h.cmd.units;
        if h.attempts > 0 {
            self.further.add(now, 1.0);
        } else if let Some(store) = self.stores.get_mut(&h.cmd.volume).filter(|_| h.drew_limit) {
            let plan = &self.start.plans[h.cmd.plan];
            store.fill(now, plan.limit_rate / h.cmd.hosts, plan.limit_burst / h.cmd.hosts);
            (store.units, store.drawn) = (store.units - h.cmd.units, store.drawn - h.cmd.units);
        }
        h.attempts += 1;
        h.state = RequestState::InFlight(node);
        let b = &self.start.classes[h.cmd.class];
        let dropped = h.may_have_run.filter(|_| b.idempotency == Idempotency::IdempotentWithKey);
        let send_by =
            dropped.map_or(f64::INFINITY, |(_, at, _)| at + b.deduplication_window - self.start.round);
        h.may_have_run.get_or_insert((h.attempts, now, node));
        let timeout = h.ends - now;
        self.outs += 1;
        self.touch(node);
        RouteDecision::Send { node, timeout, send_by }
    }

    /// Lets a lined request leave with one that was just sent, where only the order of tags forbids it to be
    /// next and its tag starts less than a frame after that one's. Guards the mechanism's bounds, whatever
    /// travels together; it could harm other volumes, which wait for what the batch adds.
    fn ride(&mut self, now: Ms, id: usize, first: usize) -> RouteDecision {
        let held = |id: usize| self.held.get(id).and_then(|h| h.as_ref());
        let (Some(h), Some((RequestState::InFlight(node), tag))) =
            (held(id), held(first).map(|h| (h.state, h.tag)))
        else {
            return RouteDecision::Queue;
        };
        let Some(n) = self.nodes[node].as_ref().filter(|_| h.state == RequestState::Queued(node)) else {
            return RouteDecision::Queue;
        };
        let (further, soon) = (h.attempts > 0, h.tag.start < tag.start + 1.0);
        let leaves = n.out.last().is_some_and(|o| o.at == now);
        let fits = leaves && soon && now < h.late_at && self.repeats_fit(now, h, node);
        if !fits || further && !self.budget_has_room(now) || !self.bears(now, node) {
            return RouteDecision::Queue;
        }
        let to = self.send(now, id, node, true);
        self.nodes[node].iter_mut().for_each(|n| n.adds_to_batch(first));
        to
    }

    fn judge(&mut self, now: Ms, id: usize, node: usize, answer: &Answer) {
        let Some(n) = &mut self.nodes[node] else { return };
        let crowded = n.crowded();
        let silent = n.silent(now);
        let Some(place) = n.out.iter().position(|o| o.id == id) else { return };
        let (class, units) = self.held[id].as_ref().map_or((0, 0.0), |h| (h.cmd.class, h.cmd.units));
        let out = n.out.remove(place);
        let (load, failing, shard) = (out.load, n.rest > FIRST_REST, n.entry.shard);
        let lost = f64::from(out.passed >= n.enough && answer.outcome != Outcome::Succeeded && out.at > 0.0);
        self.bounds.lossy += LOSSY * (lost - self.bounds.lossy);
        self.bounds.enough = if self.bounds.lossy > LOSSY { DOUBTED } else { PASSED };
        match answer.outcome {
            Outcome::Succeeded => {
                n.served.add(now, units);
                let size = (1.0 + load / self.start.mean_units) / 2.0;
                // What travels together takes less than its size: it must not make all else look slow.
                let (each, known) = (answer.latency / size, self.bounds.typical[class]);
                if load <= units || known > 0.0 && each > known {
                    self.typical[class].add(now, each);
                }
                let most = UNLOADED * self.start.classes[class].latency_objective;
                let typical = self.typical[class].lowest_mean(now).unwrap_or(most).min(most);
                let b = &mut self.bounds;
                b.typical[class] = typical;
                b.best = b.typical.iter().copied().filter(|t| *t > 0.0).fold(f64::INFINITY, f64::min);
                b.room = (self.latency_objective - b.best).max(self.latency_objective / 4.0);
                let over = (answer.latency - typical * size).max(0.0);
                if self.start.peer.is_some() {
                    let (answers, all) = self.gathered.entry(node).or_default();
                    (*answers, *all) = (*answers + 1, *all + over);
                }
                n.learn(now, over, crowded, &self.bounds);
                n.rest = FIRST_REST;
                n.out[..place].iter_mut().for_each(|o| o.passed += 1);
            }
            // A connection that broke is no sign of its node: one that died refuses the next. Guards nodes
            // whose network breaks connections; it could cost an attempt each where all break at once.
            Outcome::Overloaded | Outcome::ConnectFailed => n.set_back(now, self.bounds.jam_floor, 0.5),
            // A node that answered nothing until then is tried again with one request at a time. RouteDecision others
            // tell of its answers, one of its own is no sign: it may be the only one in seconds.
            Outcome::TimedOut | Outcome::Cancelled if silent => {
                n.mute += 1;
                if n.mute >= 2 || !n.hears {
                    n.set_back(now, self.bounds.jam_floor, 0.0);
                }
            }
            _ => {}
        }
        if !matches!(answer.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::DeadlineExceeded) {
            (n.answered, n.mute) = (now, 0);
        }
        n.reset_if_idle();
        let turned = failing != (n.rest > FIRST_REST);
        self.outs -= 1;
        self.touch(node);
        self.set_late(Some(shard));
        if turned {
            self.wake_shard(shard);
        }
    }

    /// The final answer of a request of which nothing is out: a rejection where that is known to be harmless.
    pub fn finish(&mut self, now: Ms, id: usize) -> FinalStatus {
        self.unline(id);
        let Some(Some(h)) = self.held.get(id) else { return FinalStatus::Failed };
        let class = &self.start.classes[h.cmd.class];
        let harmless = match (class.idempotency, class.deduplication_scope) {
            (Idempotency::Idempotent, _) | (Idempotency::IdempotentWithKey, DeduplicationScope::All) => true,
            _ => h.may_have_run.is_none(),
        };
        // Spread: who is turned away together, as by a black-out, must not come back together.
        let back =
            (self.start.max_retry_after * (1.0 - 0.25 * self.rng.fraction())).min((h.ends - now).max(0.0));
        self.forget(now, id);
        match harmless {
            true => FinalStatus::Rejected { retry_after: back },
            false => FinalStatus::Failed,
        }
    }

    fn forget(&mut self, now: Ms, id: usize) {
        self.sleep(id);
        self.waits(id, false);
        let Some(h) = self.held[id].take() else { return };
        if let Some(key) = self.ordered(&h.cmd) {
            let next = self.keys.leave(now, key, id);
            next.into_iter().for_each(|next| self.wake(next));
        }
    }
}
