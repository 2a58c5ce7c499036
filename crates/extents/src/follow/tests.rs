use super::*;
use crate::map::Change;

fn follower() -> Follower {
    let mut f = Follower::default();
    let lines = [(1, 0, 10, 5, 1), (1, 10, 20, 6, 1)];
    assert_eq!(f.part(1, 0, true, &lines), Ok(true));
    f
}

const SWITCHED: Change = Change::Switch { volume: 1, start: 10, shard: 7, version: 2 };

#[test]
fn a_node_that_names_the_owner_is_believed_until_the_map_says_it() {
    let mut f = follower();
    assert_eq!(f.refused(0.0, (1, 12), 1, Some((7, 2))), None);
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 7, version: 2 });
    assert_eq!(f.place(0.0, 1, 5), Place::At { shard: 5, version: 1 });
    // An older word does not take a later one's place.
    f.refused(0.0, (1, 12), 0, Some((6, 1)));
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 7, version: 2 });
    f.changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert!(f.named.is_empty());
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 7, version: 2 });
}

#[test]
fn an_extent_in_flux_is_left_alone_until_news_or_time() {
    let mut f = follower();
    assert_eq!(f.refused(100.0, (1, 12), 1, None), Some(100.0 + FLUX));
    assert_eq!(f.place(101.0, 1, 19), Place::Flux);
    assert_eq!(f.place(100.0 + FLUX, 1, 19), Place::At { shard: 6, version: 1 });
    f.refused(300.0, (1, 12), 1, None);
    f.changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert_eq!(f.place(301.0, 1, 19), Place::At { shard: 7, version: 2 });
    assert_eq!(f.refused(302.0, (1, 12), 1, None), None, "the old owner's word about an old version");
}

#[test]
fn a_whole_map_that_is_old_takes_nothing_back() {
    let mut f = follower();
    let old = [(1, 0, 10, 5, 1), (1, 10, 20, 6, 1)];
    f.changes(&Changes { epoch: 2, changes: vec![SWITCHED] }).unwrap();
    assert_eq!(f.part(1, 0, true, &old), Ok(true));
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 7, version: 2 });
    assert_eq!(f.place(0.0, 1, 5), Place::At { shard: 5, version: 1 });
    // Told twice, and then the truth, whatever its epoch.
    assert_eq!(f.part(1, 0, true, &old), Ok(true));
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 7, version: 2 });
    assert_eq!(f.part(1, 0, true, &[(1, 0, 10, 5, 1), (1, 10, 20, 8, 3)]), Ok(true));
    assert_eq!(f.place(0.0, 1, 15), Place::At { shard: 8, version: 3 });
    assert!(f.named.is_empty());
}

#[test]
fn parts_out_of_their_order_are_refused_whole() {
    let mut f = follower();
    assert_eq!(f.part(9, 0, false, &[(1, 0, 10, 8, 3)]), Ok(false));
    assert!(f.part(9, 2, true, &[(1, 10, 20, 8, 3)]).is_err());
    assert!(f.part(9, 1, true, &[(1, 10, 20, 8, 3)]).is_err(), "the first part is gone with the fault");
    assert_eq!((f.epoch(), f.place(0.0, 1, 5)), (1, Place::At { shard: 5, version: 1 }));
    assert_eq!(f.part(9, 0, true, &[(1, 0, 9, 8, 3), (1, 10, 20, 8, 3)]), Err(Fault::Disorder { volume: 1 }));
    assert_eq!(f.epoch(), 1);
}
