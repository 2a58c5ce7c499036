//! Locations of requests' data according to the extent map, and rerouting of requests when it changes.

use super::Gateway;
use crate::extent_map;
use crate::request_registry::Location;
use magpiewick_extents::{ExtentLocation, MapError};
use magpiewick_node_protocol::MapUpdate;
use xxhash_rust::xxh3::xxh3_64;

impl Gateway {
    pub(super) fn on_extent_map(&mut self, update: &MapUpdate) {
        let (epoch, snapshot) = (update.epoch, update.snapshot);
        match extent_map::apply(self.connections.extent_map_mut(), update) {
            Ok(true) => {
                tracing::info!(epoch, snapshot, "extent_map_updated");
                self.reroute();
            }
            Ok(false) | Err(MapError::AlreadyApplied) => {}
            Err(error) => {
                tracing::warn!(reason = %error, "extent_map_update_rejected");
                self.connections.request_extent_map();
            }
        }
    }

    /// Returns the location of a piece of data. Without a map of its volume, the data is on the shard of the
    /// settings that its key hashes to; without a key, on any shard.
    pub(super) fn locate(&self, volume: u64, key: u64) -> Location {
        match self.connections.extent_map().locate(self.connections.now(), volume, key) {
            ExtentLocation::At { shard, version } => Location { shard: Some(shard as usize), version },
            ExtentLocation::InTransition => Location { shard: Some(extent_map::UNASSIGNED), version: 0 },
            ExtentLocation::Unknown if key == 0 => Location { shard: None, version: 0 },
            ExtentLocation::Unknown => {
                let shards = self.config.volumes.get(&volume).map_or(&[][..], |volume| &volume.shards);
                let index = xxh3_64(&key.to_le_bytes()) % shards.len().max(1) as u64;
                Location { shard: shards.get(index as usize).copied(), version: 0 }
            }
        }
    }

    /// Updates the locations of pending requests to match the map, before they are sent.
    pub(super) fn reroute(&mut self) {
        for request in self.connections.requests().unanswered() {
            let location = self.locate(request.volume, request.key);
            if location.wire_shard() != request.wire_shard || location.version != request.version {
                self.relocate(request.request_id, location);
            }
        }
    }

    /// Updates the location of a request whose node no longer holds its data, according to the current map.
    pub(super) fn reroute_request(&mut self, request_id: u64) {
        let request = self.connections.requests().get(request_id);
        let Some((volume, key)) = request.and_then(|request| request.unanswered_data_key()) else { return };
        let location = self.locate(volume, key);
        self.relocate(request_id, location);
    }

    fn relocate(&mut self, request_id: u64, location: Location) {
        self.connections.relocate(request_id, location);
        if let Some(shard) = location.shard {
            self.engine.on_shard_moved(self.connections.now(), request_id, shard);
        }
    }

    /// Handles an outcome from a node that does not hold a request's data. The request is sent to the owner
    /// that the node reports, or waits until the map is known.
    pub(super) fn on_shard_moved(&mut self, request_id: u64, attempt: u32, owner: Option<(u32, u32)>) {
        let Some(request) = self.connections.requests().get(request_id) else { return };
        let Some(data_key) = request.unanswered_data_key() else { return };
        let version = request.version_sent(attempt).unwrap_or(0);
        tracing::debug!(request_id, version, ?owner, "stale_extent_map_used");
        let now = self.connections.now();
        if let Some(reroute_time) =
            self.connections.extent_map_mut().on_shard_moved(now, data_key, version, owner)
        {
            self.connections.reroute_at(reroute_time);
        }
    }
}
