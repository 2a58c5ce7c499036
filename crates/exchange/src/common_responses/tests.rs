use super::*;

fn arrived(body: &[u8]) -> ReceivedResponse<'_> {
    ReceivedResponse { status: 200, body, trailing: b"", request_id: None }
}

#[test]
fn a_response_is_common_once_it_matched_on_two_connections() {
    let mut common = CommonResponses::default();
    assert!(!common.record(1, &arrived(b"OK")) && !common.record(1, &arrived(b"OK")));
    assert!(!common.contains(&arrived(b"OK")), "it may be a copy of itself");
    assert!(common.record(2, &arrived(b"OK")), "it becomes common");
    assert!(common.contains(&arrived(b"OK")) && !common.contains(&arrived(b"ok")));
    assert!(!common.record(3, &arrived(b"OK")), "it was common before");
    let failed = ReceivedResponse { status: 500, ..arrived(b"OK") };
    assert!(!common.contains(&failed));
}

#[test]
fn the_oldest_responses_are_forgotten() {
    let mut common = CommonResponses::default();
    common.record(1, &arrived(b"OK"));
    common.record(2, &arrived(b"OK"));
    for number in 0..MAX_REMEMBERED as u64 {
        common.record(3, &arrived(&number.to_le_bytes()));
    }
    assert!(!common.contains(&arrived(b"OK")));
    assert_eq!((common.seen.len(), common.order.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
}
