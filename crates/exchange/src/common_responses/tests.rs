use super::*;
use magpiewick_http1::BodyEnd;

fn received(body: &[u8]) -> ReceivedResponse<'_> {
    ReceivedResponse { status: 200, body, body_end: BodyEnd::Stated, trailing: b"", request_id: None }
}

#[test]
fn response_becomes_common_after_matching_on_two_connections() {
    let mut common = CommonResponses::default();
    assert!(!common.record(1, &received(b"OK")) && !common.record(1, &received(b"OK")));
    assert!(!common.contains(&received(b"OK")), "a repeat on the same connection may be a duplicate");
    assert!(common.record(2, &received(b"OK")), "the second connection makes the response common");
    assert!(common.contains(&received(b"OK")) && !common.contains(&received(b"ok")));
    assert!(!common.record(3, &received(b"OK")), "the response was common already");
    let failed = ReceivedResponse { status: 500, ..received(b"OK") };
    assert!(!common.contains(&failed));
}

#[test]
fn oldest_responses_are_evicted() {
    let mut common = CommonResponses::default();
    common.record(1, &received(b"OK"));
    common.record(2, &received(b"OK"));
    for number in 0..MAX_REMEMBERED as u64 {
        common.record(3, &received(&number.to_le_bytes()));
    }
    assert!(!common.contains(&received(b"OK")));
    assert_eq!((common.connections.len(), common.order.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
}
