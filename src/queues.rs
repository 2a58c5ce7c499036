//! Structures of the module that decide nothing: what it knows of a request, an attempt and a node, sums over
//! rings of time, an order of times, lists by time, turn, shard and key, so that a decision looks only at what
//! has changed, and what other hosts told last.

use crate::types::{Endpoint, GossipReport, Ms, Request};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// RouteDecision a held request stands: outside the lines (its key, limit or node forbids it for now), in the line of
/// a node, out at one, or over while its last attempt is still out.
#[derive(Clone, Copy, PartialEq)]
pub enum RequestState {
    Blocked,
    Queued(usize),
    InFlight(usize),
    Finished(usize),
}

#[derive(Clone, Copy, Default)]
pub struct Tag {
    pub start: f64,
    pub finish: f64,
    pub reserved: bool,
}

impl Tag {
    pub fn marked(&self) -> Option<i64> {
        let frame = self.start.floor() as i64;
        (frame < self.finish.floor() as i64).then_some(frame)
    }
}

pub struct PendingRequest {
    pub cmd: Request,
    pub turn: u64,
    pub state: RequestState,
    pub tag: Tag,
    pub late_at: Ms,
    pub ends: Ms,
    pub attempts: u32,
    /// The first attempt not known not to have run: its number, when and where it went.
    pub may_have_run: Option<(u32, Ms, usize)>,
    pub not_before: Ms,
    pub drew_limit: bool,
    /// Counts those that joined a line.
    pub joined: u64,
}

pub struct Flow {
    pub last_finish: f64,
    pub weight: f64,
    pub seen: Ms,
    pub lined: u32,
}

/// An attempt that is out; `passed` counts those sent after it and answered before it, `load` the units of
/// all that travel with it, which share one place of the window.
pub struct InFlightAttempt {
    pub batch: u64,
    pub load: f64,
    pub id: usize,
    pub attempt: u32,
    pub at: Ms,
    pub patience: Ms,
    /// What it takes where nothing waits.
    pub own: Ms,
    pub passed: u32,
    pub cancelled: bool,
}

/// A node: the mechanism's lines and potentials, what is out, and what is known of it.
#[derive(Default)]
pub struct Node {
    pub entry: Endpoint,
    /// By finish tag and turn.
    pub line: BTreeSet<(i64, u64, usize)>,
    pub flows: BTreeMap<(usize, bool), Flow>,
    pub potential: f64,
    pub frame: i64,
    pub counters: BTreeMap<i64, u32>,
    pub frame_units: f64,
    pub out: Vec<InFlightAttempt>,
    pub window: f64,
    pub latency_objective: Ms,
    /// By how much its answers were lately over what requests take where nothing waits.
    pub wait: Ms,
    /// What the fastest class takes where nothing waits.
    pub base: Ms,
    /// How many later answers make an attempt doubtful.
    pub enough: u32,
    /// What it succeeded for this host lately, and the units that it may be sent while it is cold.
    pub served: RollingWindow,
    pub credit: f64,
    pub credited: Ms,
    pub sent: Ms,
    pub answered: Ms,
    pub mute: u32,
    /// What other hosts have out there, as far as they told; whether they tell at all.
    pub others: f64,
    pub hears: bool,
    /// How many of them have requests waiting for it, and how long this host's turn takes beside theirs.
    pub rivals: f64,
    pub turn: f64,
    pub rest: Ms,
    pub rests_until: Ms,
}

impl Node {
    /// Takes a lined request off its line and its frame's counter; what is known of its volume there.
    pub fn leaves_line(&mut self, id: usize, h: &PendingRequest) -> Option<&mut Flow> {
        self.line.remove(&(rank(h.tag.finish), h.turn, id));
        if let Some(count) = h.tag.marked().and_then(|frame| self.counters.get_mut(&frame)) {
            *count = count.saturating_sub(1);
        }
        let flow = self.flows.get_mut(&(h.cmd.volume, h.tag.reserved))?;
        flow.lined -= 1;
        Some(flow)
    }

    /// The places of the window that are taken: one for all that left together, until the last of them ends.
    pub fn places(&self) -> f64 {
        let mut last = 0;
        let out = self.out.iter().filter(|o| o.passed < self.enough);
        out.filter(|o| std::mem::replace(&mut last, o.batch) != o.batch).count() as f64
    }

    /// The last one out left with another: each of the batch stands for the units of all.
    pub fn adds_to_batch(&mut self, first: usize) {
        let Some((batch, own)) = self.out.last().map(|o| (o.batch, o.load)) else { return };
        let all = own + self.out.iter().rev().find(|o| o.id == first).map_or(0.0, |o| o.load);
        self.out.iter_mut().filter(|o| o.batch == batch).for_each(|o| o.load = all);
    }
}

/// What a node's waits are held against: the typical latency of each class at the mean size, the least of
/// these, what the shortest latency objective leaves beside it, and the floor of the window in a jam.
#[derive(Default)]
pub struct Bounds {
    pub jam_floor: f64,
    pub lossy: f64,
    pub enough: u32,
    pub typical: Vec<Ms>,
    pub best: Ms,
    pub room: Ms,
}

/// Sums over fixed buckets of time, used again in a ring.
#[derive(Default)]
pub struct RollingWindow {
    slot: Ms,
    at: i64,
    sums: Vec<(f64, f64)>,
}

impl RollingWindow {
    pub fn new(slot: Ms, slots: usize) -> RollingWindow {
        RollingWindow { slot, at: i64::MIN / 2, sums: vec![(0.0, 0.0); slots + 1] }
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

    pub fn add(&mut self, now: Ms, value: f64) {
        let i = self.turn(now);
        self.sums[i].0 += value;
        self.sums[i].1 += 1.0;
    }

    /// What came within the ring's whole time: never less than that, or never more.
    pub fn sum(&mut self, now: Ms, at_least: bool) -> f64 {
        let oldest = (self.turn(now) + 1) % self.sums.len();
        self.sums.iter().enumerate().filter(|(i, _)| at_least || *i != oldest).map(|(_, s)| s.0).sum()
    }

    pub fn lowest_mean(&mut self, now: Ms) -> Option<f64> {
        self.turn(now);
        self.sums.iter().filter(|s| s.1 >= 3.0).map(|s| s.0 / s.1).min_by(f64::total_cmp)
    }
}

/// A number whose order is that of `f64::total_cmp`, for keys of ordered sets.
pub fn rank(x: f64) -> i64 {
    let bits = x.to_bits() as i64;
    bits ^ (((bits >> 63) as u64) >> 1) as i64
}

/// Things that each have one time, by that time.
pub struct TimerQueue<K> {
    times: BTreeMap<K, i64>,
    queue: BTreeSet<(i64, K)>,
}

impl<K: Ord + Copy> Default for TimerQueue<K> {
    fn default() -> TimerQueue<K> {
        TimerQueue { times: BTreeMap::new(), queue: BTreeSet::new() }
    }
}

impl<K: Ord + Copy> TimerQueue<K> {
    /// Gives a thing another time, or takes it off.
    pub fn set(&mut self, thing: K, at: Option<Ms>) {
        let before = match at.map(rank) {
            Some(at) => {
                let before = self.times.insert(thing, at);
                if before == Some(at) {
                    return;
                }
                self.queue.insert((at, thing));
                before
            }
            None => self.times.remove(&thing),
        };
        if let Some(before) = before {
            self.queue.remove(&(before, thing));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The things whose time is not after `now`, the earliest first.
    pub fn due(&self, now: Ms) -> impl Iterator<Item = K> + '_ {
        let last = rank(now);
        self.queue.iter().take_while(move |(at, _)| *at <= last).map(|(_, thing)| *thing)
    }
}

/// What waits, by shard, and who of it is hopeless. It is told when the first of a shard is late, as that
/// hangs on the shard's node.
#[derive(Default)]
pub struct ExpiryQueue {
    by_shard: BTreeMap<Option<usize>, BTreeSet<(i64, usize)>>,
    pub late: TimerQueue<Option<usize>>,
    /// Those outside by turn, then by node those in its line; and where each stands.
    doomed: BTreeSet<((usize, u64), usize)>,
    places: BTreeMap<usize, (usize, u64)>,
}

impl ExpiryQueue {
    /// Notes that a request waits until it is late, or does no more.
    pub fn set(&mut self, shard: Option<usize>, late_at: Ms, id: usize, waits: bool) {
        if let Some(place) = self.places.remove(&id) {
            self.doomed.remove(&(place, id));
        }
        let waiting = self.by_shard.entry(shard).or_default();
        let entry = (rank(late_at), id);
        _ = if waits { waiting.insert(entry) } else { waiting.remove(&entry) };
        if waiting.is_empty() {
            self.by_shard.remove(&shard);
        }
    }

    /// The one of a shard that is late first.
    pub fn first(&self, shard: Option<usize>) -> Option<usize> {
        Some(self.by_shard.get(&shard)?.first()?.1)
    }

    pub fn of(&self, shard: usize) -> Vec<usize> {
        self.by_shard.get(&Some(shard)).into_iter().flatten().map(|(_, id)| *id).collect()
    }

    pub fn shards(&self) -> Vec<Option<usize>> {
        self.by_shard.keys().copied().collect()
    }

    /// Notes a request that no longer waits as hopeless, or that it stands elsewhere now.
    pub fn doom(&mut self, id: usize, place: (usize, u64)) {
        if let Some(before) = self.places.insert(id, place) {
            self.doomed.remove(&(before, id));
        }
        self.doomed.insert((place, id));
    }

    pub fn is_doomed(&self, id: usize) -> bool {
        self.places.contains_key(&id)
    }

    pub fn first_doomed(&self) -> Option<usize> {
        self.doomed.first().map(|d| d.1)
    }
}

/// Requests outside all lines: by turn those that name a shard and may have become free to join a line, and
/// those that name none. The others sleep until a time or until somebody wakes them.
#[derive(Default)]
pub struct BlockedRequests {
    pub look: BTreeMap<u64, usize>,
    pub open: BTreeMap<u64, usize>,
    asleep: TimerQueue<(u64, usize)>,
    /// By volume: those that found its store short.
    short: BTreeMap<usize, BTreeSet<usize>>,
}

impl BlockedRequests {
    pub fn wake(&mut self, turn: u64, id: usize, open: bool) {
        self.asleep.set((turn, id), None);
        _ = if open { &mut self.open } else { &mut self.look }.insert(turn, id);
    }

    pub fn sleep(&mut self, turn: u64, id: usize, until: Option<Ms>) {
        self.look.remove(&turn);
        self.asleep.set((turn, id), until);
    }

    /// Wakes those whose sleep is over.
    pub fn wake_due(&mut self, now: Ms) {
        let due: Vec<(u64, usize)> = self.asleep.due(now).collect();
        due.into_iter().for_each(|(turn, id)| self.wake(turn, id, false));
    }

    pub fn found_short(&mut self, volume: usize, id: usize) {
        self.short.entry(volume).or_default().insert(id);
    }

    pub fn short(&self, volume: usize) -> impl Iterator<Item = usize> + '_ {
        self.short.get(&volume).into_iter().flatten().copied()
    }

    pub fn leave(&mut self, turn: u64, id: usize, volume: usize) {
        self.sleep(turn, id, None);
        self.open.remove(&turn);
        let Some(short) = self.short.get_mut(&volume) else { return };
        short.remove(&id);
        if short.is_empty() {
            self.short.remove(&volume);
        }
    }
}

/// KeyLocks whose requests run one after the other, and until when each rests.
#[derive(Default)]
pub struct KeyLocks {
    lines: BTreeMap<usize, (VecDeque<usize>, Ms)>,
    /// KeyLocks without a line, each with when it has rested.
    empty: VecDeque<(Ms, usize)>,
}

impl KeyLocks {
    pub fn join(&mut self, now: Ms, key: usize, id: usize) {
        self.lines.entry(key).or_insert_with(|| (VecDeque::new(), now)).0.push_back(id);
    }

    /// The first request of a key, and until when the key rests.
    pub fn first(&self, key: usize) -> Option<(usize, Ms)> {
        let (line, rest) = self.lines.get(&key)?;
        Some((*line.front()?, *rest))
    }

    pub fn rest(&mut self, key: usize, until: Ms) {
        if let Some((_, rest)) = self.lines.get_mut(&key) {
            *rest = until;
        }
    }

    /// Takes a request out; the first one of the key then. KeyLocks that have rested are forgotten.
    pub fn leave(&mut self, now: Ms, key: usize, id: usize) -> Option<usize> {
        let (line, rest) = self.lines.get_mut(&key)?;
        line.retain(|&other| other != id);
        let next = line.front().copied();
        if next.is_none() {
            self.empty.push_back((*rest, key));
        }
        while let Some(&(_, key)) = self.empty.front().filter(|e| now >= e.0) {
            self.empty.pop_front();
            if self.lines.get(&key).is_some_and(|(line, rest)| line.is_empty() && now >= *rest) {
                self.lines.remove(&key);
            }
        }
        next
    }
}

/// What each other host told last, and its sums by node: attempts out, and hosts that have requests waiting.
#[derive(Default)]
pub struct GossipState {
    told: BTreeMap<usize, (Ms, Vec<GossipReport>)>,
    sums: BTreeMap<usize, (u32, u32)>,
}

impl GossipState {
    /// Puts what a host tells in the place of what it told before; the nodes of either.
    pub fn tells(&mut self, now: Ms, from: usize, told: &[GossipReport]) -> Vec<usize> {
        let before = self.told.insert(from, (now, told.to_vec())).map_or(Vec::new(), |b| b.1);
        for t in told {
            let (out, waiting) = self.sums.entry(t.node).or_default();
            (*out, *waiting) = (*out + t.out, *waiting + u32::from(t.waits));
        }
        for t in &before {
            let Some((out, waiting)) = self.sums.get_mut(&t.node) else { continue };
            (*out, *waiting) = (*out - t.out, *waiting - u32::from(t.waits));
        }
        self.sums.retain(|_, sums| *sums != (0, 0));
        before.iter().chain(told).map(|t| t.node).collect()
    }

    /// Drops what was told before some time; the nodes that it was about.
    pub fn lapse(&mut self, before: Ms) -> Vec<usize> {
        let old: Vec<usize> = self.told.iter().filter(|(_, t)| t.0 < before).map(|(from, _)| *from).collect();
        let nodes = old.iter().flat_map(|from| self.tells(before, *from, &[])).collect();
        old.iter().for_each(|from| _ = self.told.remove(from));
        nodes
    }

    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    pub fn at(&self, node: usize) -> (f64, f64) {
        self.sums.get(&node).map_or((0.0, 0.0), |s| (f64::from(s.0), f64::from(s.1)))
    }
}

/// RandomSource from one seed.
pub struct RandomSource(WyRand);

impl Default for RandomSource {
    fn default() -> RandomSource {
        RandomSource::new(0)
    }
}

impl RandomSource {
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(WyRand::new_seed(seed))
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.generate::<u32>() as f64 / u32::MAX as f64
    }

    /// A whole number below another.
    pub fn below(&mut self, most: usize) -> usize {
        self.0.generate_range(0..most)
    }
}

/// Units that fill at a rate.
pub struct TokenBucket {
    pub units: f64,
    pub filled: Ms,
    /// Taken by requests that wait in line; the store does not fill in their place until they are sent.
    pub drawn: f64,
}

impl TokenBucket {
    pub fn fill(&mut self, now: Ms, a_second: f64, most: f64) {
        self.units = (self.units + (now - self.filled) * a_second / 1000.0).min(most);
        self.filled = now;
    }
}

#[cfg(test)]
mod tests;
