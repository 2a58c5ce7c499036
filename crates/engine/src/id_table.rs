//! Small indices for the ids of a driver. Ids are only looked up, never iterated over in hash order.

use std::collections::HashMap;

/// Ids of a bounded set, numbered in the order in which they were first seen.
#[derive(Default)]
pub(crate) struct IdTable(HashMap<u32, usize>);

impl IdTable {
    /// The index of an id; a new id gets the next one.
    pub(crate) fn index_of(&mut self, id: u32) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

/// Indices for ids of an unbounded set, such as keys and volumes. Ids that are not among the recent ones are
/// evicted and their indices reused, so that state kept by index stays bounded. A caller that uses more than
/// `capacity` ids at once would see one index stand for two ids.
pub(crate) struct RecentIdTable {
    capacity: usize,
    current: HashMap<u64, usize>,
    previous: HashMap<u64, usize>,
    free_indices: Vec<usize>,
    highest_index: usize,
}

impl RecentIdTable {
    /// A table that keeps at least the last `capacity` ids, and less than twice as many.
    pub(crate) fn new(capacity: usize) -> RecentIdTable {
        RecentIdTable {
            capacity,
            current: HashMap::new(),
            previous: HashMap::new(),
            free_indices: Vec::new(),
            highest_index: 0,
        }
    }

    /// The index of an id, which counts as recent from now on.
    pub(crate) fn index_of(&mut self, id: u64) -> usize {
        if let Some(&index) = self.current.get(&id) {
            return index;
        }
        if self.current.len() >= self.capacity {
            self.start_generation();
        }
        let known = self.previous.remove(&id).or_else(|| self.free_indices.pop());
        let index = known.unwrap_or_else(|| {
            self.highest_index += 1;
            self.highest_index
        });
        self.current.insert(id, index);
        index
    }

    /// Evicts the previous generation; the current one takes its place.
    fn start_generation(&mut self) {
        let evicted = std::mem::replace(&mut self.previous, std::mem::take(&mut self.current));
        let first_freed = self.free_indices.len();
        self.free_indices.extend(evicted.into_values());
        // The hash order differs between processes; sorting keeps runs reproducible.
        self.free_indices[first_freed..].sort_unstable_by(|a, b| b.cmp(a));
    }
}

#[cfg(test)]
mod tests;
