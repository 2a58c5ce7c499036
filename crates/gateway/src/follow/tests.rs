use super::*;
use quickcheck::quickcheck;

fn line(node: u32, state: EntryState, life: u64, age_us: u64) -> EndpointEntry {
    EndpointEntry {
        node,
        shard: node % 2,
        zone: 0,
        state,
        incarnation: life,
        age_us,
        address: [127, 0, 0, 1],
        port: 1,
    }
}

fn list(whole: bool, epoch: u64, lines: &[EndpointEntry]) -> EndpointListUpdate {
    EndpointListUpdate { snapshot: whole, epoch, entries: lines.to_vec() }
}

#[test]
fn an_age_told_twice_is_one_start() {
    let mut f = Follower::default();
    f.heard(1000.0, &list(true, 1, &[line(1, EntryState::Ready, 7, 500_000)]));
    f.heard(1300.7, &list(true, 2, &[line(1, EntryState::Ready, 7, 800_000)]));
    assert_eq!(f.node(1).unwrap().started, Some(500.0));
    f.heard(1400.0, &list(false, 3, &[line(1, EntryState::Ready, 8, 0)]));
    assert_eq!(f.node(1).unwrap().started, Some(1400.0));
}

#[test]
fn gaps_and_repeats_are_found() {
    let mut f = Follower::default();
    f.heard(0.0, &list(true, 4, &[line(1, EntryState::Ready, 7, 0)]));
    let drains = [line(1, EntryState::Draining, 7, 0)];
    assert!(matches!(f.heard(1.0, &list(false, 6, &drains)), Heard::Gap));
    assert!(matches!(f.heard(1.0, &list(false, 4, &drains)), Heard::Old));
    assert!(matches!(f.heard(1.0, &list(false, 5, &drains)), Heard::Update(EndpointUpdate::Delta, _)));
    assert_eq!(f.epoch(), 5);
}

#[test]
fn a_remembered_list_makes_no_node_older() {
    let mut f = Follower::default();
    f.heard(
        0.0,
        &list(true, 4, &[line(1, EntryState::Ready, 7, 250_000), line(2, EntryState::Ready, 9, LONG_AGO)]),
    );
    let kept = f.remembered(1000.0);
    let mut again = Follower::default();
    let entries = again.recall(10.0, &kept);
    assert_eq!(entries[0].1.started_at, Some(10.0 - 1250.0));
    assert_eq!((entries[1].1.started_at, again.epoch()), (None, 0));
}

quickcheck! {
    /// A plain model: the states as a map, news applied one by one, wholes replacing all.
    fn the_list_is_what_its_news_make_it(news: Vec<(bool, Vec<(u8, u8)>)>) -> bool {
        let (mut f, mut plain) = (Follower::default(), BTreeMap::new());
        for (epoch, (whole, lines)) in (1..).zip(news) {
            let state = |s: u8| [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(s % 3)];
            let lines: Vec<EndpointEntry> =
                lines.iter().map(|(n, s)| line(u32::from(n % 8), state(*s), u64::from(*s), 0)).collect();
            if whole {
                plain.clear();
            }
            plain.extend(lines.iter().map(|l| (l.node, l.state)));
            if !whole {
                plain.retain(|_, state| *state != EntryState::Removed);
            }
            f.heard(0.0, &list(whole, epoch, &lines));
        }
        let found: BTreeMap<u32, EntryState> = f.nodes().map(|k| (k.line.node, k.line.state)).collect();
        found == plain
    }
}
