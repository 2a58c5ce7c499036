//! Which shard holds which part of a volume, and how a part moves. Free of I/O.
//!
//! Each volume is cut into extents without gap or overlap. An extent lies on one shard, under a version that
//! rises with every change of its owner. The map as a whole has an epoch that counts its changes, so that
//! whoever follows it sees what it missed. `docs/extents.md` weighs the ways.

mod follow;
mod map;
mod moving;
mod pace;

pub use follow::{Follower, Line, Place};
pub use map::{Change, Changes, Extent, Fault, Map, VolumeMap};
pub use moving::{Asked, Mover, Record, Refused, Source, Stage, Target};
pub use pace::Pace;
