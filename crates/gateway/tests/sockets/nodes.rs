//! Storage nodes that repeat or truncate outcomes, restart, drain or are unreachable.

use crate::harness::{outcome, TestHost};
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{encode, EntryState, FinalCode, OutcomeCode, AGE_LONG_RUNNING};
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn request_gets_one_answer_when_its_node_repeats_outcomes() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_request(1, 0, &[]);
    let mut node = host.accept_node();
    let attempt = node.receive_attempt().unwrap();
    node.succeed(attempt, b"first");
    node.succeed(attempt, b"second");
    node.send(&outcome(attempt.0, 9, OutcomeCode::Error, &[]));
    node.send(&outcome(12345, 0, OutcomeCode::Succeeded, &[]));
    client.send_request(2, 0, &[]);
    let next_attempt = node.receive_attempt().unwrap();
    node.succeed(next_attempt, b"third");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "first".to_string())));
    assert_eq!(client.receive_answer(), Some((2, FinalCode::Succeeded, "third".to_string())));
    assert_eq!(host.shut_down(), HostExit::Stopped);
}

#[test]
fn request_with_a_truncated_outcome_may_have_run() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_request(1, 1, b"paid");
    let mut node = host.accept_node();
    let (request_id, attempt) = node.receive_attempt().unwrap();
    let mut frame = Vec::new();
    encode(&outcome(request_id, attempt, OutcomeCode::Succeeded, b"done"), &mut frame);
    node.stream.write_all(&frame[..frame.len() / 2]).unwrap();
    drop(node);
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Failed, "reset".to_string())));
    host.shut_down();
}

#[test]
fn request_to_an_unreachable_node_is_rejected() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    // The port of the listed node is free again, so connections to it are refused.
    host.node = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = host.client();
    client.send_request(1, 1, b"paid");
    let (request_id, code, _) = client.receive_answer().unwrap();
    assert_eq!((request_id, code), (1, FinalCode::Rejected));
    host.shut_down();
}

#[test]
fn no_attempt_is_sent_to_a_process_older_than_the_listed_one() {
    let host = TestHost::start(1_000_000);
    let mut client = host.client();
    client.send_request(1, 1, b"paid");
    for _ in 0..2 {
        let mut node = host.accept();
        node.send_hello(2, 60_000_000);
        assert_eq!(node.receive_attempt(), None, "an attempt reached a process older than the listed one");
    }
    let mut node = host.accept();
    node.send_hello(1, 1_100_000);
    let attempt = node.receive_attempt().unwrap();
    node.succeed(attempt, &[]);
    assert_eq!(client.receive_answer().map(|a| a.1), Some(FinalCode::Succeeded));
    host.shut_down();
}

#[test]
fn attempts_waiting_for_a_greeting_are_rerouted_after_a_restart() {
    let host = TestHost::start(60_000_000);
    let mut client = host.client();
    client.send_request(1, 1, b"paid");
    let mut node = host.accept();
    node.send_hello(2, 5_000);
    let (_, attempt) = node.receive_attempt().unwrap();
    assert_eq!(attempt, 1, "the attempt for the old process ended and its retry has number 1");
    host.shut_down();
}

#[test]
fn unwritten_attempts_are_withdrawn_from_a_draining_node() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    // More data than the kernel accepts while the node does not read.
    let (payload, count) = (vec![5; 1 << 20], 40);
    client.send_request(100, 0, &[]);
    let mut node = host.accept_node();
    let first = node.receive_attempt().unwrap();
    let writer = std::thread::spawn(move || {
        (1..=count).for_each(|request_id| client.send_request(request_id, 1, &payload));
        client
    });
    node.succeed(first, &[]);
    // Reads only some of the attempts, so that the window grows.
    let mut complete_attempts = Vec::new();
    for _ in 0..6 {
        let attempt = node.receive_attempt().unwrap();
        complete_attempts.push(attempt.0);
        node.succeed(attempt, &[]);
    }
    std::thread::sleep(Duration::from_millis(100));
    host.send_endpoint(false, 2, EntryState::Draining, 1, AGE_LONG_RUNNING);
    let mut client = writer.join().unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // Attempts read from here on were written before the update, or the connection broke within one.
    node.stream.set_read_timeout(Some(Duration::from_millis(1500))).unwrap();
    let late_attempts =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| while node.receive_attempt().is_some() {}));
    drop(late_attempts);
    let mut answers_by_code = [0; 3];
    for _ in 0..=count {
        let (_, code, _) = client.receive_answer().unwrap();
        answers_by_code[code as usize] += 1;
    }
    assert_eq!(answers_by_code.iter().sum::<u64>(), count + 1);
    assert!(
        answers_by_code[FinalCode::Succeeded as usize] >= 7
            && answers_by_code[FinalCode::Rejected as usize] > 0,
        "{answers_by_code:?}"
    );
    host.shut_down();
}
