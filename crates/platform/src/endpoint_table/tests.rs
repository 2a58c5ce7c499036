use super::*;

#[test]
fn numbers_of_a_fleet_that_is_always_new_stay_few() {
    let mut numbers = EndpointNumbers::default();
    let mut highest = 0;
    for second in 0..10_000 {
        let now = f64::from(second) * 1000.0;
        let number = numbers.get_or_assign(now, &format!("s-{second}"));
        assert_eq!(numbers.get(&format!("s-{second}")), Some(number));
        highest = highest.max(number);
        if second >= 10 {
            numbers.release(now, &format!("s-{}", second - 10));
        }
    }
    assert!((70..=72).contains(&highest), "{highest}");
}

fn record(id: &str, state: EndpointState, port: u16) -> EndpointRecord {
    let address = Some(SocketAddr::from(([127, 0, 0, 1], port)));
    let zone = "hall-a".to_string();
    EndpointRecord { id: id.to_string(), address, zone, shard: 0, state, started_unix: None }
}

fn table() -> EndpointTable {
    EndpointTable::new(WallClock::new(0.0, 0.0), vec!["hall-a".to_string()])
}

#[test]
fn an_update_says_what_it_means_for_connections() {
    let mut table = table();
    for (state, port, change) in [
        (EndpointState::Ready, 1, EndpointChange::None),
        (EndpointState::Ready, 1, EndpointChange::None),
        (EndpointState::Ready, 2, EndpointChange::Moved),
        (EndpointState::Draining, 2, EndpointChange::NotReady),
        (EndpointState::Ready, 2, EndpointChange::None),
        (EndpointState::Removed, 2, EndpointChange::Removed),
    ] {
        let updated = table.update(0.0, &record("s-1", state, port)).map(|update| update.change);
        assert_eq!(updated, Some(change), "{state:?} at port {port}");
    }
}

#[test]
fn an_endpoint_that_was_never_known_cannot_be_removed() {
    let mut table = table();
    assert!(table.update(0.0, &record("s-1", EndpointState::Removed, 1)).is_none());
    assert_eq!(table.len(), 0);
}

#[test]
fn only_a_complete_list_removes_what_it_does_not_name() {
    let mut table = table();
    let known = record("s-1", EndpointState::Ready, 1);
    let number = table.update(0.0, &known).map(|update| update.number);
    let list = |complete, records| EndpointList { generation: 1, complete, records };
    assert!(table.missing_from(&list(false, Vec::new())).is_empty());
    assert!(table.missing_from(&list(true, vec![known])).is_empty());
    assert_eq!(Some(table.missing_from(&list(true, Vec::new()))), number.map(|number| vec![number]));
}
