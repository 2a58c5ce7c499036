use super::*;
use crate::listen;
use magpiewick_node_protocol::{decode, ClientRequest, Decoded, Message as M};
use std::io::ErrorKind;

fn pair(poll: &Poll) -> (Connection, Connection) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut from = Connection::connect(poll, listener.local_addr().unwrap(), 1).unwrap();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
        }
    };
    let to = Connection::accepted(poll, stream, 2).unwrap();
    while from.connecting() {
        from.flush().unwrap();
    }
    (from, to)
}

fn request(request_id: u64, payload: &[u8]) -> M<'_> {
    let (class, volume, key, idempotency_key, units, client_timeout_us, blocks) =
        (0, 1, 2, request_id, 1.0, 1000, 1);
    M::Request(ClientRequest {
        request_id,
        class,
        write: true,
        volume,
        key,
        idempotency_key,
        units,
        client_timeout_us,
        blocks,
        payload,
    })
}

/// Reads until as many frames came as wanted; the requests in their order.
fn requests(to: &mut Connection, wanted: usize) -> Vec<u64> {
    let mut found = Vec::new();
    while found.len() < wanted {
        to.fill().unwrap();
        let (input, mut used) = (to.take_input(), 0);
        while let Ok(Decoded::Frame(message, n)) = decode(&input[used..]) {
            let M::Request(t) = message else { panic!("{message:?}") };
            found.push(t.request_id);
            used += n;
        }
        to.return_input(input, used);
    }
    found
}

#[test]
fn frames_that_a_slow_peer_did_not_take_are_known_and_can_be_withdrawn() {
    let poll = Poll::new().unwrap();
    let (mut from, mut to) = pair(&poll);
    let payload = vec![7; 1 << 20];
    for request_id in 1..=40 {
        from.queue(&request(request_id, &payload), request_id);
    }
    from.flush().unwrap();
    let unwritten = from.unwritten();
    assert!(!unwritten.is_empty() && from.pending() > 0, "the kernel took 40 MiB at once");
    let Withdrawn { tokens: withdrawn, partly_written } = from.withdraw_unwritten();
    assert!(partly_written, "a frame was begun");
    assert_eq!(withdrawn, unwritten[1..]);
    from.queue(&request(99, &[]), 99);
    let wanted = 40 - withdrawn.len() + 1;
    let mut found = Vec::new();
    while found.len() < wanted {
        from.flush().unwrap();
        to.fill().unwrap();
        let (input, mut used) = (to.take_input(), 0);
        while let Ok(Decoded::Frame(M::Request(t), n)) = decode(&input[used..]) {
            found.push(t.request_id);
            used += n;
        }
        to.return_input(input, used);
    }
    let expected: Vec<u64> = (1..wanted as u64).chain([99]).collect();
    assert_eq!(found, expected);
}

#[test]
fn withdrawn_frames_are_not_sent_and_the_rest_stays_in_order() {
    let poll = Poll::new().unwrap();
    let (mut from, mut to) = pair(&poll);
    from.queue(&request(1, &[1]), 1);
    from.queue(&request(2, &[2]), UNTRACKED);
    from.queue(&request(3, &[3]), 3);
    assert_eq!(from.withdraw_unwritten(), Withdrawn { tokens: vec![1, 3], partly_written: false });
    from.queue(&request(4, &[4]), 4);
    assert_eq!(from.unwritten(), [4]);
    from.flush().unwrap();
    assert!(from.unwritten().is_empty());
    assert_eq!(requests(&mut to, 2), [2, 4]);
}

#[test]
fn a_refused_connection_shows_at_the_first_write() {
    let poll = Poll::new().unwrap();
    let address = listen("127.0.0.1:0".parse().unwrap()).unwrap().local_addr().unwrap();
    let mut refused = match Connection::connect(&poll, address, 1) {
        Ok(connection) => connection,
        Err(_) => return,
    };
    refused.queue(&request(1, &[]), 1);
    let ended = loop {
        match refused.flush() {
            Ok(()) => std::thread::yield_now(),
            Err(ended) => break ended,
        }
    };
    assert!(matches!(ended, StreamEnd::Failed(_)));
    assert_eq!(refused.unwritten(), [1]);
}
