use super::*;

fn parse_list_with(instance: &str) -> Result<EndpointList, ListError> {
    EndpointList::from_slice(
        format!(r#"{{"generation":4,"reset":true,"instances":[{instance}]}}"#).as_bytes(),
    )
}

const VALID_RECORD: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:9000","zone":"a","machineType":"m2","cell":3,
    "lifecycle":"SERVING","weight":1.0,"startedAtMs":1700000000000}"#;

#[test]
fn parses_all_fields_of_a_list() {
    let list = parse_list_with(VALID_RECORD).unwrap();
    assert_eq!((list.generation, list.complete), (4, true));
    let record = &list.records[0];
    assert_eq!((record.id.as_str(), record.shard, record.state), ("s-1", 3, EndpointState::Ready));
    assert_eq!(
        (record.started_unix, record.address),
        (Some(1_700_000_000_000), "127.0.0.1:9000".parse().ok())
    );
    assert_eq!(
        parse_list_with(&VALID_RECORD.replace("1700000000000", "0")).unwrap().records[0].started_unix,
        None
    );
    let removed = parse_list_with(r#"{"instanceId":"s-1","lifecycle":"DELETED"}"#).unwrap();
    assert_eq!(removed.records[0].state, EndpointState::Removed);
}

#[test]
fn one_invalid_record_invalidates_the_list() {
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
        assert!(parse_list_with(&VALID_RECORD.replace(from, to)).is_err(), "{to:?} for {from:?}");
    }
    assert!(parse_list_with(&format!("{VALID_RECORD},{VALID_RECORD}")).is_err(), "a repeated instanceId");
    for bytes in ["", "[]", "{}", "{\"generation\":1}", "\u{1}", "{\"generation\":-1}"] {
        assert!(EndpointList::from_slice(bytes.as_bytes()).is_err(), "{bytes:?}");
    }
}

#[test]
fn an_unanswered_poll_of_pushed_lists_is_detected_within_the_drain_grace() {
    for grace in [0.0, 100.0, 250.0, 500.0, 1000.0, 60_000.0] {
        let (timing, rules) = (poll_timing(None, Some(grace)), freshness_rules(Some(grace)));
        // Discovery stops answering at once, the host detects the failure, and the next poll is answered.
        let detected_after = timing.hold + timing.grace;
        assert!(
            detected_after + timing.first_hold + timing.grace <= 0.9 * rules.binding_delay,
            "{grace}: {timing:?}"
        );
        assert!(rules.binding_delay >= 100.0 && timing.hold >= 1.0);
    }
}

#[test]
fn an_unanswered_poll_is_detected_and_repeated_before_a_change_binds() {
    let (timing, rules) = (poll_timing(Some(10_000.0), None), freshness_rules(None));
    let repeated_after = timing.hold + timing.grace + timing.first_hold + timing.first_grace;
    assert!(repeated_after <= rules.binding_delay - rules.max_stall, "{repeated_after} ms");
}
