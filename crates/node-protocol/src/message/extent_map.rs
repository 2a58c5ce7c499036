//! Messages with the extent map and its migrations.

use crate::fields::{FieldReader, FieldWriter};
use crate::DecodeError;
use std::fmt;

/// Length of an encoded entry in bytes.
pub(crate) const MAP_ENTRY_LENGTH: usize = 33;

/// Kind of a map update's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapEntryKind {
    /// An extent of a snapshot: `position` is its end.
    Extent,
    /// A new volume of one extent: `position` is its size.
    Create,
    /// The volume is removed.
    Remove,
    /// The extent at `start` has a new owner, or the same owner under a new version.
    Switch,
    /// The extent at `start` is split at `position`.
    Split,
    /// The extent at `start` is merged with the next one.
    Merge,
}

impl MapEntryKind {
    /// All values in the order of their wire codes.
    const ALL: [MapEntryKind; 6] = [
        MapEntryKind::Extent,
        MapEntryKind::Create,
        MapEntryKind::Remove,
        MapEntryKind::Switch,
        MapEntryKind::Split,
        MapEntryKind::Merge,
    ];
}

/// An entry of a map update. Fields that its kind does not use are 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapEntry {
    /// Kind of the entry.
    pub kind: MapEntryKind,
    /// Id of the volume.
    pub volume: u64,
    /// Start of the extent.
    pub start: u64,
    /// End of the extent, size of the new volume, or position of the split.
    pub position: u64,
    /// Shard that owns the extent.
    pub shard: u32,
    /// Version of the extent.
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

/// The extent map: a snapshot in parts numbered from 0, or the changes of one epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapUpdate {
    /// True for a part of a snapshot, false for changes.
    pub snapshot: bool,
    /// Epoch after the update.
    pub epoch: u64,
    /// Number of the part.
    pub part: u32,
    /// True if no further part follows.
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

/// Stage of an extent's migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationStage {
    /// No migration is in progress, or the requested one was not possible.
    Idle,
    /// The data is being copied.
    Copying,
    /// The data is copied; the extent still has its old owner.
    Copied,
    /// The extent has its new owner.
    Completed,
    /// The migration was aborted.
    Aborted,
}

impl MigrationStage {
    /// All values in the order of their wire codes.
    pub(super) const ALL: [MigrationStage; 5] = [
        MigrationStage::Idle,
        MigrationStage::Copying,
        MigrationStage::Copied,
        MigrationStage::Completed,
        MigrationStage::Aborted,
    ];
}

/// Names printed by `magpiewick extents`.
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
