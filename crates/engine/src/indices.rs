//! Small indices for the ids of a wire. They are only looked up, never walked in hash order.

use std::collections::HashMap;

/// Ids in the order in which they were first met.
#[derive(Default)]
pub struct Indices(HashMap<u32, usize>);

impl Indices {
    pub fn of(&mut self, id: u32) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

/// Indices of ids of which there is no end, as of keys and volumes: those that were not met among the latest are
/// forgotten, and their indices are given out again, so that nothing that is kept by index grows for ever. Whoever
/// asks for more than `most` at once would see an index mean two things.
pub struct Recent {
    most: usize,
    latest: HashMap<u64, usize>,
    before: HashMap<u64, usize>,
    free: Vec<usize>,
    next: usize,
}

impl Recent {
    pub fn new(most: usize) -> Recent {
        Recent { most, latest: HashMap::new(), before: HashMap::new(), free: Vec::new(), next: 0 }
    }

    pub fn of(&mut self, id: u64) -> usize {
        if let Some(&index) = self.latest.get(&id) {
            return index;
        }
        if self.latest.len() >= self.most {
            let forgotten = std::mem::replace(&mut self.before, std::mem::take(&mut self.latest));
            let from = self.free.len();
            self.free.extend(forgotten.into_values());
            // The map's own order is another in each process.
            self.free[from..].sort_unstable_by(|a, b| b.cmp(a));
        }
        let index = self.before.remove(&id).or_else(|| self.free.pop()).unwrap_or_else(|| {
            self.next += 1;
            self.next
        });
        self.latest.insert(id, index);
        index
    }
}

#[cfg(test)]
mod tests;
