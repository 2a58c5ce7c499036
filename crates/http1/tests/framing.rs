//! Framing against a plain model and on hostile bytes: any split of the bytes gives the same result, and no bytes
//! cause a panic or make the reader keep more than its limits.

use magpiewick_http1::{
    may_begin_request, parse_request_head, write_request_head, write_response, BodyFraming, CompleteRequest,
    HeadReader, MalformedResponse, OutgoingResponse, RequestReader, Response, ResponseReader, MAX_HEAD_BYTES,
    MAX_REQUEST_BODY_BYTES, MAX_RESPONSE_BODY_BYTES,
};
use quickcheck::quickcheck;

/// The status that a request's head is rejected with; 0: it is good.
fn refused(head: &str) -> u16 {
    let end = match HeadReader::default().find_end(head.as_bytes()) {
        Ok(Some(end)) => end,
        Ok(None) => panic!("{head:?} has no end"),
        Err(bad) => return magpiewick_http1::Rejection::from(bad).status,
    };
    assert_eq!(end, head.len());
    parse_request_head(head.as_bytes()).map_or_else(|r| r.status, |_| 0)
}

fn put(fields: &str) -> String {
    format!("PUT /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n")
}

#[test]
fn a_body_has_one_length_or_is_chunked_or_is_rejected() {
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
        assert_eq!(refused(&put(fields)), status, "{fields:?}");
    }
}

#[test]
fn an_ambiguous_head_is_rejected() {
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
        assert_eq!(refused(head), 400, "{head:?}");
    }
    for head in ["GET /a HTTP/1.0\r\nHost: a\r\n\r\n", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"] {
        assert_eq!(refused(head), 505, "{head:?}");
    }
    let many: String = (0..65).map(|i| format!("X{i}: y\r\n")).collect();
    assert_eq!(refused(&put(&format!("Content-Length: 0\r\n{many}"))), 431);
}

#[test]
fn a_head_without_end_is_rejected_at_its_limit() {
    let mut heads = HeadReader::default();
    let endless = vec![b'a'; MAX_HEAD_BYTES + 1];
    assert!(heads.find_end(&endless[..MAX_HEAD_BYTES - 1]).unwrap().is_none());
    assert!(heads.find_end(&endless).is_err());
}

#[test]
fn bytes_after_a_request_begin_another_or_show_a_wrong_length() {
    for (bytes, good) in [
        ("", true),
        ("G", true),
        ("GET", true),
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
        assert_eq!(may_begin_request(bytes.as_bytes()), good, "{bytes:?}");
    }
}

/// All responses in bytes that arrive in pieces, and whether they ended in a malformed one.
fn answers(pieces: &[&[u8]]) -> (Vec<Response>, bool) {
    let (mut reader, mut input, mut found) = (ResponseReader::default(), Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.read(&input) {
                Err(MalformedResponse) => return (found, true),
                Ok((used, answer)) => {
                    input.drain(..used);
                    match answer {
                        Some(answer) => found.push(answer),
                        None => break,
                    }
                }
            }
        }
    }
    (found, false)
}

/// The bytes in pieces, cut at these places.
fn pieces<'a>(bytes: &'a [u8], cuts: &[u16]) -> Vec<&'a [u8]> {
    let mut cuts: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % (bytes.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(bytes.len());
    let mut at = 0;
    cuts.into_iter().map(|c| &bytes[std::mem::replace(&mut at, c)..c]).collect()
}

fn split(bytes: &[u8], cuts: &[u16]) -> (Vec<Response>, bool) {
    answers(&pieces(bytes, cuts))
}

/// Every kind of good response, one after the other.
const GOOD: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n\
    HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Rho: 3\r\n\r\nhello\
    HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n\
    HTTP/1.1 204 No Content\r\n\r\n\
    HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

#[test]
fn good_responses_are_read_completely() {
    let (found, malformed) = answers(&[GOOD]);
    assert!(!malformed);
    let plain: Vec<(u16, &[u8], bool)> =
        found.iter().map(|a| (a.status, a.body.as_slice(), a.close)).collect();
    assert_eq!(
        plain,
        [(200, &b"hello"[..], false), (200, b"abcde", false), (204, b"", false), (503, b"", true)]
    );
    assert_eq!((found[0].header("x-rho"), found[3].header("X-NOT-RUN")), (Some("3"), Some("1")));
}

#[test]
fn a_response_may_be_longer_than_a_request_within_its_own_limit() {
    let body = vec![7; 260_000];
    let mut bytes = Vec::new();
    write_response(&mut bytes, &OutgoingResponse { status: 200, headers: &[], body: &body, close: false });
    assert_eq!(answers(&[&bytes]).0[0].body, body);
    let long = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", MAX_RESPONSE_BODY_BYTES + 1);
    assert_eq!(answers(&[long.as_bytes()]), (vec![], true));
}

#[test]
fn a_malformed_response_is_recognised_at_its_first_bad_byte() {
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
        assert_eq!(answers(&[bytes.as_bytes()]), (vec![], true), "{bytes:?}");
    }
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(17);
    assert_eq!(answers(&[&interim]), (vec![], true));
}

#[test]
fn a_response_without_a_length_is_complete_when_its_connection_ends_in_order() {
    let mut reader = ResponseReader::default();
    for piece in ["HTTP/1.1 200 OK\r\nX-Rho: 3\r\n\r\n", "hel", "", "lo"] {
        assert_eq!(reader.read(piece.as_bytes()), Ok((piece.len(), None)), "{piece:?}");
    }
    let answer = reader.on_end_of_stream().unwrap();
    assert_eq!((answer.status, answer.body.as_slice(), answer.close), (200, &b"hello"[..], true));
    assert!(reader.on_end_of_stream().is_none(), "it is given once");
    for short in ["", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell"] {
        let mut reader = ResponseReader::default();
        assert!(reader.read(short.as_bytes()).is_ok_and(|(_, answer)| answer.is_none()), "{short:?}");
        assert!(reader.on_end_of_stream().is_none(), "an end is no end of {short:?}");
    }
    let mut reader = ResponseReader::default();
    assert!(reader.read(b"HTTP/1.1 200 OK\r\n\r\n").is_ok());
    assert!(reader.read(&vec![7; MAX_RESPONSE_BODY_BYTES]).is_ok());
    assert_eq!(reader.read(&[7]), Err(MalformedResponse), "it is bounded as any other");
}

/// All requests in bytes that arrive in pieces, and the status that the first bad one is rejected with.
fn requests(pieces: &[&[u8]]) -> (Vec<CompleteRequest>, u16) {
    let (mut reader, mut input, mut found) = (RequestReader::default(), Vec::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match reader.read(&input) {
                Err(refused) => return (found, refused.status),
                Ok((used, request)) => {
                    input.drain(..used);
                    match request {
                        Some(request) => found.push(request),
                        None => break,
                    }
                }
            }
        }
    }
    (found, 0)
}

/// Every form of a good request, one after the other.
const REQUESTS: &[u8] = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n\
    PUT /b HTTP/1.1\r\nhost: h\r\nContent-Length:5\r\n\r\nhello\r\n\
    PUT /c HTTP/1.1\r\nHOST:  h \r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n\
    PUT /d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi\
    PUT /e HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n\
    GET /f HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

#[test]
fn requests_of_every_good_form_are_read_completely() {
    let (found, status) = requests(&[REQUESTS]);
    let bodies: Vec<&[u8]> = found.iter().map(|r| r.body.as_slice()).collect();
    assert_eq!((bodies, status), (vec![&b""[..], b"hello", b"abcde", b"hi", b"", b""], 0));
    assert!(found.iter().all(|r| parse_request_head(&r.head).is_ok()));
}

#[test]
fn bad_chunks_are_rejected_at_their_first_bad_byte_and_a_body_is_limited() {
    let long = format!("{:x}\r\n", MAX_REQUEST_BODY_BYTES + 1);
    let twice = format!("{:x}\r\n{}\r\n1\r\n", MAX_REQUEST_BODY_BYTES, "x".repeat(MAX_REQUEST_BODY_BYTES));
    for chunks in ["zz\r\n", "-1\r\n", "\r\n", "3\r\nabcde", "ffffffffff\r\n", "3\n", &long, &twice] {
        let bytes = put("Transfer-Encoding: chunked\r\n") + chunks;
        assert_eq!(requests(&[bytes.as_bytes()]), (vec![], 400), "{:?}", &chunks[..chunks.len().min(20)]);
    }
}

#[test]
fn a_client_that_expects_continue_is_told_once_and_only_before_its_body() {
    let head = put("Content-Length: 4\r\nExpect: 100-continue\r\n");
    let mut reader = RequestReader::default();
    assert_eq!(reader.read(head.as_bytes()), Ok((head.len(), None)));
    assert!(reader.expects_continue() && !reader.expects_continue() && reader.in_progress());
    assert!(reader.read(b"body").unwrap().1.is_some_and(|r| r.body == b"body") && !reader.in_progress());
    let whole = head + "body";
    assert!(reader.read(whole.as_bytes()).unwrap().1.is_some() && !reader.expects_continue());
}

quickcheck! {
    fn any_split_gives_the_same_requests(cuts: Vec<u16>) -> bool {
        requests(&pieces(REQUESTS, &cuts)) == requests(&[REQUESTS])
    }

    fn any_split_of_changed_bytes_gives_the_same_requests(cuts: Vec<u16>, at: u16, byte: u8) -> bool {
        let mut bytes = REQUESTS.to_vec();
        let at = usize::from(at) % bytes.len();
        bytes[at] = byte;
        requests(&pieces(&bytes, &cuts)) == requests(&[&bytes])
    }

    fn any_split_gives_the_same_responses(cuts: Vec<u16>) -> bool {
        split(GOOD, &cuts) == answers(&[GOOD])
    }

    fn any_split_of_changed_bytes_gives_the_same_responses(cuts: Vec<u16>, at: u16, byte: u8) -> bool {
        let mut bytes = GOOD.to_vec();
        let at = usize::from(at) % bytes.len();
        bytes[at] = byte;
        split(&bytes, &cuts) == answers(&[&bytes])
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>, cuts: Vec<u16>) -> bool {
        let total: usize = split(&bytes, &cuts).0.iter().map(|a| a.body.len()).sum();
        _ = parse_request_head(&bytes);
        _ = may_begin_request(&bytes);
        total <= bytes.len() && total <= MAX_RESPONSE_BODY_BYTES
    }

    fn a_head_ends_at_the_same_byte_in_any_split(fields: Vec<u8>, cuts: Vec<u8>) -> bool {
        let text: String = fields.iter().map(|f| format!("X{f}: {f}\r\n")).collect();
        let head = format!("GET / HTTP/1.1\r\n{text}\r\nrest");
        let (mut heads, mut end, mut to) = (HeadReader::default(), None, 0);
        for cut in cuts {
            to = (to + usize::from(cut)).min(head.len());
            if end.is_none() {
                end = heads.find_end(&head.as_bytes()[..to]).unwrap();
            }
        }
        let end = match end {
            None => heads.find_end(head.as_bytes()).unwrap(),
            end => end,
        };
        end == Some(head.len() - 4)
    }

    /// What is written is read back as it was meant.
    fn a_written_response_is_read_back(status: u16, body: Vec<u8>, close: bool) -> bool {
        let status = 200 + status % 300;
        let mut bytes = Vec::new();
        write_response(&mut bytes, &OutgoingResponse { status, headers: &[("X-A", b"b")], body: &body, close });
        let (found, malformed) = answers(&[&bytes]);
        let [answer] = found.as_slice() else { return false };
        !malformed && answer.status == status && answer.body == body && answer.close == close
            && answer.header("x-a") == Some("b")
    }
}

#[test]
fn a_written_request_can_be_read() {
    let mut bytes = Vec::new();
    write_request_head(&mut bytes, "PUT", "/a?b", &[("Host", b"h"), ("Content-Length", b"3")]);
    bytes.extend_from_slice(b"\r\n");
    let read = parse_request_head(&bytes).unwrap();
    let framing = BodyFraming::Length(3);
    assert_eq!((read.method, read.target, read.framing, read.close), ("PUT", "/a?b", framing, false));
    assert_eq!(read.headers.single("HOST"), Ok(Some(&b"h"[..])));
}
