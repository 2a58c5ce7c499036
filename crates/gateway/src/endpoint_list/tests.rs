use super::*;
use quickcheck::quickcheck;

fn entry(node: u32, state: EntryState, incarnation: u64, age_us: u64) -> EndpointEntry {
    EndpointEntry {
        node,
        shard: node % 2,
        zone: 0,
        state,
        incarnation,
        age_us,
        address: [127, 0, 0, 1],
        port: 1,
    }
}

fn update(snapshot: bool, epoch: u64, entries: &[EndpointEntry]) -> EndpointListUpdate {
    EndpointListUpdate { snapshot, epoch, entries: entries.to_vec() }
}

#[test]
fn two_ages_of_one_incarnation_give_one_start_time() {
    let mut list = EndpointList::default();
    _ = list.apply(1000.0, &update(true, 1, &[entry(1, EntryState::Ready, 7, 500_000)]));
    _ = list.apply(1300.7, &update(true, 2, &[entry(1, EntryState::Ready, 7, 800_000)]));
    assert_eq!(list.node(1).unwrap().started_at, Some(500.0));
    _ = list.apply(1400.0, &update(false, 3, &[entry(1, EntryState::Ready, 8, 0)]));
    assert_eq!(list.node(1).unwrap().started_at, Some(1400.0));
}

#[test]
fn gaps_and_stale_updates_are_detected() {
    let mut list = EndpointList::default();
    _ = list.apply(0.0, &update(true, 4, &[entry(1, EntryState::Ready, 7, 0)]));
    let draining = [entry(1, EntryState::Draining, 7, 0)];
    assert!(matches!(list.apply(1.0, &update(false, 6, &draining)), ListChange::Gap));
    assert!(matches!(list.apply(1.0, &update(false, 4, &draining)), ListChange::Stale));
    assert!(matches!(
        list.apply(1.0, &update(false, 5, &draining)),
        ListChange::Updated(EndpointUpdate::Delta, _)
    ));
    assert_eq!(list.epoch(), 5);
}

#[test]
fn restored_nodes_are_not_older_than_cached() {
    let mut list = EndpointList::default();
    _ = list.apply(
        0.0,
        &update(
            true,
            4,
            &[entry(1, EntryState::Ready, 7, 250_000), entry(2, EntryState::Ready, 9, AGE_LONG_RUNNING)],
        ),
    );
    let cached = list.snapshot(1000.0);
    let mut restored = EndpointList::default();
    let endpoints = restored.restore(10.0, &cached);
    assert_eq!(endpoints[0].1.started_at, Some(10.0 - 1250.0));
    assert_eq!((endpoints[1].1.started_at, restored.epoch()), (None, 0));
}

quickcheck! {
    /// Compares the list with a map of states, to which deltas are applied one by one and which each snapshot
    /// replaces.
    fn list_equals_the_result_of_its_updates(updates: Vec<(bool, Vec<(u8, u8)>)>) -> bool {
        let (mut list, mut model) = (EndpointList::default(), BTreeMap::new());
        for (epoch, (snapshot, entries)) in (1..).zip(updates) {
            let state = |s: u8| [EntryState::Ready, EntryState::Draining, EntryState::Removed][usize::from(s % 3)];
            let entries: Vec<EndpointEntry> =
                entries.iter().map(|(n, s)| entry(u32::from(n % 8), state(*s), u64::from(*s), 0)).collect();
            if snapshot {
                model.clear();
            }
            model.extend(entries.iter().map(|entry| (entry.node, entry.state)));
            if !snapshot {
                model.retain(|_, state| *state != EntryState::Removed);
            }
            _ = list.apply(0.0, &update(snapshot, epoch, &entries));
        }
        let listed_states: BTreeMap<u32, EntryState> = list.nodes().map(|listed| (listed.entry.node, listed.entry.state)).collect();
        listed_states == model
    }
}
