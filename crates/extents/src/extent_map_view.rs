//! The extent map as a host sees it: the map it was sent, corrected by what nodes have answered since.

use crate::extent_map::{Changes, ExtentMap, MapError, VolumeMap};
use std::collections::BTreeMap;

/// How long an extent counts as in transition after a node rejected it without naming the owner, in
/// milliseconds: about as long as a fence lasts. A shorter time spends attempts, a longer one delays requests.
const TRANSITION_MS: f64 = 150.0;

/// Where an offset of a volume lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtentLocation {
    /// On this shard, under this version of the extent.
    At {
        /// The shard that serves the extent.
        shard: u32,
        /// The extent's version, which an attempt carries.
        version: u32,
    },
    /// The extent is being migrated: nobody serves it at the moment.
    InTransition,
    /// The map does not hold it.
    Unknown,
}

/// An extent as a part of a snapshot carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// The volume that the extent belongs to.
    pub volume: u64,
    /// The first offset.
    pub start: u64,
    /// The offset after the last one.
    pub end: u64,
    /// The shard that owns the extent.
    pub shard: u32,
    /// The extent's version.
    pub version: u32,
}

/// The owner of an extent, as a node named it.
#[derive(Clone, Copy)]
struct Owner {
    shard: u32,
    version: u32,
}

/// A snapshot of which some parts have arrived.
struct PartialSnapshot {
    epoch: u64,
    next_part: u32,
    entries: Vec<MapEntry>,
}

/// An extent's volume and first offset.
type ExtentKey = (u64, u64);

/// The map a host routes by.
#[derive(Default)]
pub struct ExtentMapView {
    map: ExtentMap,
    partial_snapshot: Option<PartialSnapshot>,
    /// Owners that nodes named, under versions that the map does not know yet.
    redirects: BTreeMap<ExtentKey, Owner>,
    /// Extents that nobody serves, each with the time at which to try again.
    in_transition: BTreeMap<ExtentKey, f64>,
}

impl ExtentMapView {
    /// The epoch of the map received last.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Where an offset of a volume lies at `now`, in milliseconds.
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

    /// The first offsets of the extents within a range, the first one cut to it; `None` without a map that covers
    /// the range.
    pub fn extent_starts(&self, volume: u64, start: u64, end: u64) -> Option<Vec<u64>> {
        Some(self.map.overlapping(volume, start, end)?.iter().map(|extent| extent.start).collect())
    }

    /// A node answered an attempt sent under `version` that it does not serve the extent, and may have named the
    /// owner as shard and version. Returns the time at which to try again where the owner is not known.
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
            let known = self.redirects.entry(key).or_insert(owner);
            if owner.version >= known.version {
                *known = owner;
            }
            self.in_transition.remove(&key);
            return None;
        }
        // An attempt under an older version than the map holds by now proves nothing about the current owner.
        if version < extent.version {
            return None;
        }
        let retry_at = now + TRANSITION_MS;
        self.in_transition.insert(key, retry_at);
        Some(retry_at)
    }

    /// Takes one part of a snapshot; true once the snapshot is complete and in use. A part out of order discards
    /// the parts received so far.
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

    /// Keeps, as redirects, the extents that are newer here than in a snapshot. A version is never given twice, so
    /// a lower one is out of date whoever sends it; this guards against a map service that lost changes in a
    /// restart. Where the service lost a migration for good, nodes reject the attempts and name a higher version.
    fn keep_newer_versions(&mut self, snapshot: &ExtentMap) {
        for (volume, extent) in self.map.extents() {
            let older = snapshot.find(volume, extent.start).filter(|other| other.version < extent.version);
            if older.is_some_and(|other| (other.start, other.end) == (extent.start, extent.end)) {
                let owner = Owner { shard: extent.shard, version: extent.version };
                let known = self.redirects.entry((volume, extent.start)).or_insert(owner);
                if known.version < owner.version {
                    *known = owner;
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

    /// Drops the redirects that the map confirms by now, and has extents in transition tried again.
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
        // Each extent ends where the next one starts, and the last one with the volume.
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
