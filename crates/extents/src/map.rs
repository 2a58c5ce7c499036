//! The map: whole, or brought forward by changes, each taken whole or not at all.

use std::collections::BTreeMap;
use std::fmt;

/// An extent as it is found: offsets `start` up to, not including, `end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    pub start: u64,
    pub end: u64,
    pub shard: u32,
    pub version: u32,
}

/// An extent as it is kept; it ends where the next one starts. 16 bytes.
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

/// One change of the map. An extent is named by its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new volume of one extent, of version 1.
    Create {
        volume: u64,
        size: u64,
        shard: u32,
    },
    Remove {
        volume: u64,
    },
    /// The extent has a new owner, under a version higher than before.
    Switch {
        volume: u64,
        start: u64,
        shard: u32,
        version: u32,
    },
    /// Cuts an extent in two of the same owner and version.
    Split {
        volume: u64,
        start: u64,
        at: u64,
    },
    /// Joins an extent and the next one, of the same owner; the higher version holds.
    Merge {
        volume: u64,
        start: u64,
    },
}

/// What changed at one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    pub epoch: u64,
    pub changes: Vec<Change>,
}

/// Why a map or changes are refused; nothing of them is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Changes are missing before these; the whole map must be asked for.
    Gap {
        have: u64,
        got: u64,
    },
    /// These were taken before.
    Old,
    UnknownVolume(u64),
    VolumeExists(u64),
    NoExtentAt {
        volume: u64,
        start: u64,
    },
    /// A switch whose version is not higher than the extent's.
    VersionFalls {
        volume: u64,
        start: u64,
    },
    /// A cut that is not inside the extent, or a volume without size.
    Empty {
        volume: u64,
    },
    /// Neighbours of different owners, or none, cannot be joined.
    CannotMerge {
        volume: u64,
        start: u64,
    },
    /// Extents that do not start at 0 or do not rise.
    Disorder {
        volume: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Gap { have, got } => write!(f, "changes of epoch {got} where {} is next", have + 1),
            Fault::Old => write!(f, "changes that were taken before"),
            Fault::UnknownVolume(volume) => write!(f, "volume {volume} is not in the map"),
            Fault::VolumeExists(volume) => write!(f, "volume {volume} is in the map already"),
            Fault::NoExtentAt { volume, start } => {
                write!(f, "no extent of volume {volume} starts at {start}")
            }
            Fault::VersionFalls { volume, start } => {
                write!(f, "the extent of volume {volume} at {start} has as high a version")
            }
            Fault::Empty { volume } => write!(f, "an extent of volume {volume} would be empty"),
            Fault::CannotMerge { volume, start } => {
                write!(f, "the extent of volume {volume} at {start} cannot be joined with the next")
            }
            Fault::Disorder { volume } => write!(f, "the extents of volume {volume} leave a gap or overlap"),
        }
    }
}

impl std::error::Error for Fault {}

impl VolumeMap {
    /// A volume from its extents' starts, shards and versions.
    pub fn new(volume: u64, size: u64, extents: &[(u64, u32, u32)]) -> Result<VolumeMap, Fault> {
        let rises = extents.windows(2).all(|w| w[0].0 < w[1].0);
        let covers = extents.first().is_some_and(|e| e.0 == 0) && extents.last().is_some_and(|e| e.0 < size);
        if !rises || !covers {
            return Err(Fault::Disorder { volume });
        }
        let rows = extents.iter().map(|&(start, shard, version)| Row { start, shard, version });
        Ok(VolumeMap { size, rows: rows.collect() })
    }

    fn extent(&self, place: usize) -> Extent {
        let Row { start, shard, version } = self.rows[place];
        let end = self.rows.get(place + 1).map_or(self.size, |next| next.start);
        Extent { start, end, shard, version }
    }

    /// The place of the extent that holds an offset within the size.
    fn place(&self, offset: u64) -> usize {
        self.rows.partition_point(|row| row.start <= offset) - 1
    }

    fn starting(&self, volume: u64, start: u64) -> Result<usize, Fault> {
        let place = self.rows.binary_search_by_key(&start, |row| row.start);
        place.map_err(|_| Fault::NoExtentAt { volume, start })
    }

    fn switch(&mut self, volume: u64, start: u64, shard: u32, version: u32) -> Result<(), Fault> {
        let place = self.starting(volume, start)?;
        let row = &mut self.rows[place];
        if version <= row.version {
            return Err(Fault::VersionFalls { volume, start });
        }
        (row.shard, row.version) = (shard, version);
        Ok(())
    }

    fn split(&mut self, volume: u64, start: u64, at: u64) -> Result<(), Fault> {
        let place = self.starting(volume, start)?;
        let extent = self.extent(place);
        if at <= start || at >= extent.end {
            return Err(Fault::Empty { volume });
        }
        let Extent { shard, version, .. } = extent;
        self.rows.insert(place + 1, Row { start: at, shard, version });
        Ok(())
    }

    fn merge(&mut self, volume: u64, start: u64) -> Result<(), Fault> {
        let place = self.starting(volume, start)?;
        let next = self.rows.get(place + 1).copied();
        let Some(next) = next.filter(|next| next.shard == self.rows[place].shard) else {
            return Err(Fault::CannotMerge { volume, start });
        };
        // Whoever holds the lower version learns from the node that its map is old.
        self.rows[place].version = self.rows[place].version.max(next.version);
        self.rows.remove(place + 1);
        Ok(())
    }
}

/// All volumes at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Map {
    epoch: u64,
    volumes: BTreeMap<u64, VolumeMap>,
}

impl Map {
    pub fn whole(epoch: u64, volumes: BTreeMap<u64, VolumeMap>) -> Map {
        Map { epoch, volumes }
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn extents(&self) -> usize {
        self.volumes.values().map(|v| v.rows.len()).sum()
    }

    /// Bytes that its extents take.
    pub fn bytes(&self) -> usize {
        self.volumes.values().map(|v| v.rows.capacity() * std::mem::size_of::<Row>()).sum()
    }

    /// All extents in order, each with its volume.
    pub fn all(&self) -> impl Iterator<Item = (u64, Extent)> + '_ {
        self.volumes.iter().flat_map(|(id, v)| (0..v.rows.len()).map(|place| (*id, v.extent(place))))
    }

    /// The one extent that holds an offset; none outside the volume.
    pub fn find(&self, volume: u64, offset: u64) -> Option<Extent> {
        let v = self.volumes.get(&volume).filter(|v| offset < v.size)?;
        Some(v.extent(v.place(offset)))
    }

    /// The extents that hold a range, in order, cut to it; none where the range goes beyond the volume.
    pub fn span(&self, volume: u64, start: u64, end: u64) -> Option<Vec<Extent>> {
        let v = self.volumes.get(&volume).filter(|v| start < end && end <= v.size)?;
        let places = v.place(start)..=v.place(end - 1);
        let cut = |e: Extent| Extent { start: e.start.max(start), end: e.end.min(end), ..e };
        Some(places.map(|place| cut(v.extent(place))).collect())
    }

    /// Takes the changes of the next epoch, all or none.
    pub fn apply(&mut self, news: &Changes) -> Result<(), Fault> {
        if news.epoch <= self.epoch {
            return Err(Fault::Old);
        }
        if news.epoch != self.epoch + 1 {
            return Err(Fault::Gap { have: self.epoch, got: news.epoch });
        }
        // Only the volumes that change are copied, so that a refusal leaves everything as it was.
        let mut changed: BTreeMap<u64, Option<VolumeMap>> = BTreeMap::new();
        for change in &news.changes {
            self.stage(change, &mut changed)?;
        }
        for (volume, after) in changed {
            match after {
                Some(after) => _ = self.volumes.insert(volume, after),
                None => _ = self.volumes.remove(&volume),
            }
        }
        self.epoch = news.epoch;
        Ok(())
    }

    fn stage(&self, change: &Change, changed: &mut BTreeMap<u64, Option<VolumeMap>>) -> Result<(), Fault> {
        let volume = match *change {
            Change::Create { volume, .. }
            | Change::Remove { volume }
            | Change::Switch { volume, .. }
            | Change::Split { volume, .. }
            | Change::Merge { volume, .. } => volume,
        };
        let staged = changed.entry(volume).or_insert_with(|| self.volumes.get(&volume).cloned());
        match (*change, staged.as_mut()) {
            (Change::Create { .. }, Some(_)) => return Err(Fault::VolumeExists(volume)),
            (Change::Create { size: 0, .. }, None) => return Err(Fault::Empty { volume }),
            (Change::Create { size, shard, .. }, None) => {
                *staged = Some(VolumeMap { size, rows: vec![Row { start: 0, shard, version: 1 }] });
            }
            (_, None) => return Err(Fault::UnknownVolume(volume)),
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
