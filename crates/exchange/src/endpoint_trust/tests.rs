use super::*;

#[test]
fn an_endpoint_that_sent_too_much_once_is_not_trusted_while_it_is_listed() {
    let mut trust = ConnectionReusePolicy::default();
    assert!(trust.may_reuse(1, 200) && !trust.may_reuse(1, 503) && !trust.may_reuse(1, 500));
    trust.on_unsolicited_bytes(1, 3.0);
    assert!(!trust.may_reuse(1, 200) && trust.may_reuse(2, 200));
    trust.remove_endpoint(1);
    assert!(trust.may_reuse(1, 200));
}

#[test]
fn late_bytes_of_one_endpoint_lengthen_the_idle_time_of_all() {
    let mut trust = ConnectionReusePolicy::default();
    trust.on_unsolicited_bytes(1, 3.0);
    assert_eq!(trust.min_idle(), 100.0, "no shorter than what the network is allowed");
    trust.on_unsolicited_bytes(1, 100.0);
    assert_eq!(trust.min_idle(), 400.0);
    trust.on_unsolicited_bytes(2, 10.0);
    assert_eq!(trust.min_idle(), 400.0);
    trust.on_unsolicited_bytes(2, 30_000.0);
    assert_eq!(trust.min_idle(), 400.0, "what comes at the end of an idle connection is no late response");
    trust.on_unsolicited_bytes(2, 900.0);
    assert_eq!(trust.min_idle(), MAX_LEARNED_IDLE_MS);
}

/// The digest of a response with this body.
fn digest(body: &[u8]) -> ResponseDigest {
    crate::ReceivedResponse { status: 200, body, trailing: b"", request_id: None }.digest()
}

/// How many exchanges it takes until an endpoint is trusted.
fn exchanges_until_trusted(trust: &mut ConnectionReusePolicy, endpoint: u32) -> u32 {
    let mut exchanges = 0;
    while !trust.may_reuse(endpoint, 200) {
        trust.on_exchange(endpoint);
        exchanges += 1;
    }
    exchanges
}

#[test]
fn trust_is_regained_by_exchanges_and_later_each_time() {
    let mut trust = ConnectionReusePolicy::default();
    let mut waits = Vec::new();
    for _ in 0..9 {
        trust.on_unsolicited_bytes(1, 3.0);
        waits.push(exchanges_until_trusted(&mut trust, 1));
    }
    assert_eq!(waits, [64, 128, 256, 512, 1024, 2048, 4096, 4096, 4096]);
    trust.on_unsolicited_bytes(2, 3.0);
    assert_eq!(exchanges_until_trusted(&mut trust, 2), 64);
}

#[test]
fn a_suspicion_is_lifted_once_the_response_is_known_to_be_common() {
    let mut trust = ConnectionReusePolicy::default();
    trust.on_suspected_copy(1, digest(b"OK"), 150.0);
    assert!(!trust.may_reuse(1, 200));
    assert_eq!(trust.min_idle(), 600.0, "it may have been as late");
    trust.on_common_response(digest(b"other"));
    assert!(!trust.may_reuse(1, 200));
    trust.on_common_response(digest(b"OK"));
    assert!(trust.may_reuse(1, 200));
    assert_eq!(trust.min_idle(), MIN_IDLE_MS);
}

#[test]
fn a_suspicion_that_nothing_explains_counts_as_a_late_copy() {
    let mut trust = ConnectionReusePolicy::default();
    trust.on_suspected_copy(1, digest(b"OK"), 150.0);
    assert_eq!(exchanges_until_trusted(&mut trust, 1), 64);
    assert_eq!(trust.min_idle(), 600.0);
    trust.on_unsolicited_bytes(1, 3.0);
    assert_eq!(exchanges_until_trusted(&mut trust, 1), 128);
}

#[test]
fn a_common_response_does_not_excuse_an_endpoint_that_sent_too_much() {
    let mut trust = ConnectionReusePolicy::default();
    trust.on_unsolicited_bytes(1, 3.0);
    trust.on_suspected_copy(1, digest(b"OK"), 150.0);
    trust.on_common_response(digest(b"OK"));
    assert!(!trust.may_reuse(1, 200));
}

#[test]
fn trust_is_regained_by_time_and_later_each_time() {
    let mut trust = ConnectionReusePolicy::default();
    let mut now = 1000.0;
    for wait in [10_000.0, 20_000.0, 40_000.0, 80_000.0, 160_000.0, 320_000.0, 640_000.0, 640_000.0] {
        trust.advance(now);
        trust.on_unsolicited_bytes(1, 3.0);
        trust.advance(now + wait - 1.0);
        assert!(!trust.may_reuse(1, 200), "trusted within {wait} ms");
        now += wait;
        trust.advance(now);
        assert!(trust.may_reuse(1, 200), "not trusted after {wait} ms");
    }
}
