//! Memory budget of a host's buffers: which input is kept, which requests are admitted, and which responses are read.
//!
//! Each connection may hold a small amount of memory at any time, so that small requests are served whatever other
//! connections hold. Everything beyond comes from one pool for the whole process. Input behind an open request may use a
//! quarter of the pool and requests half of it, so that the responses to admitted requests always find room.

use std::collections::VecDeque;

/// Bytes that each connection may hold whatever other connections hold: a request or a response of ordinary size.
pub const GUARANTEED_BYTES: usize = 4 << 10;

/// Share of the memory limit that buffers may take. The remainder is for the program, its tables, the endpoint list,
/// copies of a message that is being forwarded, and memory that the allocator does not return to the operating system.
const BUFFERED_SHARE: f64 = 0.4;
/// Smallest share of the memory limit that the pool takes, where many connections are guaranteed their part.
const MIN_POOL_SHARE: f64 = 0.1;
/// Part of the pool up to which input of clients that send ahead of their responses is kept.
const SENT_AHEAD_PART: f64 = 0.25;
/// Part of the pool up to which other requests are admitted.
const REQUEST_PART: f64 = 0.5;
/// Part of the pool up to which requests of ordinary size are admitted where no connection is guaranteed its part.
const SMALL_REQUEST_PART: f64 = 0.75;

/// Share of the memory limit that memory of no known owner may take before the allocator's free memory is released.
const MAX_UNACCOUNTED_SHARE: f64 = 0.15;

/// Purpose for which a client's connection needs memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPurpose {
    /// Input of a client that sends further requests before it has received a response.
    SentAhead,
    /// Single request of a client.
    Request,
}

/// Memory budget of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    limit_bytes: usize,
    pool_bytes: usize,
}

impl MemoryBudget {
    /// Derives the budget of a process with a limit of `limit_bytes` and at most `max_connections` connections.
    pub fn new(limit_bytes: usize, max_connections: usize) -> MemoryBudget {
        let guaranteed = max_connections * GUARANTEED_BYTES;
        let buffered = (limit_bytes as f64 * BUFFERED_SHARE) as usize;
        let min_pool = (limit_bytes as f64 * MIN_POOL_SHARE) as usize;
        MemoryBudget { limit_bytes, pool_bytes: buffered.saturating_sub(guaranteed).max(min_pool) }
    }

    /// Returns whether free memory that the allocator retains should be released. `resident`: memory that the operating
    /// system counts; `accounted`: bytes of the known owners.
    pub fn retains_too_much(self, resident: usize, accounted: usize) -> bool {
        let unaccounted = resident.saturating_sub(accounted);
        unaccounted as f64 > self.limit_bytes as f64 * MAX_UNACCOUNTED_SHARE
    }

    /// Returns the bytes of the pool that a connection with buffers of `bytes` uses.
    pub fn from_pool(bytes: usize) -> usize {
        bytes.saturating_sub(GUARANTEED_BYTES)
    }

    /// Returns the bytes of the pool that are not used.
    pub fn free(self, used: usize) -> usize {
        self.pool_bytes.saturating_sub(used)
    }

    /// Returns whether a request of `bytes` is admitted. `used`: bytes of the pool that are used.
    pub fn admits(self, purpose: MemoryPurpose, used: usize, bytes: usize) -> bool {
        bytes <= GUARANTEED_BYTES || used + bytes <= self.ceiling(purpose)
    }

    /// Returns whether a request of `bytes` is admitted where a connection carries any number of requests, so that none
    /// has a guaranteed part. `used`: bytes of the pool that are used.
    pub fn admits_unguaranteed(self, used: usize, bytes: usize) -> bool {
        let part = if bytes <= GUARANTEED_BYTES { SMALL_REQUEST_PART } else { REQUEST_PART };
        used + bytes <= self.part(part)
    }

    /// Returns whether input for this purpose may exceed the guaranteed size. `used`: bytes of the pool that are used.
    pub fn keeps_input(self, purpose: MemoryPurpose, used: usize) -> bool {
        used <= self.ceiling(purpose)
    }

    /// Returns the bytes that are not used of the part of the pool for this purpose.
    pub fn free_for(self, purpose: MemoryPurpose, used: usize) -> usize {
        self.ceiling(purpose).saturating_sub(used)
    }

    fn ceiling(self, purpose: MemoryPurpose) -> usize {
        self.part(match purpose {
            MemoryPurpose::SentAhead => SENT_AHEAD_PART,
            MemoryPurpose::Request => REQUEST_PART,
        })
    }

    fn part(self, part: f64) -> usize {
        (self.pool_bytes as f64 * part) as usize
    }

    /// Returns the number of bytes that may be read of a request, at most `max_read`; 0 where reading has to wait.
    /// `used`: bytes of the pool that are used; `held`: bytes that the connection already holds.
    pub fn input_read(self, purpose: MemoryPurpose, used: usize, held: usize, max_read: usize) -> usize {
        read_size(self.keeps_input(purpose, used), held, max_read)
    }

    /// Returns the number of bytes that may be read of a response, at most `max_read`; 0 where reading has to wait.
    /// `used`: bytes of the pool that are used; `held`: bytes that the connection already holds.
    pub fn response_read(self, used: usize, held: usize, max_read: usize) -> usize {
        read_size(used < self.pool_bytes, held, max_read)
    }
}

/// Returns the size of a read: `max_read` where the pool has room, and otherwise what is left of the guaranteed part.
fn read_size(pool_has_room: bool, held: usize, max_read: usize) -> usize {
    match pool_has_room {
        true => max_read,
        false => GUARANTEED_BYTES.saturating_sub(held).min(max_read),
    }
}

/// Order in which connections read their responses while the pool is used up.
///
/// One of the waiting connections always reads: otherwise partial responses could fill the pool, and none of them would
/// ever be complete.
#[derive(Clone, Debug, Default)]
pub struct ReadOrder {
    waiting: VecDeque<usize>,
    exempt: Option<usize>,
}

impl ReadOrder {
    /// Returns whether a connection reads even if the pool is used up.
    pub fn is_exempt(&self, connection: usize) -> bool {
        self.exempt == Some(connection)
    }

    /// Returns whether a connection waits.
    pub fn is_waiting(&self, connection: usize) -> bool {
        self.waiting.contains(&connection)
    }

    /// Returns whether a connection reads although the pool is used up: it is exempt, or it has ended, as the poller
    /// reports an event on a waiting connection only then.
    pub fn may_read(&self, connection: usize) -> bool {
        self.is_exempt(connection) || self.is_waiting(connection)
    }

    /// Adds a connection that has to wait.
    pub fn wait(&mut self, connection: usize) {
        if !self.waiting.contains(&connection) {
            self.waiting.push_back(connection);
        }
    }

    /// Removes a connection whose response is complete or will not be read.
    pub fn remove(&mut self, connection: usize) {
        self.waiting.retain(|waiting| *waiting != connection);
        self.exempt = self.exempt.filter(|exempt| *exempt != connection);
    }

    /// Removes and returns the connections that read again, the longest waiting first: as many as `max_read` bytes for
    /// each fit into the `free` bytes of the pool, and one in any case while none is exempt.
    pub fn resume(&mut self, free: usize, max_read: usize) -> Vec<usize> {
        let mut resumed = Vec::new();
        if self.exempt.is_none() {
            self.exempt = self.waiting.pop_front();
            resumed.extend(self.exempt);
        }
        let fitting = (free / max_read).min(self.waiting.len());
        resumed.extend(self.waiting.drain(..fitting));
        resumed
    }
}
