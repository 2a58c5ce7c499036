use super::*;
use magpiewick_http1::BodyEnd;

#[test]
fn connections_are_not_reused_after_unsolicited_bytes_until_the_endpoint_is_removed() {
    let mut policy = ConnectionReusePolicy::default();
    assert!(policy.may_reuse(1, 200) && !policy.may_reuse(1, 503) && !policy.may_reuse(1, 500));
    policy.on_unsolicited_bytes(1, 3.0);
    assert!(!policy.may_reuse(1, 200) && policy.may_reuse(2, 200));
    policy.remove_endpoint(1);
    assert!(policy.may_reuse(1, 200));
}

#[test]
fn late_bytes_of_one_endpoint_lengthen_the_idle_time_for_all() {
    let mut policy = ConnectionReusePolicy::default();
    policy.on_unsolicited_bytes(1, 3.0);
    assert_eq!(policy.min_idle(), 100.0, "not below the minimum idle time");
    policy.on_unsolicited_bytes(1, 100.0);
    assert_eq!(policy.min_idle(), 400.0);
    policy.on_unsolicited_bytes(2, 10.0);
    assert_eq!(policy.min_idle(), 400.0);
    policy.on_unsolicited_bytes(2, 30_000.0);
    assert_eq!(policy.min_idle(), 400.0, "bytes at the close of an idle connection are no late response");
    policy.on_unsolicited_bytes(2, 900.0);
    assert_eq!(policy.min_idle(), MAX_LEARNED_IDLE_MS);
}

/// The digest of a response with this body.
fn digest(body: &[u8]) -> ResponseDigest {
    crate::ReceivedResponse { status: 200, body, body_end: BodyEnd::Stated, trailing: b"", request_id: None }
        .digest()
}

/// Returns the number of exchanges until connections to an endpoint are reused.
fn exchanges_until_reused(policy: &mut ConnectionReusePolicy, endpoint: u32) -> u32 {
    let mut exchanges = 0;
    while !policy.may_reuse(endpoint, 200) {
        policy.on_exchange(endpoint);
        exchanges += 1;
    }
    exchanges
}

#[test]
fn restriction_ends_after_twice_as_many_exchanges_each_time() {
    let mut policy = ConnectionReusePolicy::default();
    let mut exchange_counts = Vec::new();
    for _ in 0..9 {
        policy.on_unsolicited_bytes(1, 3.0);
        exchange_counts.push(exchanges_until_reused(&mut policy, 1));
    }
    assert_eq!(exchange_counts, [64, 128, 256, 512, 1024, 2048, 4096, 4096, 4096]);
    policy.on_unsolicited_bytes(2, 3.0);
    assert_eq!(exchanges_until_reused(&mut policy, 2), 64);
}

#[test]
fn suspicion_ends_once_the_response_is_common() {
    let mut policy = ConnectionReusePolicy::default();
    policy.on_suspected_copy(1, digest(b"OK"), 150.0);
    assert!(!policy.may_reuse(1, 200));
    assert_eq!(policy.min_idle(), 600.0, "the suspected duplicate counts with its lateness");
    policy.on_common_response(digest(b"other"));
    assert!(!policy.may_reuse(1, 200));
    policy.on_common_response(digest(b"OK"));
    assert!(policy.may_reuse(1, 200));
    assert_eq!(policy.min_idle(), MIN_IDLE_MS);
}

#[test]
fn unexplained_suspicion_counts_as_a_late_duplicate() {
    let mut policy = ConnectionReusePolicy::default();
    policy.on_suspected_copy(1, digest(b"OK"), 150.0);
    assert_eq!(exchanges_until_reused(&mut policy, 1), 64);
    assert_eq!(policy.min_idle(), 600.0);
    policy.on_unsolicited_bytes(1, 3.0);
    assert_eq!(exchanges_until_reused(&mut policy, 1), 128);
}

#[test]
fn common_response_does_not_end_a_restriction_for_unsolicited_bytes() {
    let mut policy = ConnectionReusePolicy::default();
    policy.on_unsolicited_bytes(1, 3.0);
    policy.on_suspected_copy(1, digest(b"OK"), 150.0);
    policy.on_common_response(digest(b"OK"));
    assert!(!policy.may_reuse(1, 200));
}

#[test]
fn restriction_ends_after_twice_the_time_each_time() {
    let mut policy = ConnectionReusePolicy::default();
    let mut now = 1000.0;
    for wait in [10_000.0, 20_000.0, 40_000.0, 80_000.0, 160_000.0, 320_000.0, 640_000.0, 640_000.0] {
        policy.advance(now);
        policy.on_unsolicited_bytes(1, 3.0);
        policy.advance(now + wait - 1.0);
        assert!(!policy.may_reuse(1, 200), "reused within {wait} ms");
        now += wait;
        policy.advance(now);
        assert!(policy.may_reuse(1, 200), "not reused after {wait} ms");
    }
}
