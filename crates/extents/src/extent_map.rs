//! The extent map: built from a snapshot and updated with sets of changes, each of which is applied atomically.

use std::collections::BTreeMap;

/// An extent: the offsets from `start` (inclusive) to `end` (exclusive).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// First offset.
    pub start: u64,
    /// Offset after the last offset.
    pub end: u64,
    /// Shard that owns the extent.
    pub shard: u32,
    /// Version, which rises with every change of the owner.
    pub version: u32,
}

/// Stored form of an extent, in 16 bytes; the extent ends where the next one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Row {
    start: u64,
    shard: u32,
    version: u32,
}

/// Extents of a volume in the order of their offsets, with the size of the volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeMap {
    size: u64,
    rows: Vec<Row>,
}

/// A change of the map. An extent is identified by its first offset, `start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a volume of one extent, at version 1.
    Create {
        /// Number of the volume.
        volume: u64,
        /// Size of the volume, in offsets.
        size: u64,
        /// Shard that owns the volume.
        shard: u32,
    },
    /// Removes a volume.
    Remove {
        /// Number of the volume.
        volume: u64,
    },
    /// Assigns an extent to a new owner, under a higher version.
    Switch {
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
        /// Shard that becomes the owner.
        shard: u32,
        /// New version of the extent.
        version: u32,
    },
    /// Splits an extent into two extents with the same owner and version.
    Split {
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
        /// First offset of the second extent.
        at: u64,
    },
    /// Merges an extent with the next extent of the same owner, under the higher of the two versions.
    Merge {
        /// Number of the volume.
        volume: u64,
        /// First offset of the first extent.
        start: u64,
    },
}

/// Changes of one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// Epoch of the map after the changes.
    pub epoch: u64,
    /// Changes in the order of their application.
    pub changes: Vec<Change>,
}

/// Reasons for rejecting a map or a set of changes; a rejected set is not applied at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// Earlier changes are missing; a snapshot must be requested.
    #[error("received changes of epoch {received}, expected epoch {}", current + 1)]
    EpochGap {
        /// Epoch of the map.
        current: u64,
        /// Epoch of the changes.
        received: u64,
    },
    /// The changes were already applied.
    #[error("the changes were already applied")]
    AlreadyApplied,
    /// The volume is not in the map.
    #[error("volume {0} is not in the map")]
    UnknownVolume(u64),
    /// The volume is already in the map.
    #[error("volume {0} is already in the map")]
    VolumeExists(u64),
    /// No extent starts at this offset.
    #[error("no extent of volume {volume} starts at {start}")]
    NoExtentAt {
        /// Number of the volume.
        volume: u64,
        /// Offset without an extent.
        start: u64,
    },
    /// The version of a switch is not higher than the version of the extent.
    #[error(
        "the new version of the extent of volume {volume} at {start} is not higher than the current version"
    )]
    VersionNotHigher {
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
    },
    /// The offset of a split is outside the extent, or a volume has size 0.
    #[error("an extent of volume {volume} would be empty")]
    EmptyExtent {
        /// Number of the volume.
        volume: u64,
    },
    /// The next extent does not exist, or has another owner.
    #[error("the extent of volume {volume} at {start} cannot be merged with the next extent")]
    CannotMerge {
        /// Number of the volume.
        volume: u64,
        /// First offset of the extent.
        start: u64,
    },
    /// The extents do not start at 0, do not rise, or leave a gap.
    #[error("the extents of volume {volume} leave a gap or overlap")]
    NotContiguous {
        /// Number of the volume.
        volume: u64,
    },
}

impl VolumeMap {
    /// Creates the map of a volume from the starts, shards and versions of its extents.
    pub fn new(volume: u64, size: u64, extents: &[(u64, u32, u32)]) -> Result<VolumeMap, MapError> {
        let rises = extents.windows(2).all(|w| w[0].0 < w[1].0);
        let covers = extents.first().is_some_and(|e| e.0 == 0) && extents.last().is_some_and(|e| e.0 < size);
        if !rises || !covers {
            return Err(MapError::NotContiguous { volume });
        }
        let rows = extents.iter().map(|&(start, shard, version)| Row { start, shard, version });
        Ok(VolumeMap { size, rows: rows.collect() })
    }

    fn extent(&self, index: usize) -> Extent {
        let Row { start, shard, version } = self.rows[index];
        let end = self.rows.get(index + 1).map_or(self.size, |next| next.start);
        Extent { start, end, shard, version }
    }

    /// Returns the index of the extent that contains an offset; the offset must be less than the size.
    fn index_of(&self, offset: u64) -> usize {
        self.rows.partition_point(|row| row.start <= offset) - 1
    }

    fn index_at_start(&self, volume: u64, start: u64) -> Result<usize, MapError> {
        let index = self.rows.binary_search_by_key(&start, |row| row.start);
        index.map_err(|_| MapError::NoExtentAt { volume, start })
    }

    fn switch(&mut self, volume: u64, start: u64, shard: u32, version: u32) -> Result<(), MapError> {
        let index = self.index_at_start(volume, start)?;
        let row = &mut self.rows[index];
        if version <= row.version {
            return Err(MapError::VersionNotHigher { volume, start });
        }
        (row.shard, row.version) = (shard, version);
        Ok(())
    }

    fn split(&mut self, volume: u64, start: u64, at: u64) -> Result<(), MapError> {
        let index = self.index_at_start(volume, start)?;
        let extent = self.extent(index);
        if at <= start || at >= extent.end {
            return Err(MapError::EmptyExtent { volume });
        }
        let Extent { shard, version, .. } = extent;
        self.rows.insert(index + 1, Row { start: at, shard, version });
        Ok(())
    }

    fn merge(&mut self, volume: u64, start: u64) -> Result<(), MapError> {
        let index = self.index_at_start(volume, start)?;
        let next = self.rows.get(index + 1).copied();
        let Some(next) = next.filter(|next| next.shard == self.rows[index].shard) else {
            return Err(MapError::CannotMerge { volume, start });
        };
        // A node redirects a host that still uses the lower version.
        self.rows[index].version = self.rows[index].version.max(next.version);
        self.rows.remove(index + 1);
        Ok(())
    }
}

/// Maps of all volumes at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtentMap {
    epoch: u64,
    volumes: BTreeMap<u64, VolumeMap>,
}

impl ExtentMap {
    /// Creates a map of volumes at an epoch.
    pub fn new(epoch: u64, volumes: BTreeMap<u64, VolumeMap>) -> ExtentMap {
        ExtentMap { epoch, volumes }
    }

    /// Returns the epoch of the map, which counts its changes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of extents in the map.
    pub fn extent_count(&self) -> usize {
        self.volumes.values().map(|volume| volume.rows.len()).sum()
    }

    /// Returns the memory used by the extents, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.volumes.values().map(|volume| volume.rows.capacity() * std::mem::size_of::<Row>()).sum()
    }

    /// Returns all extents in order, each with its volume.
    pub fn extents(&self) -> impl Iterator<Item = (u64, Extent)> + '_ {
        self.volumes
            .iter()
            .flat_map(|(id, volume)| (0..volume.rows.len()).map(|index| (*id, volume.extent(index))))
    }

    /// Returns the extent that contains an offset; `None` if the offset is outside the volume.
    pub fn find(&self, volume: u64, offset: u64) -> Option<Extent> {
        let volume = self.volumes.get(&volume).filter(|v| offset < v.size)?;
        Some(volume.extent(volume.index_of(offset)))
    }

    /// Returns the extents that overlap a range, in order and clipped to the range; `None` if the range is not
    /// within the volume.
    pub fn overlapping(&self, volume: u64, start: u64, end: u64) -> Option<Vec<Extent>> {
        let volume = self.volumes.get(&volume).filter(|v| start < end && end <= v.size)?;
        let indexes = volume.index_of(start)..=volume.index_of(end - 1);
        let clip = |e: Extent| Extent { start: e.start.max(start), end: e.end.min(end), ..e };
        Some(indexes.map(|index| clip(volume.extent(index))).collect())
    }

    /// Applies the changes of the next epoch atomically.
    pub fn apply(&mut self, changes: &Changes) -> Result<(), MapError> {
        if changes.epoch <= self.epoch {
            return Err(MapError::AlreadyApplied);
        }
        if changes.epoch != self.epoch + 1 {
            return Err(MapError::EpochGap { current: self.epoch, received: changes.epoch });
        }
        // Only the changed volumes are copied, so that an error leaves the map unchanged.
        let mut changed: BTreeMap<u64, Option<VolumeMap>> = BTreeMap::new();
        for change in &changes.changes {
            self.stage(change, &mut changed)?;
        }
        for (volume, new_map) in changed {
            match new_map {
                Some(new_map) => _ = self.volumes.insert(volume, new_map),
                None => _ = self.volumes.remove(&volume),
            }
        }
        self.epoch = changes.epoch;
        Ok(())
    }

    fn stage(&self, change: &Change, changed: &mut BTreeMap<u64, Option<VolumeMap>>) -> Result<(), MapError> {
        let volume = match *change {
            Change::Create { volume, .. }
            | Change::Remove { volume }
            | Change::Switch { volume, .. }
            | Change::Split { volume, .. }
            | Change::Merge { volume, .. } => volume,
        };
        let staged = changed.entry(volume).or_insert_with(|| self.volumes.get(&volume).cloned());
        match (*change, staged.as_mut()) {
            (Change::Create { .. }, Some(_)) => return Err(MapError::VolumeExists(volume)),
            (Change::Create { size: 0, .. }, None) => return Err(MapError::EmptyExtent { volume }),
            (Change::Create { size, shard, .. }, None) => {
                *staged = Some(VolumeMap { size, rows: vec![Row { start: 0, shard, version: 1 }] });
            }
            (_, None) => return Err(MapError::UnknownVolume(volume)),
            (Change::Remove { .. }, Some(_)) => *staged = None,
            (Change::Switch { start, shard, version, .. }, Some(v)) => {
                v.switch(volume, start, shard, version)?
            }
            (Change::Split { start, at, .. }, Some(v)) => v.split(volume, start, at)?,
            (Change::Merge { start, .. }, Some(v)) => v.merge(volume, start)?,
        }
        Ok(())
    }
}
