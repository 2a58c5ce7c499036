use super::*;
use crate::extent_map::Change;

fn entry(volume: u64, start: u64, end: u64, shard: u32, version: u32) -> MapEntry {
    MapEntry { volume, start, end, shard, version }
}

fn view() -> ExtentMapView {
    let mut view = ExtentMapView::default();
    let lines = [entry(1, 0, 10, 5, 1), entry(1, 10, 20, 6, 1)];
    assert_eq!(view.on_snapshot_part(1, 0, true, &lines), Ok(true));
    view
}

const SWITCHED: Change = Change::Switch { volume: 1, start: 10, shard: 7, version: 2 };

#[test]
fn a_redirect_holds_until_the_map_confirms_it() {
    let mut view = view();
    assert_eq!(view.on_shard_moved(0.0, (1, 12), 1, Some((7, 2))), None);
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 7, version: 2 });
    assert_eq!(view.locate(0.0, 1, 5), ExtentLocation::At { shard: 5, version: 1 });
    // A redirect to an older version does not replace one to a newer version.
    view.on_shard_moved(0.0, (1, 12), 0, Some((6, 1)));
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 7, version: 2 });
    view.on_changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert!(view.redirects.is_empty());
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 7, version: 2 });
}

#[test]
fn an_extent_in_transition_is_not_tried_until_a_map_change_or_timeout() {
    let mut view = view();
    assert_eq!(view.on_shard_moved(100.0, (1, 12), 1, None), Some(100.0 + TRANSITION_MS));
    assert_eq!(view.locate(101.0, 1, 19), ExtentLocation::InTransition);
    assert_eq!(view.locate(100.0 + TRANSITION_MS, 1, 19), ExtentLocation::At { shard: 6, version: 1 });
    view.on_shard_moved(300.0, (1, 12), 1, None);
    view.on_changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert_eq!(view.locate(301.0, 1, 19), ExtentLocation::At { shard: 7, version: 2 });
    assert_eq!(
        view.on_shard_moved(302.0, (1, 12), 1, None),
        None,
        "a rejection of an attempt under an old version"
    );
}

#[test]
fn a_stale_snapshot_does_not_undo_newer_versions() {
    let mut view = view();
    let old = [entry(1, 0, 10, 5, 1), entry(1, 10, 20, 6, 1)];
    view.on_changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert_eq!(view.on_snapshot_part(1, 0, true, &old), Ok(true));
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 7, version: 2 });
    assert_eq!(view.locate(0.0, 1, 5), ExtentLocation::At { shard: 5, version: 1 });
    // The stale snapshot again, and then one with a newer version, whatever its epoch.
    assert_eq!(view.on_snapshot_part(1, 0, true, &old), Ok(true));
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 7, version: 2 });
    assert_eq!(view.on_snapshot_part(1, 0, true, &[entry(1, 0, 10, 5, 1), entry(1, 10, 20, 8, 3)]), Ok(true));
    assert_eq!(view.locate(0.0, 1, 15), ExtentLocation::At { shard: 8, version: 3 });
    assert!(view.redirects.is_empty());
}

#[test]
fn a_snapshot_with_parts_out_of_order_is_rejected() {
    let mut view = view();
    assert_eq!(view.on_snapshot_part(9, 0, false, &[entry(1, 0, 10, 8, 3)]), Ok(false));
    assert!(view.on_snapshot_part(9, 2, true, &[entry(1, 10, 20, 8, 3)]).is_err());
    assert!(
        view.on_snapshot_part(9, 1, true, &[entry(1, 10, 20, 8, 3)]).is_err(),
        "the error discarded the first part"
    );
    assert_eq!((view.epoch(), view.locate(0.0, 1, 5)), (1, ExtentLocation::At { shard: 5, version: 1 }));
    assert_eq!(
        view.on_snapshot_part(9, 0, true, &[entry(1, 0, 9, 8, 3), entry(1, 10, 20, 8, 3)]),
        Err(MapError::NotContiguous { volume: 1 })
    );
    assert_eq!(view.epoch(), 1);
}
