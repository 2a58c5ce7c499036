//! Coalesced and overlapping writes, and split reads.

use crate::harness::{outcome, AttemptId, Peer, TestHost};
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{
    FinalCode, MapEntry, MapEntryKind, MapUpdate, Message, OutcomeCode, AGE_LONG_RUNNING,
};

/// Starts a host whose node has its window full of writes of a class. The four writes after them are sent as
/// a batch once the first has succeeded.
fn start_batch_of_four(host: &TestHost, class: u16) -> (Peer, Peer, Vec<AttemptId>, Vec<AttemptId>) {
    let mut client = host.client();
    (1..=4).for_each(|n| client.send_request(n, class, b"bytes"));
    let mut node = host.accept_node();
    let in_flight: Vec<_> = (0..4).map(|_| node.receive_attempt().unwrap()).collect();
    (5..=8).for_each(|n| client.send_request(n, class, b"bytes"));
    // The rejection of a read behind the writes shows that the writes were received. The earlier read is not
    // sent either, as it is queued behind them.
    client.send_request(9, 0, &[]);
    client.send_range_request(10, 0, 0, 7, &[]);
    assert_eq!(client.receive_answer(), Some((10, FinalCode::Rejected, "impossible-range".to_string())));
    node.succeed(in_flight[0], b"");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, String::new())));
    let batch = node.receive_batch().unwrap();
    assert_eq!(batch.len(), 4);
    (client, node, in_flight, batch)
}

#[test]
fn parts_of_a_batch_end_independently_and_only_safe_ones_are_retried() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let (mut client, mut node, in_flight, batch) = start_batch_of_four(&host, 1);
    node.succeed(batch[0], b"");
    node.send(&outcome(batch[1].0, batch[1].1, OutcomeCode::Error, &[]));
    node.send(&outcome(batch[2].0, batch[2].1, OutcomeCode::Overloaded, &[]));
    // The fourth part gets no answer, and a second answer to the first part has no effect.
    node.send(&outcome(batch[0].0, batch[0].1, OutcomeCode::Error, &[]));
    assert_eq!(client.receive_answer(), Some((5, FinalCode::Succeeded, String::new())));
    assert_eq!(client.receive_answer(), Some((6, FinalCode::Failed, "error".to_string())));
    // The overloaded part has not run; it is sent again once a slot is free, as is the read behind it.
    in_flight[1..].iter().for_each(|in_flight| node.succeed(*in_flight, b""));
    let retried = [node.receive_attempt().unwrap(), node.receive_attempt().unwrap()];
    assert!(retried.contains(&(batch[2].0, 1)), "{retried:?} does not contain the overloaded part");
    drop(node);
    let remaining_answers: Vec<_> = (0..5).map(|_| client.receive_answer().unwrap()).collect();
    let failed = |n: u64| (n, FinalCode::Failed);
    let answers: Vec<_> =
        remaining_answers.iter().map(|(n, code, _)| (*n, *code)).filter(|answer| answer.0 != 9).collect();
    assert!(
        answers.contains(&failed(8)),
        "a non-idempotent part that may have run is not sent again: {answers:?}"
    );
    assert_eq!(host.shut_down(), HostExit::Stopped);
}

#[test]
fn cancelled_request_does_not_affect_other_parts_of_its_batch() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let (mut client, mut node, _in_flight, batch) = start_batch_of_four(&host, 0);
    client.send(&Message::CancelRequest { request_id: 6 });
    let cancelled = node.receive(|m| match m {
        Message::CancelAttempt { request_id, attempt } => Some((*request_id, *attempt)),
        _ => None,
    });
    assert_eq!(cancelled, Some(batch[1]));
    batch.iter().for_each(|part| node.succeed(*part, b""));
    let mut answered: Vec<u64> = (0..3).map(|_| client.receive_answer().unwrap().0).collect();
    answered.sort_unstable();
    assert_eq!(answered, [5, 7, 8]);
    host.shut_down();
}

#[test]
fn write_waits_for_an_earlier_overlapping_write() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_range_request(1, 1, 10, 4, b"aaaabbbb");
    client.send_range_request(2, 0, 13, 2, b"ccccdddd");
    client.send_range_request(3, 0, 20, 1, b"eeee");
    let mut node = host.accept_node();
    let first = node.receive_range_attempt().unwrap();
    let third = node.receive_range_attempt().unwrap();
    assert_eq!((first.2, third.2), (10, 20), "only the second write is blocked");
    node.succeed((first.0, first.1), b"");
    assert_eq!(node.receive_range_attempt().map(|p| (p.2, p.3)), Some((13, 2)));
    host.abort();
}

#[test]
fn write_on_a_lost_connection_blocks_overlapping_writes_for_the_quiet_period() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_range_request(1, 1, 10, 4, b"aaaabbbb");
    client.send_range_request(2, 0, 13, 2, b"ccccdddd");
    let mut node = host.accept_node();
    node.receive_range_attempt().unwrap();
    drop(node);
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Failed, "reset".to_string())));
    client.send_range_request(3, 0, 20, 1, b"eeee");
    let mut node = host.accept_node();
    let order = [node.receive_range_attempt().unwrap().2, node.receive_range_attempt().unwrap().2];
    assert_eq!(order, [20, 13], "the overlapping write waits for the quiet period");
    host.abort();
}

#[test]
fn read_across_extents_gets_one_answer() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    let entry = |start, position| MapEntry {
        kind: MapEntryKind::Extent,
        volume: 1,
        start,
        position,
        shard: 0,
        version: 1,
    };
    let entries = vec![entry(0, 20), entry(20, 40)];
    host.list_service.send(&Message::ExtentMap(MapUpdate {
        snapshot: true,
        epoch: 1,
        part: 0,
        last: true,
        entries,
    }));
    let mut client = host.client();
    // Half of a write cannot be undone.
    client.send_range_request(99, 1, 18, 4, b"aaaabbbbccccdddd");
    assert_eq!(client.receive_answer(), Some((99, FinalCode::Rejected, "crosses-extents".to_string())));
    client.send_range_request(1, 0, 18, 4, &[]);
    let mut node = host.accept_node();
    let parts = [node.receive_range_attempt().unwrap(), node.receive_range_attempt().unwrap()];
    assert_eq!(parts.map(|p| (p.2, p.3)), [(18, 2), (20, 2)]);
    // The later part succeeds first; the first part fails once and is retried.
    node.succeed((parts[1].0, parts[1].1), b"CD");
    node.send(&outcome(parts[0].0, parts[0].1, OutcomeCode::Error, &[]));
    let retried = node.receive_range_attempt().unwrap();
    assert_eq!((retried.0, retried.1), (parts[0].0, 1));
    node.succeed((retried.0, retried.1), b"AB");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "ABCD".to_string())));
    // Cancelling a split read cancels its parts.
    client.send_range_request(2, 0, 18, 4, &[]);
    let parts = [node.receive_range_attempt().unwrap(), node.receive_range_attempt().unwrap()];
    client.send(&Message::CancelRequest { request_id: 2 });
    let cancel = |m: &Message<'_>| match m {
        Message::CancelAttempt { request_id, .. } => Some(*request_id),
        _ => None,
    };
    let mut cancelled = [node.receive(cancel).unwrap(), node.receive(cancel).unwrap()];
    cancelled.sort_unstable();
    assert_eq!(cancelled, parts.map(|p| p.0));
    host.abort();
}
