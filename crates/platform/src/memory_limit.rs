//! Who gives way where too many bytes wait in memory; free of I/O.

/// The part of the memory's limit that bytes on their way may take. The rest is for the program, its tables, the list
/// of nodes, copies while an answer is passed on, and what the allocator does not give back.
const BUFFERED_SHARE: f64 = 0.4;

/// How many bytes may wait at once.
pub fn bound(limit_mb: f64) -> usize {
    (limit_mb * BUFFERED_SHARE * f64::from(1 << 20)) as usize
}

/// Whether so many bytes are more than half of what may wait.
pub fn is_half_taken(bound: usize, held: usize) -> bool {
    held > bound / 2
}

/// What a connection holds: a client's that is owed an answer never gives way; one to a node does before a client
/// whose answer is on its way, as what it was asked can still get an answer of another kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BufferOwner {
    Upstream,
    SendingResponse,
    AwaitingResponse,
}

/// Those that give way: of each kind the largest first, until the rest is within the bound. Guards against many
/// large answers at once, and against clients that read theirs slowly; each alone is within its own bound. It could
/// harm where a node's answers are large and the memory is small: an attempt that would have been answered.
pub fn select_to_close(bound: usize, all: impl Iterator<Item = (BufferOwner, usize, usize)>) -> Vec<usize> {
    let mut all: Vec<(BufferOwner, usize, usize)> = all.filter(|(_, bytes, _)| *bytes > 0).collect();
    let mut held: usize = all.iter().map(|a| a.1).sum();
    if held <= bound {
        return Vec::new();
    }
    all.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
    let mut gone = Vec::new();
    for (_, bytes, key) in all.into_iter().take_while(|a| a.0 != BufferOwner::AwaitingResponse) {
        if held <= bound {
            break;
        }
        held -= bytes;
        gone.push(key);
    }
    gone
}

#[cfg(test)]
mod tests;
