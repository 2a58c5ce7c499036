//! Every decision of a host. A caller asks through `place` (where to send this command), `after` (what to do
//! after this outcome) and `wait` (how long to wait, repeated until it names a time); `listed` and
//! `given_up` are notes that return nothing. The types of the interface are in `terms.rs`, the mechanism
//! and its departures in `docs/design.md`.

use crate::terms::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};

/// The window of hand-offs out at one node: the design's floor and start, and its ceiling.
const FLOOR: f64 = 4.0;
const CEILING: f64 = 32.0;
/// Departures while a node answers slower than these parts of the shortest soft limit: the window falls to
/// one, and on until all hosts' windows together are at the floor. Under one it widens by this and doubles.
const TIGHT: f64 = 0.15;
const JAMMED: f64 = 0.6;
const JAM_STEP: f64 = 0.05;
/// How much more than its payoff a volume's reserve counts.
const IN_RESERVE: f64 = 4.0;
/// Latency over its recent best at which the window widens and narrows, and the step of narrowing.
const NEAR_BEST: f64 = 1.5;
const FAR_FROM_BEST: f64 = 2.5;
const NARROWING: f64 = 0.1;
/// How much one answer moves the smoothed latency.
const SMOOTHING: f64 = 0.15;
/// Buckets for a node's latencies (the recent best is the lowest mean of three or more) and settled units.
const SLOT: Ms = 1000.0;
const SLOTS: usize = 12;
/// A volume counts into the weights at a node for this long after its last command there.
const SEEN: Ms = 2000.0;
/// A node that answers nothing for a soft limit, and for this multiple of its latency, is silent; a hand-off
/// out as long that this many later ones have passed is lost.
const PATIENCE_TIMES: f64 = 4.0;
const PASSED: u32 = 8;
/// Waits between tries at a silent or refusing node: the first, doubled up to the last.
const FIRST_REST: Ms = 50.0;
const LAST_REST: Ms = 1600.0;
/// How long a host sleeps at most while it holds commands that nothing else would wake it for.
const NAP: Ms = 5.0;
/// The part of a band's and plan's commands with their longest time limit from which shorter ones mean later
/// tries, and how much of what was counted stays with each command.
const USUAL: f64 = 0.3;
const RECENT: f64 = 0.95;
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

    /// What came within the ring's whole time: never less than that, or never more.
    fn sum(&mut self, now: Ms, at_least: bool) -> f64 {
        let oldest = (self.turn(now) + 1) % self.sums.len();
        self.sums.iter().enumerate().filter(|(i, _)| at_least || *i != oldest).map(|(_, s)| s.0).sum()
    }

    fn lowest_mean(&mut self, now: Ms) -> Option<f64> {
        self.turn(now);
        self.sums.iter().filter(|s| s.1 >= 3.0).map(|s| s.0 / s.1).min_by(f64::total_cmp)
    }
}

/// Where a held command stands: outside the lines (its key, limit or node forbids it for now), in the line of
/// a node, out at one, or over while its last hand-off is still out.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Outside,
    Lined(usize),
    Out(usize),
    Over(usize),
}

#[derive(Clone, Copy, Default)]
struct Tag {
    start: f64,
    finish: f64,
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
    first: Ms,
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

/// A hand-off that is out; `passed` counts those sent after it and answered before it, `load` the units of
/// all that travel with it, which share one place of the window.
struct Out {
    batch: u64,
    load: f64,
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
    soft_limit: Ms,
    latency: Option<f64>,
    bests: Ring,
    /// What it settled for this host lately, and the units that it may be sent while it is cold.
    served: Ring,
    credit: f64,
    credited: Ms,
    sent: Ms,
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

    /// A place for a command that is spared rests, as its volume's reserve covers it, or for another.
    fn has_place(&self, now: Ms, spared: bool) -> bool {
        let open = self.entry.condition == Condition::Ready && now >= self.rests_until;
        let latency = self.latency.unwrap_or(0.0);
        let spared = self.window >= 1.0 || spared && latency <= self.soft_limit;
        let rested = spared || now >= self.sent + latency / self.window;
        open && rested && self.places() < self.window.max(1.0) && !self.silent(now)
    }

    /// The places of the window that are taken: one for all that left together, until the last of them ends.
    fn places(&self) -> f64 {
        let mut last = 0;
        self.out.iter().filter(|o| std::mem::replace(&mut last, o.batch) != o.batch).count() as f64
    }

    fn set_back(&mut self, now: Ms, least: f64, part: f64) {
        self.window = (self.window * part).max(least);
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

/// Volume, key, band and units: what a client's later try shares with the first.
type Again = (usize, usize, usize, u64);

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

/// What a volume's service pays: its reserve in full, its share by weight at the share's part.
fn weight(s: &Start, band: usize, plan: usize, reserved: bool) -> f64 {
    let rates: f64 = s.plans.iter().map(|p| p.rate).sum();
    let weights: f64 = s.plans.iter().map(|p| p.weight).sum();
    let p = &s.plans[plan];
    let share = s.share_payoff * p.weight * rates / weights.max(1e-9);
    let part = if reserved && p.reserve > 0.0 { IN_RESERVE * p.reserve } else { share };
    (p.price * s.bands[band].payoff * part).max(1e-6)
}

pub struct Brain {
    start: Start,
    chance: WyRand,
    born: Ms,
    turns: u64,
    batches: u64,
    held: Vec<Option<Held>>,
    outside: BTreeMap<u64, usize>,
    nodes: Vec<Option<Node>>,
    keys: BTreeMap<usize, (VecDeque<usize>, Ms)>,
    stores: BTreeMap<usize, Store>,
    dues: BTreeMap<usize, Store>,
    /// By band and plan: the longest time limit met, how many commands had it lately and how many any.
    limits: Vec<(Ms, f64, f64)>,
    /// Commands that failed lately: when, which, and when they were first tried.
    tries: VecDeque<(Ms, Again, Ms)>,
    /// By shard: what its node settled for this host a millisecond, when it was last seen warm.
    usual: BTreeMap<usize, f64>,
    taken: Ring,
    further: Ring,
    ask_at: Option<Ms>,
    ask_rest: Ms,
    jam_floor: f64,
    /// The shortest of all bands.
    soft_limit: Ms,
    /// The smallest weight that any volume can have.
    least: f64,
}

impl Brain {
    pub fn new(start: Start, now: Ms) -> Brain {
        let window = start.budget.as_ref().map_or(1000.0, |b| b.window) / PARTS as f64;
        let (bands, plans) = (start.bands.len(), start.plans.len());
        let weights = (0..2 * bands * plans).map(|i| weight(&start, i / 2 / plans, i / 2 % plans, i % 2 > 0));
        Brain {
            chance: WyRand::new_seed(start.seed),
            born: now,
            turns: 0,
            batches: 0,
            held: Vec::new(),
            outside: BTreeMap::new(),
            nodes: Vec::new(),
            keys: BTreeMap::new(),
            stores: BTreeMap::new(),
            dues: BTreeMap::new(),
            limits: vec![(0.0, 0.0, 0.0); bands * plans.max(1)],
            tries: VecDeque::new(),
            usual: BTreeMap::new(),
            taken: Ring::new(window, PARTS),
            further: Ring::new(window, PARTS),
            ask_at: start.ask_within.map(|_| now),
            ask_rest: FIRST_REST,
            jam_floor: (FLOOR / start.hosts).min(1.0),
            soft_limit: start.bands.iter().map(|b| b.soft_limit).fold(f64::INFINITY, f64::min),
            least: weights.fold(f64::INFINITY, f64::min),
            start,
        }
    }

    /// Where to send this command: asked when it is taken, and each time `wait` names it.
    pub fn place(&mut self, now: Ms, id: usize, cmd: &Command) -> Where {
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
        match self.held[id].as_ref().map(|h| (h.stage, self.hopeless(now, h))) {
            Some((Stage::Lined(node), _)) if self.next_of(now, node) == Some(id) => {
                self.send(now, id, node, false)
            }
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
        let units = h.cmd.units;
        if let Some(due) = self.dues.get_mut(&h.cmd.volume) {
            due.units = (due.units - answer.others).max(0.0);
        }
        let again = Brain::again(&h.cmd).filter(|_| outcome == Outcome::Settled);
        self.tries.retain(|t| Some(t.1) != again);
        if outcome.never_ran() && h.may_have_run.is_some_and(|(number, ..)| number == h.hand_offs) {
            h.may_have_run = None;
        }
        self.judge(now, id, node, answer, units);
        let Some(Some(h)) = self.held.get_mut(id) else { return Next::Nothing };
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let key = h.cmd.key.filter(|_| self.start.bands[h.cmd.band].in_order);
            if let Some((_, rest)) = key.and_then(|key| self.keys.get_mut(&key)) {
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
        let gone = |n: &Node| news != News::Changes && !entries.iter().any(|e| e.node == n.entry.node);
        for node in self.nodes.iter_mut().flatten().filter(|n| gone(n)) {
            node.entry.condition = Condition::Gone;
        }
        let warm = self.start.cold_time;
        for n in self.nodes.iter_mut().flatten().filter(|n| n.entry.condition == Condition::Ready) {
            if n.entry.started.is_none_or(|at| now >= at + warm) {
                self.usual.insert(n.entry.shard, n.served.sum(now, false) / SLOT / SLOTS as f64);
            }
        }
        for entry in entries {
            if self.nodes.len() <= entry.node {
                self.nodes.resize_with(entry.node + 1, || None);
            }
            let node = self.nodes[entry.node].get_or_insert_with(|| Node {
                window: FLOOR,
                soft_limit: self.soft_limit,
                bests: Ring::new(SLOT, SLOTS),
                served: Ring::new(SLOT, SLOTS),
                rest: FIRST_REST,
                ..Node::default()
            });
            if node.entry.started != entry.started {
                (node.window, node.rests_until) = (FLOOR, now);
                // Spreads the hosts' first commands; a host that has just started may have spent its own.
                let spread = self.chance.generate::<u32>() as f64 / u32::MAX as f64;
                let old = f64::from(now - self.born >= self.start.fall_time);
                (node.credit, node.credited) = (self.start.most_units * spread * old, now);
            }
            node.entry = entry.clone();
        }
        // Commands lined at a node that drains or went wait for the node that takes its shard.
        let unusable = self.nodes.iter().flatten().filter(|n| n.entry.condition != Condition::Ready);
        let moved: Vec<usize> = unusable.flat_map(|n| n.line.clone()).collect();
        moved.into_iter().for_each(|id| self.unline(id));
        let over = |n: &mut Node| n.entry.condition == Condition::Gone && n.out.is_empty();
        self.nodes.iter_mut().for_each(|n| _ = n.take_if(over));
    }

    /// The client has gone: nothing is owed any more.
    pub fn given_up(&mut self, now: Ms, id: usize) {
        self.failed(now, id);
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

    /// The data of a held command lies on another shard now: what waits follows it before it is sent, with its
    /// tag given back where it stood; what is out ends where it is. Guards against hand-offs spent on nodes that
    /// do not hold the data, whoever moved it; it could harm where news of moves is wrong: a hand-off each.
    pub fn moved(&mut self, now: Ms, id: usize, shard: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        (h.cmd.shard, h.not_before) = (Some(shard), now.min(h.not_before));
        self.unline(id);
    }

    fn take(&mut self, now: Ms, id: usize, cmd: &Command) {
        self.taken.add(now, cmd.counts);
        self.turns += 1;
        // A client's later try, or one that waited for a stalled host, comes with less than the usual time
        // limit. Where clients of a plan are impatient that is no sign, but a key that failed here lately is:
        // it counts against the first's soft limit, so that no volume gains by repeating.
        let band = &self.start.bands[cmd.band];
        let (longest, usual, all) = &mut self.limits[cmd.band * self.start.plans.len().max(1) + cmd.plan];
        if cmd.time_limit > *longest + 1.0 {
            (*longest, *usual, *all) = (cmd.time_limit, 0.0, 0.0);
        }
        *all = *all * RECENT + 1.0;
        *usual = *usual * RECENT + f64::from(cmd.time_limit > *longest - 1.0);
        let spent = if *usual >= USUAL * *all { *longest - cmd.time_limit } else { 0.0 };
        let again = Some(cmd).filter(|c| c.time_limit < band.time_limit - 1.0).and_then(Brain::again);
        let tried = again.and_then(|a| self.tries.iter().rev().find(|t| t.1 == a));
        let first = tried.map_or(now, |t| t.2).min(now - spent);
        let ends = now + cmd.time_limit - 2.0 * self.start.round;
        let late_at = ends.min(first + band.soft_limit);
        if let Some(key) = self.in_order(cmd) {
            self.keys.entry(key).or_insert_with(|| (VecDeque::new(), now)).0.push_back(id);
        }
        self.outside.insert(self.turns, id);
        self.held[id] = Some(Held {
            cmd: cmd.clone(),
            turn: self.turns,
            first,
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

    fn again(cmd: &Command) -> Option<Again> {
        Some((cmd.volume, cmd.key?, cmd.band, cmd.units.to_bits()))
    }

    fn in_order(&self, cmd: &Command) -> Option<usize> {
        cmd.key.filter(|_| self.start.bands[cmd.band].in_order)
    }

    fn failed(&mut self, now: Ms, id: usize) {
        let Some(Some(h)) = self.held.get(id) else { return };
        let longest = self.start.bands.iter().map(|b| b.time_limit).fold(0.0, f64::max);
        while self.tries.front().is_some_and(|t| now > t.0 + longest) {
            self.tries.pop_front();
        }
        self.tries.extend(Brain::again(&h.cmd).map(|again| (now, again, h.first)));
    }

    /// Whether a held command is to be given its final answer now: it cannot be answered within its soft
    /// limit any more.
    fn hopeless(&self, now: Ms, h: &Held) -> bool {
        let node = h.cmd.shard.and_then(|shard| self.holder(shard));
        let latency = node.and_then(|n| self.nodes[n].as_ref()).and_then(|n| n.latency).unwrap_or(0.0);
        now + latency >= h.late_at
    }

    /// The node to which commands of a shard go: of those that are ready one that does not fail, and of these
    /// the one started first, as its successor is still cold.
    fn holder(&self, shard: usize) -> Option<usize> {
        let ready = |n: &&Node| n.entry.shard == shard && n.entry.condition == Condition::Ready;
        let holders = self.nodes.iter().flatten().filter(ready);
        let first = holders.min_by_key(|n| (n.rest > FIRST_REST, n.entry.started.map(|at| at as i64)));
        first.map(|n| n.entry.node)
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
        if !n.has_place(now, false) || n.line.iter().any(names_none) {
            return;
        }
        let mut open = self.outside.values().copied();
        if let Some(id) = open.find(|id| names_none(id) && self.free(now, *id, node)) {
            if self.draw_limit(now, id) {
                self.join(now, id, node);
            }
        }
    }

    fn free(&self, now: Ms, id: usize, node: usize) -> bool {
        let Some(h) = &self.held[id] else { return false };
        let key = self.in_order(&h.cmd).and_then(|key| self.keys.get(&key));
        let turn =
            key.is_none_or(|(line, rest)| line.front() == Some(&id) && (h.hand_offs > 0 || now >= *rest));
        turn && now >= h.not_before && self.repeats_fit(now, h, node)
    }

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
        store.drawn += f64::from(h.drew_limit) * h.cmd.units;
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

    fn join(&mut self, now: Ms, id: usize, node: usize) {
        let Some(Some(h)) = self.held.get(id) else { return };
        let (cmd, turn) = (h.cmd.clone(), h.turn);
        let reserved = self.within_reserve(now, &cmd);
        let (weight, units) = (weight(&self.start, cmd.band, cmd.plan, reserved), cmd.units);
        let Some(n) = &mut self.nodes[node] else { return };
        n.reset_if_idle();
        let fresh = Flow { last_finish: 0.0, weight, seen: now, lined: 0 };
        let flow = n.flows.entry((cmd.volume, reserved)).or_insert(fresh);
        flow.seen = now;
        flow.lined += 1;
        let p = n.potential;
        n.flows.retain(|_, f| f.lined > 0 || now - f.seen < SEEN || f.last_finish > p);
        let all: f64 = n.flows.values().map(|f| f.weight).sum();
        n.frame_units = self.start.most_together * all / self.least;
        let length = units * all / (n.frame_units * weight);
        let Some(flow) = n.flows.get_mut(&(cmd.volume, reserved)) else { return };
        let start = flow.last_finish.max(p);
        let tag = Tag { start, finish: start + length, reserved };
        flow.last_finish = tag.finish;
        if let Some(frame) = tag.marked() {
            *n.counters.entry(frame).or_insert(0) += 1;
        }
        n.line.push(id);
        self.outside.remove(&turn);
        if let Some(Some(h)) = self.held.get_mut(id) {
            (h.stage, h.tag) = (Stage::Lined(node), tag);
        }
    }

    /// Takes an unsent command out of its line: its frame's counter falls as a send would lower it, and the
    /// volume's next commands move up, as it is not charged for service that it did not get.
    fn unline(&mut self, id: usize) {
        let Some(Some(h)) = self.held.get_mut(id) else { return };
        let Stage::Lined(node) = h.stage else { return };
        h.stage = Stage::Outside;
        self.outside.insert(h.turn, id);
        if let Some(store) = self.stores.get_mut(&h.cmd.volume).filter(|_| h.drew_limit && h.hand_offs == 0) {
            h.drew_limit = false;
            store.drawn -= h.cmd.units;
        }
        if let Some(due) = self.dues.get_mut(&h.cmd.volume).filter(|_| h.tag.reserved) {
            due.units += h.cmd.units;
        }
        let Some(n) = &mut self.nodes[node] else { return };
        n.line.retain(|&other| other != id);
        n.unmark(&h.tag);
        if let Some(flow) = n.flows.get_mut(&(h.cmd.volume, h.tag.reserved)) {
            (flow.last_finish, flow.lined) =
                (flow.last_finish - (h.tag.finish - h.tag.start), flow.lined - 1);
        }
        n.reset_if_idle();
    }

    /// The command that leaves next at a node, if its window has room: the smallest finish tag among those
    /// not past their soft limit, but for those out of budget.
    fn next_of(&mut self, now: Ms, node: usize) -> Option<usize> {
        let places =
            |n: &Node| (!n.line.is_empty()).then(|| [n.has_place(now, false), n.has_place(now, true)]);
        let places = self.nodes[node].as_ref().and_then(places).filter(|p| p[1])?;
        let (bears, further) = (self.bears(now, node), self.budget_has_room(now));
        let most = self.start.bands.iter().map(|b| b.payoff).fold(0.0, f64::max);
        let ranks = self.nodes[node].iter().flat_map(|n| &n.line).filter_map(|&id| {
            let h = self.held[id].as_ref()?;
            let fits = bears && (further || h.hand_offs == 0);
            // Guards against long commands that may wait long and pay little for the places they hold.
            let spared = h.tag.reserved && 2.0 * self.start.bands[h.cmd.band].payoff >= most;
            let may = places[usize::from(spared)] && fits && now < h.late_at;
            (may && self.repeats_fit(now, h, node)).then_some((h.tag.finish, h.turn, id))
        });
        let first = ranks.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|rank| rank.2)
    }

    /// Whether a node may be sent a command, cold as it is. The units come from a credit, which grows as the
    /// rule's bound does at the slowest ramp: by this host's part of what the shard's node settled while it
    /// was warm (all hosts' parts are no more than a node can do) or of the stated units, if that is more.
    /// Guards against hosts that together push a node over, however many they are and whenever they were
    /// told; it could harm where a shard's traffic moves to hosts that sent it little before.
    fn bears(&mut self, now: Ms, node: usize) -> bool {
        let s = &self.start;
        let Some(n) = &mut self.nodes[node] else { return false };
        let age = n.entry.started.map_or(f64::INFINITY, |at| now - at);
        if age >= s.cold_time + s.fall_time {
            return true;
        }
        let ramp = s.cold_share + (1.0 - s.cold_share) * ((age - s.fall_time) / s.cold_time).clamp(0.0, 1.0);
        let stated = s.cold_units / s.hosts / s.cold_share / s.fall_time;
        // A host that has just started knows the shards of warm nodes; their mean stands in for the others.
        let mean = self.usual.values().sum::<f64>() / self.usual.len().max(1) as f64;
        let usual = s.fall_multiple * self.usual.get(&n.entry.shard).unwrap_or(&mean);
        let grown = ramp * usual.max(stated) * (now - n.credited);
        (n.credit, n.credited) = ((n.credit + grown).min(2.0 * s.most_units), now);
        n.credit >= s.most_units
    }

    fn budget_has_room(&mut self, now: Ms) -> bool {
        let Some(b) = &self.start.budget else { return true };
        self.further.sum(now, true) + 1.0 <= b.free + b.share * self.taken.sum(now, false)
    }

    fn send(&mut self, now: Ms, id: usize, node: usize, rides: bool) -> Where {
        let (Some(Some(h)), Some(n)) = (self.held.get_mut(id), &mut self.nodes[node]) else {
            return Where::NotYet;
        };
        n.line.retain(|&other| other != id);
        if let Some(flow) = n.flows.get_mut(&(h.cmd.volume, h.tag.reserved)) {
            (flow.lined, flow.seen) = (flow.lined - 1, now);
        }
        n.sent = now;
        n.potential += h.cmd.units / n.frame_units;
        n.unmark(&h.tag);
        let reached = h.tag.finish.floor() as i64;
        if reached > n.frame && n.counters.get(&n.frame).is_none_or(|&c| c == 0) {
            n.frame = reached;
            n.potential = n.potential.max(reached as f64);
            n.counters = n.counters.split_off(&reached);
        }
        let hand_off = h.hand_offs;
        let patience = self.start.bands[h.cmd.band].soft_limit;
        self.batches += u64::from(!rides);
        let (batch, load) = (self.batches, h.cmd.units);
        n.out.push(Out { batch, load, id, hand_off, at: now, patience, passed: 0, cancelled: false });
        n.credit -= h.cmd.units;
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

    /// Lets a lined command leave with the one that has just been sent, where nothing would forbid it to be next
    /// but the order of tags, and its tag starts less than a frame after that one's. Guards the mechanism's
    /// bounds, whatever travels together; it could harm those of other volumes that would leave before it: they
    /// wait for what the batch adds, and its volume's next tags are later for it.
    fn ride(&mut self, now: Ms, id: usize, first: usize) -> Where {
        let held = |id: usize| self.held.get(id).and_then(|h| h.as_ref());
        let (Some(h), Some((Stage::Out(node), tag))) = (held(id), held(first).map(|h| (h.stage, h.tag)))
        else {
            return Where::NotYet;
        };
        let Some(n) = self.nodes[node].as_ref().filter(|_| h.stage == Stage::Lined(node)) else {
            return Where::NotYet;
        };
        let (further, soon) = (h.hand_offs > 0, h.tag.start < tag.start + 1.0);
        let leaves = n.out.last().is_some_and(|o| o.at == now);
        let fits = leaves && soon && now < h.late_at && self.repeats_fit(now, h, node);
        if !fits || further && !self.budget_has_room(now) || !self.bears(now, node) {
            return Where::NotYet;
        }
        let to = self.send(now, id, node, true);
        let Some(n) = &mut self.nodes[node] else { return to };
        let all = n.out.iter().rev().find(|o| o.id == first).map_or(0.0, |o| o.load);
        let all = all + n.out.last().map_or(0.0, |o| o.load);
        n.out.iter_mut().filter(|o| o.batch == self.batches).for_each(|o| o.load = all);
        to
    }

    fn judge(&mut self, now: Ms, id: usize, node: usize, answer: &Answer, units: f64) {
        let Some(n) = &mut self.nodes[node] else { return };
        let crowded = n.places() >= n.window - 1.0;
        let silent = n.silent(now);
        let Some(place) = n.out.iter().position(|o| o.id == id) else { return };
        let load = n.out.remove(place).load;
        match answer.outcome {
            Outcome::Settled => {
                n.served.add(now, units);
                let sized = answer.latency * 2.0 / (1.0 + load / self.start.mean_units);
                n.bests.add(now, sized);
                let recent = n.latency.map_or(sized, |l| l + SMOOTHING * (sized - l));
                n.latency = Some(recent);
                let best = n.bests.lowest_mean(now).unwrap_or(recent);
                if recent > TIGHT * self.soft_limit {
                    let floor =
                        if recent > JAMMED * self.soft_limit { self.jam_floor } else { n.window.min(1.0) };
                    n.window = (n.window * (1.0 - NARROWING)).max(floor);
                } else if recent > FAR_FROM_BEST * best && n.window > FLOOR {
                    n.window = (n.window * (1.0 - NARROWING)).max(FLOOR);
                } else if n.window < 1.0 {
                    n.window = (2.0 * n.window + JAM_STEP).min(1.0);
                } else if crowded && (recent < NEAR_BEST * best || n.window < FLOOR) {
                    n.window = (n.window + 1.0 / n.window).min(CEILING);
                }
                n.rest = FIRST_REST;
                n.out[..place].iter_mut().for_each(|o| o.passed += 1);
            }
            Outcome::Full | Outcome::NoConnection | Outcome::Reset => n.set_back(now, self.jam_floor, 0.5),
            // A node that answered nothing until then is tried again with one command at a time.
            Outcome::TimedOut | Outcome::Cancelled if silent => n.set_back(now, self.jam_floor, 0.0),
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
        self.failed(now, id);
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
        if let Some((line, _)) = self.in_order(&h.cmd).and_then(|key| self.keys.get_mut(&key)) {
            line.retain(|&other| other != id);
        }
        self.keys.retain(|_, (line, rest)| !line.is_empty() || now < *rest);
    }
}
