//! Coalescing of small writes and splitting of large reads: which pending writes join a batch that is dispatched
//! ([`Coalescer`]), in what order overlapping writes run ([`OverlapLock`]), and how a large read is split along
//! the extent map and reassembled ([`split_range`], [`SplitRead`]). Free of I/O; when a request is dispatched and
//! where to is the scheduler's decision.

mod coalescer;
mod overlap_lock;
mod split_read;

pub use coalescer::{BatchLimits, Coalescer, PendingWrite};
pub use overlap_lock::{OverlapLock, WriteRange};
pub use split_read::{split_range, SplitRead, SplitReadProgress};
