use super::*;
use quickcheck::quickcheck;

fn arrived<'a>(body: &'a [u8], trailing: &'a [u8]) -> ReceivedResponse<'a> {
    ReceivedResponse { status: 200, body, trailing, request_id: None }
}

fn used(bodies: &[&[u8]]) -> ExchangeHistory {
    let mut history = ExchangeHistory::default();
    bodies.iter().for_each(|body| history.record(0.0, &arrived(body, b"")));
    history
}

#[test]
fn a_response_on_a_new_connection_always_matches() {
    let new = ExchangeHistory::default();
    assert_eq!(new.verify(&arrived(b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK"), "a"), Ok(()));
    assert_eq!((new.exchanges(), used(&[b"a"]).exchanges()), (0, 1));
}

#[test]
fn a_response_that_names_another_request_is_a_mismatch() {
    let answer = ReceivedResponse { request_id: Some("b"), ..arrived(b"body", b"") };
    assert_eq!(ExchangeHistory::default().verify(&answer, "a"), Err(ResponseMismatch::DifferentRequestId));
    assert_eq!(ExchangeHistory::default().verify(&answer, "b"), Ok(()));
}

#[test]
fn a_copy_of_any_remembered_response_is_a_mismatch() {
    let history = used(&[b"first", b"second"]);
    assert_eq!(history.verify(&arrived(b"first", b""), "a"), Err(ResponseMismatch::DuplicateResponse));
    assert_eq!(history.verify(&arrived(b"second", b"x"), "a"), Err(ResponseMismatch::DuplicateResponse));
    assert_eq!(history.verify(&arrived(b"third", b"noise"), "a"), Ok(()));
    // A response with another status or another body is no copy.
    let failed = ReceivedResponse { status: 500, ..arrived(b"first", b"") };
    assert_eq!(history.verify(&failed, "a"), Ok(()));
}

quickcheck! {
    /// Wherever a copy was cut, a body that is made of it and of the next response is recognised.
    fn a_truncated_copy_before_a_response_is_a_mismatch(first: Vec<u8>, second: Vec<u8>, cut: usize) -> bool {
        if first.is_empty() {
            return true;
        }
        // So many bytes of the copy's body arrived; the next response fills it up.
        let came = cut % first.len();
        let next = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".as_slice(), &second].concat();
        let stream = [&first[..came], &next].concat();
        if stream.len() <= first.len() {
            return true;
        }
        let (body, trailing) = stream.split_at(first.len());
        used(&[&first]).verify(&arrived(body, trailing), "a").is_err()
    }
}

#[test]
fn a_body_without_trailing_bytes_may_contain_anything() {
    let history = used(&[b"0123456789"]);
    assert_eq!(history.verify(&arrived(b"x HTTP/1.1 200 OK\r\n", b""), "a"), Ok(()));
    assert_eq!(
        history.verify(&arrived(b"x HTTP/1.1 200 OK\r\n", b"\r\n"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(
        history.verify(&arrived(b"012345678H", b"TTP/1.1 200"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(
        history.verify(&arrived(b"012345678H", b"TT"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(history.verify(&arrived(b"012345678H", b"noise"), "a"), Ok(()));
}

#[test]
fn a_common_response_matches_unless_more_arrived_behind_it() {
    let history = used(&[b"OK", b"own"]);
    let mut common = CommonResponses::default();
    for (connection, body) in [(1, b"OK".as_slice()), (2, b"OK"), (2, b"own")] {
        common.record(connection, &arrived(body, b""));
    }
    assert_eq!(history.verify_allowing_common(&arrived(b"OK", b""), "a", &common), Ok(()));
    let copy = Err(ResponseMismatch::DuplicateResponse);
    assert_eq!(history.verify_allowing_common(&arrived(b"OK", b"HTTP/1.1 200 OK"), "a", &common), copy);
    assert_eq!(history.verify_allowing_common(&arrived(b"own", b""), "a", &common), copy);
    let named = ReceivedResponse { request_id: Some("b"), ..arrived(b"OK", b"") };
    let verdict = history.verify_allowing_common(&named, "a", &common);
    assert_eq!(verdict, Err(ResponseMismatch::DifferentRequestId));
}
