//! Small indices for the ids of a driver. Ids are only looked up, never iterated over in hash order.

use std::collections::HashMap;

/// Table of ids from a bounded set, numbered in the order of first use.
#[derive(Default)]
pub(crate) struct IdTable(HashMap<u32, usize>);

impl IdTable {
    /// Returns the index of an id; a new id gets the next one.
    pub(crate) fn index_of(&mut self, id: u32) -> usize {
        let next = self.0.len();
        *self.0.entry(id).or_insert(next)
    }
}

/// Table of ids from an unbounded set, such as keys and volumes. Ids that are not recent are evicted and their
/// indices reused, so that state stored by index remains bounded. If more than `capacity` ids are in use at a time,
/// two ids may share an index.
pub(crate) struct RecentIdTable {
    capacity: usize,
    current: HashMap<u64, usize>,
    previous: HashMap<u64, usize>,
    free_indices: Vec<usize>,
    highest_index: usize,
}

impl RecentIdTable {
    /// Creates a table that keeps at least the last `capacity` ids, and less than twice as many.
    pub(crate) fn new(capacity: usize) -> RecentIdTable {
        RecentIdTable {
            capacity,
            current: HashMap::new(),
            previous: HashMap::new(),
            free_indices: Vec::new(),
            highest_index: 0,
        }
    }

    /// Returns the index of an id and marks the id as recent.
    pub(crate) fn index_of(&mut self, id: u64) -> usize {
        if let Some(&index) = self.current.get(&id) {
            return index;
        }
        if self.current.len() >= self.capacity {
            self.start_generation();
        }
        let reused = self.previous.remove(&id).or_else(|| self.free_indices.pop());
        let index = reused.unwrap_or_else(|| {
            self.highest_index += 1;
            self.highest_index
        });
        self.current.insert(id, index);
        index
    }

    /// Returns the approximate memory of the table.
    pub(crate) fn memory_bytes(&self) -> usize {
        let entries = self.current.capacity() + self.previous.capacity();
        entries * size_of::<(u64, usize)>() + self.free_indices.capacity() * size_of::<usize>()
    }

    /// Evicts the previous generation and replaces it by the current one.
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
