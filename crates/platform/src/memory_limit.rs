//! Selection of the connections to close when buffers exceed the memory limit; free of I/O.

use crate::reactor::ConnectionKey;

/// Share of the memory limit that buffers may take. The remainder is for the program, its tables, the endpoint list,
/// copies of a response that is being forwarded, and memory that the allocator does not return to the operating system.
const BUFFERED_SHARE: f64 = 0.4;

/// Owner of buffers. A client that awaits a response is never closed. A connection to an endpoint is closed before a
/// client that is being sent its response, because the request of a failed attempt can still be answered in another
/// way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BufferOwner {
    /// Connection on which this host sends requests.
    Upstream,
    /// Client that is being sent its response.
    SendingResponse,
    /// Client that awaits a response.
    AwaitingResponse,
}

/// Buffers of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BufferUse {
    /// Owner of the buffers.
    pub owner: BufferOwner,
    /// Size of the buffers in bytes.
    pub bytes: usize,
    /// Key of the connection.
    pub key: ConnectionKey,
}

/// Limit of the memory that all buffers together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimit {
    bytes: usize,
}

impl MemoryLimit {
    /// Derives the limit. `limit_mb`: memory limit of the process.
    pub(crate) fn new(limit_mb: f64) -> MemoryLimit {
        MemoryLimit { bytes: (limit_mb * BUFFERED_SHARE * f64::from(1 << 20)) as usize }
    }

    /// Returns whether `bytes` exceeds half of the limit.
    pub(crate) fn is_half_used(self, bytes: usize) -> bool {
        bytes > self.bytes / 2
    }

    /// Selects the connections to close: by kind of owner, the largest first, until the remaining buffers are within
    /// the limit.
    pub(crate) fn select_to_close(self, candidates: impl Iterator<Item = BufferUse>) -> Vec<ConnectionKey> {
        let mut candidates: Vec<BufferUse> = candidates.filter(|buffers| buffers.bytes > 0).collect();
        let mut total: usize = candidates.iter().map(|buffers| buffers.bytes).sum();
        if total <= self.bytes {
            return Vec::new();
        }
        candidates.sort_unstable_by(|a, b| {
            a.owner.cmp(&b.owner).then(b.bytes.cmp(&a.bytes)).then(a.key.cmp(&b.key))
        });
        let mut selected = Vec::new();
        for buffers in
            candidates.into_iter().take_while(|buffers| buffers.owner != BufferOwner::AwaitingResponse)
        {
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
