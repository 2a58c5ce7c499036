//! The map service: the extent map, the data of the shards, and the migrations of extents between shards. The
//! state machines of a migration are defined in `crates/extents`; this module performs their steps.

use crate::config::EmulatorConfig;
use crate::data_store::{DataStore, StoredKey};
use crate::extent_migration::{needs_service, needs_source, needs_target, ExtentMigration};
use magpiewick_extents::{
    Change, Changes, Extent, ExtentMap, Migration, MigrationLimits, MigrationRecord, MigrationSource,
    MigrationStep, MigrationTarget, ShardPair, Stage, StaleCoordinator, VolumeMap,
};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

/// Identifier of an extent: its volume and first offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExtentKey {
    pub volume: u64,
    pub start: u64,
}

/// Error: a shard does not serve an extent. Contains the owner if the nodes of the shard have that information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WrongShard {
    pub owner: Option<Owner>,
}

/// Owner of an extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub shard: u32,
    pub version: u32,
}

/// Progress of the migration of an extent.
pub(crate) struct MigrationStatus {
    pub shards: ShardPair,
    pub stage: Stage,
}

/// Result of a migration step.
pub(crate) struct StepOutcome {
    /// Changes of the map that must be published.
    pub changes: Option<Changes>,
    /// Set if the migration is over.
    pub finished: bool,
}

impl StepOutcome {
    /// The step cannot be executed yet.
    const WAITING: StepOutcome = StepOutcome { changes: None, finished: false };
}

/// Range of keys that a request reads or writes.
#[derive(Clone, Copy)]
pub(crate) struct KeyRange {
    pub volume: u64,
    /// Key, or first block.
    pub key: u64,
    /// Number of blocks that start at the key; 0 if the key addresses a single value.
    pub blocks: u32,
}

impl KeyRange {
    fn keys(&self) -> Range<u64> {
        self.key..self.key + u64::from(self.blocks.max(1))
    }
}

pub(crate) struct MapService {
    map: ExtentMap,
    store: DataStore,
    migrations: BTreeMap<ExtentKey, ExtentMigration>,
    limits: MigrationLimits,
    coordinators_down: bool,
    /// Set while the service records no changes.
    is_down: bool,
    /// Set by the defect that a source continues to serve after its fence.
    fence_ignored: bool,
}

impl MapService {
    pub(crate) fn new(config: &EmulatorConfig) -> MapService {
        MapService {
            map: initial_map(config),
            store: DataStore::default(),
            migrations: BTreeMap::new(),
            limits: config.migration_limits,
            coordinators_down: false,
            is_down: false,
            fence_ignored: false,
        }
    }

    pub(crate) fn map(&self) -> &ExtentMap {
        &self.map
    }

    pub(crate) fn set_coordinators_down(&mut self, down: bool) {
        self.coordinators_down = down;
    }

    pub(crate) fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
    }

    pub(crate) fn set_fence_ignored(&mut self, ignored: bool) {
        self.fence_ignored = ignored;
    }

    /// Checks that a shard currently serves a key.
    pub(crate) fn check_owner(&self, shard: u32, volume: u64, key: u64) -> Result<(), WrongShard> {
        let Some(extent) = self.map.find(volume, key) else { return Ok(()) };
        let owned_by = |shard: u32| {
            let version = extent.version;
            Err(WrongShard { owner: Some(Owner { shard, version }) })
        };
        let Some(migration) = self.migrations.get(&ExtentKey { volume, start: extent.start }) else {
            return if extent.shard == shard { Ok(()) } else { owned_by(extent.shard) };
        };
        let ShardPair { source, target } = migration.shards;
        let source_serves = migration.source.is_serving();
        let target_serves = migration.target.serving;
        if source == shard && (source_serves || self.fence_ignored) || target == shard && target_serves {
            return Ok(());
        }
        if target_serves {
            return owned_by(target);
        }
        if source != shard && source_serves {
            return owned_by(source);
        }
        Err(WrongShard { owner: None })
    }

    /// Performs [`MapService::check_owner`] for the first and the last key of a range.
    pub(crate) fn check_range_owner(&self, shard: u32, range: KeyRange) -> Result<(), WrongShard> {
        self.check_owner(shard, range.volume, range.key)?;
        self.check_owner(shard, range.volume, range.keys().end - 1)
    }

    /// Writes a range; the payload is divided equally among its blocks.
    pub(crate) fn write(&mut self, shard: u32, range: KeyRange, payload: &[u8]) {
        let block_size = payload.len().div_ceil(range.blocks.max(1) as usize).max(1);
        for (key, block) in range.keys().zip(payload.chunks(block_size)) {
            self.write_key(shard, range.volume, key, block);
        }
    }

    fn write_key(&mut self, shard: u32, volume: u64, key: u64, payload: &[u8]) {
        self.store.write(shard, volume, key, payload);
        let Some(extent) = self.map.find(volume, key) else { return };
        let migration = self.migrations.get_mut(&ExtentKey { volume, start: extent.start });
        if let Some(migration) = migration.filter(|migration| migration.shards.source == shard) {
            migration.written_keys.insert(key);
        }
    }

    /// Reads the whole payload of a single key, or a range of blocks of equal size.
    pub(crate) fn read(&self, shard: u32, range: KeyRange, block_size: usize) -> Vec<u8> {
        if range.blocks == 0 {
            return self.store.read(shard, range.volume, range.key).unwrap_or_default().to_vec();
        }
        let mut payload = Vec::with_capacity(range.blocks as usize * block_size);
        for (n, key) in range.keys().enumerate() {
            let stored = self.store.read(shard, range.volume, key).unwrap_or_default();
            payload.extend_from_slice(&stored[..stored.len().min(block_size)]);
            payload.resize((n + 1) * block_size, 0);
        }
        payload
    }

    /// Returns the payload that the owner of each key stores; without a map, the payload of every shard that
    /// stores the key.
    pub(crate) fn stored_keys(&self) -> Vec<StoredKey> {
        let owned = self.store.iter().filter(|(shard, volume, key, _)| {
            self.map.find(*volume, *key).is_none_or(|extent| extent.shard == *shard)
        });
        owned.map(|(_, volume, key, payload)| StoredKey { volume, key, payload: payload.to_vec() }).collect()
    }

    /// Returns an extent by its index in the volume.
    pub(crate) fn extent(&self, volume: u64, index: usize) -> Option<Extent> {
        self.map
            .extents()
            .filter(|(extent_volume, _)| *extent_volume == volume)
            .nth(index)
            .map(|(_, extent)| extent)
    }

    /// Begins a migration; returns false if the target already owns the extent or the extent is being migrated.
    pub(crate) fn begin_migration(&mut self, volume: u64, extent: Extent, target_shard: u32) -> bool {
        let key = ExtentKey { volume, start: extent.start };
        if extent.shard == target_shard || self.migrations.contains_key(&key) {
            return false;
        }
        let mut record = MigrationRecord::idle(extent.version);
        if record.begin().is_err() {
            return false;
        }
        let migration = ExtentMigration {
            shards: ShardPair { source: extent.shard, target: target_shard },
            record,
            source: MigrationSource::new(),
            target: MigrationTarget::default(),
            coordinator: Some(Migration::resume(&record)),
            written_keys: BTreeSet::new(),
        };
        self.migrations.insert(key, migration);
        true
    }

    /// Returns the status of the migration of an extent, `None` if the extent is not being migrated.
    pub(crate) fn status(&self, key: ExtentKey) -> Option<MigrationStatus> {
        let migration = self.migrations.get(&key)?;
        Some(MigrationStatus { shards: migration.shards, stage: migration.record.stage })
    }

    /// Abandons a migration unless its stage no longer allows it.
    pub(crate) fn abandon(&mut self, key: ExtentKey) {
        let Some(migration) = self.migrations.get_mut(&key) else { return };
        if migration.record.abandon(migration.record.id).is_ok() {
            migration.coordinator = Some(Migration::resume(&migration.record));
        }
    }

    /// Handles the restart of a shard's process: its logs of writes since copies began are lost.
    pub(crate) fn on_shard_restarted(&mut self, shard: u32) {
        let sources = self.migrations.values_mut().filter(|migration| migration.shards.source == shard);
        for migration in sources {
            migration.source.restart();
            migration.written_keys.clear();
        }
    }

    /// Performs one step of a migration. `queue_length` returns the number of requests queued at a shard, `None`
    /// if no process of the shard runs.
    pub(crate) fn step(
        &mut self,
        key: ExtentKey,
        queue_length: impl Fn(u32) -> Option<usize>,
    ) -> StepOutcome {
        let running = self.running_migrations();
        let Some(migration) = self.migrations.get_mut(&key) else {
            return StepOutcome { changes: None, finished: true };
        };
        if self.coordinators_down {
            migration.coordinator = None;
            return StepOutcome::WAITING;
        }
        let ShardPair { source, target } = migration.shards;
        let load = queue_length(source).max(queue_length(target)).unwrap_or(0);
        if !migration.has_begun() && !self.limits.may_begin(&running, migration.shards, load) {
            return StepOutcome::WAITING;
        }
        // A coordinator that was down is replaced with a new one, which resumes from the record.
        let record = migration.record;
        let mut coordinator = migration.coordinator.unwrap_or_else(|| Migration::resume(&record));
        let step = coordinator.next_step;
        let is_down = |shard: u32| queue_length(shard).is_none();
        if needs_source(step) && is_down(source)
            || needs_target(step) && is_down(target)
            || needs_service(step) && self.is_down
        {
            migration.coordinator = Some(coordinator);
            return StepOutcome::WAITING;
        }
        let ExtentKey { volume, start } = key;
        let range = self.map.find(volume, start).map_or(start..start, |extent| extent.start..extent.end);
        match migration.perform(&coordinator, volume, range, &mut self.store) {
            Ok(incarnation) => coordinator.on_success(incarnation),
            Err(StaleCoordinator) => coordinator.on_rejected(&migration.record),
        }
        migration.coordinator = Some(coordinator);
        let finished = coordinator.next_step == MigrationStep::Done;
        let changes = self.change_map(key, record.stage, finished);
        if finished {
            self.migrations.remove(&key);
        }
        StepOutcome { changes, finished }
    }

    /// Returns the shards of the migrations that have begun.
    fn running_migrations(&self) -> Vec<ShardPair> {
        let running = self.migrations.values().filter(|migration| migration.has_begun());
        running.map(|migration| migration.shards).collect()
    }

    /// Changes the map if a migration has switched the owner, or has ended without a switch.
    fn change_map(&mut self, key: ExtentKey, previous_stage: Stage, finished: bool) -> Option<Changes> {
        let ExtentKey { volume, start } = key;
        let extent = self.map.find(volume, start)?;
        let migration = self.migrations.get(&key)?;
        let record = migration.record;
        let (shard, version) = if previous_stage != Stage::Switched && record.stage == Stage::Switched {
            (migration.shards.target, record.version)
        } else if finished && record.stage == Stage::Abandoned {
            // The new version notifies hosts that the extent is served again.
            (extent.shard, extent.version + 1)
        } else {
            return None;
        };
        let change = Change::Switch { volume, start, shard, version };
        let changes = Changes { epoch: self.map.epoch() + 1, changes: vec![change] };
        // The service applies its own changes in sequence, so that no change is applied twice and no epoch is skipped.
        if let Err(error) = self.map.apply(&changes) {
            tracing::error!(%error, "map_change_rejected");
        }
        Some(changes)
    }
}

/// Returns a map that divides each volume into extents of equal length, assigned to its shards in round-robin
/// order.
fn initial_map(config: &EmulatorConfig) -> ExtentMap {
    let (extents, keys) = (config.extents_per_volume, config.keys_per_volume);
    let mut volumes = BTreeMap::new();
    for (id, shards) in config.volumes.iter().filter(|(_, shards)| extents > 0 && !shards.is_empty()) {
        let extent = |i: u64| (i * keys / extents, shards[i as usize % shards.len()], 1);
        let rows: Vec<(u64, u32, u32)> = (0..extents).map(extent).collect();
        // A volume with more extents than keys gives no valid map; the volume is left out.
        if let Ok(volume) = VolumeMap::new(*id, keys, &rows) {
            volumes.insert(*id, volume);
        }
    }
    ExtentMap::new(1, volumes)
}
