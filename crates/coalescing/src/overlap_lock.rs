//! Ordering of overlapping writes: of two overlapping writes, the later one is blocked until the earlier one has ended.
//!
//! The scheduler orders requests with the same key. The overlap lock orders writes with overlapping ranges that have
//! different keys or an unordered class, so that two writes to one block are never in flight at the same time. Writes
//! of several clients to the same blocks are therefore sent one at a time, even if the clients do not require an order.

use std::collections::{BTreeMap, HashMap};

/// Range of a write in blocks of its volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteRange {
    /// Volume to write.
    pub volume: u64,
    /// First block of the range.
    pub start: u64,
    /// End of the range, exclusive.
    pub end: u64,
    /// Key by which the scheduler orders the write; `None` if the class is not ordered.
    pub ordering_key: Option<u64>,
}

struct TrackedWrite {
    range: WriteRange,
    /// Number of earlier writes that block this write.
    blockers: usize,
    /// Later writes blocked by this write.
    blocked: Vec<u64>,
}

/// Volume, first block and request id of a write.
type RangeKey = (u64, u64, u64);

/// Lock on the ranges of all writes of a host that have not ended.
#[derive(Default)]
pub struct OverlapLock {
    writes: HashMap<u64, TrackedWrite>,
    /// Exclusive end of the range of each write.
    range_ends: BTreeMap<RangeKey, u64>,
    /// Length in blocks of the longest write so far, which bounds the search for overlaps.
    max_length: u64,
    blocked_count: usize,
}

impl OverlapLock {
    /// Registers a write; returns true if no earlier write blocks it.
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
        self.max_length = self.max_length.max(range.end - range.start);
        self.range_ends.insert((range.volume, range.start, request_id), range.end);
        self.writes.insert(request_id, TrackedWrite { range, blockers, blocked: Vec::new() });
        self.blocked_count += usize::from(blockers > 0);
        blockers == 0
    }

    fn overlapping(&self, range: &WriteRange) -> Vec<u64> {
        let first = (range.volume, range.start.saturating_sub(self.max_length), 0);
        let starting_before_end = self.range_ends.range(first..(range.volume, range.end, 0));
        starting_before_end.filter(|(_, end)| **end > range.start).map(|(key, _)| key.2).collect()
    }

    /// Returns whether an earlier write blocks this write.
    pub fn is_blocked(&self, request_id: u64) -> bool {
        self.writes.get(&request_id).is_some_and(|write| write.blockers > 0)
    }

    /// Returns the number of blocked writes.
    pub fn blocked_count(&self) -> usize {
        self.blocked_count
    }

    /// Unblocks a write although an earlier write has not ended. Used for a write that ends without being sent.
    pub fn unblock(&mut self, request_id: u64) {
        if let Some(write) = self.writes.get_mut(&request_id).filter(|write| write.blockers > 0) {
            write.blockers = 0;
            self.blocked_count -= 1;
        }
    }

    /// Removes a write that has ended and can no longer take effect. Returns the writes that become unblocked, in the
    /// order in which they were registered.
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
