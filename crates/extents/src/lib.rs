//! The extent map, which assigns each part of a volume to a shard, and the protocol that migrates an extent
//! between shards. The crate performs no I/O.
//!
//! Each volume is divided into extents without gap or overlap. An extent is stored on one shard, under a version
//! that rises with every change of its owner. The whole map has an epoch that counts its changes, so that a
//! subscriber detects missing changes. `docs/extents.md` describes the design and its alternatives.

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
