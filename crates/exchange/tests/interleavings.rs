//! Exhaustive search over the bytes that may precede a response on a connection, and over their split into
//! reads: no request receives a body that belongs to another request.

use magpiewick_exchange::{ExchangeHistory, ReceivedResponse};
use magpiewick_http1::{BodyEnd, ResponseReader};

/// Bodies of one connection's exchanges, with different lengths and contents.
const BODIES: [&[u8]; 4] = [
    b"first body",
    b"2",
    b"third HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    b"fourth body of the connection",
];

fn with_content_length(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

fn chunked(body: &[u8]) -> Vec<u8> {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &[u8]| match part {
        [] => Vec::new(),
        part => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
    };
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        &chunk(first)[..],
        &chunk(second),
        b"0\r\n\r\n",
    ]
    .concat()
}

/// Returns the bytes that earlier exchanges may leave on a connection: duplicates, truncated at each byte,
/// garbage and interim responses.
fn unsolicited_prefixes(before: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut prefixes =
        vec![b"\x01\x02noise".to_vec(), b"\r\n".to_vec(), b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()];
    for response in before {
        prefixes.extend((1..=response.len()).map(|cut| response[..cut].to_vec()));
    }
    prefixes
}

/// Returns the body that a request receives from these reads; none where it receives none, or not yet.
fn received_body(history: &ExchangeHistory, reads: &[&[u8]]) -> Option<Vec<u8>> {
    let (mut responses, mut input) = (ResponseReader::default(), Vec::new());
    for read in reads {
        input.extend_from_slice(read);
        let (used, response) = responses.read(&input).ok()?;
        if let Some(response) = response {
            let (status, body, trailing) = (response.status, &response.body[..], &input[used..]);
            let body_end = response.body_end;
            let arrived = ReceivedResponse { status, body, body_end, trailing, request_id: None };
            return history.verify(&arrived, "request").is_ok().then_some(response.body);
        }
        input.drain(..used);
    }
    None
}

fn recorded(body: &[u8]) -> ReceivedResponse<'_> {
    ReceivedResponse { status: 200, body, body_end: BodyEnd::Stated, trailing: b"", request_id: None }
}

#[test]
fn no_prefix_makes_a_response_match_another_request() {
    let mut searched = 0;
    for encode in [with_content_length, chunked] {
        let responses: Vec<Vec<u8>> = BODIES.iter().map(|body| encode(body)).collect();
        for current in 1..BODIES.len() {
            let mut history = ExchangeHistory::default();
            for body in &BODIES[..current] {
                history.record(0.0, &recorded(body));
            }
            for prefix in unsolicited_prefixes(&responses[..current]) {
                let together = [&prefix[..], &responses[current]].concat();
                let mut readings: Vec<Vec<&[u8]>> = vec![vec![&together], vec![&prefix, &responses[current]]];
                // The prefix arrives in two reads, and the complete response after it.
                readings.extend((1..prefix.len()).map(|cut| vec![&prefix[..cut], &together[cut..]]));
                for reads in readings {
                    searched += 1;
                    let body = received_body(&history, &reads);
                    assert!(
                        body.as_ref().is_none_or(|body| body == BODIES[current]),
                        "{prefix:?} before response {current}: {body:?}"
                    );
                }
            }
        }
    }
    assert!(searched > 10_000, "{searched}");
}

#[test]
fn response_on_a_new_connection_matches_for_every_split() {
    for response in
        [with_content_length, chunked].iter().flat_map(|encode| BODIES.map(|body| (body, encode(body))))
    {
        let (body, bytes) = response;
        for cut in 0..bytes.len() {
            let (first, second) = bytes.split_at(cut);
            assert_eq!(received_body(&ExchangeHistory::default(), &[first, second]).as_deref(), Some(body));
        }
    }
}
