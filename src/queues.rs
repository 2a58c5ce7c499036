//! Structures of the module that decide nothing: sums over rings of time, an order of times, and lists by
//! time, turn, shard and key, so that a decision looks only at what has changed.

use crate::terms::Ms;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sums over fixed buckets of time, used again in a ring.
#[derive(Default)]
pub struct Ring {
    slot: Ms,
    at: i64,
    sums: Vec<(f64, f64)>,
}

impl Ring {
    pub fn new(slot: Ms, slots: usize) -> Ring {
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
pub struct Agenda<K> {
    times: BTreeMap<K, i64>,
    queue: BTreeSet<(i64, K)>,
}

impl<K: Ord + Copy> Default for Agenda<K> {
    fn default() -> Agenda<K> {
        Agenda { times: BTreeMap::new(), queue: BTreeSet::new() }
    }
}

impl<K: Ord + Copy> Agenda<K> {
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
pub struct Waiting {
    by_shard: BTreeMap<Option<usize>, BTreeSet<(i64, usize)>>,
    pub late: Agenda<Option<usize>>,
    /// Those outside by turn, then by node those in its line; and where each stands.
    doomed: BTreeSet<((usize, u64), usize)>,
    places: BTreeMap<usize, (usize, u64)>,
}

impl Waiting {
    /// Notes that a command waits until it is late, or does no more.
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

    /// Notes a command that no longer waits as hopeless, or that it stands elsewhere now.
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

/// Commands outside all lines: by turn those that name a shard and may have become free to join a line, and
/// those that name none. The others sleep until a time or until somebody wakes them.
#[derive(Default)]
pub struct Outside {
    pub look: BTreeMap<u64, usize>,
    pub open: BTreeMap<u64, usize>,
    asleep: Agenda<(u64, usize)>,
    /// By volume: those that found its store short.
    short: BTreeMap<usize, BTreeSet<usize>>,
}

impl Outside {
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

/// Keys whose commands run one after the other, and until when each rests.
#[derive(Default)]
pub struct Keys {
    lines: BTreeMap<usize, (VecDeque<usize>, Ms)>,
    /// Keys without a line, each with when it has rested.
    empty: VecDeque<(Ms, usize)>,
}

impl Keys {
    pub fn join(&mut self, now: Ms, key: usize, id: usize) {
        self.lines.entry(key).or_insert_with(|| (VecDeque::new(), now)).0.push_back(id);
    }

    /// The first command of a key, and until when the key rests.
    pub fn first(&self, key: usize) -> Option<(usize, Ms)> {
        let (line, rest) = self.lines.get(&key)?;
        Some((*line.front()?, *rest))
    }

    pub fn rest(&mut self, key: usize, until: Ms) {
        if let Some((_, rest)) = self.lines.get_mut(&key) {
            *rest = until;
        }
    }

    /// Takes a command out; the first one of the key then. Keys that have rested are forgotten.
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

/// What failed lately: when, and when it was first tried.
pub struct Failures<K> {
    by_kind: BTreeMap<K, VecDeque<(Ms, Ms)>>,
    all: VecDeque<(Ms, K)>,
}

impl<K: Ord + Copy> Default for Failures<K> {
    fn default() -> Failures<K> {
        Failures { by_kind: BTreeMap::new(), all: VecDeque::new() }
    }
}

impl<K: Ord + Copy> Failures<K> {
    pub fn note(&mut self, now: Ms, kind: K, first: Ms) {
        self.all.push_back((now, kind));
        self.by_kind.entry(kind).or_default().push_back((now, first));
    }

    /// When the last one of a kind was first tried.
    pub fn first_of(&self, kind: K) -> Option<Ms> {
        Some(self.by_kind.get(&kind)?.back()?.1)
    }

    pub fn settled(&mut self, kind: K) {
        self.by_kind.remove(&kind);
    }

    /// Forgets what failed before a time.
    pub fn forget(&mut self, before: Ms) {
        while let Some(&(at, kind)) = self.all.front().filter(|f| f.0 < before) {
            self.all.pop_front();
            let Some(of) = self.by_kind.get_mut(&kind) else { continue };
            if of.front().is_some_and(|f| f.0 <= at) {
                of.pop_front();
            }
            if of.is_empty() {
                self.by_kind.remove(&kind);
            }
        }
    }
}

/// Units that fill at a rate.
pub struct Store {
    pub units: f64,
    pub filled: Ms,
    /// Taken by commands that wait in line; the store does not fill in their place until they are sent.
    pub drawn: f64,
}

impl Store {
    pub fn fill(&mut self, now: Ms, a_second: f64, most: f64) {
        self.units = (self.units + (now - self.filled) * a_second / 1000.0).min(most);
        self.filled = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        fn ranks_are_ordered_as_their_numbers(a: f64, b: f64) -> bool {
            rank(a).cmp(&rank(b)) == a.total_cmp(&b)
        }

        /// A plain model: a map from things to times, sorted when asked.
        fn an_agenda_is_a_map_by_time(steps: Vec<(u8, Option<i16>)>, now: i16) -> bool {
            let (mut agenda, mut plain) = (Agenda::default(), BTreeMap::new());
            for (thing, at) in steps {
                agenda.set(thing, at.map(f64::from));
                match at {
                    Some(at) => _ = plain.insert(thing, at),
                    None => _ = plain.remove(&thing),
                }
            }
            let mut due: Vec<(i16, u8)> = plain.iter().filter(|p| *p.1 <= now).map(|p| (*p.1, *p.0)).collect();
            due.sort_unstable();
            let due: Vec<u8> = due.into_iter().map(|d| d.1).collect();
            agenda.due(f64::from(now)).collect::<Vec<_>>() == due && agenda.is_empty() == plain.is_empty()
        }

        /// A plain model: one list of commands in the order taken.
        fn keys_have_the_order_taken(steps: Vec<(u8, u8)>) -> bool {
            let (mut keys, mut plain): (Keys, Vec<(usize, usize)>) = (Keys::default(), Vec::new());
            let first = |plain: &[(usize, usize)], key| plain.iter().find(|p| p.0 == key).map(|p| p.1);
            for (now, (what, a)) in (0..).zip(steps) {
                let (now, key) = (f64::from(now), usize::from(a % 3));
                if what % 3 == 0 && !plain.is_empty() {
                    let (key, id) = plain.remove(usize::from(a) % plain.len());
                    if keys.leave(now, key, id) != first(&plain, key) {
                        return false;
                    }
                } else {
                    let id = now as usize;
                    keys.join(now, key, id);
                    plain.push((key, id));
                }
                if (0..3).any(|key| keys.first(key).map(|f| f.0) != first(&plain, key)) {
                    return false;
                }
            }
            true
        }
    }
}
