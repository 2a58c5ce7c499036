//! The extent map: built from a snapshot and advanced by changes, each set of which applies as a whole or not at all.

use std::collections::BTreeMap;

/// An extent: offsets `start` up to, not including, `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The first offset.
    pub start: u64,
    /// The offset after the last one.
    pub end: u64,
    /// The shard that owns the extent.
    pub shard: u32,
    /// Rises with every change of the owner.
    pub version: u32,
}

/// An extent as it is stored, in 16 bytes; it ends where the next one starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Row {
    start: u64,
    shard: u32,
    version: u32,
}

/// A volume's extents in the order of their offsets, with the volume's size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeMap {
    size: u64,
    rows: Vec<Row>,
}

/// One change of the map. An extent is identified by its first offset, `start`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a volume of one extent, at version 1.
    Create {
        /// The volume.
        volume: u64,
        /// Its size, in offsets.
        size: u64,
        /// The shard that owns it.
        shard: u32,
    },
    /// Removes a volume.
    Remove {
        /// The volume.
        volume: u64,
    },
    /// Gives an extent a new owner, under a higher version.
    Switch {
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
        /// The new owner.
        shard: u32,
        /// The new version.
        version: u32,
    },
    /// Splits an extent in two of the same owner and version.
    Split {
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
        /// The first offset of the second half.
        at: u64,
    },
    /// Joins an extent and the next one of the same owner, under the higher of their versions.
    Merge {
        /// The volume.
        volume: u64,
        /// The first extent's first offset.
        start: u64,
    },
}

/// The changes of one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// The epoch of the map once they are applied.
    pub epoch: u64,
    /// In the order in which they apply.
    pub changes: Vec<Change>,
}

/// Why a map or changes are rejected; nothing of them is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MapError {
    /// Earlier changes are missing; the snapshot must be requested.
    #[error("changes of epoch {received} where {} is next", current + 1)]
    EpochGap {
        /// The epoch of the map.
        current: u64,
        /// The epoch of the changes.
        received: u64,
    },
    /// The changes were applied before.
    #[error("changes that were taken before")]
    AlreadyApplied,
    /// The volume is not in the map.
    #[error("volume {0} is not in the map")]
    UnknownVolume(u64),
    /// The volume is in the map already.
    #[error("volume {0} is in the map already")]
    VolumeExists(u64),
    /// No extent starts at this offset.
    #[error("no extent of volume {volume} starts at {start}")]
    NoExtentAt {
        /// The volume.
        volume: u64,
        /// The offset.
        start: u64,
    },
    /// A switch to a version that is not higher than the extent's.
    #[error("the extent of volume {volume} at {start} has as high a version")]
    VersionNotHigher {
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
    },
    /// A split outside the extent, or a volume of size 0.
    #[error("an extent of volume {volume} would be empty")]
    EmptyExtent {
        /// The volume.
        volume: u64,
    },
    /// There is no next extent, or another shard owns it.
    #[error("the extent of volume {volume} at {start} cannot be joined with the next")]
    CannotMerge {
        /// The volume.
        volume: u64,
        /// The extent's first offset.
        start: u64,
    },
    /// Extents that do not start at 0 or do not rise.
    #[error("the extents of volume {volume} leave a gap or overlap")]
    NotContiguous {
        /// The volume.
        volume: u64,
    },
}

impl VolumeMap {
    /// A volume from its extents' starts, shards and versions.
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

    /// The index of the extent that holds an offset within the size.
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
        // A host with the lower version learns from the node that its map is out of date.
        self.rows[index].version = self.rows[index].version.max(next.version);
        self.rows.remove(index + 1);
        Ok(())
    }
}

/// All volumes at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExtentMap {
    epoch: u64,
    volumes: BTreeMap<u64, VolumeMap>,
}

impl ExtentMap {
    /// A map of these volumes at an epoch.
    pub fn new(epoch: u64, volumes: BTreeMap<u64, VolumeMap>) -> ExtentMap {
        ExtentMap { epoch, volumes }
    }

    /// Counts the changes of the map.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// How many extents the map holds.
    pub fn extent_count(&self) -> usize {
        self.volumes.values().map(|volume| volume.rows.len()).sum()
    }

    /// Bytes of memory that the extents take.
    pub fn memory_bytes(&self) -> usize {
        self.volumes.values().map(|volume| volume.rows.capacity() * std::mem::size_of::<Row>()).sum()
    }

    /// All extents in order, each with its volume.
    pub fn extents(&self) -> impl Iterator<Item = (u64, Extent)> + '_ {
        self.volumes
            .iter()
            .flat_map(|(id, volume)| (0..volume.rows.len()).map(|index| (*id, volume.extent(index))))
    }

    /// The extent that holds an offset; `None` outside the volume.
    pub fn find(&self, volume: u64, offset: u64) -> Option<Extent> {
        let volume = self.volumes.get(&volume).filter(|v| offset < v.size)?;
        Some(volume.extent(volume.index_of(offset)))
    }

    /// The extents that overlap a range, in order, cut to it; `None` where the range goes beyond the volume.
    pub fn overlapping(&self, volume: u64, start: u64, end: u64) -> Option<Vec<Extent>> {
        let volume = self.volumes.get(&volume).filter(|v| start < end && end <= v.size)?;
        let indexes = volume.index_of(start)..=volume.index_of(end - 1);
        let cut = |e: Extent| Extent { start: e.start.max(start), end: e.end.min(end), ..e };
        Some(indexes.map(|index| cut(volume.extent(index))).collect())
    }

    /// Applies the changes of the next epoch, all or none.
    pub fn apply(&mut self, changes: &Changes) -> Result<(), MapError> {
        if changes.epoch <= self.epoch {
            return Err(MapError::AlreadyApplied);
        }
        if changes.epoch != self.epoch + 1 {
            return Err(MapError::EpochGap { current: self.epoch, received: changes.epoch });
        }
        // Only the volumes that change are copied, so that an error leaves the map as it was.
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
