//! Which pending writes may join a write that is dispatched now, as one batch.
//!
//! No write waits for others to join it: a write is known here while it is pending anyway, and found when a
//! neighbour is dispatched. The scheduler accepts or rejects each candidate, as it knows the rate limits, keys,
//! retry budgets and tags.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

/// A pending write: where its data lies, and its size. The range is in blocks of the volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingWrite {
    /// The volume that it writes.
    pub volume: u64,
    /// The shard that serves the range.
    pub shard: u32,
    /// The number of its request class.
    pub class: u16,
    /// The first block.
    pub start: u64,
    /// The block after the last one.
    pub end: u64,
    /// Bytes of its payload.
    pub bytes: usize,
    /// Units of work.
    pub units: f64,
}

/// The limits of a batch.
#[derive(Clone, Debug)]
pub struct BatchLimits {
    /// Writes in a batch.
    pub max_parts: usize,
    /// Units of work of all its writes.
    pub max_units: f64,
    /// Bytes of payload of all its writes.
    pub max_bytes: usize,
    /// Blocks between a range and the next one.
    pub max_gap: u64,
}

/// How many neighbours are examined for each part that a batch may hold, so that the search stays bounded where
/// most of them do not fit or are rejected.
const CANDIDATES_PER_PART: usize = 4;

/// Writes that may share a batch: those of one class for one volume on one shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BatchGroup {
    shard: u32,
    volume: u64,
    class: u16,
}

/// Orders pending writes by group and first block.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    group: BatchGroup,
    start: u64,
    request_id: u64,
}

impl Position {
    fn of(request_id: u64, write: &PendingWrite) -> Position {
        let PendingWrite { shard, volume, class, start, .. } = *write;
        Position { group: BatchGroup { shard, volume, class }, start, request_id }
    }

    fn first_of(group: BatchGroup) -> Position {
        Position { group, start: 0, request_id: 0 }
    }

    fn last_of(group: BatchGroup) -> Position {
        Position { group, start: u64::MAX, request_id: u64::MAX }
    }
}

/// A batch to which candidates are being offered.
struct Batch {
    group: BatchGroup,
    ranges: Vec<(u64, u64)>,
    units: f64,
    bytes: usize,
    /// The lowest first block and the highest end of its ranges.
    start: u64,
    end: u64,
    /// The neighbours examined last in either direction.
    examined_below: Position,
    examined_above: Position,
    examined_count: usize,
    /// The candidate offered last.
    offered: Option<u64>,
}

impl Batch {
    fn new(request_id: u64, write: &PendingWrite) -> Batch {
        let position = Position::of(request_id, write);
        let mut batch = Batch {
            group: position.group,
            ranges: Vec::new(),
            units: 0.0,
            bytes: 0,
            start: write.start,
            end: write.end,
            examined_below: position,
            examined_above: position,
            examined_count: 0,
            offered: None,
        };
        batch.add(write);
        batch
    }

    fn add(&mut self, write: &PendingWrite) {
        self.ranges.push((write.start, write.end));
        self.units += write.units;
        self.bytes += write.bytes;
        self.start = self.start.min(write.start);
        self.end = self.end.max(write.end);
    }

    fn fits(&self, write: &PendingWrite, limits: &BatchLimits) -> bool {
        let disjoint = self.ranges.iter().all(|range| write.end <= range.0 || write.start >= range.1);
        disjoint
            && self.units + write.units <= limits.max_units
            && self.bytes + write.bytes <= limits.max_bytes
    }

    fn may_examine_more(&self, limits: &BatchLimits) -> bool {
        self.ranges.len() < limits.max_parts && self.examined_count < CANDIDATES_PER_PART * limits.max_parts
    }
}

/// The pending writes of a host, by position.
pub struct Coalescer {
    limits: BatchLimits,
    pending: HashMap<u64, PendingWrite>,
    positions: BTreeSet<Position>,
    batch: Option<Batch>,
}

impl Coalescer {
    /// A coalescer without pending writes.
    pub fn new(limits: BatchLimits) -> Coalescer {
        Coalescer { limits, pending: HashMap::new(), positions: BTreeSet::new(), batch: None }
    }

    /// Adds a pending write; one that fills a batch by itself is not kept.
    pub fn insert(&mut self, request_id: u64, write: PendingWrite) {
        self.remove(request_id);
        let limits = &self.limits;
        if limits.max_parts > 1 && write.units < limits.max_units && write.bytes < limits.max_bytes {
            self.positions.insert(Position::of(request_id, &write));
            self.pending.insert(request_id, write);
        }
    }

    /// Removes a write that is no longer pending.
    pub fn remove(&mut self, request_id: u64) {
        if let Some(write) = self.pending.remove(&request_id) {
            self.positions.remove(&Position::of(request_id, &write));
        }
    }

    /// The next write that may join `parts`, of which the first is dispatched now; the nearest come first. A
    /// candidate counts as rejected unless it is the last of `parts` at the next call.
    pub fn next_candidate(&mut self, parts: impl DoubleEndedIterator<Item = u64> + Clone) -> Option<u64> {
        let leader = parts.clone().next()?;
        let mut batch = match self.batch.take() {
            Some(batch) => batch,
            None => Batch::new(leader, self.pending.get(&leader)?),
        };
        if let Some(accepted) =
            batch.offered.take().filter(|offered| parts.clone().next_back() == Some(*offered))
        {
            batch.add(&self.pending[&accepted]);
        }
        let candidate = self.find_candidate(&mut batch);
        batch.offered = candidate;
        self.batch = Some(batch);
        candidate
    }

    fn find_candidate(&self, batch: &mut Batch) -> Option<u64> {
        while batch.may_examine_more(&self.limits) {
            batch.examined_count += 1;
            let neighbour = self.nearest_neighbour(batch)?;
            if batch.fits(&self.pending[&neighbour], &self.limits) {
                return Some(neighbour);
            }
        }
        None
    }

    /// Steps to the nearest neighbour that was not examined yet, below or above the batch.
    fn nearest_neighbour(&self, batch: &mut Batch) -> Option<u64> {
        let neighbour = match (self.neighbour_below(batch), self.neighbour_above(batch)) {
            (None, None) => return None,
            (Some(below), Some(above)) if below.0 >= above.0 => {
                batch.examined_above = above.1;
                above.1
            }
            (Some(below), _) => {
                batch.examined_below = below.1;
                below.1
            }
            (None, Some(above)) => {
                batch.examined_above = above.1;
                above.1
            }
        };
        Some(neighbour.request_id)
    }

    /// The next neighbour below, with its gap. Several are searched: a long range that starts far below may reach
    /// up to the batch past short ones that start nearer.
    fn neighbour_below(&self, batch: &Batch) -> Option<(u64, Position)> {
        let gap = |position: &Position| batch.start.saturating_sub(self.pending[&position.request_id].end);
        let below = self.positions.range(Position::first_of(batch.group)..batch.examined_below).rev();
        let searched = below.take(CANDIDATES_PER_PART * self.limits.max_parts);
        searched.map(|position| (gap(position), *position)).find(|(gap, _)| *gap <= self.limits.max_gap)
    }

    /// The next neighbour above, with its gap.
    fn neighbour_above(&self, batch: &Batch) -> Option<(u64, Position)> {
        let above = (Bound::Excluded(batch.examined_above), Bound::Included(Position::last_of(batch.group)));
        let nearest = *self.positions.range(above).next()?;
        let gap = nearest.start.saturating_sub(batch.end);
        (gap <= self.limits.max_gap).then_some((gap, nearest))
    }

    /// The parts were dispatched: the next call of [`Coalescer::next_candidate`] begins a new batch.
    pub fn on_dispatched(&mut self, parts: impl Iterator<Item = u64>) {
        self.batch = None;
        parts.for_each(|request_id| self.remove(request_id));
    }
}
