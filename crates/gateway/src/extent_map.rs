//! Applies extent map updates from the wire to the host's map.

use magpiewick_extents::{Change, Changes, ExtentMapView, MapEntry, MapError};
use magpiewick_node_protocol::{self as wire, MapEntryKind, MapUpdate};

/// Placeholder for a shard that no node holds: requests for data in migration wait there, outside all queues.
pub(crate) const UNASSIGNED: usize = usize::MAX;

/// Applies an update; returns whether the locations of requests may have changed.
pub(crate) fn apply(view: &mut ExtentMapView, update: &MapUpdate) -> Result<bool, MapError> {
    if update.snapshot {
        let extent = |e: &wire::MapEntry| MapEntry {
            volume: e.volume,
            start: e.start,
            end: e.position,
            shard: e.shard,
            version: e.version,
        };
        let extents: Vec<MapEntry> = update.entries.iter().map(extent).collect();
        return view.on_snapshot_part(update.epoch, update.part, update.last, &extents);
    }
    let changes = update.entries.iter().filter_map(change).collect();
    view.on_changes(&Changes { epoch: update.epoch, changes }).map(|()| true)
}

fn change(entry: &wire::MapEntry) -> Option<Change> {
    let wire::MapEntry { volume, start, position, shard, version, .. } = *entry;
    Some(match entry.kind {
        // Entries of snapshots do not occur among changes.
        MapEntryKind::Extent => return None,
        MapEntryKind::Create => Change::Create { volume, size: position, shard },
        MapEntryKind::Remove => Change::Remove { volume },
        MapEntryKind::Switch => Change::Switch { volume, start, shard, version },
        MapEntryKind::Split => Change::Split { volume, start, at: position },
        MapEntryKind::Merge => Change::Merge { volume, start },
    })
}
