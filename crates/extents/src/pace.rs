//! How fast moves may go: a budget over the installation and a shard, and way for live work. Free of I/O.

/// Bounds on moves.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Moves that may be under way at once, in all and from or to one shard.
    pub at_once: usize,
    pub a_shard: usize,
    /// Requests that wait at a node from which on a move that has not begun holds back.
    pub queue: usize,
}

impl Pace {
    /// Whether a move may begin, with these under way as pairs of source and target, and so many requests waiting
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
mod tests;
