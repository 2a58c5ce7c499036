//! Merging and splitting of requests along the extent map: which held writes travel with one that leaves
//! ([`Coalescer`]), in what order overlapping writes go ([`OverlapLock`]), and how a large read is cut and put together
//! again ([`cut`], [`SplitRead`]). Free of I/O; when a request leaves and where to is the module's to decide.

mod coalescer;
mod overlap_lock;
mod split;

pub use coalescer::{Bounds, Coalescer, Piece};
pub use overlap_lock::{OverlapLock, Write};
pub use split::{cut, Progress, SplitRead};
