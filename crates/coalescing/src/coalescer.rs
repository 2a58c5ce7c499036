//! Selection of the pending writes that join a dispatched write in one batch.
//!
//! Coalescing does not delay writes: a write is registered only while it is pending for other reasons, and is found
//! when a neighbouring write is dispatched. The scheduler accepts or rejects each candidate, because rate limits, keys,
//! retry budgets and tags are kept there.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

/// Location and size of a pending write. The range is in blocks of the volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingWrite {
    /// Volume to write.
    pub volume: u64,
    /// Shard that serves the range.
    pub shard: u32,
    /// Number of the request class.
    pub class: u16,
    /// First block of the range.
    pub start: u64,
    /// End of the range, exclusive.
    pub end: u64,
    /// Payload size in bytes.
    pub bytes: usize,
    /// Work units.
    pub units: f64,
}

/// Limits on the size of a batch.
#[derive(Clone, Debug)]
pub struct BatchLimits {
    /// Maximum number of writes in a batch.
    pub max_parts: usize,
    /// Maximum total work units of the writes in a batch.
    pub max_units: f64,
    /// Maximum total payload of the writes in a batch, in bytes.
    pub max_bytes: usize,
    /// Maximum number of blocks between adjacent ranges.
    pub max_gap: u64,
}

/// Number of neighbours examined per permitted part of a batch. Bounds the search if most neighbours do not fit or are
/// rejected.
const CANDIDATES_PER_PART: usize = 4;

/// Group of writes that may share a batch: writes of one class to one volume on one shard.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BatchGroup {
    shard: u32,
    volume: u64,
    class: u16,
}

/// Sort key that orders pending writes by group and first block.
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

/// Batch for which candidates are being offered.
struct Batch {
    group: BatchGroup,
    ranges: Vec<(u64, u64)>,
    units: f64,
    bytes: usize,
    /// Lowest first block of the ranges.
    start: u64,
    /// Highest end of the ranges.
    end: u64,
    /// Most recently examined neighbour below the batch.
    examined_below: Position,
    /// Most recently examined neighbour above the batch.
    examined_above: Position,
    examined_count: usize,
    /// Most recently offered candidate.
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

/// Pending writes of a host, ordered by position.
pub struct Coalescer {
    limits: BatchLimits,
    pending: HashMap<u64, PendingWrite>,
    positions: BTreeSet<Position>,
    batch: Option<Batch>,
}

impl Coalescer {
    /// Creates a coalescer without pending writes.
    pub fn new(limits: BatchLimits) -> Coalescer {
        Coalescer { limits, pending: HashMap::new(), positions: BTreeSet::new(), batch: None }
    }

    /// Adds a pending write. A write that fills a batch alone is not stored.
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

    /// Returns the next write that may join `parts`, in order of distance from the batch. The first of `parts` is the
    /// write being dispatched. A candidate is treated as rejected unless it is the last of `parts` in the next call.
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

    /// Returns the nearest neighbour below or above the batch that has not been examined yet, and marks it as examined.
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

    /// Returns the next neighbour below the batch with its gap. Several positions are searched, since a long range that
    /// starts far below may end closer to the batch than short ranges that start nearer.
    fn neighbour_below(&self, batch: &Batch) -> Option<(u64, Position)> {
        let gap = |position: &Position| batch.start.saturating_sub(self.pending[&position.request_id].end);
        let below = self.positions.range(Position::first_of(batch.group)..batch.examined_below).rev();
        let searched = below.take(CANDIDATES_PER_PART * self.limits.max_parts);
        searched.map(|position| (gap(position), *position)).find(|(gap, _)| *gap <= self.limits.max_gap)
    }

    /// Returns the next neighbour above the batch with its gap.
    fn neighbour_above(&self, batch: &Batch) -> Option<(u64, Position)> {
        let above = (Bound::Excluded(batch.examined_above), Bound::Included(Position::last_of(batch.group)));
        let nearest = *self.positions.range(above).next()?;
        let gap = nearest.start.saturating_sub(batch.end);
        (gap <= self.limits.max_gap).then_some((gap, nearest))
    }

    /// Removes the dispatched parts; the next call of [`Coalescer::next_candidate`] starts a new batch.
    pub fn on_dispatched(&mut self, parts: impl Iterator<Item = u64>) {
        self.batch = None;
        parts.for_each(|request_id| self.remove(request_id));
    }
}
