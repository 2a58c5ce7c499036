//! Storage nodes that misbehave, restart, drain or are unreachable.

use crate::harness::{outcome, TestHost};
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{encode, EntryState, FinalCode, OutcomeCode, AGE_LONG_RUNNING};
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

#[test]
fn a_request_gets_one_answer_though_its_node_repeats_outcomes() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_request(1, 0, &[]);
    let mut node = host.accept_node();
    let out = node.receive_attempt().unwrap();
    node.succeed(out, b"first");
    node.succeed(out, b"second");
    node.send(&outcome(out.0, 9, OutcomeCode::Error, &[]));
    node.send(&outcome(12345, 0, OutcomeCode::Succeeded, &[]));
    client.send_request(2, 0, &[]);
    let next = node.receive_attempt().unwrap();
    node.succeed(next, b"third");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "first".to_string())));
    assert_eq!(client.receive_answer(), Some((2, FinalCode::Succeeded, "third".to_string())));
    assert_eq!(host.shut_down(), HostExit::Stopped);
}

#[test]
fn a_request_whose_outcome_was_truncated_may_have_run() {
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
fn a_request_to_an_unreachable_node_never_ran() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    // The port is free again: connections to it are refused.
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
        assert_eq!(node.receive_attempt(), None, "an attempt reached an old process");
    }
    let mut node = host.accept();
    node.send_hello(1, 1_100_000);
    let out = node.receive_attempt().unwrap();
    node.succeed(out, &[]);
    assert_eq!(client.receive_answer().map(|a| a.1), Some(FinalCode::Succeeded));
    host.shut_down();
}

#[test]
fn attempts_that_waited_for_a_process_are_routed_again_after_its_restart() {
    let host = TestHost::start(60_000_000);
    let mut client = host.client();
    client.send_request(1, 1, b"paid");
    let mut node = host.accept();
    node.send_hello(2, 5_000);
    let (_, attempt) = node.receive_attempt().unwrap();
    assert_eq!(attempt, 1, "the attempt that was meant for the old process was counted as ended");
    host.shut_down();
}

#[test]
fn unwritten_attempts_are_withdrawn_from_a_draining_node() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    // More than the kernel takes while the node does not read.
    let (payload, count) = (vec![5; 1 << 20], 40);
    client.send_request(100, 0, &[]);
    let mut node = host.accept_node();
    let first = node.receive_attempt().unwrap();
    let writer = std::thread::spawn(move || {
        (1..=count).for_each(|request_id| client.send_request(request_id, 1, &payload));
        client
    });
    node.succeed(first, &[]);
    // Reads now and then, so that the window opens, and never all.
    let mut whole = Vec::new();
    for _ in 0..6 {
        let out = node.receive_attempt().unwrap();
        whole.push(out.0);
        node.succeed(out, &[]);
    }
    std::thread::sleep(Duration::from_millis(100));
    host.send_endpoint(false, 2, EntryState::Draining, 1, AGE_LONG_RUNNING);
    let mut client = writer.join().unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // What is read from here on was written before the update, or the connection broke in the middle of it.
    node.stream.set_read_timeout(Some(Duration::from_millis(1500))).unwrap();
    let late =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| while node.receive_attempt().is_some() {}));
    drop(late);
    let mut ended = [0; 3];
    for _ in 0..=count {
        let (_, code, _) = client.receive_answer().unwrap();
        ended[code as usize] += 1;
    }
    assert_eq!(ended.iter().sum::<u64>(), count + 1);
    assert!(
        ended[FinalCode::Succeeded as usize] >= 7 && ended[FinalCode::Rejected as usize] > 0,
        "{ended:?}"
    );
    host.shut_down();
}
