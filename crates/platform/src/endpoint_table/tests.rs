use super::*;

#[test]
fn numbers_are_reused_when_all_endpoints_are_replaced() {
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
fn an_update_reports_its_effect_on_connections() {
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
fn removal_of_an_unlisted_endpoint_is_ignored() {
    let mut table = table();
    assert!(table.update(0.0, &record("s-1", EndpointState::Removed, 1)).is_none());
    assert_eq!(table.len(), 0);
}

#[test]
fn only_a_complete_list_removes_absent_endpoints() {
    let mut table = table();
    let listed = record("s-1", EndpointState::Ready, 1);
    let number = table.update(0.0, &listed).map(|update| update.number);
    let list = |complete, records| EndpointList { generation: 1, complete, records };
    assert!(table.missing_from(&list(false, Vec::new())).is_empty());
    assert!(table.missing_from(&list(true, vec![listed])).is_empty());
    assert_eq!(Some(table.missing_from(&list(true, Vec::new()))), number.map(|number| vec![number]));
}
