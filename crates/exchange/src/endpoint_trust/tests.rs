use super::*;

#[test]
fn an_endpoint_that_sent_too_much_once_is_not_trusted_while_it_is_listed() {
    let mut trust = EndpointTrust::default();
    assert!(trust.may_reuse(1, 200) && !trust.may_reuse(1, 503) && !trust.may_reuse(1, 500));
    trust.on_unsolicited_bytes(1, 3.0);
    assert!(!trust.may_reuse(1, 200) && trust.may_reuse(2, 200));
    trust.forget(1);
    assert!(trust.may_reuse(1, 200));
}

#[test]
fn late_bytes_of_one_endpoint_lengthen_the_idle_time_of_all() {
    let mut trust = EndpointTrust::default();
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
