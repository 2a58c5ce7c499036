//! How fast moves may go: a budget over the installation and a shard, and way for live work. Free of I/O.

/// Bounds on moves.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Moves that may be under way at once, in all and from or to one shard.
    pub at_once: usize,
    pub a_shard: usize,
    /// Commands that wait at a node from which on a move that has not begun holds back.
    pub queue: usize,
}

impl Pace {
    /// Whether a move may begin, with these under way as pairs of source and target, and so many commands waiting
    /// at its own two. A move that has begun goes on: between fence and switch nobody is served, and a copy that
    /// waits only grows its rest. Guards against moves that together overload a target, and against moves in a
    /// surge; it could harm where a shard is so loaded that what would relieve it never begins: an operator then
    /// raises the bound.
    pub fn may_begin(&self, under_way: &[(u32, u32)], (from, to): (u32, u32), waiting: usize) -> bool {
        let touches = |shard: u32| under_way.iter().filter(|m| m.0 == shard || m.1 == shard).count();
        under_way.len() < self.at_once
            && touches(from) < self.a_shard
            && touches(to) < self.a_shard
            && waiting < self.queue
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    quickcheck! {
        /// Moves that are asked in any order never pass a bound, and all begin once the others are over.
        fn the_budget_holds_and_starves_nobody(asked: Vec<(u8, u8)>) -> bool {
            let pace = Pace { at_once: 3, a_shard: 2, queue: 10 };
            let asked = asked.iter().map(|(a, b)| (u32::from(a % 5), u32::from(b % 5)));
            let mut left: Vec<(u32, u32)> = asked.filter(|(a, b)| a != b).collect();
            let mut under_way: Vec<(u32, u32)> = Vec::new();
            for _ in 0..=left.len() {
                left.retain(|m| {
                    let may = pace.may_begin(&under_way, *m, 0) && !pace.may_begin(&under_way, *m, 10);
                    under_way.extend(may.then_some(*m));
                    !may
                });
                let at = |s: u32| under_way.iter().filter(|m| m.0 == s || m.1 == s).count();
                if under_way.len() > 3 || (0..5).any(|s| at(s) > 2) {
                    return false;
                }
                under_way.pop();
            }
            left.is_empty()
        }
    }
}
