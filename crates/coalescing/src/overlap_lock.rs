//! The order of overlapping writes: of two that overlap the one taken later waits until the earlier one is over.
//!
//! The module keeps requests of one key in their order; this keeps those whose ranges meet and whose keys
//! differ, or whose class the module does not order. Guards against two writes of one block in flight, whatever
//! sends, repeats or delays them; it could harm where many clients write the same blocks without minding the
//! order: they get one place in all.

use std::collections::{BTreeMap, HashMap};

/// A write's range in blocks of its volume, and the line in which the module orders it, where it does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Write {
    pub volume: u64,
    pub start: u64,
    pub end: u64,
    pub line: Option<u64>,
}

struct Kept {
    write: Write,
    /// How many earlier writes it waits for, and who waits for it.
    waits: usize,
    followers: Vec<u64>,
}

/// The writes of a host that are not over.
#[derive(Default)]
pub struct OverlapLock {
    kept: HashMap<u64, Kept>,
    /// By volume, start and request: the end.
    ranges: BTreeMap<(u64, u64, u64), u64>,
    longest: u64,
    waiting: usize,
}

impl OverlapLock {
    /// Takes a write in; true where it may go on at once.
    pub fn enter(&mut self, request_id: u64, write: Write) -> bool {
        let Write { volume, start, end, line } = write;
        let from = start.saturating_sub(self.longest);
        let near = self.ranges.range((volume, from, 0)..(volume, end, 0));
        let earlier: Vec<u64> = near.filter(|(_, e)| **e > start).map(|(spot, _)| spot.2).collect();
        let mut waits = 0;
        for other in earlier {
            if let Some(kept) = self.kept.get_mut(&other) {
                // The module orders these two by itself.
                if line.is_none() || kept.write.line != line {
                    kept.followers.push(request_id);
                    waits += 1;
                }
            }
        }
        self.longest = self.longest.max(end - start);
        self.ranges.insert((volume, start, request_id), end);
        self.kept.insert(request_id, Kept { write, waits, followers: Vec::new() });
        self.waiting += usize::from(waits > 0);
        waits == 0
    }

    pub fn waits(&self, request_id: u64) -> bool {
        self.kept.get(&request_id).is_some_and(|k| k.waits > 0)
    }

    /// How many writes wait here.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Lets a write go on though an earlier one is not over: it is to end without being sent.
    pub fn pass(&mut self, request_id: u64) {
        if let Some(kept) = self.kept.get_mut(&request_id).filter(|k| k.waits > 0) {
            kept.waits = 0;
            self.waiting -= 1;
        }
    }

    /// A write is over, and cannot take effect any more; those that may go on now, in the order taken.
    pub fn leave(&mut self, request_id: u64) -> Vec<u64> {
        let Some(gone) = self.kept.remove(&request_id) else { return Vec::new() };
        self.ranges.remove(&(gone.write.volume, gone.write.start, request_id));
        self.waiting -= usize::from(gone.waits > 0);
        let mut free = Vec::new();
        for follower in gone.followers {
            let Some(kept) = self.kept.get_mut(&follower).filter(|k| k.waits > 0) else { continue };
            kept.waits -= 1;
            if kept.waits == 0 {
                self.waiting -= 1;
                free.push(follower);
            }
        }
        free
    }
}
