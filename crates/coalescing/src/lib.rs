//! Coalescing of small writes and splitting of large reads. [`Coalescer`] selects the pending writes that join a batch,
//! [`OverlapLock`] determines the order of overlapping writes, and [`split_range`] and [`SplitRead`] split a large read
//! along the extent map and reassemble the result. The crate performs no I/O; the scheduler decides when a request is
//! dispatched and to which endpoint.

mod coalescer;
mod overlap_lock;
mod split_read;

pub use coalescer::{BatchLimits, Coalescer, PendingWrite};
pub use overlap_lock::{OverlapLock, WriteRange};
pub use split_read::{split_range, SplitRead, SplitReadProgress};
