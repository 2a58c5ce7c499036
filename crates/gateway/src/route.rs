//! Turns the map service's news, as the wire has it, into the map that a host follows.

use magpiewick_extents::{Change, Changes, ExtentMapView, MapEntry, MapError};
use magpiewick_node_protocol::{MapLine, MapNews, Mapped};

/// Stands for a shard that no node holds: requests whose data is on its way wait there, outside all lines.
pub const NOWHERE: usize = usize::MAX;

/// Takes news; true where places may have changed by it.
pub fn heard(follower: &mut ExtentMapView, news: &MapNews) -> Result<bool, MapError> {
    if news.whole {
        let line = |l: &MapLine| MapEntry {
            volume: l.volume,
            start: l.start,
            end: l.at,
            shard: l.shard,
            version: l.version,
        };
        let lines: Vec<MapEntry> = news.lines.iter().map(line).collect();
        return follower.on_snapshot_part(news.epoch, news.part, news.last, &lines);
    }
    let changes = news.lines.iter().filter_map(change).collect();
    follower.on_changes(&Changes { epoch: news.epoch, changes }).map(|()| true)
}

fn change(l: &MapLine) -> Option<Change> {
    let MapLine { volume, start, at, shard, version, .. } = *l;
    Some(match l.kind {
        // A line of a whole map says nothing of a change.
        Mapped::Extent => return None,
        Mapped::Create => Change::Create { volume, size: at, shard },
        Mapped::Remove => Change::Remove { volume },
        Mapped::Switch => Change::Switch { volume, start, shard, version },
        Mapped::Split => Change::Split { volume, start, at },
        Mapped::Merge => Change::Merge { volume, start },
    })
}
