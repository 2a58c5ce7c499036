//! A search over what may arrive before a response on a connection, and over how the bytes are split into reads: no
//! body is given to a request that it does not belong to.

use magpiewick_exchange::{ExchangeHistory, ReceivedResponse};
use magpiewick_http1::ResponseReader;

/// Bodies of one connection's exchanges, of different length and contents.
const BODIES: [&[u8]; 4] = [
    b"first body",
    b"2",
    b"third HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    b"fourth body of the connection",
];

fn with_length(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

fn in_chunks(body: &[u8]) -> Vec<u8> {
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

/// What may be left of the exchanges before this one: copies, each cut at each byte, garbage and interim responses.
fn unsolicited_prefixes(before: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut all =
        vec![b"\x01\x02noise".to_vec(), b"\r\n".to_vec(), b"HTTP/1.1 100 Continue\r\n\r\n".to_vec()];
    for answer in before {
        all.extend((1..=answer.len()).map(|cut| answer[..cut].to_vec()));
    }
    all
}

/// The body that a request is given of what comes in these reads; none where it gets none, or not yet.
fn given(history: &ExchangeHistory, reads: &[&[u8]]) -> Option<Vec<u8>> {
    let (mut answers, mut input) = (ResponseReader::default(), Vec::new());
    for read in reads {
        input.extend_from_slice(read);
        let (used, answer) = answers.read(&input).ok()?;
        if let Some(answer) = answer {
            let (status, body, trailing) = (answer.status, &answer.body[..], &input[used..]);
            let arrived = ReceivedResponse { status, body, trailing, request_id: None };
            return history.verify(&arrived, "request").is_ok().then_some(answer.body);
        }
        input.drain(..used);
    }
    None
}

#[test]
fn no_prefix_makes_a_response_match_another_request() {
    let mut searched = 0;
    for form in [with_length, in_chunks] {
        let answers: Vec<Vec<u8>> = BODIES.iter().map(|body| form(body)).collect();
        for now in 1..BODIES.len() {
            let mut history = ExchangeHistory::default();
            for body in &BODIES[..now] {
                history.record(0.0, &ReceivedResponse { status: 200, body, trailing: b"", request_id: None });
            }
            for prefix in unsolicited_prefixes(&answers[..now]) {
                let together = [&prefix[..], &answers[now]].concat();
                let mut readings: Vec<Vec<&[u8]>> = vec![vec![&together], vec![&prefix, &answers[now]]];
                // The prefix arrives in two reads, and the complete response after it.
                readings.extend((1..prefix.len()).map(|cut| vec![&prefix[..cut], &together[cut..]]));
                for reads in readings {
                    searched += 1;
                    let body = given(&history, &reads);
                    assert!(
                        body.as_ref().is_none_or(|body| body == BODIES[now]),
                        "{prefix:?} in front of answer {now}: {body:?}"
                    );
                }
            }
        }
    }
    assert!(searched > 10_000, "{searched}");
}

#[test]
fn a_response_on_a_new_connection_matches_however_it_is_split() {
    for answer in [with_length, in_chunks].iter().flat_map(|form| BODIES.map(|body| (body, form(body)))) {
        let (body, bytes) = answer;
        for cut in 0..bytes.len() {
            let (first, second) = bytes.split_at(cut);
            assert_eq!(given(&ExchangeHistory::default(), &[first, second]).as_deref(), Some(body));
        }
    }
}
