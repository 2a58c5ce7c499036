//! Publication of the extent map: snapshots, updates, and operators' requests to migrate extents.

use crate::emulator::{Emulator, Timer};
use crate::map_service::{ExtentKey, MigrationStatus};
use crate::node_event::NodeEvent;
use magpiewick_extents::{Change, Changes, Extent, Stage};
use magpiewick_node_protocol::{MapEntry, MapEntryKind, MapUpdate, Message, MigrationStage, MAX_MAP_ENTRIES};

/// Map at one epoch, in the form sent to hosts.
#[derive(Clone)]
pub(crate) struct MapSnapshot {
    epoch: u64,
    entries: Vec<MapEntry>,
}

impl Emulator {
    /// Begins to migrate an extent, identified by its index in the volume.
    pub(crate) fn migrate_extent(&mut self, volume: u64, index: usize, target: u32) {
        if let Some(extent) = self.map.extent(volume, index) {
            self.begin_migration(volume, extent, target);
        }
    }

    /// Abandons the migration of an extent, identified by its index in the volume.
    pub(crate) fn abandon_migration(&mut self, volume: u64, index: usize) {
        if let Some(extent) = self.map.extent(volume, index) {
            self.map.abandon(ExtentKey { volume, start: extent.start });
        }
    }

    fn begin_migration(&mut self, volume: u64, extent: Extent, target: u32) {
        let target_exists = self.nodes.iter().any(|node| node.config.shard == target);
        if target_exists && self.map.begin_migration(volume, extent, target) {
            let key = ExtentKey { volume, start: extent.start };
            self.timers.set(self.now, Timer::MigrationStep(key));
        }
    }

    /// Handles an operator's request to begin or abandon the migration of an extent; returns the state of the
    /// migration after the request.
    pub(crate) fn on_migration_request(
        &mut self,
        key: ExtentKey,
        target: u32,
        abandon: bool,
    ) -> Message<'static> {
        let ExtentKey { volume, start } = key;
        let extent = self.map.map().find(volume, start).filter(|extent| extent.start == start);
        match extent {
            Some(_) if abandon => self.map.abandon(key),
            Some(extent) => self.begin_migration(volume, extent, target),
            None => {}
        }
        let (from, to, stage) = match self.map.status(key) {
            Some(MigrationStatus { shards, stage }) => (shards.source, shards.target, wire_stage(stage)),
            None => {
                let owner = extent.map_or(u32::MAX, |extent| extent.shard);
                (owner, owner, MigrationStage::Idle)
            }
        };
        Message::MigrationState { volume, start, from, to, stage }
    }

    /// Performs one step of a migration, and publishes the resulting change of the map.
    pub(crate) fn step_migration(&mut self, key: ExtentKey) {
        let nodes = &self.nodes;
        let queue_length = |shard: u32| {
            let of_shard = nodes.iter().filter(|node| node.is_up && node.config.shard == shard);
            of_shard.map(|node| node.queue.len()).max()
        };
        let outcome = self.map.step(key, queue_length);
        if let Some(changes) = outcome.changes {
            self.schedule_map_update(&changes);
        }
        if !outcome.finished {
            let next_step_at = self.now + self.config.migration_step;
            self.timers.set(next_step_at, Timer::MigrationStep(key));
        }
    }

    fn schedule_map_update(&mut self, changes: &Changes) {
        let entries: Vec<MapEntry> = changes.changes.iter().filter_map(switch_entry).collect();
        for entry in &entries {
            let MapEntry { volume, start, shard, version, .. } = *entry;
            self.events.record(NodeEvent::ExtentSwitched { volume, start, shard, version });
        }
        let update = MapUpdate { snapshot: false, epoch: changes.epoch, part: 0, last: true, entries };
        let publish_at = self.now + self.config.publication_delay;
        self.timers.set(publish_at, Timer::PublishMap(Box::new(update)));
    }

    pub(crate) fn publish_map_update(&mut self, update: &MapUpdate) {
        if self.endpoint_list.is_down() {
            return;
        }
        let mut sent = update.clone();
        if self.defects.half_map_updates {
            sent.entries.truncate(sent.entries.len() / 2);
        }
        let watching = self.connections.indexes(|peer| peer.watches_map);
        for index in &watching {
            self.connections.send(*index, &Message::ExtentMap(sent.clone()));
        }
        // The whole update is recorded, so that the audit detects entries that the defect removed.
        for entry in update.entries.iter().filter(|entry| entry.kind == MapEntryKind::Switch) {
            let MapEntry { volume, start, version, .. } = *entry;
            let end = self.map.map().find(volume, start).map_or(start, |extent| extent.end);
            for index in &watching {
                let host = self.connections.open_peer(*index).host;
                self.events.record(NodeEvent::MapUpdateSent { host, volume, start, end, version });
            }
        }
    }

    /// Sends the whole map to a host, and subscribes the host to updates.
    pub(crate) fn watch_map(&mut self, index: usize) {
        self.connections.open_peer(index).watches_map = true;
        let snapshot = self.map_snapshot();
        self.send_map_snapshot(index, &snapshot);
    }

    fn map_snapshot(&self) -> MapSnapshot {
        let entry = |(volume, extent): (u64, Extent)| MapEntry {
            kind: MapEntryKind::Extent,
            volume,
            start: extent.start,
            position: extent.end,
            shard: extent.shard,
            version: extent.version,
        };
        let map = self.map.map();
        MapSnapshot { epoch: map.epoch(), entries: map.extents().map(entry).collect() }
    }

    fn send_map_snapshot(&mut self, index: usize, snapshot: &MapSnapshot) {
        let parts = snapshot.entries.chunks(MAX_MAP_ENTRIES).count().max(1);
        for part in 0..parts {
            let entries = snapshot.entries.chunks(MAX_MAP_ENTRIES).nth(part).unwrap_or_default().to_vec();
            let (epoch, last) = (snapshot.epoch, part + 1 == parts);
            let update = MapUpdate { snapshot: true, epoch, part: part as u32, last, entries };
            self.connections.send(index, &Message::ExtentMap(update));
        }
    }

    /// Saves the current map.
    pub(crate) fn save_map(&mut self) {
        self.saved_map = Some(self.map_snapshot());
    }

    /// Sends the saved map to all hosts, like a service that lost changes.
    pub(crate) fn replay_saved_map(&mut self) {
        let Some(saved) = self.saved_map.take().filter(|_| !self.endpoint_list.is_down()) else { return };
        for index in self.connections.indexes(|peer| peer.watches_map) {
            self.send_map_snapshot(index, &saved);
        }
    }
}

/// Returns the entry of an update for a change of owner; the service makes no other changes.
fn switch_entry(change: &Change) -> Option<MapEntry> {
    match *change {
        Change::Switch { volume, start, shard, version } => {
            Some(MapEntry { kind: MapEntryKind::Switch, volume, start, position: 0, shard, version })
        }
        _ => None,
    }
}

fn wire_stage(stage: Stage) -> MigrationStage {
    match stage {
        Stage::Copying => MigrationStage::Copying,
        Stage::Copied => MigrationStage::Copied,
        Stage::Switched => MigrationStage::Completed,
        Stage::Abandoned => MigrationStage::Aborted,
    }
}
