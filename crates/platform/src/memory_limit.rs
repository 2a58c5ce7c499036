//! Which connections are closed where buffers take too much memory; free of I/O.

use crate::reactor::ConnectionKey;

/// The share of the memory limit that buffers may take. The rest is for the program, its tables, the endpoint list,
/// copies while a response is passed on, and what the allocator does not give back.
const BUFFERED_SHARE: f64 = 0.4;

/// Whose buffers they are. A client that is owed a response is never closed; a connection to an endpoint is closed
/// before a client that is being sent its response, as the attempt on it can still be answered in another way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BufferOwner {
    /// A connection on which this host sends requests.
    Upstream,
    /// A client that is being sent its response.
    SendingResponse,
    /// A client that is owed a response.
    AwaitingResponse,
}

/// The buffers of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferUse {
    /// Whose they are.
    pub owner: BufferOwner,
    /// Their size.
    pub bytes: usize,
    /// The connection.
    pub key: ConnectionKey,
}

/// How much memory all buffers together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimit {
    bytes: usize,
}

impl MemoryLimit {
    /// `limit_mb`: the memory limit of the process.
    pub(crate) fn new(limit_mb: f64) -> MemoryLimit {
        MemoryLimit { bytes: (limit_mb * BUFFERED_SHARE * f64::from(1 << 20)) as usize }
    }

    /// Whether so many bytes are more than half of what buffers may take.
    pub(crate) fn is_half_used(self, bytes: usize) -> bool {
        bytes > self.bytes / 2
    }

    /// The connections that are closed: of each kind of owner the largest first, until the rest is within the limit.
    pub(crate) fn select_to_close(self, all: impl Iterator<Item = BufferUse>) -> Vec<ConnectionKey> {
        let mut all: Vec<BufferUse> = all.filter(|buffers| buffers.bytes > 0).collect();
        let mut total: usize = all.iter().map(|buffers| buffers.bytes).sum();
        if total <= self.bytes {
            return Vec::new();
        }
        all.sort_unstable_by(|a, b| {
            a.owner.cmp(&b.owner).then(b.bytes.cmp(&a.bytes)).then(a.key.cmp(&b.key))
        });
        let mut selected = Vec::new();
        for buffers in all.into_iter().take_while(|buffers| buffers.owner != BufferOwner::AwaitingResponse) {
            if total <= self.bytes {
                break;
            }
            total -= buffers.bytes;
            selected.push(buffers.key);
        }
        selected
    }
}

#[cfg(test)]
mod tests;
