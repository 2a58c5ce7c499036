//! Every decision of a host. A caller asks through `place` (where to send this command), `after` (what to do
//! after this outcome) and `wait` (how long to wait, repeated until it names a time); `listed` and
//! `given_up` are notes that return nothing. The types of the interface are in `terms.rs`, the mechanism
//! and its departures in `docs/design.md`.

use crate::terms::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};

/// The window of hand-offs out at one node: the design's floor, start and ceiling, and the floor of the
/// departure that acts while a node answers slower than `TIGHT` of the shortest soft limit.
const FLOOR: f64 = 4.0;
const CEILING: f64 = 32.0;
const JAM_FLOOR: f64 = 1.0;
const TIGHT: f64 = 0.15;
/// Latency over its recent best at which the window widens and narrows, and the step of narrowing.
const IN_RESERVE: f64 = 4.0;
const NEAR_BEST: f64 = 1.5;
const FAR_FROM_BEST: f64 = 2.5;
const NARROWING: f64 = 0.1;
/// How much one answer moves the smoothed latency.
const SMOOTHING: f64 = 0.08;
/// Recent best: buckets of this length, kept this many, each judged by its mean of at least three answers.
const BEST_SLOT: Ms = 1000.0;
const BEST_SLOTS: usize = 12;
/// A volume counts into the weights at a node for this long after its last command there.
const SEEN: Ms = 2000.0;
/// A node that answers nothing for this part of a soft limit, and for this multiple of its
/// latency, is silent; a hand-off out as long that this many later ones have passed is lost.
const PATIENCE: f64 = 1.0;
const PATIENCE_TIMES: f64 = 4.0;
const PASSED: u32 = 8;
/// Waits between tries at a silent or refusing node: the first, doubled up to the last.
const FIRST_REST: Ms = 50.0;
const LAST_REST: Ms = 1600.0;
/// How long a host sleeps at most while it holds commands that nothing else would wake it for.
const NAP: Ms = 5.0;
/// The parts of a settled read and write that prove capacity at a cold node: a repeated key costs less than
/// its units, and part of a write may be put off.
const READ_PROOF: f64 = 0.9;
const WRITE_PROOF: f64 = 0.5;
/// The part of a band's commands with its longest time limit from which shorter ones mean later tries.
const USUAL: f64 = 0.3;
/// Parts into which the windows of the rules are cut; a window counts one part more, to the safe side.
const PARTS: usize = 20;

/// Sums over fixed buckets of time, used again in a ring.
#[derive(Default)]
struct Ring {
    slot: Ms,
    at: i64,
    sums: Vec<(f64, f64)>,
}

impl Ring {
    fn new(slot: Ms, slots: usize) -> Ring {
        Ring { slot, at: i64::MIN / 2, sums: vec![(0.0, 0.0); slots + 1] }
    }

    fn turn(&mut self, now: Ms) -> usize {
        let at = (now / self.slot).floor() as i64;
        let n = self.sums.len() as i64;
        for past in (self.at + 1).max(at - n + 1)..=at {
            self.sums[past.rem_euclid(n) as usize] = (0.0, 0.0);
        }
        self.at = self.at.max(at);
        self.at.rem_euclid(n) as usize
    }

    fn add(&mut self, now: Ms, value: f64) {
        let i = self.turn(now);
        self.sums[i].0 += value;
        self.sums[i].1 += 1.0;
    }

    /// Never less than what came within the ring's whole time.
    fn at_least(&mut self, now: Ms) -> f64 {
        self.turn(now);
        self.sums.iter().map(|s| s.0).sum()
    }

    /// Never more than what came within the ring's whole time.
    fn at_most(&mut self, now: Ms) -> f64 {
        let oldest = (self.turn(now) + 1) % self.sums.len();
        self.sums.iter().enumerate().filter(|(i, _)| *i != oldest).map(|(_, s)| s.0).sum()
    }

    fn lowest_mean(&mut self, now: Ms) -> Option<f64> {
        self.turn(now);
        self.sums.iter().filter(|s| s.1 >= 3.0).map(|s| s.0 / s.1).min_by(f64::total_cmp)
    }
}

/// Where a held command stands: outside the lines (its key, its limit or its node forbids it for now), in
/// the line of a node, out at one, or over while its last hand-off is still out.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Outside,
    Lined(usize),
    Out(usize),
    Over(usize),
}

/// The tags of a lined command; `arrival` is the potential it found, `length` its units over its allotment.
#[derive(Clone, Copy, Default)]
struct Tag {
    arrival: f64,
    start: f64,
    finish: f64,
    length: f64,
    reserved: bool,
}

impl Tag {
    fn marked(&self) -> Option<i64> {
        let frame = self.start.floor() as i64;
        (frame < self.finish.floor() as i64).then_some(frame)
    }
}

struct Held {
    cmd: Command,
    turn: u64,
    stage: Stage,
    tag: Tag,
    late_at: Ms,
    ends: Ms,
    hand_offs: u32,
    /// The first hand-off not known not to have run: its number, when and where it went.
    may_have_run: Option<(u32, Ms, usize)>,
    not_before: Ms,
    drew_limit: bool,
}

struct Flow {
    last_finish: f64,
    weight: f64,
    seen: Ms,
    lined: u32,
}

/// A hand-off that is out; `passed` counts those sent after it and answered before it.
struct Out {
    id: usize,
    hand_off: u32,
    at: Ms,
    patience: Ms,
    passed: u32,
    cancelled: bool,
}

#[derive(Default)]
struct Node {
    entry: Entry,
    line: Vec<usize>,
    flows: BTreeMap<(usize, bool), Flow>,
    potential: f64,
    frame: i64,
    counters: BTreeMap<i64, u32>,
    frame_units: f64,
    out: Vec<Out>,
    window: f64,
    latency: Option<f64>,
    bests: Ring,
    cold: Ring,
    proof: Ring,
    answered: Ms,
    rest: Ms,
    rests_until: Ms,
}

impl Node {
    fn reset_if_idle(&mut self) {
        if self.line.is_empty() && self.out.is_empty() {
            self.flows.values_mut().for_each(|f| f.last_finish = 0.0);
            self.counters.clear();
            (self.potential, self.frame, self.frame_units) = (0.0, 0, 0.0);
        }
    }

    fn unmark(&mut self, tag: &Tag) {
        if let Some(count) = tag.marked().and_then(|frame| self.counters.get_mut(&frame)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Gives `tag` its place behind the volume's last finish and counts it where it spans frames.
    fn stamp(&mut self, volume: usize, tag: &mut Tag) {
        let Some(flow) = self.flows.get_mut(&(volume, tag.reserved)) else { return };
        tag.start = flow.last_finish.max(tag.arrival);
        tag.finish = tag.start + tag.length;
        flow.last_finish = tag.finish;
        if let Some(frame) = tag.marked() {
            *self.counters.entry(frame).or_insert(0) += 1;
        }
    }

    fn has_place(&self, now: Ms) -> bool {
        let open = self.entry.condition == Condition::Ready && now >= self.rests_until;
        open && (self.out.len() as f64) < self.window && !self.silent(now)
    }

    fn set_back(&mut self, now: Ms, part: f64) {
        self.window = (self.window * part).max(JAM_FLOOR);
        if now >= self.rests_until {
            self.rests_until = now + self.rest;
            self.rest = (self.rest * 2.0).min(LAST_REST);
        }
    }

    fn overdue(&self, now: Ms, out: &Out, since: Ms) -> bool {
        now - since > out.patience.max(PATIENCE_TIMES * self.latency.unwrap_or(0.0))
    }

    fn silent(&self, now: Ms) -> bool {
        self.out.first().is_some_and(|o| self.overdue(now, o, o.at.max(self.answered)))
    }
}

struct Store {
    units: f64,
    filled: Ms,
    /// Taken by commands that wait in line; the store does not fill in their place until they are sent.
    drawn: f64,
}

impl Store {
    fn fill(&mut self, now: Ms, a_second: f64, most: f64) {
        self.units = (self.units + (now - self.filled) * a_second / 1000.0).min(most);
        self.filled = now;
    }
}

/// One host's module.
pub struct Brain {
    start: Start,
    chance: WyRand,
    born: Ms,
    turns: u64,
    held: Vec<Option<Held>>,
    outside: BTreeMap<u64, usize>,
    nodes: Vec<Option<Node>>,
    keys: BTreeMap<usize, (VecDeque<usize>, Ms)>,
    stores: BTreeMap<usize, Store>,
    dues: BTreeMap<usize, Store>,
    /// By band: the longest time limit met, how many commands had it and how many had any.
    limits: Vec<(Ms, f64, f64)>,
    taken: Ring,
    further: Ring,
    ask_at: Option<Ms>,
    ask_rest: Ms,
    tight: Ms,
    /// The smallest weight that any volume can have.
    least: f64,
}

impl Brain {
    pub fn new(start: Start, now: Ms) -> Brain {
        let window = start.budget.as_ref().map_or(1000.0, |b| b.window) / PARTS as f64;
        let mut brain = Brain {
            chance: WyRand::new_seed(start.seed),
            born: now,
            turns: 0,
            held: Vec::new(),
            outside: BTreeMap::new(),
            nodes: Vec::new(),
            keys: BTreeMap::new(),
            stores: BTreeMap::new(),
            dues: BTreeMap::new(),
            limits: vec![(0.0, 0.0, 0.0); start.bands.len()],
            taken: Ring::new(window, PARTS),
            further: Ring::new(window, PARTS),
            ask_at: start.ask_within.map(|_| now),
            ask_rest: FIRST_REST,
            tight: TIGHT * start.bands.iter().map(|b| b.soft_limit).fold(f64::INFINITY, f64::min),
            least: f64::INFINITY,
            start,
        };
        brain.least = brain.least_weight();
        brain
    }

    /// Where to send this command: asked when it is taken, and each time `wait` names it.
    pub fn place(&mut self, now: Ms, id: usize, cmd: &Command) -> Where {
        if self.held.len() <= id {
            self.held.resize_with(id + 1, || None);
        }
        if self.held[id].is_none() {
            self.take(now, id, cmd);
        }
        self.line_up(now, id);
        match self.held[id].as_ref().map(|h| (h.stage, self.hopeless(now, h))) {
            Some((Stage::Lined(node), _)) if self.next_of(now, node) == Some(id) => self.send(now, id, node),
            Some((Stage::Lined(_) | Stage::Outside, true)) => Where::Never(self.end(now, id)),
            _ => Where::NotYet,
        }
    }

    /// What to do after this outcome of a hand-off; `over` says that the command is over with it or was.
    pub fn after(&mut self, now: Ms, id: usize, answer: &Answer) -> Next {
        let outcome = answer.outcome;
        let Some(Some(h)) = self.held.get_mut(id) else { return Next::Nothing };
        let (Stage::Out(node) | Stage::Over(node)) = h.stage else { return Next::Nothing };
        let ended = answer.over || matches!(h.stage, Stage::Over(_));
        let size = 2.0 / (1.0 + h.cmd.units / self.start.mean_units);
        if let Some(due) = self.dues.get_mut(&h.cmd.volume) {
            due.units = (due.units - answer.others).max(-self.start.plans[h.cmd.plan].reserve);
        }
        if outcome.never_ran() && h.may_have_run.is_some_and(|(number, ..)| number == h.hand_offs) {
            h.may_have_run = None;
        }
        let proof = h.cmd.units * if self.start.bands[h.cmd.band].writes { WRITE_PROOF } else { READ_PROOF };
        self.judge(now, id, node, answer, size, proof);
        let Some(Some(h)) = self.held.get_mut(id) else { return Next::Nothing };
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some((_, rest)) = h.cmd.key.and_then(|key| self.keys.get_mut(&key)) {
                *rest = now + self.start.order_rest + self.start.round;
            }
        }
        if ended {
            self.forget(now, id);
            return Next::Nothing;
        }
        h.stage = Stage::Outside;
        h.not_before = if outcome.never_ran() { now + FIRST_REST } else { now };
        self.outside.insert(h.turn, id);
        let may = self.held[id].as_ref().is_some_and(|h| {
            let fits = self.repeats_fit(now, h, h.may_have_run.map_or(node, |m| m.2));
            fits && h.hand_offs < self.start.max_hand_offs && !self.hopeless(now, h)
        });
        if may && self.budget_has_room(now) {
            return Next::Hold;
        }
        Next::End(self.end(now, id))
    }

    /// What is due, or until when nothing is.
    pub fn wait(&mut self, now: Ms) -> Due {
        if let Some(cancel) = self.next_cancel(now) {
            return cancel;
        }
        if self.ask_at.is_some_and(|at| now >= at) {
            // An answer that never comes is asked for again before the host counts as told of an old list.
            self.ask_at = self.start.ask_within.map(|within| now + 0.4 * within);
            return Due::Watch;
        }
        for id in self.outside.values().copied().collect::<Vec<_>>() {
            self.line_up(now, id);
        }
        for node in 0..self.nodes.len() {
            self.draw_open(now, node);
            if let Some(id) = self.next_of(now, node) {
                return Due::Ask(id);
            }
        }
        let mut until = self.ask_at.unwrap_or(now + 1000.0);
        if self.nodes.iter().flatten().any(|n| !n.out.is_empty()) {
            until = until.min(now + 4.0 * NAP);
        }
        let lined = self.nodes.iter().flatten().flat_map(|n| n.line.iter());
        for &id in self.outside.values().chain(lined) {
            let Some(h) = &self.held[id] else { continue };
            if self.hopeless(now, h) {
                return Due::Ask(id);
            }
            until = until.min(now + NAP);
        }
        Due::Until(until)
    }

    /// The next hand-off to cancel: its client has gone, or its answer is not to be hoped for. The latter
    /// guards the places of a window against answers that get lost and nodes that take work and answer
    /// nothing, whatever the cause; it could harm where single commands take many times the usual work.
    fn next_cancel(&mut self, now: Ms) -> Option<Due> {
        for n in self.nodes.iter_mut().flatten().filter(|_| self.start.may_cancel) {
            let silent = n.silent(now);
            let lost = |n: &Node, o: &Out| n.overdue(now, o, o.at) && (silent || o.passed >= PASSED);
            let due = n.out.iter().position(|o| !o.cancelled && lost(n, o));
            if let Some(o) = due.map(|i| &mut n.out[i]) {
                o.cancelled = true;
                return Some(Due::Cancel { command: o.id, hand_off: o.hand_off });
            }
        }
        None
    }

    /// The list of nodes, or what changed in it.
    pub fn listed(&mut self, now: Ms, news: News, entries: &[Entry]) {
        if news == News::Failed {
            // Asked again soon but not in step with other hosts: the list's service has a fixed capacity.
            let spread = 0.5 + self.chance.generate::<u32>() as f64 / u32::MAX as f64;
            self.ask_at = self.start.ask_within.map(|_| now + self.ask_rest * spread);
            self.ask_rest = (self.ask_rest * 2.0).min(LAST_REST);
            return;
        }
        if news != News::Remembered {
            self.ask_rest = FIRST_REST;
            // A watch that broke unnoticed would leave the host with an old list.
            self.ask_at = self.start.ask_within.map(|within| now + 0.8 * within);
        }
        if news != News::Changes {
            for node in self.nodes.iter_mut().flatten() {
                if !entries.iter().any(|e| e.node == node.entry.node) {
                    node.entry.condition = Condition::Gone;
                }
            }
        }
        for entry in entries {
            if self.nodes.len() <= entry.node {
                self.nodes.resize_with(entry.node + 1, || None);
            }
            match &mut self.nodes[entry.node] {
                Some(node) => {
                    if node.entry.started != entry.started {
                        (node.window, node.rests_until) = (FLOOR, now);
                        // What it settled as it was before proves nothing of a node that is cold again.
                        node.proof = Ring::new(self.start.fall_time / PARTS as f64, PARTS);
                    }
                    node.entry = entry.clone();
                }
                empty => {
                    let part = self.start.fall_time / PARTS as f64;
                    *empty = Some(Node {
                        entry: entry.clone(),
                        window: FLOOR,
                        bests: Ring::new(BEST_SLOT, BEST_SLOTS),
                        cold: Ring::new(part, PARTS),
                        proof: Ring::new(part, PARTS),
                        rest: FIRST_REST,
                        ..Node::default()
                    });
                }
            }
        }
        // Commands lined at a node that drains or went wait for the node that takes its shard.
        let unusable = self.nodes.iter().flatten().filter(|n| n.entry.condition != Condition::Ready);
        let moved: Vec<usize> = unusable.flat_map(|n| n.line.clone()).collect();
        moved.into_iter().for_each(|id| self.unline(id));
    }

    /// The client has gone: nothing is owed any more.
    pub fn given_up(&mut self, now: Ms, id: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        match h.stage {
            Stage::Out(node) => {
                h.stage = Stage::Over(node);
                let out = self.nodes[node].iter_mut().flat_map(|n| &mut n.out);
                out.filter(|o| o.id == id).for_each(|o| (o.at, o.passed) = (f64::NEG_INFINITY, PASSED));
            }
            Stage::Over(_) => {}
            _ => _ = self.end(now, id),
        }
    }

    fn take(&mut self, now: Ms, id: usize, cmd: &Command) {
        self.taken.add(now, 1.0);
        self.turns += 1;
        // A client's later try comes with less time than a first one and counts against the first's soft
        // limit; the longest time limit met tells by how much, whether or not clients mark their repeats.
        // Guards against places taken by what is late already; not to be read into limits that just vary.
        let (longest, usual, all) = &mut self.limits[cmd.band];
        if cmd.time_limit > *longest + 1.0 {
            (*longest, *usual, *all) = (cmd.time_limit, 0.0, 0.0);
        }
        *all += 1.0;
        *usual += f64::from(cmd.time_limit > *longest - 1.0);
        let spent = if *usual >= USUAL * *all { *longest - cmd.time_limit } else { 0.0 };
        let band = &self.start.bands[cmd.band];
        let late_at = now + band.soft_limit - spent;
        let ends = now + cmd.time_limit - 2.0 * self.start.round;
        let mut cmd = cmd.clone();
        if !band.in_order {
            cmd.key = None;
        }
        if let Some(key) = cmd.key {
            self.keys.entry(key).or_insert_with(|| (VecDeque::new(), now)).0.push_back(id);
        }
        self.outside.insert(self.turns, id);
        self.held[id] = Some(Held {
            cmd,
            turn: self.turns,
            stage: Stage::Outside,
            tag: Tag::default(),
            late_at,
            ends,
            hand_offs: 0,
            may_have_run: None,
            not_before: now,
            drew_limit: false,
        });
    }

    /// Whether a held command is to be given its final answer now: its time is up, or it can no longer be
    /// answered within its soft limit and no place is free for it.
    fn hopeless(&self, now: Ms, h: &Held) -> bool {
        now >= h.ends || self.late(now, h)
    }

    fn late(&self, now: Ms, h: &Held) -> bool {
        let node = match h.stage {
            Stage::Lined(node) => Some(node),
            _ => h.cmd.shard.and_then(|shard| self.holder(shard)),
        };
        let latency = node.and_then(|n| self.nodes[n].as_ref()).and_then(|n| n.latency).unwrap_or(0.0);
        now + latency > h.late_at
    }

    /// The node to which commands of a shard go: of those that are ready, the one started last.
    fn holder(&self, shard: usize) -> Option<usize> {
        let ready = |n: &&Node| n.entry.shard == shard && n.entry.condition == Condition::Ready;
        let started = |n: &&Node| n.entry.started.unwrap_or(f64::NEG_INFINITY);
        let holders = self.nodes.iter().flatten().filter(ready);
        holders.max_by(|a, b| started(a).total_cmp(&started(b))).map(|n| n.entry.node)
    }

    /// Puts a command that waits outside into its node's line, once its key and its limit let it.
    fn line_up(&mut self, now: Ms, id: usize) {
        let Some(h) = self.held[id].as_ref().filter(|h| h.stage == Stage::Outside) else { return };
        let Some(node) = h.cmd.shard.and_then(|shard| self.holder(shard)) else { return };
        if self.free(now, id, node) && self.draw_limit(now, id) {
            self.join(now, id, node);
        }
    }

    /// Lets a node with a free place take the oldest command that names no node into its line, one at a time.
    fn draw_open(&mut self, now: Ms, node: usize) {
        let Some(n) = &self.nodes[node] else { return };
        let names_none = |id: &usize| self.held[*id].as_ref().is_some_and(|h| h.cmd.shard.is_none());
        if !n.has_place(now) || n.line.iter().any(names_none) {
            return;
        }
        let mut open = self.outside.values().copied();
        if let Some(id) = open.find(|id| names_none(id) && self.free(now, *id, node)) {
            if self.draw_limit(now, id) {
                self.join(now, id, node);
            }
        }
    }

    /// Whether a command's rest, its key and its earlier hand-offs let it into this node's line.
    fn free(&self, now: Ms, id: usize, node: usize) -> bool {
        let Some(h) = &self.held[id] else { return false };
        let key = h.cmd.key.and_then(|key| self.keys.get(&key));
        let turn =
            key.is_none_or(|(line, rest)| line.front() == Some(&id) && (h.hand_offs > 0 || now >= *rest));
        turn && now >= h.not_before && self.repeats_fit(now, h, node)
    }

    /// Whether a command may be handed to this node as far as its earlier hand-offs go.
    fn repeats_fit(&self, now: Ms, h: &Held, node: usize) -> bool {
        let Some((_, at, earlier)) = h.may_have_run else { return true };
        let band = &self.start.bands[h.cmd.band];
        let (Some(to), Some(from)) = (&self.nodes[node], &self.nodes[earlier]) else { return false };
        match (band.repeats, band.group) {
            (Repeats::Retriable, _) => true,
            (Repeats::Binding, _) => false,
            (_, _) if now + self.start.round >= at + band.memory => false,
            (_, Group::All) => true,
            (_, Group::Zone) => to.entry.zone == from.entry.zone,
            (_, Group::Shard) => to.entry.shard == from.entry.shard,
        }
    }

    /// Takes a command's units from this host's part of its volume's store. The store starts empty: a host
    /// that has just started may have spent it before.
    fn draw_limit(&mut self, now: Ms, id: usize) -> bool {
        let Some(Some(h)) = self.held.get_mut(id) else { return false };
        let plan = &self.start.plans[h.cmd.plan];
        if plan.limit_rate <= 0.0 || h.drew_limit {
            return true;
        }
        let store =
            self.stores.entry(h.cmd.volume).or_insert(Store { units: 0.0, filled: self.born, drawn: 0.0 });
        store.fill(now, plan.limit_rate / h.cmd.hosts, plan.limit_store / h.cmd.hosts);
        h.drew_limit = store.units - store.drawn >= h.cmd.units;
        if h.drew_limit {
            store.drawn += h.cmd.units;
        }
        h.drew_limit
    }

    /// Whether the volume's reserve still covers a command, as far as this host knows; takes it if so.
    fn within_reserve(&mut self, now: Ms, cmd: &Command) -> bool {
        let reserve = self.start.plans[cmd.plan].reserve;
        let due = self.dues.entry(cmd.volume).or_insert(Store { units: reserve, filled: now, drawn: 0.0 });
        due.fill(now, reserve, reserve + self.start.most_units);
        let within = due.units >= cmd.units && reserve > 0.0;
        if within {
            due.units -= cmd.units;
        }
        within
    }

    /// What a volume's service pays: its reserve in full, its share by weight at the share's part.
    fn weight(&self, band: usize, plan: usize, reserved: bool) -> f64 {
        let plans = &self.start.plans;
        let rates: f64 = plans.iter().map(|p| p.rate).sum();
        let weights: f64 = plans.iter().map(|p| p.weight).sum();
        let p = &plans[plan];
        let payoff = p.price * self.start.bands[band].payoff;
        let share = self.start.share_payoff * p.weight * rates / weights.max(1e-9);
        (payoff * if reserved && p.reserve > 0.0 { IN_RESERVE * p.reserve } else { share }).max(1e-6)
    }

    fn least_weight(&self) -> f64 {
        let (bands, plans) = (0..self.start.bands.len(), 0..self.start.plans.len());
        let pairs = bands.flat_map(|b| plans.clone().map(move |p| (b, p)));
        let weights = pairs.flat_map(|(b, p)| [self.weight(b, p, false), self.weight(b, p, true)]);
        weights.fold(f64::INFINITY, f64::min)
    }

    fn join(&mut self, now: Ms, id: usize, node: usize) {
        let Some(Some(h)) = self.held.get(id) else { return };
        let (cmd, turn) = (h.cmd.clone(), h.turn);
        let reserved = self.within_reserve(now, &cmd);
        let (weight, units) = (self.weight(cmd.band, cmd.plan, reserved), cmd.units);
        let Some(n) = &mut self.nodes[node] else { return };
        n.reset_if_idle();
        let fresh = Flow { last_finish: 0.0, weight, seen: now, lined: 0 };
        let flow = n.flows.entry((cmd.volume, reserved)).or_insert(fresh);
        flow.seen = now;
        flow.lined += 1;
        let p = n.potential;
        n.flows.retain(|_, f| f.lined > 0 || now - f.seen < SEEN || f.last_finish > p);
        let all: f64 = n.flows.values().map(|f| f.weight).sum();
        n.frame_units = self.start.most_units * all / self.least;
        let length = units * all / (n.frame_units * weight);
        let mut tag = Tag { arrival: n.potential, length, reserved, ..Tag::default() };
        n.stamp(cmd.volume, &mut tag);
        n.line.push(id);
        self.outside.remove(&turn);
        if let Some(Some(h)) = self.held.get_mut(id) {
            (h.stage, h.tag) = (Stage::Lined(node), tag);
        }
    }

    /// Takes an unsent command out of its line: its frame's counter falls as a send would lower it, and the
    /// volume's later commands move up, as it is not charged for service that it did not get.
    fn unline(&mut self, id: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        if let Stage::Lined(node) = h.stage {
            h.stage = Stage::Outside;
            let (volume, units, gone, drew) = (h.cmd.volume, h.cmd.units, h.tag, h.drew_limit);
            self.outside.insert(h.turn, id);
            if drew && h.hand_offs == 0 {
                h.drew_limit = false;
                if let Some(store) = self.stores.get_mut(&volume) {
                    store.drawn -= units;
                }
            }
            let Some(n) = &mut self.nodes[node] else { return };
            n.line.retain(|&other| other != id);
            n.unmark(&gone);
            if let Some(due) = self.dues.get_mut(&volume).filter(|_| gone.reserved) {
                due.units += units;
            }
            let Some(flow) = n.flows.get_mut(&(volume, gone.reserved)) else { return };
            (flow.last_finish, flow.lined) = (gone.start, flow.lined - 1);
            for other in n.line.clone() {
                let Some(Some(later)) = self.held.get_mut(other) else { continue };
                let same = (later.cmd.volume, later.tag.reserved) == (volume, gone.reserved);
                if same && later.tag.start >= gone.start {
                    n.unmark(&later.tag);
                    n.stamp(volume, &mut later.tag);
                }
            }
            n.reset_if_idle();
        }
    }

    /// The command that leaves next at a node, if its window has room: the smallest finish tag among those
    /// that can still be answered within their soft limit, else among the others. Commands too large for
    /// what is left of a cold node's part, or out of budget, let others pass.
    fn next_of(&mut self, now: Ms, node: usize) -> Option<usize> {
        if self.nodes[node].as_ref().is_none_or(|n| n.line.is_empty() || !n.has_place(now)) {
            return None;
        }
        let (room, further) = (self.cold_room(now, node), self.budget_has_room(now));
        let jammed = self.nodes[node].as_ref().is_some_and(|n| n.latency.unwrap_or(0.0) > self.tight);
        let ranks = self.nodes[node].iter().flat_map(|n| &n.line).filter_map(|&id| {
            let h = self.held[id].as_ref()?;
            let late = self.late(now, h);
            let fits = h.cmd.units <= room && (further || h.hand_offs == 0);
            let may = fits && now < h.ends && !(jammed && now >= h.late_at);
            (may && self.repeats_fit(now, h, node)).then_some((late, h.tag.finish, h.turn, id))
        });
        let first = ranks.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        first.map(|rank| rank.3)
    }

    /// What is left of this host's part of what a cold node bears. It grows with the least that the node's
    /// ramp can have reached when the window began, and with what the node settled for this host within the
    /// window, which proves as much capacity: all hosts' proofs together are one of the rule's multiples, so
    /// the stated part keeps to the others. A host younger than the window counts its part as spent.
    fn cold_room(&mut self, now: Ms, node: usize) -> f64 {
        let s = &self.start;
        let Some(n) = &mut self.nodes[node] else { return 0.0 };
        let Some(started) = n.entry.started else { return f64::INFINITY };
        let age = now - started;
        if age >= s.cold_time + s.fall_time {
            return f64::INFINITY;
        }
        let ramp = s.cold_share + (1.0 - s.cold_share) * ((age - s.fall_time) / s.cold_time).clamp(0.0, 1.0);
        let part = s.cold_units / s.hosts * ramp / s.cold_share;
        let before = if now - self.born < s.fall_time { part } else { 0.0 };
        let proven = part * (1.0 - 1.0 / s.fall_multiple.max(1.0)) + n.proof.at_most(now);
        proven - n.cold.at_least(now) - before
    }

    fn budget_has_room(&mut self, now: Ms) -> bool {
        let Some(b) = &self.start.budget else { return true };
        self.further.at_least(now) + 1.0 <= b.free + b.share * self.taken.at_most(now)
    }

    fn send(&mut self, now: Ms, id: usize, node: usize) -> Where {
        let (Some(Some(h)), Some(n)) = (self.held.get_mut(id), &mut self.nodes[node]) else {
            return Where::NotYet;
        };
        n.line.retain(|&other| other != id);
        if let Some(flow) = n.flows.get_mut(&(h.cmd.volume, h.tag.reserved)) {
            (flow.lined, flow.seen) = (flow.lined - 1, now);
        }
        n.potential += h.cmd.units / n.frame_units;
        n.unmark(&h.tag);
        let reached = h.tag.finish.floor() as i64;
        if reached > n.frame && n.counters.get(&n.frame).is_none_or(|&c| c == 0) {
            n.frame = reached;
            n.potential = n.potential.max(reached as f64);
            n.counters = n.counters.split_off(&reached);
        }
        let hand_off = h.hand_offs;
        let patience = PATIENCE * self.start.bands[h.cmd.band].soft_limit;
        n.out.push(Out { id, hand_off, at: now, patience, passed: 0, cancelled: false });
        n.cold.add(now, h.cmd.units);
        if h.hand_offs > 0 {
            self.further.add(now, 1.0);
        } else if let Some(store) = self.stores.get_mut(&h.cmd.volume).filter(|_| h.drew_limit) {
            let plan = &self.start.plans[h.cmd.plan];
            store.fill(now, plan.limit_rate / h.cmd.hosts, plan.limit_store / h.cmd.hosts);
            (store.units, store.drawn) = (store.units - h.cmd.units, store.drawn - h.cmd.units);
        }
        h.hand_offs += 1;
        h.stage = Stage::Out(node);
        h.may_have_run.get_or_insert((h.hand_offs, now, node));
        Where::To { node, time_out: h.ends - now }
    }

    /// Moves what is known of a node by an outcome: its window, its latency, its rests.
    fn judge(&mut self, now: Ms, id: usize, node: usize, answer: &Answer, size: f64, proof: f64) {
        let Some(n) = &mut self.nodes[node] else { return };
        let crowded = n.out.len() as f64 >= n.window - 1.0;
        let silent = n.silent(now);
        let Some(place) = n.out.iter().position(|o| o.id == id) else { return };
        n.out.remove(place);
        match answer.outcome {
            Outcome::Settled => {
                n.proof.add(now, proof);
                let sized = answer.latency * size;
                n.bests.add(now, sized);
                let recent = n.latency.map_or(sized, |l| l + SMOOTHING * (sized - l));
                n.latency = Some(recent);
                let best = n.bests.lowest_mean(now).unwrap_or(recent);
                if recent > self.tight {
                    n.window = (n.window * (1.0 - NARROWING)).max(JAM_FLOOR);
                } else if recent > FAR_FROM_BEST * best && n.window > FLOOR {
                    n.window = (n.window * (1.0 - NARROWING)).max(FLOOR);
                } else if crowded && (recent < NEAR_BEST * best || n.window < FLOOR) {
                    n.window = (n.window + 1.0 / n.window).min(CEILING);
                }
                n.rest = FIRST_REST;
                n.out[..place].iter_mut().for_each(|o| o.passed += 1);
            }
            Outcome::Full | Outcome::NoConnection | Outcome::Reset => n.set_back(now, 0.5),
            // A node that answered nothing until then is tried again with one command at a time.
            Outcome::TimedOut | Outcome::Cancelled if silent => n.set_back(now, 0.0),
            _ => {}
        }
        if !matches!(answer.outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Moot) {
            n.answered = now;
        }
        n.reset_if_idle();
    }

    /// The final answer of a command that this host gives up: a bounce where that is known to be harmless.
    fn end(&mut self, now: Ms, id: usize) -> Ending {
        self.unline(id);
        let Some(Some(h)) = self.held.get(id) else { return Ending::Scrapped };
        let band = &self.start.bands[h.cmd.band];
        let harmless = match (band.repeats, band.group) {
            (Repeats::Retriable, _) | (Repeats::Fingerprinted, Group::All) => true,
            _ => h.may_have_run.is_none(),
        };
        let back = self.start.longest_back.min((h.ends - now).max(0.0));
        self.forget(now, id);
        if harmless {
            Ending::Bounced { back }
        } else {
            Ending::Scrapped
        }
    }

    fn forget(&mut self, now: Ms, id: usize) {
        let Some(h) = self.held[id].take() else { return };
        self.outside.remove(&h.turn);
        if let Some((line, _)) = h.cmd.key.and_then(|key| self.keys.get_mut(&key)) {
            line.retain(|&other| other != id);
        }
        self.keys.retain(|_, (line, rest)| !line.is_empty() || now < *rest);
    }
}
