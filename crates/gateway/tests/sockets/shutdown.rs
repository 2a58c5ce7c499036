//! Graceful shutdown.

use crate::harness::{Peer, TestHost};
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{
    decode, encode, ClientRequest, Decoded, EntryState, FinalCode, Message, AGE_LONG_RUNNING,
};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn shutdown_answers_pending_requests_and_rejects_new_ones() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_request(1, 0, &[]);
    let mut node = host.accept_node();
    let in_flight = node.receive_attempt().unwrap();
    host.shutdown_signal.write_all(&[1]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    client.send_request(2, 0, &[]);
    assert_eq!(client.receive_answer(), Some((2, FinalCode::Rejected, "stopping".to_string())));
    node.succeed(in_flight, b"last");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "last".to_string())));
    assert_eq!(host.thread.join().unwrap(), HostExit::Stopped);
}

#[test]
fn shutdown_answers_requests_of_paused_clients() {
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut host = TestHost::without_endpoints(node, |config| config.limits.max_pending_requests = 2);
    host.send_endpoint(true, 1, EntryState::Ready, 1, AGE_LONG_RUNNING);
    let mut client = host.client();
    (1..=6).for_each(|request_id| client.send_request(request_id, 1, b"block"));
    let mut node = host.accept_node();
    let in_flight = [node.receive_attempt().unwrap(), node.receive_attempt().unwrap()];
    host.shutdown_signal.write_all(&[1]).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    in_flight.into_iter().for_each(|attempt| node.succeed(attempt, b"done"));
    let mut answers: Vec<(u64, FinalCode)> =
        (0..6).map_while(|_| client.receive_answer()).map(|a| (a.0, a.1)).collect();
    answers.sort_unstable_by_key(|answer| answer.0);
    let numbers: Vec<u64> = answers.iter().map(|answer| answer.0).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5, 6]);
    assert!(answers[2..].iter().all(|answer| answer.1 == FinalCode::Rejected), "{answers:?}");
    drop(client);
    assert_eq!(host.thread.join().unwrap(), HostExit::Stopped);
}

/// Sends requests until the host closes the connection. Returns the result of the last read, the highest
/// number of an answered request, and the number of answers.
fn send_until_closed(mut client: Peer) -> (std::io::Result<usize>, u64, u64) {
    let mut send_stream = client.stream.try_clone().unwrap();
    let sender = std::thread::spawn(move || {
        for request_id in 1.. {
            let (volume, key, idempotency_key, units, client_timeout_us, blocks) =
                (1, 7 + request_id, request_id, 1.0, 4_000_000, 1);
            let (class, writes, payload) = (0, false, &[][..]);
            let request = ClientRequest {
                request_id,
                class,
                write: writes,
                volume,
                key,
                idempotency_key,
                units,
                client_timeout_us,
                blocks,
                payload,
            };
            let mut bytes = Vec::new();
            encode(&Message::Request(request), &mut bytes);
            if send_stream.write_all(&bytes).is_err() {
                return;
            }
            std::thread::sleep(Duration::from_micros(200));
        }
    });
    let (mut highest, mut count) = (0, 0);
    let end = loop {
        let mut used = 0;
        while let Ok(Decoded::Frame(message, n)) = decode(&client.bytes[used..]) {
            used += n;
            if let Message::FinalAnswer(answer) = message {
                (highest, count) = (highest.max(answer.request_id), count + 1);
            }
        }
        client.bytes.drain(..used);
        let mut chunk = [0; 65536];
        match client.stream.read(&mut chunk) {
            Ok(n) if n > 0 => client.bytes.extend_from_slice(&chunk[..n]),
            end => break end,
        }
    };
    drop(client);
    sender.join().unwrap();
    (end, highest, count)
}

#[test]
fn shutdown_resets_no_connection_and_answers_every_request_read() {
    for _ in 0..10 {
        let host = TestHost::start(AGE_LONG_RUNNING);
        let clients: Vec<_> = (0..6).map(|_| host.client()).collect();
        let clients: Vec<_> =
            clients.into_iter().map(|client| std::thread::spawn(move || send_until_closed(client))).collect();
        let mut node = host.accept_node();
        let (mut node_stream, started) = (node.stream.try_clone().unwrap(), std::time::Instant::now());
        let node_thread = std::thread::spawn(move || {
            while let Some(attempt) = node.receive_attempt() {
                node.succeed(attempt, b"done");
            }
        });
        std::thread::sleep(Duration::from_millis(60));
        assert_eq!(host.shut_down(), HostExit::Stopped);
        assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
        for client in clients {
            let (end, highest, count) = client.join().unwrap();
            assert!(matches!(end, Ok(0)), "the connection was reset: {end:?}");
            assert_eq!(highest, count, "a request before the last answered one has no answer");
        }
        _ = node_stream.flush();
        _ = node_stream.shutdown(std::net::Shutdown::Both);
        node_thread.join().unwrap();
    }
}
