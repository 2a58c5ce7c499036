use super::*;
use crate::listen;
use magpiewick_node_protocol::{decode, ClientRequest, Decoded, Message};
use std::io::ErrorKind;

fn pair(poll: &Poll) -> (Connection, Connection) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut sender = Connection::connect(poll, listener.local_addr().unwrap(), 1).unwrap();
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
        }
    };
    let receiver = Connection::accepted(poll, stream, 2).unwrap();
    while sender.connecting() {
        sender.flush().unwrap();
    }
    (sender, receiver)
}

fn request(request_id: u64, payload: &[u8]) -> Message<'_> {
    let (class, volume, key, idempotency_key, units, client_timeout_us, blocks) =
        (0, 1, 2, request_id, 1.0, 1000, 1);
    Message::Request(ClientRequest {
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

/// Reads until `wanted` frames have arrived; returns their request ids in order.
fn read_request_ids(receiver: &mut Connection, wanted: usize) -> Vec<u64> {
    let mut request_ids = Vec::new();
    while request_ids.len() < wanted {
        receiver.fill().unwrap();
        let (input, mut used) = (receiver.take_input(), 0);
        while let Ok(Decoded::Frame(message, n)) = decode(&input[used..]) {
            let Message::Request(request) = message else { panic!("{message:?}") };
            request_ids.push(request.request_id);
            used += n;
        }
        receiver.return_input(input, used);
    }
    request_ids
}

#[test]
fn unwritten_frames_are_listed_and_can_be_withdrawn() {
    let poll = Poll::new().unwrap();
    let (mut sender, mut receiver) = pair(&poll);
    let payload = vec![7; 1 << 20];
    for request_id in 1..=40 {
        sender.queue(&request(request_id, &payload), request_id);
    }
    sender.flush().unwrap();
    let unwritten = sender.unwritten();
    assert!(!unwritten.is_empty() && sender.pending() > 0, "the kernel accepted 40 MiB at once");
    let Withdrawn { tokens: withdrawn, partly_written } = sender.withdraw_unwritten();
    assert!(partly_written, "no frame was partly written");
    assert_eq!(withdrawn, unwritten[1..]);
    sender.queue(&request(99, &[]), 99);
    let wanted = 40 - withdrawn.len() + 1;
    let mut request_ids = Vec::new();
    while request_ids.len() < wanted {
        sender.flush().unwrap();
        receiver.fill().unwrap();
        let (input, mut used) = (receiver.take_input(), 0);
        while let Ok(Decoded::Frame(Message::Request(request), n)) = decode(&input[used..]) {
            request_ids.push(request.request_id);
            used += n;
        }
        receiver.return_input(input, used);
    }
    let expected: Vec<u64> = (1..wanted as u64).chain([99]).collect();
    assert_eq!(request_ids, expected);
}

#[test]
fn withdrawn_frames_are_not_sent_and_the_others_keep_their_order() {
    let poll = Poll::new().unwrap();
    let (mut sender, mut receiver) = pair(&poll);
    sender.queue(&request(1, &[1]), 1);
    sender.queue(&request(2, &[2]), UNTRACKED);
    sender.queue(&request(3, &[3]), 3);
    assert_eq!(sender.withdraw_unwritten(), Withdrawn { tokens: vec![1, 3], partly_written: false });
    sender.queue(&request(4, &[4]), 4);
    assert_eq!(sender.unwritten(), [4]);
    sender.flush().unwrap();
    assert!(sender.unwritten().is_empty());
    assert_eq!(read_request_ids(&mut receiver, 2), [2, 4]);
}

#[test]
fn refused_connection_is_reported_by_the_first_write() {
    let poll = Poll::new().unwrap();
    let address = listen("127.0.0.1:0".parse().unwrap()).unwrap().local_addr().unwrap();
    let mut connection = match Connection::connect(&poll, address, 1) {
        Ok(connection) => connection,
        Err(_) => return,
    };
    connection.queue(&request(1, &[]), 1);
    let stream_end = loop {
        match connection.flush() {
            Ok(()) => std::thread::yield_now(),
            Err(stream_end) => break stream_end,
        }
    };
    assert!(matches!(stream_end, StreamEnd::Failed(_)));
    assert_eq!(connection.unwritten(), [1]);
}
