//! Small indices for the ids of a wire. They are only looked up, never walked in hash order.

use std::collections::HashMap;
use std::hash::Hash;

/// Ids in the order in which they were first met.
pub struct Indices<K>(HashMap<K, usize>);

impl<K> Default for Indices<K> {
    fn default() -> Indices<K> {
        Indices(HashMap::new())
    }
}

impl<K: Eq + Hash> Indices<K> {
    pub fn of(&mut self, id: K) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

/// How many keys are kept at least; more than a host can have in hand at once.
const KEYS: usize = 100_000;

/// Indices of keys, of which there is no end: those not met among the latest are forgotten.
#[derive(Default)]
pub struct Keys {
    latest: HashMap<u64, usize>,
    before: HashMap<u64, usize>,
    next: usize,
}

impl Keys {
    pub fn of(&mut self, key: u64) -> usize {
        if self.latest.len() >= KEYS {
            self.before = std::mem::take(&mut self.latest);
        }
        let met = self.latest.get(&key).or_else(|| self.before.get(&key)).copied();
        let index = met.unwrap_or_else(|| {
            self.next += 1;
            self.next
        });
        *self.latest.entry(key).or_insert(index)
    }
}
