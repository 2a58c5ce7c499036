use super::*;

fn one(instance: &str) -> Result<Listing, String> {
    parsed(format!(r#"{{"generation":4,"reset":true,"instances":[{instance}]}}"#).as_bytes())
}

const GOOD: &str = r#"{"instanceId":"s-1","hostPort":"127.0.0.1:9000","zone":"a","machineType":"m2","cell":3,
    "lifecycle":"SERVING","weight":1.0,"startedAtMs":1700000000000}"#;

#[test]
fn a_list_is_read_whole() {
    let listing = one(GOOD).unwrap();
    assert_eq!((listing.generation, listing.whole), (4, true));
    let line = &listing.lines[0];
    assert_eq!((line.id.as_str(), line.shard, line.condition), ("s-1", 3, Condition::Ready));
    assert_eq!((line.started, line.address), (Some(1_700_000_000_000), "127.0.0.1:9000".parse().ok()));
    assert_eq!(one(&GOOD.replace("1700000000000", "0")).unwrap().lines[0].started, None);
    let gone = one(r#"{"instanceId":"s-1","lifecycle":"DELETED"}"#).unwrap();
    assert_eq!(gone.lines[0].condition, Condition::Gone);
}

#[test]
fn one_line_that_cannot_be_read_fails_the_list() {
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
        assert!(parsed(bytes.as_bytes()).is_err(), "{bytes:?}");
    }
}

#[test]
fn a_watch_follows_its_generations_and_begins_anew_where_it_cannot() {
    let told = |generation, whole| Listing { generation, whole, lines: Vec::new() };
    let mut watch = Watch::new(Pace::new(None));
    assert_eq!(watch.call(0.0), "/v1/endpoints");
    assert!(watch.is_out());
    assert_eq!(watch.answered(&told(4, true)), Some(News::Whole));
    assert!(!watch.is_out());
    assert_eq!(watch.call(10.0), "/v1/endpoints?after=4&wait_ms=2000");
    assert_eq!(watch.late_at(), Some(10.0 + WAIT + LATE));
    assert_eq!(watch.answered(&told(6, false)), Some(News::Changes));
    watch.call(20.0);
    assert_eq!(watch.answered(&told(5, false)), None, "changes that lead back");
    watch.failed();
    assert_eq!(watch.call(30.0), "/v1/endpoints");
    assert_eq!(watch.answered(&told(5, false)), None, "changes to nothing");
    watch.failed();
    watch.call(40.0);
    assert_eq!(watch.answered(&told(2, true)), Some(News::Whole), "a whole list may be of any age");
    watch.forget();
    assert_eq!(watch.call(50.0), "/v1/endpoints");
}

#[test]
fn after_a_failure_the_first_call_is_answered_soon_and_has_time_for_callers_before_it() {
    let mut watch = Watch::new(Pace::new(None));
    watch.remembers(7);
    assert_eq!(watch.call(0.0), "/v1/endpoints?after=7&wait_ms=500", "a new process");
    assert_eq!(watch.late_at(), Some(AGAIN + LATE));
    watch.answered(&Listing { generation: 8, whole: false, lines: Vec::new() });
    assert_eq!(watch.call(10.0), "/v1/endpoints?after=8&wait_ms=2000");
    watch.failed();
    assert_eq!(watch.call(20.0), "/v1/endpoints?after=8&wait_ms=500");
    watch.forget();
    assert_eq!(watch.call(30.0), "/v1/endpoints");
    assert_eq!(
        watch.late_at(),
        Some(30.0 + AGAIN + LATE),
        "a list that is asked for whole stands in line as well"
    );
}

#[test]
fn a_pushed_list_is_watched_within_the_time_that_a_drain_leaves() {
    for grace in [0.0, 100.0, 250.0, 500.0, 1000.0, 60_000.0] {
        let pace = Pace::new(Some(grace));
        let within = pace.within.unwrap();
        let mut watch = Watch::new(pace);
        watch.remembers(1);
        watch.answered(&Listing { generation: 1, whole: false, lines: Vec::new() });
        watch.call(0.0);
        // It falls silent at once, is found out, and the call after it is answered.
        let found = watch.late_at().unwrap();
        watch.failed();
        watch.call(found);
        assert!(watch.late_at().unwrap() <= 0.9 * within, "{grace}: {pace:?}");
        assert!(within >= 100.0 && pace.wait >= 1.0);
    }
}
