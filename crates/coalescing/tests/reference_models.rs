//! Coalescing, the overlap lock and split reads against simple reference models, on generated requests.

use magpiewick_coalescing::{
    split_range, BatchLimits, Coalescer, OverlapLock, PendingWrite, SplitRead, SplitReadProgress, WriteRange,
};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

fn limits() -> BatchLimits {
    BatchLimits { max_parts: 4, max_units: 6.0, max_bytes: 500, max_gap: 3 }
}

/// A write of a small space, so that ranges meet often.
fn pending_write((a, b, c): (u8, u8, u8)) -> PendingWrite {
    let (start, length) = (u64::from(a % 40), u64::from(b % 3) + 1);
    PendingWrite {
        volume: u64::from(c % 2),
        shard: u32::from(c / 2 % 2),
        class: u16::from(c / 4 % 2),
        start,
        end: start + length,
        bytes: 60 * (1 + usize::from(b % 4)),
        units: f64::from(b % 3) + 1.0,
    }
}

fn coalescer(pending: &BTreeMap<u64, PendingWrite>) -> Coalescer {
    let mut coalescer = Coalescer::new(limits());
    pending.iter().for_each(|(request_id, write)| coalescer.insert(*request_id, *write));
    coalescer
}

/// The parts of the batch that `leader` begins; `rejects` names those that the scheduler would reject.
fn dispatch(coalescer: &mut Coalescer, leader: u64, rejects: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut parts = vec![leader];
    while let Some(other) = coalescer.next_candidate(parts.iter().copied()) {
        if !rejects(other) {
            parts.push(other);
        }
    }
    parts
}

quickcheck! {
    fn every_batch_keeps_its_limits(writes: Vec<(u8, u8, u8)>, leader: usize, rejected: u8) -> bool {
        let pending: BTreeMap<u64, PendingWrite> = (1..).zip(writes.into_iter().map(pending_write)).collect();
        if pending.is_empty() {
            return true;
        }
        let leader = 1 + leader as u64 % pending.len() as u64;
        let mut coalescer = coalescer(&pending);
        let rejects = |request_id: u64| rejected > 0 && request_id.is_multiple_of(u64::from(rejected % 4 + 2));
        let parts = dispatch(&mut coalescer, leader, rejects);
        coalescer.on_dispatched(parts.iter().copied());
        let of = |p: &u64| pending[p];
        let first = pending[&leader];
        let group = |p: PendingWrite| (p.shard, p.volume, p.class);
        let fits = parts.len() <= 4
            && parts.iter().map(|p| of(p).units).sum::<f64>() <= 6.0
            && parts.iter().map(|p| of(p).bytes).sum::<usize>() <= 500
            && parts.iter().all(|p| group(of(p)) == group(first));
        let mut ranges: Vec<(u64, u64)> = parts.iter().map(|p| (of(p).start, of(p).end)).collect();
        ranges.sort_unstable();
        let apart = ranges.windows(2).all(|w| w[0].1 <= w[1].0 && w[1].0 - w[0].1 <= 3);
        // A dispatched write is not offered again.
        let again = pending.keys().filter(|c| !parts.contains(c)).all(|c| {
            let others = dispatch(&mut coalescer, *c, |_| false);
            coalescer.on_dispatched([].into_iter());
            others.iter().all(|o| !parts.contains(o))
        });
        (parts.len() == 1 || fits) && apart && again
    }

    /// A neighbour that would fit into a batch of one is found: compared with a search over all of them.
    fn a_neighbour_that_fits_joins_the_batch(writes: Vec<(u8, u8, u8)>, leader: usize) -> bool {
        // Fewer than the search examines.
        let pending: BTreeMap<u64, PendingWrite> = (1..).zip(writes.into_iter().take(12).map(pending_write)).collect();
        if pending.is_empty() {
            return true;
        }
        let leader = 1 + leader as u64 % pending.len() as u64;
        let first = pending[&leader];
        let fits = |p: &PendingWrite| {
            let same = (p.shard, p.volume, p.class) == (first.shard, first.volume, first.class);
            let near = p.end <= first.start && first.start - p.end <= 3
                || p.start >= first.end && p.start - first.end <= 3;
            same && near && p.units + first.units <= 6.0 && p.bytes + first.bytes <= 500
        };
        let any = pending.iter().any(|(request_id, p)| *request_id != leader && fits(p));
        (dispatch(&mut coalescer(&pending), leader, |_| false).len() > 1) == any
    }

    /// Reference model: an earlier write that overlaps and is not over blocks a later one.
    fn overlapping_writes_run_one_at_a_time_in_order(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut lock = OverlapLock::default();
        let mut reference: Vec<(u64, WriteRange)> = Vec::new();
        let may = |reference: &[(u64, WriteRange)], request_id: u64| {
            let at = reference.iter().position(|p| p.0 == request_id).unwrap_or(0);
            let w = reference[at].1;
            !reference[..at].iter().any(|(_, e)| {
                let meets = e.volume == w.volume && e.start < w.end && w.start < e.end;
                meets && (w.ordering_key.is_none() || e.ordering_key != w.ordering_key)
            })
        };
        for (request_id, (a, b, c)) in (1..).zip(steps) {
            if c % 3 == 0 && !reference.is_empty() {
                let before: Vec<u64> = reference.iter().map(|p| p.0).filter(|p| may(&reference, *p)).collect();
                let released = reference.remove(usize::from(a) % reference.len()).0;
                let unblocked = lock.release(released);
                let now: Vec<u64> = reference.iter().map(|p| p.0).filter(|p| may(&reference, *p)).collect();
                let expected: Vec<u64> = now.into_iter().filter(|p| !before.contains(p)).collect();
                if unblocked != expected {
                    return false;
                }
            } else {
                let p = pending_write((a, b, c));
                let ordering_key = (b >= 128).then_some(p.start);
                let write = WriteRange { volume: p.volume, start: p.start, end: p.end, ordering_key };
                reference.push((request_id, write));
                if lock.acquire(request_id, write) != may(&reference, request_id) {
                    return false;
                }
            }
            if lock.blocked_count() != reference.iter().filter(|p| lock.is_blocked(p.0)).count() {
                return false;
            }
        }
        true
    }

    /// Whatever is batched and whatever ends first, the bytes are those of one write after the other.
    fn batched_writes_leave_the_bytes_of_sequential_writes(writes: Vec<(u8, u8, u8)>, order: Vec<usize>) -> bool {
        let (mut lock, mut coalescer) = (OverlapLock::default(), Coalescer::new(limits()));
        let (mut reference, mut found) = (BTreeMap::new(), BTreeMap::new());
        let all: BTreeMap<u64, PendingWrite> = (1..).zip(writes.into_iter().map(pending_write)).collect();
        let write = |bytes: &mut BTreeMap<(u64, u64), u64>, request_id: u64| {
            let p = all[&request_id];
            (p.start..p.end).for_each(|block| _ = bytes.insert((p.volume, block), request_id));
        };
        let mut ready = Vec::new();
        for (request_id, p) in &all {
            write(&mut reference, *request_id);
            let w = WriteRange { volume: p.volume, start: p.start, end: p.end, ordering_key: None };
            if lock.acquire(*request_id, w) {
                ready.push(*request_id);
                coalescer.insert(*request_id, *p);
            }
        }
        let mut order = order.into_iter().cycle().take(4 * all.len());
        while !ready.is_empty() {
            let leader = ready[order.next().unwrap_or(0) % ready.len()];
            let parts = dispatch(&mut coalescer, leader, |_| false);
            coalescer.on_dispatched(parts.iter().copied());
            ready.retain(|r| !parts.contains(r));
            for part in parts {
                write(&mut found, part);
                for unblocked in lock.release(part) {
                    ready.push(unblocked);
                    coalescer.insert(unblocked, all[&unblocked]);
                }
            }
        }
        reference == found && lock.blocked_count() == 0
    }

    fn pieces_cover_the_range_once_and_none_crosses_an_extent(a: u16, b: u8, edges: Vec<u16>, most: u8) -> bool {
        let (start, end, most) = (u64::from(a % 500), u64::from(a % 500) + u64::from(b) + 1, u64::from(most % 40) + 1);
        let mut edges: Vec<u64> = edges.into_iter().map(|e| u64::from(e % 800)).collect();
        edges.sort_unstable();
        edges.dedup();
        let pieces = split_range(start, end, edges.iter().copied(), most);
        let joined = pieces.windows(2).all(|w| w[0].1 == w[1].0);
        joined
            && pieces.first().map(|p| p.0) == Some(start)
            && pieces.last().map(|p| p.1) == Some(end)
            && pieces.iter().all(|p| p.0 < p.1 && p.1 - p.0 <= most)
            && pieces.iter().all(|p| !edges.iter().any(|e| p.0 < *e && *e < p.1))
    }

    /// Pieces may arrive in any order; the payload is in the right one, and the in-flight limit holds.
    fn pieces_are_reassembled_in_order_within_the_in_flight_limit(lengths: Vec<u8>, max_in_flight: u8, order: Vec<usize>) -> bool {
        let pieces: Vec<Vec<u8>> = lengths.iter().map(|n| vec![*n; usize::from(*n)]).collect();
        let max_in_flight = usize::from(max_in_flight % 5) + 1;
        let mut read = SplitRead::new(pieces.len(), max_in_flight, usize::MAX);
        let (mut out, mut whole) = (Vec::new(), None);
        let mut order = order.into_iter().chain(std::iter::repeat(0));
        loop {
            while let Some(piece) = read.start_next() {
                out.push(piece);
            }
            if out.len() > max_in_flight || out.is_empty() {
                break;
            }
            let piece = out.remove(order.next().unwrap_or(0) % out.len());
            if let SplitReadProgress::Complete(all) = read.on_received(piece, pieces[piece].clone()) {
                whole = Some(all);
            }
        }
        out.is_empty() && whole == (!pieces.is_empty()).then(|| pieces.concat())
    }
}

#[test]
fn the_first_failure_cancels_a_read_and_its_buffer_is_bounded() {
    let mut read = SplitRead::new(4, 3, 10);
    assert_eq!(
        [read.start_next(), read.start_next(), read.start_next(), read.start_next()],
        [Some(0), Some(1), Some(2), None]
    );
    assert_eq!(read.on_received(1, vec![0; 6]), SplitReadProgress::Pending);
    assert_eq!(read.start_next(), Some(3));
    assert_eq!(read.cancel(), [0, 2, 3]);
    assert_eq!((read.cancel(), read.start_next()), (vec![], None), "it ends once");
    assert_eq!(read.on_received(0, vec![1]), SplitReadProgress::Pending, "a late piece is ignored");
    let mut large = SplitRead::new(2, 2, 10);
    assert_eq!((large.start_next(), large.start_next()), (Some(0), Some(1)));
    assert_eq!(large.on_received(0, vec![0; 8]), SplitReadProgress::Pending);
    assert_eq!(large.on_received(1, vec![0; 8]), SplitReadProgress::TooLarge);
}
