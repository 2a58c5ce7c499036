//! The extent map and its migrations.

use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;
use std::fmt;

/// Bytes of an entry.
pub(crate) const MAP_ENTRY_LENGTH: usize = 33;

/// What one entry of a map update says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapEntryKind {
    /// An extent of a snapshot: `position` is its end.
    Extent,
    /// A new volume of one extent: `position` is its size.
    Create,
    /// A volume is removed.
    Remove,
    /// The extent at `start` has another owner, or the same under a new version.
    Switch,
    /// The extent at `start` is cut at `position`.
    Split,
    /// The extent at `start` and the next one are one.
    Merge,
}

impl MapEntryKind {
    /// In the order of their numbers on the wire.
    const ALL: [MapEntryKind; 6] = [
        MapEntryKind::Extent,
        MapEntryKind::Create,
        MapEntryKind::Remove,
        MapEntryKind::Switch,
        MapEntryKind::Split,
        MapEntryKind::Merge,
    ];
}

/// An entry of a map update; what its kind does not use is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// What it says.
    pub kind: MapEntryKind,
    /// The volume.
    pub volume: u64,
    /// Where the extent starts.
    pub start: u64,
    /// An extent's end, a new volume's size, or where to cut.
    pub position: u64,
    /// The shard that owns the extent.
    pub shard: u32,
    /// The version of the extent.
    pub version: u32,
}

impl MapEntry {
    fn decode(bytes: &[u8]) -> Result<MapEntry, DecodeError> {
        let mut fields = FieldReader::new(bytes);
        Ok(MapEntry {
            kind: fields.one_of(&MapEntryKind::ALL, "kind")?,
            volume: fields.u64("volume")?,
            start: fields.u64("start")?,
            position: fields.u64("position")?,
            shard: fields.u32("shard")?,
            version: fields.u32("version")?,
        })
    }

    fn encode(&self, out: &mut FieldWriter<'_>) {
        out.one_of(&MapEntryKind::ALL, &self.kind)
            .u64(self.volume)
            .u64(self.start)
            .u64(self.position)
            .u32(self.shard)
            .u32(self.version);
    }
}

/// The extent map: a snapshot, in parts numbered from 0 on, or the changes of one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapUpdate {
    /// Whether it belongs to a snapshot.
    pub snapshot: bool,
    /// The epoch that it leads to.
    pub epoch: u64,
    /// The number of the part.
    pub part: u32,
    /// Whether no part follows.
    pub last: bool,
    /// The extents, or the changes in their order.
    pub entries: Vec<MapEntry>,
}

impl MapUpdate {
    pub(super) fn decode(fields: &mut FieldReader<'_>, payload: &[u8]) -> Result<MapUpdate, DecodeError> {
        Ok(MapUpdate {
            snapshot: fields.flag("snapshot flag")?,
            epoch: fields.u64("epoch")?,
            part: fields.u32("part")?,
            last: fields.flag("last flag")?,
            entries: decode_entries(payload)?,
        })
    }

    pub(super) fn encode_fields(&self, out: &mut FieldWriter<'_>) {
        out.flag(self.snapshot).u64(self.epoch).u32(self.part).flag(self.last);
    }

    pub(super) fn encode_entries(&self, out: &mut FieldWriter<'_>) {
        self.entries.iter().for_each(|entry| entry.encode(out));
    }
}

fn decode_entries(bytes: &[u8]) -> Result<Vec<MapEntry>, DecodeError> {
    if !bytes.len().is_multiple_of(MAP_ENTRY_LENGTH) {
        return Err(DecodeError::InvalidField("length of the map update"));
    }
    bytes.chunks_exact(MAP_ENTRY_LENGTH).map(MapEntry::decode).collect()
}

/// How far the migration of an extent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationStage {
    /// No migration; what was asked for could not be done.
    Idle,
    /// The data is being copied.
    Copying,
    /// The data is copied; the owner is still the old one.
    Copied,
    /// The extent has its new owner.
    Completed,
    /// The migration was aborted.
    Aborted,
}

impl MigrationStage {
    /// In the order of their numbers on the wire.
    pub(super) const ALL: [MigrationStage; 5] = [
        MigrationStage::Idle,
        MigrationStage::Copying,
        MigrationStage::Copied,
        MigrationStage::Completed,
        MigrationStage::Aborted,
    ];
}

/// The words that `magpiewick extents` prints.
impl fmt::Display for MigrationStage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MigrationStage::Idle => "Still",
            MigrationStage::Copying => "Copying",
            MigrationStage::Copied => "Copied",
            MigrationStage::Completed => "Moved",
            MigrationStage::Aborted => "Abandoned",
        })
    }
}
