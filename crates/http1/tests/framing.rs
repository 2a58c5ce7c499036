//! Framing of valid, changed and arbitrary bytes: every split of the bytes gives the same result, and no
//! bytes cause a panic or make a reader exceed its limits.

use magpiewick_http1::{
    may_begin_request, parse_request_head, write_request_head, write_response, BodyFraming, CompleteRequest,
    HeadReader, MalformedResponse, OutgoingResponse, RequestReader, Response, ResponseReader, MAX_HEAD_BYTES,
    MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES,
};
use quickcheck::quickcheck;

/// Returns the status with which a request's head is rejected; 0 where it is accepted.
fn rejection_status(head: &str) -> u16 {
    let end = match HeadReader::default().find_end(head.as_bytes()) {
        Ok(Some(end)) => end,
        Ok(None) => panic!("{head:?} has no end"),
        Err(error) => return magpiewick_http1::Rejection::from(error).status,
    };
    assert_eq!(end, head.len());
    parse_request_head(head.as_bytes()).map_or_else(|r| r.status, |_| 0)
}

fn put_request_head(fields: &str) -> String {
    format!("PUT /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n")
}

#[test]
fn body_without_one_length_or_chunks_is_rejected() {
    for (fields, status) in [
        ("Content-Length: 5\r\n", 0),
        ("Content-Length: 0\r\n", 0),
        ("Content-Length: 65536\r\n", 0),
        ("", 411),
        ("Content-Length: 65537\r\n", 413),
        ("Content-Length: 62914560\r\n", 413),
        ("Content-Length: 99999999999999999999\r\n", 400),
        ("Content-Length: -5\r\n", 400),
        ("Content-Length: +5\r\n", 400),
        ("Content-Length: 5, 5\r\n", 400),
        ("Content-Length: 0x5\r\n", 400),
        ("Content-Length: five\r\n", 400),
        ("Content-Length:\r\n", 400),
        ("Content-Length: 5\r\nContent-Length: 5\r\n", 400),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400),
        ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400),
        ("Content-Length: x\r\nTransfer-Encoding: chunked\r\n", 400),
        ("Transfer-Encoding: Chunked\r\n", 0),
        ("Transfer-Encoding: chunked, identity\r\n", 501),
        ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 501),
        ("Transfer-Encoding: gzip\r\n", 501),
        ("Content-Length: 5\r\nExpect: 100-continue\r\n", 0),
        ("Content-Length: 5\r\nExpect: a-miracle\r\n", 417),
        ("Content-Length: 5\r\nExpect: 100-continue\r\nExpect: 100-continue\r\n", 417),
    ] {
        assert_eq!(rejection_status(&put_request_head(fields)), status, "{fields:?}");
    }
}

#[test]
fn ambiguous_head_is_rejected() {
    for head in [
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n",
        "GET /a HTTP/1.1\nHost: a\n\n",
        "GET /a HTTP/1.1\r\nHost: a\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost : a\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nX(y): b\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: a\r\nX: \u{1}\r\n\r\n",
        "nonsense\r\n\r\n",
    ] {
        assert_eq!(rejection_status(head), 400, "{head:?}");
    }
    for head in ["GET /a HTTP/1.0\r\nHost: a\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"] {
        assert_eq!(rejection_status(head), 505, "{head:?}");
    }
    let many: String = (0..65).map(|i| format!("X{i}: y\r\n")).collect();
    assert_eq!(rejection_status(&put_request_head(&format!("Content-Length: 0\r\n{many}"))), 431);
}

#[test]
fn head_without_end_is_rejected_at_the_limit() {
    let mut head_reader = HeadReader::default();
    let endless = vec![b'a'; MAX_HEAD_BYTES + 1];
    assert!(head_reader.find_end(&endless[..MAX_HEAD_BYTES - 1]).unwrap().is_none());
    assert!(head_reader.find_end(&endless).is_err());
}

#[test]
fn bytes_after_a_request_reveal_a_wrong_length() {
    for (bytes, may_begin) in [
        ("", true),
        ("G", true),
        ("GET", true),
        ("GATTACA", false),
        ("GA", false),
        ("GETS", false),
        ("OPTIONS", true),
        ("CUSTOM", false),
        ("CUSTOM /x", true),
        ("GET ", true),
        ("GET /x", true),
        ("get /x", false),
        ("xx", false),
        (" /", false),
        ("GET x", false),
        ("\0", false),
        ("AAAAAAAAAAAAAAAAAAAAAAAA", false),
        ("\r", true),
        ("\r\nGET /x", true),
        ("\r\nxx", false),
        ("\r\n\0", false),
        ("\rGET /x", false),
    ] {
        assert_eq!(may_begin_request(bytes.as_bytes()), may_begin, "{bytes:?}");
    }
}

/// Returns all responses in bytes that arrive in pieces, and whether a malformed response ended them.
fn read_responses(pieces: &[&[u8]]) -> (Vec<Response>, bool) {
    let (mut reader, mut input, mut messages) = (ResponseReader::default(), Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.read(&input) {
                Err(MalformedResponse) => return (messages, true),
                Ok((used, response)) => {
                    input.drain(..used);
                    match response {
                        Some(response) => messages.push(response),
                        None => break,
                    }
                }
            }
        }
    }
    (messages, false)
}

/// Returns the bytes split at these positions.
fn split_at<'a>(bytes: &'a [u8], cuts: &[u16]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(bytes.len());
    let mut position = 0;
    cuts.into_iter().map(|c| &bytes[std::mem::replace(&mut position, c)..c]).collect()
}

fn read_split_responses(bytes: &[u8], cuts: &[u16]) -> (Vec<Response>, bool) {
    read_responses(&split_at(bytes, cuts))
}

/// Valid responses of every kind, one after the other.
const VALID_RESPONSES: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
    HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Rho: 3\r\n\r\nhello\
    HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n\
    HTTP/1.1 204 No Content\r\n\r\n\
    HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

#[test]
fn valid_responses_are_read_completely() {
    let (messages, malformed) = read_responses(&[VALID_RESPONSES]);
    assert!(!malformed);
    let summaries: Vec<(u16, &[u8], bool)> =
        messages.iter().map(|r| (r.status, r.body.as_slice(), r.close)).collect();
    assert_eq!(
        summaries,
        [(200, &b"hello"[..], false), (200, b"abcde", false), (204, b"", false), (503, b"", true)]
    );
    assert_eq!((messages[0].header("x-rho"), messages[3].header("X-NOT-RUN")), (Some("3"), Some("1")));
}

#[test]
fn response_body_limit_exceeds_that_of_requests() {
    let body = vec![7; 260_000];
    let mut bytes = Vec::new();
    write_response(&mut bytes, &OutgoingResponse { status: 200, headers: &[], body: &body, close: false });
    assert_eq!(read_responses(&[&bytes]).0[0].body, body);
    let too_long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", MAX_RESPONSE_BODY_BYTES + 1);
    assert_eq!(read_responses(&[too_long.as_bytes()]), (vec![], true));
}

#[test]
fn malformed_response_is_rejected_at_its_first_invalid_byte() {
    for bytes in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 101 Switching\r\n\r\n",
        "HTTP/1.1 700 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "\0\u{1}noise",
        "noise\r\n\r\n",
    ] {
        assert_eq!(read_responses(&[bytes.as_bytes()]), (vec![], true), "{bytes:?}");
    }
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(17);
    assert_eq!(read_responses(&[&interim]), (vec![], true));
}

#[test]
fn response_without_length_completes_when_the_connection_closes_in_order() {
    let mut reader = ResponseReader::default();
    for piece in ["HTTP/1.1 200 OK\r\nX-Rho: 3\r\n\r\n", "hel", "", "lo"] {
        assert_eq!(reader.read(piece.as_bytes()), Ok((piece.len(), None)), "{piece:?}");
    }
    let response = reader.on_end_of_stream().unwrap();
    assert_eq!((response.status, response.body.as_slice(), response.close), (200, &b"hello"[..], true));
    assert!(reader.on_end_of_stream().is_none(), "the response is returned once");
    for truncated in ["", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"] {
        let mut reader = ResponseReader::default();
        assert!(
            reader.read(truncated.as_bytes()).is_ok_and(|(_, response)| response.is_none()),
            "{truncated:?}"
        );
        assert!(
            reader.on_end_of_stream().is_none(),
            "the end of the connection does not complete {truncated:?}"
        );
    }
    let mut reader = ResponseReader::default();
    assert!(reader.read(b"HTTP/1.1 200 OK\r\n\r\n").is_ok());
    assert!(reader.read(&vec![7; MAX_RESPONSE_BODY_BYTES]).is_ok());
    assert_eq!(reader.read(&[7]), Err(MalformedResponse), "the body limit applies");
}

/// Returns all requests in bytes that arrive in pieces, and the status with which the first invalid one is
/// rejected.
fn read_requests(pieces: &[&[u8]]) -> (Vec<CompleteRequest>, u16) {
    let (mut reader, mut input, mut messages) = (RequestReader::default(), Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.read(&input) {
                Err(rejection) => return (messages, rejection.status),
                Ok((used, request)) => {
                    input.drain(..used);
                    match request {
                        Some(request) => messages.push(request),
                        None => break,
                    }
                }
            }
        }
    }
    (messages, 0)
}

/// Valid requests of every form, one after the other.
const VALID_REQUESTS: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n\
    PUT /b HTTP/1.1\r\nhost: h\r\nContent-Length:5\r\n\r\nhello\r\n\
    PUT /c HTTP/1.1\r\nHOST:  h \r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n\
    PUT /d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi\
    PUT /e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
    GET /f HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

#[test]
fn valid_requests_are_read_completely() {
    let (messages, status) = read_requests(&[VALID_REQUESTS]);
    let bodies: Vec<&[u8]> = messages.iter().map(|r| r.body.as_slice()).collect();
    assert_eq!((bodies, status), (vec![&b""[..], b"hello", b"abcde", b"hi", b"", b""], 0));
    assert!(messages.iter().all(|r| parse_request_head(&r.head).is_ok()));
}

#[test]
fn invalid_chunks_are_rejected_at_the_first_invalid_byte_and_the_body_is_limited() {
    let too_long = format!("{:x}\r\n", MAX_REQUEST_BODY_BYTES + 1);
    let too_long_in_sum =
        format!("{:x}\r\n{}\r\n1\r\n", MAX_REQUEST_BODY_BYTES, "x".repeat(MAX_REQUEST_BODY_BYTES));
    for chunks in
        ["zz\r\n", "-1\r\n", "\r\n", "3\r\nabcde", "ffffffffff\r\n", "3\n", &too_long, &too_long_in_sum]
    {
        let bytes = put_request_head("Transfer-Encoding: chunked\r\n") + chunks;
        assert_eq!(
            read_requests(&[bytes.as_bytes()]),
            (vec![], 400),
            "{:?}",
            &chunks[..chunks.len().min(20)]
        );
    }
}

#[test]
fn expectation_of_continue_is_reported_once_and_only_before_the_body() {
    let head = put_request_head("Content-Length: 4\r\nExpect: 100-continue\r\n");
    let mut reader = RequestReader::default();
    assert_eq!(reader.read(head.as_bytes()), Ok((head.len(), None)));
    assert!(reader.expects_continue() && !reader.expects_continue() && reader.in_progress());
    assert!(reader.read(b"body").unwrap().1.is_some_and(|r| r.body == b"body") && !reader.in_progress());
    let request = head + "body";
    assert!(reader.read(request.as_bytes()).unwrap().1.is_some() && !reader.expects_continue());
}

/// Counts the requests that are skipped in pieces of bytes, and returns the status of the rejection that ended the
/// input; 0 where none did.
fn skip_requests(pieces: &[&[u8]]) -> (usize, u16) {
    let (mut reader, mut input, mut count) = (RequestReader::default(), Vec::new(), 0);
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.skip(&input) {
                Err(rejection) => return (count, rejection.status),
                Ok((used, complete)) => {
                    input.drain(..used);
                    if !complete {
                        break;
                    }
                    count += 1;
                }
            }
        }
    }
    (count, 0)
}

quickcheck! {
    /// A reader that skips requests delimits them in the same way as one that keeps them.
    fn skipped_requests_are_those_that_would_be_read(cuts: Vec<u16>, position: u16, byte: u8) -> bool {
        let mut bytes = VALID_REQUESTS.to_vec();
        let position = usize::from(position) % bytes.len();
        bytes[position] = byte;
        let (requests, status) = read_requests(&[&bytes]);
        skip_requests(&split_at(&bytes, &cuts)) == (requests.len(), status)
    }

    fn any_split_gives_the_same_requests(cuts: Vec<u16>) -> bool {
        read_requests(&split_at(VALID_REQUESTS, &cuts)) == read_requests(&[VALID_REQUESTS])
    }

    fn any_split_of_changed_bytes_gives_the_same_requests(cuts: Vec<u16>, position: u16, byte: u8) -> bool {
        let mut bytes = VALID_REQUESTS.to_vec();
        let position = usize::from(position) % bytes.len();
        bytes[position] = byte;
        read_requests(&split_at(&bytes, &cuts)) == read_requests(&[&bytes])
    }

    fn any_split_gives_the_same_responses(cuts: Vec<u16>) -> bool {
        read_split_responses(VALID_RESPONSES, &cuts) == read_responses(&[VALID_RESPONSES])
    }

    fn any_split_of_changed_bytes_gives_the_same_responses(cuts: Vec<u16>, position: u16, byte: u8) -> bool {
        let mut bytes = VALID_RESPONSES.to_vec();
        let position = usize::from(position) % bytes.len();
        bytes[position] = byte;
        read_split_responses(&bytes, &cuts) == read_responses(&[&bytes])
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, cuts: Vec<u16>) -> bool {
        let total: usize = read_split_responses(&bytes, &cuts).0.iter().map(|r| r.body.len()).sum();
        _ = parse_request_head(&bytes);
        _ = may_begin_request(&bytes);
        total <= bytes.len() && total <= MAX_RESPONSE_BODY_BYTES
    }

    fn head_ends_at_the_same_byte_in_any_split(fields: Vec<u8>, cuts: Vec<u8>) -> bool {
        let text: String = fields.iter().map(|f| format!("X{f}: {f}\r\n")).collect();
        let head = format!("GET / HTTP/1.1\r\n{text}\r\nrest");
        let (mut head_reader, mut end, mut to) = (HeadReader::default(), None, 0);
        for cut in cuts {
            to = (to + usize::from(cut)).min(head.len());
            if end.is_none() {
                end = head_reader.find_end(&head.as_bytes()[..to]).unwrap();
            }
        }
        let end = match end {
            None => head_reader.find_end(head.as_bytes()).unwrap(),
            end => end,
        };
        end == Some(head.len() - 4)
    }

    /// A written response is read back unchanged.
    fn written_response_is_read_back(status: u16, body: Vec<u8>, close: bool) -> bool {
        let status = 200 + status % 300;
        let mut bytes = Vec::new();
        write_response(&mut bytes, &OutgoingResponse { status, headers: &[("X-A", b"b")], body: &body, close });
        let (messages, malformed) = read_responses(&[&bytes]);
        let [response] = messages.as_slice() else { return false };
        !malformed && response.status == status && response.body == body && response.close == close
            && response.header("x-a") == Some("b")
    }
}

#[test]
fn written_request_can_be_read() {
    let mut bytes = Vec::new();
    write_request_head(&mut bytes, "PUT", "/a?b", &[("Host", b"h"), ("Content-Length", b"3")]);
    bytes.extend_from_slice(b"\r\n");
    let read = parse_request_head(&bytes).unwrap();
    let framing = BodyFraming::Length(3);
    assert_eq!((read.method, read.target, read.framing, read.close), ("PUT", "/a?b", framing, false));
    assert_eq!(read.headers.single("HOST"), Ok(Some(&b"h"[..])));
}
