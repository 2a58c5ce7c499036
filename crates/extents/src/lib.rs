//! The extent map: which shard holds which part of a volume, and the protocol that migrates an extent between
//! shards. Free of I/O.
//!
//! Each volume is cut into extents without gap or overlap. An extent lies on one shard, under a version that
//! rises with every change of its owner. The map as a whole has an epoch that counts its changes, so that a
//! subscriber notices a change it missed. `docs/extents.md` gives the design and its alternatives.

mod extent_map;
mod extent_map_view;
mod migration;
mod migration_limits;

pub use extent_map::{Change, Changes, Extent, ExtentMap, MapError, VolumeMap};
pub use extent_map_view::{ExtentLocation, ExtentMapView, MapEntry};
pub use migration::{
    Migration, MigrationId, MigrationRecord, MigrationSource, MigrationStep, MigrationTarget, Stage,
    StaleCoordinator,
};
pub use migration_limits::{MigrationLimits, ShardPair};
