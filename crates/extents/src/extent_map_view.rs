//! The extent map of a host: the received map, corrected by later answers of nodes.

use crate::extent_map::{Changes, ExtentMap, MapError, VolumeMap};
use std::collections::BTreeMap;

/// Time during which an extent counts as in transition after a node rejected an attempt without naming the owner,
/// in milliseconds: about the duration of a fence. A shorter time causes unnecessary attempts, a longer time
/// delays requests.
const TRANSITION_MS: f64 = 150.0;

/// Location of an offset of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtentLocation {
    /// The extent is served by a shard, under a version.
    At {
        /// Shard that serves the extent.
        shard: u32,
        /// Version of the extent, which an attempt carries.
        version: u32,
    },
    /// The extent is being migrated and is currently not served by any shard.
    InTransition,
    /// The map does not contain the offset.
    Unknown,
}

/// An extent in a part of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// Volume that contains the extent.
    pub volume: u64,
    /// First offset.
    pub start: u64,
    /// Offset after the last offset.
    pub end: u64,
    /// Shard that owns the extent.
    pub shard: u32,
    /// Version of the extent.
    pub version: u32,
}

/// Owner of an extent, as named by a node.
#[derive(Clone, Copy)]
struct Owner {
    shard: u32,
    version: u32,
}

/// A snapshot of which some parts have been received.
struct PartialSnapshot {
    epoch: u64,
    next_part: u32,
    entries: Vec<MapEntry>,
}

/// Volume and first offset of an extent.
type ExtentKey = (u64, u64);

/// Extent map by which a host routes requests.
#[derive(Default)]
pub struct ExtentMapView {
    map: ExtentMap,
    partial_snapshot: Option<PartialSnapshot>,
    /// Owners named by nodes, under versions that are newer than the map.
    redirects: BTreeMap<ExtentKey, Owner>,
    /// Extents in transition, each with the time at which to retry.
    in_transition: BTreeMap<ExtentKey, f64>,
}

impl ExtentMapView {
    /// Returns the epoch of the map that was received most recently.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Returns the location of an offset of a volume at time `now`, in milliseconds.
    pub fn locate(&self, now: f64, volume: u64, offset: u64) -> ExtentLocation {
        let Some(extent) = self.map.find(volume, offset) else { return ExtentLocation::Unknown };
        let key = (volume, extent.start);
        if self.in_transition.get(&key).is_some_and(|retry_at| now < *retry_at) {
            return ExtentLocation::InTransition;
        }
        let redirect = self.redirects.get(&key).filter(|owner| owner.version > extent.version);
        let (shard, version) =
            redirect.map_or((extent.shard, extent.version), |owner| (owner.shard, owner.version));
        ExtentLocation::At { shard, version }
    }

    /// Returns the first offsets of the extents within a range, the first offset clipped to the range; `None`
    /// if the map does not cover the range.
    pub fn extent_starts(&self, volume: u64, start: u64, end: u64) -> Option<Vec<u64>> {
        Some(self.map.overlapping(volume, start, end)?.iter().map(|extent| extent.start).collect())
    }

    /// Handles a node's answer that it does not serve the extent of an attempt sent under `version`; the answer
    /// may name the owner as shard and version. Returns the time at which to retry if the owner is not known.
    pub fn on_shard_moved(
        &mut self,
        now: f64,
        (volume, offset): (u64, u64),
        version: u32,
        owner: Option<(u32, u32)>,
    ) -> Option<f64> {
        let extent = self.map.find(volume, offset)?;
        let key = (volume, extent.start);
        let owner = owner.map(|(shard, version)| Owner { shard, version });
        if let Some(owner) = owner.filter(|owner| owner.version > version) {
            let redirect = self.redirects.entry(key).or_insert(owner);
            if owner.version >= redirect.version {
                *redirect = owner;
            }
            self.in_transition.remove(&key);
            return None;
        }
        // An attempt under an older version than the current map gives no information about the current owner.
        if version < extent.version {
            return None;
        }
        let retry_at = now + TRANSITION_MS;
        self.in_transition.insert(key, retry_at);
        Some(retry_at)
    }

    /// Adds one part of a snapshot; returns true once the snapshot is complete and in use. A part out of order
    /// discards the parts received so far.
    pub fn on_snapshot_part(
        &mut self,
        epoch: u64,
        part: u32,
        last: bool,
        entries: &[MapEntry],
    ) -> Result<bool, MapError> {
        if part == 0 {
            self.partial_snapshot = Some(PartialSnapshot { epoch, next_part: 0, entries: Vec::new() });
        }
        let expected = self.partial_snapshot.take().filter(|s| (s.epoch, s.next_part) == (epoch, part));
        let Some(mut snapshot) = expected else {
            return Err(MapError::EpochGap { current: self.epoch(), received: epoch });
        };
        snapshot.next_part += 1;
        snapshot.entries.extend_from_slice(entries);
        if !last {
            self.partial_snapshot = Some(snapshot);
            return Ok(false);
        }
        let map = ExtentMap::new(snapshot.epoch, volume_maps(&snapshot.entries)?);
        self.keep_newer_versions(&map);
        self.map = map;
        self.discard_confirmed();
        Ok(true)
    }

    /// Keeps, as redirects, the extents that have a newer version in this map than in a snapshot. A version is
    /// never assigned twice, so a lower version is out of date regardless of its sender; this guards against a map
    /// service that lost changes in a restart. If the service lost a migration permanently, nodes reject the
    /// attempts and name a higher version.
    fn keep_newer_versions(&mut self, snapshot: &ExtentMap) {
        for (volume, extent) in self.map.extents() {
            let older = snapshot.find(volume, extent.start).filter(|other| other.version < extent.version);
            if older.is_some_and(|other| (other.start, other.end) == (extent.start, extent.end)) {
                let owner = Owner { shard: extent.shard, version: extent.version };
                let redirect = self.redirects.entry((volume, extent.start)).or_insert(owner);
                if redirect.version < owner.version {
                    *redirect = owner;
                }
            }
        }
    }

    /// Applies the changes of the next epoch.
    pub fn on_changes(&mut self, changes: &Changes) -> Result<(), MapError> {
        self.map.apply(changes)?;
        self.discard_confirmed();
        Ok(())
    }

    /// Removes the redirects that the map confirms, and clears all extents in transition, so that they are
    /// retried.
    fn discard_confirmed(&mut self) {
        let map = &self.map;
        self.redirects.retain(|(volume, start), owner| {
            map.find(*volume, *start).is_some_and(|e| e.start == *start && e.version < owner.version)
        });
        self.in_transition.clear();
    }
}

fn volume_maps(entries: &[MapEntry]) -> Result<BTreeMap<u64, VolumeMap>, MapError> {
    let mut volumes = BTreeMap::new();
    for extents in entries.chunk_by(|a, b| a.volume == b.volume) {
        let volume = extents[0].volume;
        // Each extent must end where the next one starts; the last extent ends at the size of the volume.
        if extents.windows(2).any(|pair| pair[0].end != pair[1].start) {
            return Err(MapError::NotContiguous { volume });
        }
        let rows: Vec<(u64, u32, u32)> = extents.iter().map(|e| (e.start, e.shard, e.version)).collect();
        let size = extents.last().map_or(0, |e| e.end);
        if volumes.insert(volume, VolumeMap::new(volume, size, &rows)?).is_some() {
            return Err(MapError::VolumeExists(volume));
        }
    }
    Ok(volumes)
}

#[cfg(test)]
mod tests;
