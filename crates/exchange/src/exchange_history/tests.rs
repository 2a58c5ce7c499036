use super::*;
use quickcheck::quickcheck;

fn received<'a>(body: &'a [u8], trailing: &'a [u8]) -> ReceivedResponse<'a> {
    ReceivedResponse { status: 200, body, body_end: BodyEnd::Stated, trailing, request_id: None }
}

fn received_with_marked_end<'a>(body: &'a [u8], trailing: &'a [u8]) -> ReceivedResponse<'a> {
    ReceivedResponse { body_end: BodyEnd::Marked, ..received(body, trailing) }
}

fn history_of(bodies: &[&[u8]]) -> ExchangeHistory {
    let mut history = ExchangeHistory::default();
    bodies.iter().for_each(|body| history.record(0.0, &received(body, b"")));
    history
}

#[test]
fn response_on_a_new_connection_always_matches() {
    let new = ExchangeHistory::default();
    assert_eq!(new.verify(&received(b"HTTP/1.1 200 OK", b"HTTP/1.1 200 OK"), "a"), Ok(()));
    assert_eq!((new.exchanges(), history_of(&[b"a"]).exchanges()), (0, 1));
}

#[test]
fn response_with_another_request_id_is_a_mismatch() {
    let response = ReceivedResponse { request_id: Some("b"), ..received(b"body", b"") };
    assert_eq!(ExchangeHistory::default().verify(&response, "a"), Err(ResponseMismatch::DifferentRequestId));
    assert_eq!(ExchangeHistory::default().verify(&response, "b"), Ok(()));
}

#[test]
fn duplicate_of_any_remembered_response_is_a_mismatch() {
    let history = history_of(&[b"first", b"second"]);
    assert_eq!(history.verify(&received(b"first", b""), "a"), Err(ResponseMismatch::DuplicateResponse));
    assert_eq!(history.verify(&received(b"second", b"x"), "a"), Err(ResponseMismatch::DuplicateResponse));
    assert_eq!(history.verify(&received_with_marked_end(b"third", b"noise"), "a"), Ok(()));
    // A response with another status or another body is no duplicate.
    let failed = ReceivedResponse { status: 500, ..received(b"first", b"") };
    assert_eq!(history.verify(&failed, "a"), Ok(()));
}

quickcheck! {
    /// A body that consists of a truncated duplicate and the next response is a mismatch, wherever the cut is.
    fn truncated_duplicate_before_a_response_is_a_mismatch(first: Vec<u8>, second: Vec<u8>, cut: usize) -> bool {
        if first.is_empty() {
            return true;
        }
        // Number of the duplicate's body bytes that arrive; the next response fills up the rest of its length.
        let copied = cut % first.len();
        let next = [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".as_slice(), &second].concat();
        let stream = [&first[..copied], &next].concat();
        if stream.len() <= first.len() {
            return true;
        }
        let (body, trailing) = stream.split_at(first.len());
        history_of(&[&first]).verify(&received(body, trailing), "a").is_err()
    }
}

#[test]
fn body_without_trailing_bytes_may_contain_anything() {
    let history = history_of(&[b"0123456789"]);
    assert_eq!(history.verify(&received(b"x HTTP/1.1 200 OK\r\n", b""), "a"), Ok(()));
    assert_eq!(
        history.verify(&received(b"x HTTP/1.1 200 OK\r\n", b"\r\n"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(
        history.verify(&received(b"012345678H", b"TTP/1.1 200"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(
        history.verify(&received(b"012345678H", b"TT"), "a"),
        Err(ResponseMismatch::ContainsAnotherResponse)
    );
    assert_eq!(history.verify(&received_with_marked_end(b"012345678H", b"noise"), "a"), Ok(()));
}

/// Guards against a part of a body that is passed on as the whole because its stated length is too small.
#[test]
fn bytes_behind_a_stated_end_are_a_mismatch_unless_they_begin_a_response() {
    let wrong_length = Err(ResponseMismatch::WrongContentLength);
    for history in [ExchangeHistory::default(), history_of(&[b"earlier"])] {
        for rest in [
            b"rest".as_slice(),
            b"\r\n",
            b"H",
            b"HTTP/1.1 ",
            b"HTTP/1.1 2O0",
            b"\x01\x02",
            b" HTTP/1.1 200 OK",
        ] {
            assert_eq!(history.verify(&received(b"body", rest), "a"), wrong_length, "{rest:?}");
            assert_eq!(history.verify(&received(b"", rest), "a"), wrong_length, "{rest:?}");
            assert_eq!(history.verify(&received_with_marked_end(b"body", rest), "a"), Ok(()), "{rest:?}");
        }
        for copy in [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".as_slice(), b"HTTP/1.1 100"] {
            assert_eq!(history.verify(&received(b"body", copy), "a"), Ok(()), "{copy:?}");
        }
    }
}

#[test]
fn common_response_matches_unless_more_bytes_follow() {
    let history = history_of(&[b"OK", b"own"]);
    let mut common = CommonResponses::default();
    for (connection, body) in [(1, b"OK".as_slice()), (2, b"OK"), (2, b"own")] {
        common.record(connection, &received(body, b""));
    }
    assert_eq!(history.verify_allowing_common(&received(b"OK", b""), "a", &common), Ok(()));
    let duplicate = Err(ResponseMismatch::DuplicateResponse);
    assert_eq!(history.verify_allowing_common(&received(b"OK", b"HTTP/1.1 200 OK"), "a", &common), duplicate);
    assert_eq!(history.verify_allowing_common(&received(b"own", b""), "a", &common), duplicate);
    let named = ReceivedResponse { request_id: Some("b"), ..received(b"OK", b"") };
    let verdict = history.verify_allowing_common(&named, "a", &common);
    assert_eq!(verdict, Err(ResponseMismatch::DifferentRequestId));
}
