//! The planner beside plain slow models, on generated requests.

use magpiewick_coalescing::{cut, Bounds, Coalescer, OverlapLock, Piece, Progress, SplitRead, Write};
use quickcheck::quickcheck;
use std::collections::BTreeMap;

fn bounds() -> Bounds {
    Bounds { parts: 4, units: 6.0, bytes: 500, reach: 3 }
}

/// A write of a small space, so that ranges meet often.
fn piece((a, b, c): (u8, u8, u8)) -> Piece {
    let (start, length) = (u64::from(a % 40), u64::from(b % 3) + 1);
    Piece {
        volume: u64::from(c % 2),
        shard: u32::from(c / 2 % 2),
        class: u16::from(c / 4 % 2),
        start,
        end: start + length,
        bytes: 60 * (1 + usize::from(b % 4)),
        units: f64::from(b % 3) + 1.0,
    }
}

fn coalescer(held: &BTreeMap<u64, Piece>) -> Coalescer {
    let mut coalescer = Coalescer::new(bounds());
    held.iter().for_each(|(request_id, piece)| coalescer.hold(*request_id, *piece));
    coalescer
}

/// The parts that leave with `leader`; `keeps` names those that the module would keep back.
fn together(coalescer: &mut Coalescer, leader: u64, keeps: impl Fn(u64) -> bool) -> Vec<u64> {
    let mut parts = vec![leader];
    while let Some(other) = coalescer.beside(parts.iter().copied()) {
        if !keeps(other) {
            parts.push(other);
        }
    }
    parts
}

quickcheck! {
    fn what_leaves_together_fits(writes: Vec<(u8, u8, u8)>, leader: usize, kept: u8) -> bool {
        let held: BTreeMap<u64, Piece> = (1..).zip(writes.into_iter().map(piece)).collect();
        if held.is_empty() {
            return true;
        }
        let leader = 1 + leader as u64 % held.len() as u64;
        let mut coalescer = coalescer(&held);
        let keeps = |request_id: u64| kept > 0 && request_id.is_multiple_of(u64::from(kept % 4 + 2));
        let parts = together(&mut coalescer, leader, keeps);
        coalescer.left(parts.iter().copied());
        let of = |p: &u64| held[p];
        let first = held[&leader];
        let row = |p: Piece| (p.shard, p.volume, p.class);
        let fits = parts.len() <= 4
            && parts.iter().map(|p| of(p).units).sum::<f64>() <= 6.0
            && parts.iter().map(|p| of(p).bytes).sum::<usize>() <= 500
            && parts.iter().all(|p| row(of(p)) == row(first));
        let mut ranges: Vec<(u64, u64)> = parts.iter().map(|p| (of(p).start, of(p).end)).collect();
        ranges.sort_unstable();
        let apart = ranges.windows(2).all(|w| w[0].1 <= w[1].0 && w[1].0 - w[0].1 <= 3);
        // Whoever left is not offered again.
        let again = held.keys().filter(|c| !parts.contains(c)).all(|c| {
            let others = together(&mut coalescer, *c, |_| false);
            coalescer.left([].into_iter());
            others.iter().all(|o| !parts.contains(o))
        });
        (parts.len() == 1 || fits) && apart && again
    }

    /// Whoever would fit beside a single write is found: a plain search over all of them.
    fn a_neighbour_that_fits_is_found(writes: Vec<(u8, u8, u8)>, leader: usize) -> bool {
        // More of them than are looked at would be no fault.
        let held: BTreeMap<u64, Piece> = (1..).zip(writes.into_iter().take(12).map(piece)).collect();
        if held.is_empty() {
            return true;
        }
        let leader = 1 + leader as u64 % held.len() as u64;
        let first = held[&leader];
        let fits = |p: &Piece| {
            let same = (p.shard, p.volume, p.class) == (first.shard, first.volume, first.class);
            let near = p.end <= first.start && first.start - p.end <= 3
                || p.start >= first.end && p.start - first.end <= 3;
            same && near && p.units + first.units <= 6.0 && p.bytes + first.bytes <= 500
        };
        let any = held.iter().any(|(request_id, p)| *request_id != leader && fits(p));
        (together(&mut coalescer(&held), leader, |_| false).len() > 1) == any
    }

    /// A plain model: whoever was taken before, overlaps and is not over holds a write back.
    fn overlapping_writes_go_one_after_the_other(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut gate = OverlapLock::default();
        let mut plain: Vec<(u64, Write)> = Vec::new();
        let may = |plain: &[(u64, Write)], request_id: u64| {
            let at = plain.iter().position(|p| p.0 == request_id).unwrap_or(0);
            let w = plain[at].1;
            !plain[..at].iter().any(|(_, e)| {
                let meets = e.volume == w.volume && e.start < w.end && w.start < e.end;
                meets && (w.line.is_none() || e.line != w.line)
            })
        };
        for (request_id, (a, b, c)) in (1..).zip(steps) {
            if c % 3 == 0 && !plain.is_empty() {
                let before: Vec<u64> = plain.iter().map(|p| p.0).filter(|p| may(&plain, *p)).collect();
                let gone = plain.remove(usize::from(a) % plain.len()).0;
                let free = gate.leave(gone);
                let now: Vec<u64> = plain.iter().map(|p| p.0).filter(|p| may(&plain, *p)).collect();
                let expected: Vec<u64> = now.into_iter().filter(|p| !before.contains(p)).collect();
                if free != expected {
                    return false;
                }
            } else {
                let p = piece((a, b, c));
                let line = (b >= 128).then_some(p.start);
                let write = Write { volume: p.volume, start: p.start, end: p.end, line };
                plain.push((request_id, write));
                if gate.enter(request_id, write) != may(&plain, request_id) {
                    return false;
                }
            }
            if gate.waiting() != plain.iter().filter(|p| gate.waits(p.0)).count() {
                return false;
            }
        }
        true
    }

    /// Whatever travels together, and whatever ends first: the bytes are those of one write after the other.
    fn the_bytes_are_those_of_one_write_at_a_time(writes: Vec<(u8, u8, u8)>, order: Vec<usize>) -> bool {
        let (mut gate, mut coalescer) = (OverlapLock::default(), Coalescer::new(bounds()));
        let (mut plain, mut found) = (BTreeMap::new(), BTreeMap::new());
        let all: BTreeMap<u64, Piece> = (1..).zip(writes.into_iter().map(piece)).collect();
        let write = |bytes: &mut BTreeMap<(u64, u64), u64>, request_id: u64| {
            let p = all[&request_id];
            (p.start..p.end).for_each(|block| _ = bytes.insert((p.volume, block), request_id));
        };
        let mut ready = Vec::new();
        for (request_id, p) in &all {
            write(&mut plain, *request_id);
            let w = Write { volume: p.volume, start: p.start, end: p.end, line: None };
            if gate.enter(*request_id, w) {
                ready.push(*request_id);
                coalescer.hold(*request_id, *p);
            }
        }
        let mut order = order.into_iter().cycle().take(4 * all.len());
        while !ready.is_empty() {
            let leader = ready[order.next().unwrap_or(0) % ready.len()];
            let parts = together(&mut coalescer, leader, |_| false);
            coalescer.left(parts.iter().copied());
            ready.retain(|r| !parts.contains(r));
            for part in parts {
                write(&mut found, part);
                for free in gate.leave(part) {
                    ready.push(free);
                    coalescer.hold(free, all[&free]);
                }
            }
        }
        plain == found && gate.waiting() == 0
    }

    fn a_cut_covers_its_range_once_and_no_piece_crosses_an_edge(a: u16, b: u8, edges: Vec<u16>, most: u8) -> bool {
        let (start, end, most) = (u64::from(a % 500), u64::from(a % 500) + u64::from(b) + 1, u64::from(most % 40) + 1);
        let mut edges: Vec<u64> = edges.into_iter().map(|e| u64::from(e % 800)).collect();
        edges.sort_unstable();
        edges.dedup();
        let pieces = cut(start, end, edges.iter().copied(), most);
        let joined = pieces.windows(2).all(|w| w[0].1 == w[1].0);
        joined
            && pieces.first().map(|p| p.0) == Some(start)
            && pieces.last().map(|p| p.1) == Some(end)
            && pieces.iter().all(|p| p.0 < p.1 && p.1 - p.0 <= most)
            && pieces.iter().all(|p| !edges.iter().any(|e| p.0 < *e && *e < p.1))
    }

    /// Pieces may come in any order; the whole is in the right one, and never more are out than may be.
    fn pieces_come_together_in_their_order(lengths: Vec<u8>, at_once: u8, order: Vec<usize>) -> bool {
        let pieces: Vec<Vec<u8>> = lengths.iter().map(|n| vec![*n; usize::from(*n)]).collect();
        let at_once = usize::from(at_once % 5) + 1;
        let mut gather = SplitRead::new(pieces.len(), at_once, usize::MAX);
        let (mut out, mut whole) = (Vec::new(), None);
        let mut order = order.into_iter().chain(std::iter::repeat(0));
        loop {
            while let Some(piece) = gather.begin() {
                out.push(piece);
            }
            if out.len() > at_once || out.is_empty() {
                break;
            }
            let piece = out.remove(order.next().unwrap_or(0) % out.len());
            if let Progress::Whole(all) = gather.brought(piece, pieces[piece].clone()) {
                whole = Some(all);
            }
        }
        out.is_empty() && whole == (!pieces.is_empty()).then(|| pieces.concat())
    }
}

#[test]
fn the_first_failure_ends_a_gathering_and_what_is_kept_is_bounded() {
    let mut gather = SplitRead::new(4, 3, 10);
    assert_eq!(
        [gather.begin(), gather.begin(), gather.begin(), gather.begin()],
        [Some(0), Some(1), Some(2), None]
    );
    assert_eq!(gather.brought(1, vec![0; 6]), Progress::Pending);
    assert_eq!(gather.begin(), Some(3));
    assert_eq!(gather.end(), [0, 2, 3]);
    assert_eq!((gather.end(), gather.begin()), (vec![], None), "it ends once");
    assert_eq!(gather.brought(0, vec![1]), Progress::Pending, "what comes late is passed over");
    let mut large = SplitRead::new(2, 2, 10);
    assert_eq!((large.begin(), large.begin()), (Some(0), Some(1)));
    assert_eq!(large.brought(0, vec![0; 8]), Progress::Pending);
    assert_eq!(large.brought(1, vec![0; 8]), Progress::TooLarge);
}
