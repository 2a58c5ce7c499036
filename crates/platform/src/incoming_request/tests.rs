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

const GOOD: &str = "PUT /api/00000003b4d60021/7f3a9c21e0b4d655?v=1 HTTP/1.1\r\nHost: h\r\n\
    X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Class: write\r\nX-Qos-Policy: gold\r\nX-Deadline: 480m\r\n\
    Content-Length: 3\r\nX-Placement: units=2,shard=5,hosts=3\r\n\r\n";

/// How long the body is that a request's head names.
fn bytes(request: &RequestHead<'_>) -> usize {
    match request.framing {
        BodyFraming::Length(length) => length,
        BodyFraming::Chunked => panic!("of unknown length"),
    }
}

/// The status that a head is rejected with; 0: it is a request.
fn status(head: &str) -> u16 {
    let read = magpiewick_http1::parse_request_head(head.as_bytes())
        .unwrap_or_else(|r| panic!("{head}: {}", r.reason));
    let request = id(&read).and_then(|_| parse(&read, bytes(&read), &settings(), 0.0, 1));
    request.map_or_else(|refused| refused.status, |_| 0)
}

#[test]
fn a_request_is_what_its_headers_say() {
    let read = magpiewick_http1::parse_request_head(GOOD.as_bytes()).unwrap();
    assert_eq!(id(&read), Ok("9b1f03aa5c7e2d41"));
    let taken = parse(&read, bytes(&read), &settings(), 30.0, 9).unwrap();
    assert_eq!((taken.id, taken.volume, taken.key), (9, 0x3b4d60021, 0x7f3a9c21e0b4d655));
    let c = taken.request;
    assert_eq!((c.class, c.policy, c.units, c.shard, c.hosts), (1, 1, 2.0, Some(5), 3.0));
    assert_eq!(c.client_timeout, 450.0, "what the client has waited is gone");
    let new = GOOD.replace("shard=5", "shard=-1").replace("480m", "480000u");
    let read = magpiewick_http1::parse_request_head(new.as_bytes()).unwrap();
    let c = parse(&read, bytes(&read), &settings(), 0.0, 9).unwrap().request;
    assert_eq!((c.shard, c.client_timeout), (None, 480.0));
    let long = GOOD.replace("480m", "1009m");
    let read = magpiewick_http1::parse_request_head(long.as_bytes()).unwrap();
    let c = parse(&read, bytes(&read), &settings(), 20.0, 9).unwrap().request;
    assert_eq!(c.client_timeout, 980.0, "no client waits longer than its class's timeout");
}

#[test]
fn what_is_no_request_is_refused_and_never_as_a_rejection() {
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
        let head = GOOD.replace(from, to);
        assert!(matches!(status(&head), 400..=428), "{to:?} for {from:?}: {}", status(&head));
    }
    assert_eq!(status(GOOD), 0);
}

#[test]
fn a_read_has_no_body() {
    let read = GOOD.replace("PUT", "GET").replace("X-Class: write", "X-Class: read");
    assert_eq!(status(&read), 405);
    assert_eq!(status(&read.replace("Content-Length: 3\r\n", "")), 0);
    assert_eq!(status(&read.replace("Content-Length: 3", "Content-Length: 0")), 0);
}

quickcheck! {
    fn no_text_makes_an_impossible_time_or_placement(text: String) -> bool {
        let good = |t: f64| (0.0..=MAX_CLIENT_TIMEOUT_MS).contains(&t);
        let possible = |p: Placement| p.units > 0.0 && p.shard.is_none_or(|s| s < 8) && p.hosts >= 1.0;
        time(&text).is_none_or(good) && time(&format!("{text}m")).is_none_or(good)
            && Placement::parse(&text, &settings()).is_none_or(possible)
            && (PathIds::parse(&text).is_none() || text.starts_with('/'))
    }
}
