use super::*;
use magpiewick_http1::BodyFraming;
use magpiewick_instance_settings::ClassSettings;
use quickcheck::quickcheck;

fn settings() -> PlatformSettings {
    let class = |name: &str, writes| ClassSettings { name: name.to_string(), client_timeout: 1000.0, writes };
    PlatformSettings {
        classes: vec![class("read", Some(false)), class("write", Some(true))],
        policies: vec!["basic".to_string(), "gold".to_string()],
        zones: Vec::new(),
        shards: Some(8),
        max_units: 6.0,
        connect_timeout: None,
        idle_timeout: None,
        drain_grace: None,
    }
}

const VALID_HEAD: &str = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: h\r\n\
    X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: write\r\nX-Qos-Policy: gold\r\nX-Deadline: 480m\r\n\
    Content-Length: 3\r\nX-Placement: units=2,shard=5,hosts=3\r\n\r\n";

/// Returns the body length that a request's head declares.
fn body_length(head: &RequestHead<'_>) -> usize {
    match head.framing {
        BodyFraming::Length(length) => length,
        BodyFraming::Chunked => panic!("the length is unknown"),
    }
}

/// Returns the status with which a head is rejected; 0 for a valid request.
fn status(head: &str) -> u16 {
    let parsed = magpiewick_http1::parse_request_head(head.as_bytes())
        .unwrap_or_else(|r| panic!("{head}: {}", r.reason));
    let request = id(&parsed).and_then(|_| parse(&parsed, body_length(&parsed), &settings(), 0.0, 1));
    request.map_or_else(|rejection| rejection.status, |_| 0)
}

#[test]
fn a_request_is_parsed_from_its_headers() {
    let parsed = magpiewick_http1::parse_request_head(VALID_HEAD.as_bytes()).unwrap();
    assert_eq!(id(&parsed), Ok("9b1f03aa5c7e2d41"));
    let incoming = parse(&parsed, body_length(&parsed), &settings(), 30.0, 9).unwrap();
    assert_eq!((incoming.id, incoming.volume, incoming.key), (9, 0x3b4d60021, 0x7f3a9c21e0b4d655));
    let request = incoming.request;
    assert_eq!(
        (request.class, request.policy, request.units, request.shard, request.hosts),
        (1, 1, 2.0, Some(5), 3.0)
    );
    assert_eq!(request.client_timeout, 450.0, "the time that the client has waited is deducted");
    let new = VALID_HEAD.replace("shard=5", "shard=-1").replace("480m", "480000u");
    let parsed = magpiewick_http1::parse_request_head(new.as_bytes()).unwrap();
    let request = parse(&parsed, body_length(&parsed), &settings(), 0.0, 9).unwrap().request;
    assert_eq!((request.shard, request.client_timeout), (None, 480.0));
    let long = VALID_HEAD.replace("480m", "1009m");
    let parsed = magpiewick_http1::parse_request_head(long.as_bytes()).unwrap();
    let request = parse(&parsed, body_length(&parsed), &settings(), 20.0, 9).unwrap().request;
    assert_eq!(request.client_timeout, 980.0, "no client waits longer than its class's timeout");
}

#[test]
fn invalid_requests_are_refused_with_a_client_error_below_429() {
    for (from, to) in [
        ("X-Request-Id: 9b1f03aa5c7e2d41\r\n", ""),
        ("9b1f03aa5c7e2d41", ""),
        ("9b1f03aa5c7e2d41", "9b1f 3aa5"),
        ("9b1f03aa5c7e2d41", "9b1f\u{e9}"),
        ("X-Request-Id: 9b1f03aa5c7e2d41", "X-Request-Id: a\r\nX-Request-Id: b"),
        ("X-Class: write", "X-Class: odd"),
        ("X-Class: write", "X-Class: read"),
        ("X-Class: write\r\n", ""),
        ("gold", "lead"),
        ("480m", "480"),
        ("480m", "-480m"),
        ("480m", "soon"),
        ("480m", "NaNm"),
        ("480m", "infm"),
        ("480m", "1e3m"),
        ("480m", "m"),
        ("480m", "999999999999m"),
        ("X-Deadline: 480m\r\n", ""),
        ("units=2", "units=0"),
        ("units=2", "units=7"),
        ("units=2", "units=x"),
        ("units=2,", ""),
        ("units=2", "units=2,units=2"),
        ("shard=5", "shard=8"),
        ("shard=5", "shard=-2"),
        ("shard=5", "shard=+5"),
        ("shard=5", "shard=99999999999"),
        ("hosts=3", "hosts=0"),
        ("hosts=3", "hosts=1e9"),
        ("hosts=3", "hosts"),
        ("00000003b4d60021", "3b4d60021"),
        ("7f3a9c21e0b4d655", "7f3a9c21e0b4d65x"),
        ("/7f3a9c21e0b4d655", ""),
        ("PUT", "POST"),
    ] {
        let head = VALID_HEAD.replace(from, to);
        assert!(matches!(status(&head), 400..=428), "{to:?} for {from:?}: {}", status(&head));
    }
    assert_eq!(status(VALID_HEAD), 0);
}

#[test]
fn a_read_with_a_body_is_refused() {
    let read = VALID_HEAD.replace("PUT", "GET").replace("X-Class: write", "X-Class: read");
    assert_eq!(status(&read), 405);
    assert_eq!(status(&read.replace("Content-Length: 3\r\n", "")), 0);
    assert_eq!(status(&read.replace("Content-Length: 3", "Content-Length: 0")), 0);
}

quickcheck! {
    fn parsed_times_and_placements_are_within_their_limits(text: String) -> bool {
        let is_valid_time = |t: f64| (0.0..=MAX_CLIENT_TIMEOUT_MS).contains(&t);
        let is_valid_placement = |p: Placement| p.units > 0.0 && p.shard.is_none_or(|s| s < 8) && p.hosts >= 1.0;
        time(&text).is_none_or(is_valid_time) && time(&format!("{text}m")).is_none_or(is_valid_time)
            && Placement::parse(&text, &settings()).is_none_or(is_valid_placement)
            && (PathIds::parse(&text).is_none() || text.starts_with('/'))
    }
}
