//! Turns the map service's news, as the wire has it, into the map that a host follows.

use magpiewick_extents::{Change, Changes, Fault, Follower, Line};
use magpiewick_node_protocol::{MapEntry, MapEntryKind, MapUpdate};

/// Stands for a shard that no node holds: requests whose data is on its way wait there, outside all lines.
pub const NOWHERE: usize = usize::MAX;

/// Takes news; true where places may have changed by it.
pub fn heard(follower: &mut Follower, news: &MapUpdate) -> Result<bool, Fault> {
    if news.snapshot {
        let line = |l: &MapEntry| -> Line { (l.volume, l.start, l.position, l.shard, l.version) };
        let lines: Vec<Line> = news.entries.iter().map(line).collect();
        return follower.part(news.epoch, news.part, news.last, &lines);
    }
    let changes = news.entries.iter().filter_map(change).collect();
    follower.changes(&Changes { epoch: news.epoch, changes }).map(|()| true)
}

fn change(l: &MapEntry) -> Option<Change> {
    let MapEntry { volume, start, position: at, shard, version, .. } = *l;
    Some(match l.kind {
        // A line of a whole map says nothing of a change.
        MapEntryKind::Extent => return None,
        MapEntryKind::Create => Change::Create { volume, size: at, shard },
        MapEntryKind::Remove => Change::Remove { volume },
        MapEntryKind::Switch => Change::Switch { volume, start, shard, version },
        MapEntryKind::Split => Change::Split { volume, start, at },
        MapEntryKind::Merge => Change::Merge { volume, start },
    })
}
