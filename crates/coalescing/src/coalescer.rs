//! Which held writes may travel with one that leaves now, as one request of the node.
//!
//! Nothing waits for company: a write is known here while it is held anyway, and looked up when a neighbour
//! leaves. The module has the last word on each, as its limit, its key, the budget and its tag are there.

use std::collections::{BTreeSet, HashMap};

/// A held write: where its data lies, and what it weighs. The range is in blocks of the volume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Piece {
    pub volume: u64,
    pub shard: u32,
    pub class: u16,
    pub start: u64,
    pub end: u64,
    pub bytes: usize,
    pub units: f64,
}

/// What one request of a node may hold.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub parts: usize,
    pub units: f64,
    pub bytes: usize,
    /// The most blocks between a range and the next one.
    pub reach: u64,
}

/// How many neighbours are looked at for each part that a batch may hold: those that do not fit, or that the
/// module keeps back, must not make a search through all that is held.
const LOOKS: usize = 4;

/// Shard, volume and class, then the place in the volume, then the request.
type Spot = (u32, u64, u16, u64, u64);

struct Forming {
    row: (u32, u64, u16),
    ranges: Vec<(u64, u64)>,
    units: f64,
    bytes: usize,
    low: u64,
    high: u64,
    below: Spot,
    above: Spot,
    offered: Option<u64>,
    looks: usize,
}

impl Forming {
    fn accept(&mut self, p: &Piece) {
        self.ranges.push((p.start, p.end));
        (self.units, self.bytes) = (self.units + p.units, self.bytes + p.bytes);
        (self.low, self.high) = (self.low.min(p.start), self.high.max(p.end));
    }

    fn fits(&self, p: &Piece, bounds: &Bounds) -> bool {
        let apart = self.ranges.iter().all(|r| p.end <= r.0 || p.start >= r.1);
        apart && self.units + p.units <= bounds.units && self.bytes + p.bytes <= bounds.bytes
    }
}

/// The writes that are held, by place.
pub struct Coalescer {
    bounds: Bounds,
    held: HashMap<u64, Piece>,
    spots: BTreeSet<Spot>,
    forming: Option<Forming>,
}

fn spot(request_id: u64, p: &Piece) -> Spot {
    (p.shard, p.volume, p.class, p.start, request_id)
}

impl Coalescer {
    pub fn new(bounds: Bounds) -> Coalescer {
        Coalescer { bounds, held: HashMap::new(), spots: BTreeSet::new(), forming: None }
    }

    /// Notes that a write is held; one that could never travel with another is not kept.
    pub fn hold(&mut self, request_id: u64, piece: Piece) {
        self.let_go(request_id);
        if self.bounds.parts > 1 && piece.units < self.bounds.units && piece.bytes < self.bounds.bytes {
            self.spots.insert(spot(request_id, &piece));
            self.held.insert(request_id, piece);
        }
    }

    /// Forgets a write that is held no more: it left, or is over.
    pub fn let_go(&mut self, request_id: u64) {
        if let Some(piece) = self.held.remove(&request_id) {
            self.spots.remove(&spot(request_id, &piece));
        }
    }

    /// The next write that may travel with those in `parts`, of which the first one leaves now. One that was
    /// offered and is not the last of `parts` when this is asked again was kept back. Nearest ranges come first.
    pub fn beside(&mut self, parts: impl DoubleEndedIterator<Item = u64> + Clone) -> Option<u64> {
        let leader = parts.clone().next()?;
        if self.forming.is_none() {
            let p = self.held.get(&leader)?;
            let (row, here) = ((p.shard, p.volume, p.class), spot(leader, p));
            let (low, high, looks) = (p.start, p.end, 0);
            let mut forming = Forming {
                row,
                ranges: Vec::new(),
                units: 0.0,
                bytes: 0,
                low,
                high,
                below: here,
                above: here,
                offered: None,
                looks,
            };
            forming.accept(p);
            self.forming = Some(forming);
        }
        let forming = self.forming.as_mut()?;
        if let Some(p) = forming.offered.take().filter(|o| parts.clone().next_back() == Some(*o)) {
            forming.accept(&self.held[&p]);
        }
        while forming.ranges.len() < self.bounds.parts && forming.looks < LOOKS * self.bounds.parts {
            forming.looks += 1;
            let (shard, volume, class) = forming.row;
            let first: Spot = (shard, volume, class, 0, 0);
            let last: Spot = (shard, volume, class, u64::MAX, u64::MAX);
            // A range that starts far below may reach up to here past short ones that start nearer.
            let gap = |s: &Spot| forming.low.saturating_sub(self.held[&s.4].end);
            let below = self.spots.range(first..forming.below).rev().take(LOOKS * self.bounds.parts);
            let below = below.map(|s| (gap(s), *s)).find(|b| b.0 <= self.bounds.reach);
            let above = (std::ops::Bound::Excluded(forming.above), std::ops::Bound::Included(last));
            let above = self.spots.range(above).next().copied();
            let above = above.map(|s| (s.3.saturating_sub(forming.high), s));
            let above = above.filter(|a| a.0 <= self.bounds.reach);
            let next = match (below, above) {
                (None, None) => return None,
                (Some(b), Some(a)) if b.0 < a.0 => (b.1, true),
                (Some(b), None) => (b.1, true),
                (_, Some(a)) => (a.1, false),
            };
            match next {
                (s, true) => forming.below = s,
                (s, false) => forming.above = s,
            }
            if forming.fits(&self.held[&next.0 .4], &self.bounds) {
                forming.offered = Some(next.0 .4);
                return forming.offered;
            }
        }
        None
    }

    /// The parts left: the next call of `beside` begins anew.
    pub fn left(&mut self, parts: impl Iterator<Item = u64>) {
        self.forming = None;
        parts.for_each(|request_id| self.let_go(request_id));
    }
}
