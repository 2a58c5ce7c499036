//! The order of overlapping writes: of two that overlap the later one is blocked until the earlier one is over.
//!
//! The scheduler orders requests of one key; this orders writes whose ranges overlap and whose keys differ, or
//! whose class is not ordered. It prevents two writes of one block from being in flight at once. Clients that
//! write the same blocks without need of an order share one slot for it.

use std::collections::{BTreeMap, HashMap};

/// The range of a write in blocks of its volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteRange {
    /// The volume that it writes.
    pub volume: u64,
    /// The first block.
    pub start: u64,
    /// The block after the last one.
    pub end: u64,
    /// The key by which the scheduler orders it, where its class is ordered.
    pub ordering_key: Option<u64>,
}

struct TrackedWrite {
    range: WriteRange,
    /// How many earlier writes block it.
    blockers: usize,
    /// Later writes that it blocks.
    blocked: Vec<u64>,
}

/// A write's volume, first block and request.
type RangeKey = (u64, u64, u64);

/// The writes of a host that are not over.
#[derive(Default)]
pub struct OverlapLock {
    writes: HashMap<u64, TrackedWrite>,
    /// The block after the last one of each write.
    range_ends: BTreeMap<RangeKey, u64>,
    /// Blocks of the longest write so far, which bounds the search for overlaps.
    longest: u64,
    blocked_count: usize,
}

impl OverlapLock {
    /// Takes a write in; true where no earlier write blocks it.
    pub fn acquire(&mut self, request_id: u64, range: WriteRange) -> bool {
        let mut blockers = 0;
        for earlier in self.overlapping(&range) {
            let Some(earlier) = self.writes.get_mut(&earlier) else { continue };
            let ordered_by_scheduler =
                range.ordering_key.is_some() && earlier.range.ordering_key == range.ordering_key;
            if !ordered_by_scheduler {
                earlier.blocked.push(request_id);
                blockers += 1;
            }
        }
        self.longest = self.longest.max(range.end - range.start);
        self.range_ends.insert((range.volume, range.start, request_id), range.end);
        self.writes.insert(request_id, TrackedWrite { range, blockers, blocked: Vec::new() });
        self.blocked_count += usize::from(blockers > 0);
        blockers == 0
    }

    fn overlapping(&self, range: &WriteRange) -> Vec<u64> {
        let first = (range.volume, range.start.saturating_sub(self.longest), 0);
        let starting_before_end = self.range_ends.range(first..(range.volume, range.end, 0));
        starting_before_end.filter(|(_, end)| **end > range.start).map(|(key, _)| key.2).collect()
    }

    /// Whether an earlier write blocks this one.
    pub fn is_blocked(&self, request_id: u64) -> bool {
        self.writes.get(&request_id).is_some_and(|write| write.blockers > 0)
    }

    /// How many writes are blocked.
    pub fn blocked_count(&self) -> usize {
        self.blocked_count
    }

    /// Unblocks a write though an earlier one is not over; for a write that ends without being sent.
    pub fn unblock(&mut self, request_id: u64) {
        if let Some(write) = self.writes.get_mut(&request_id).filter(|write| write.blockers > 0) {
            write.blockers = 0;
            self.blocked_count -= 1;
        }
    }

    /// A write is over and cannot take effect any more; returns the writes that it unblocks, in the order taken.
    pub fn release(&mut self, request_id: u64) -> Vec<u64> {
        let Some(released) = self.writes.remove(&request_id) else { return Vec::new() };
        self.range_ends.remove(&(released.range.volume, released.range.start, request_id));
        self.blocked_count -= usize::from(released.blockers > 0);
        let mut unblocked = Vec::new();
        for later in released.blocked {
            let Some(write) = self.writes.get_mut(&later).filter(|write| write.blockers > 0) else {
                continue;
            };
            write.blockers -= 1;
            if write.blockers == 0 {
                self.blocked_count -= 1;
                unblocked.push(later);
            }
        }
        unblocked
    }
}
