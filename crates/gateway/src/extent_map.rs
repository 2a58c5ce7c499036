//! Applies the wire's extent map updates to the map that a host follows.

use magpiewick_extents::{Change, Changes, Fault, Follower, Line};
use magpiewick_node_protocol::{MapEntry, MapEntryKind, MapUpdate};

/// Stands for a shard that no node holds: requests whose data is being migrated wait there, outside all queues.
pub const NO_SHARD: usize = usize::MAX;

/// Applies an update; true where the places of requests may have changed by it.
pub fn apply(follower: &mut Follower, update: &MapUpdate) -> Result<bool, Fault> {
    if update.snapshot {
        let extent = |e: &MapEntry| -> Line { (e.volume, e.start, e.position, e.shard, e.version) };
        let extents: Vec<Line> = update.entries.iter().map(extent).collect();
        return follower.part(update.epoch, update.part, update.last, &extents);
    }
    let changes = update.entries.iter().filter_map(change).collect();
    follower.changes(&Changes { epoch: update.epoch, changes }).map(|()| true)
}

fn change(entry: &MapEntry) -> Option<Change> {
    let MapEntry { volume, start, position, shard, version, .. } = *entry;
    Some(match entry.kind {
        // An entry of a snapshot says nothing about a change.
        MapEntryKind::Extent => return None,
        MapEntryKind::Create => Change::Create { volume, size: position, shard },
        MapEntryKind::Remove => Change::Remove { volume },
        MapEntryKind::Switch => Change::Switch { volume, start, shard, version },
        MapEntryKind::Split => Change::Split { volume, start, at: position },
        MapEntryKind::Merge => Change::Merge { volume, start },
    })
}
