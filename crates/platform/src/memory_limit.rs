//! Selection of the connections to close when buffers exceed the memory limit; free of I/O.

use crate::reactor::ConnectionKey;

/// Share of the memory limit above which connections are closed. The memory budget keeps buffers within a smaller share,
/// so that this is the last resort.
const MAX_BUFFERED_SHARE: f64 = 0.5;

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
pub(crate) struct ConnectionBuffers {
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
    /// Derives the limit. `limit_bytes`: memory limit of the process.
    pub(crate) fn new(limit_bytes: usize) -> MemoryLimit {
        MemoryLimit { bytes: (limit_bytes as f64 * MAX_BUFFERED_SHARE) as usize }
    }

    /// Returns whether buffers of `bytes` exceed the limit.
    pub(crate) fn is_exceeded(self, bytes: usize) -> bool {
        bytes > self.bytes
    }

    /// Selects the connections to close: by kind of owner, the largest first, until the remaining buffers are within
    /// the limit.
    pub(crate) fn select_to_close(
        self,
        candidates: impl Iterator<Item = ConnectionBuffers>,
    ) -> Vec<ConnectionKey> {
        let mut candidates: Vec<ConnectionBuffers> = candidates.filter(|buffers| buffers.bytes > 0).collect();
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
