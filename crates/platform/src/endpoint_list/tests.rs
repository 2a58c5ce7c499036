use super::*;

fn one(instance: &str) -> Result<EndpointList, ListError> {
    EndpointList::from_slice(
        format!(r#"{{"generation":4,"reset":true,"instances":[{instance}]}}"#).as_bytes(),
    )
}

const GOOD: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:9000","zone":"a","machineType":"m2","cell":3,
    "lifecycle":"SERVING","weight":1.0,"startedAtMs":1700000000000}"#;

#[test]
fn a_list_is_read_completely() {
    let list = one(GOOD).unwrap();
    assert_eq!((list.generation, list.complete), (4, true));
    let record = &list.records[0];
    assert_eq!((record.id.as_str(), record.shard, record.state), ("s-1", 3, EndpointState::Ready));
    assert_eq!(
        (record.started_unix, record.address),
        (Some(1_700_000_000_000), "127.0.0.1:9000".parse().ok())
    );
    assert_eq!(one(&GOOD.replace("1700000000000", "0")).unwrap().records[0].started_unix, None);
    let gone = one(r#"{"instanceId":"s-1","lifecycle":"DELETED"}"#).unwrap();
    assert_eq!(gone.records[0].state, EndpointState::Removed);
}

#[test]
fn one_record_that_cannot_be_read_fails_the_list() {
    for (from, to) in [
        ("127.0.0.1:9000", "nowhere"),
        ("\"cell\":3,", ""),
        ("\"cell\":3", "\"cell\":-3"),
        ("\"cell\":3", "\"cell\":70000"),
        ("SERVING", "DANCING"),
        ("s-1", ""),
        ("1700000000000", "-5"),
        ("1700000000000", "\"soon\""),
    ] {
        assert!(one(&GOOD.replace(from, to)).is_err(), "{to:?} for {from:?}");
    }
    assert!(one(&format!("{GOOD},{GOOD}")).is_err(), "a node twice");
    for bytes in ["", "[]", "{}", "{\"generation\":1}", "\u{1}", "{\"generation\":-1}"] {
        assert!(EndpointList::from_slice(bytes.as_bytes()).is_err(), "{bytes:?}");
    }
}

#[test]
fn a_silent_poll_of_pushed_lists_is_noticed_within_the_drain_grace() {
    for grace in [0.0, 100.0, 250.0, 500.0, 1000.0, 60_000.0] {
        let (pace, rules) = (pace(None, Some(grace)), freshness_rules(Some(grace)));
        // It falls silent at once, is noticed, and the poll after it is answered.
        let found = pace.hold + pace.grace;
        assert!(found + pace.first_hold + pace.grace <= 0.9 * rules.binding_delay, "{grace}: {pace:?}");
        assert!(rules.binding_delay >= 100.0 && pace.hold >= 1.0);
    }
}

#[test]
fn a_silent_poll_is_noticed_and_repeated_before_a_change_binds() {
    let (pace, rules) = (pace(Some(10_000.0), None), freshness_rules(None));
    let repeated = pace.hold + pace.grace + pace.first_hold + pace.first_grace;
    assert!(repeated <= rules.binding_delay - rules.max_stall, "{repeated} ms");
}
