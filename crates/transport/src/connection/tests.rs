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

fn take(request_id: u64, payload: &[u8]) -> M<'_> {
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
        to.give_back(input, used);
    }
    found
}

#[test]
fn a_peer_that_does_not_read_is_written_in_parts_and_what_never_left_is_known() {
    let poll = Poll::new().unwrap();
    let (mut from, mut to) = pair(&poll);
    let payload = vec![7; 1 << 20];
    for request_id in 1..=40 {
        from.queue(&take(request_id, &payload), request_id);
    }
    from.flush().unwrap();
    let left = from.never_left();
    assert!(!left.is_empty() && from.pending() > 0, "the kernel took 40 MiB at once");
    let (pulled, whole) = from.pull_back();
    assert!(!whole, "a frame was begun");
    assert_eq!(pulled, left[1..]);
    from.queue(&take(99, &[]), 99);
    let wanted = 40 - pulled.len() + 1;
    let mut found = Vec::new();
    while found.len() < wanted {
        from.flush().unwrap();
        to.fill().unwrap();
        let (input, mut used) = (to.take_input(), 0);
        while let Ok(Decoded::Frame(M::Request(t), n)) = decode(&input[used..]) {
            found.push(t.request_id);
            used += n;
        }
        to.give_back(input, used);
    }
    let expected: Vec<u64> = (1..wanted as u64).chain([99]).collect();
    assert_eq!(found, expected);
}

#[test]
fn what_was_not_begun_is_pulled_back_and_the_rest_stays_in_order() {
    let poll = Poll::new().unwrap();
    let (mut from, mut to) = pair(&poll);
    from.queue(&take(1, &[1]), 1);
    from.queue(&take(2, &[2]), NOTHING);
    from.queue(&take(3, &[3]), 3);
    assert_eq!(from.pull_back(), (vec![1, 3], true));
    from.queue(&take(4, &[4]), 4);
    assert_eq!(from.never_left(), [4]);
    from.flush().unwrap();
    assert!(from.never_left().is_empty());
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
    refused.queue(&take(1, &[]), 1);
    let ended = loop {
        match refused.flush() {
            Ok(()) => std::thread::yield_now(),
            Err(ended) => break ended,
        }
    };
    assert!(matches!(ended, Ended::Failed(_)));
    assert_eq!(refused.never_left(), [1]);
}
