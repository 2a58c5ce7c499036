//! Coalesced and overlapping writes, and split reads.

use crate::harness::{outcome, AttemptId, Peer, TestHost};
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{
    FinalCode, MapEntry, MapEntryKind, MapUpdate, Message, OutcomeCode, AGE_LONG_RUNNING,
};

/// A host whose node has its window full of writes of a class, so that the four after them are sent as a batch once
/// the first has succeeded.
fn four_coalesced(host: &TestHost, class: u16) -> (Peer, Peer, Vec<AttemptId>, Vec<AttemptId>) {
    let mut client = host.client();
    (1..=4).for_each(|n| client.send_request(n, class, b"bytes"));
    let mut node = host.accept_node();
    let out: Vec<_> = (0..4).map(|_| node.receive_attempt().unwrap()).collect();
    (5..=8).for_each(|n| client.send_request(n, class, b"bytes"));
    // A read behind them shows that they were received: it is not sent either, as it is queued behind them.
    client.send_request(9, 0, &[]);
    client.send_range_request(10, 0, 0, 7, &[]);
    assert_eq!(client.receive_answer(), Some((10, FinalCode::Rejected, "impossible-range".to_string())));
    node.succeed(out[0], b"");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, String::new())));
    let batch = node.receive_batch().unwrap();
    assert_eq!(batch.len(), 4);
    (client, node, out, batch)
}

#[test]
fn each_part_of_a_batch_ends_by_itself_and_only_safe_ones_are_retried() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let (mut client, mut node, out, batch) = four_coalesced(&host, 1);
    node.succeed(batch[0], b"");
    node.send(&outcome(batch[1].0, batch[1].1, OutcomeCode::Error, &[]));
    node.send(&outcome(batch[2].0, batch[2].1, OutcomeCode::Overloaded, &[]));
    // The fourth gets no answer, and a second answer to the first changes nothing.
    node.send(&outcome(batch[0].0, batch[0].1, OutcomeCode::Error, &[]));
    assert_eq!(client.receive_answer(), Some((5, FinalCode::Succeeded, String::new())));
    assert_eq!(client.receive_answer(), Some((6, FinalCode::Failed, "error".to_string())));
    // What was overloaded has not run, and is sent again once there is a slot for it, as is the read behind it.
    out[1..].iter().for_each(|out| node.succeed(*out, b""));
    let again = [node.receive_attempt().unwrap(), node.receive_attempt().unwrap()];
    assert!(again.contains(&(batch[2].0, 1)), "{again:?} holds what was rejected");
    drop(node);
    let rest: Vec<_> = (0..5).map(|_| client.receive_answer().unwrap()).collect();
    let failed = |n: u64| (n, FinalCode::Failed);
    let found: Vec<_> = rest.iter().map(|(n, code, _)| (*n, *code)).filter(|f| f.0 != 9).collect();
    assert!(
        found.contains(&failed(8)),
        "a non-idempotent part that may have run is not sent again: {found:?}"
    );
    assert_eq!(host.shut_down(), HostExit::Stopped);
}

#[test]
fn a_cancelled_request_leaves_the_other_parts_of_its_batch() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let (mut client, mut node, _out, batch) = four_coalesced(&host, 0);
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
fn a_write_waits_for_an_earlier_overlapping_write() {
    let host = TestHost::start(AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_range_request(1, 1, 10, 4, b"aaaabbbb");
    client.send_range_request(2, 0, 13, 2, b"ccccdddd");
    client.send_range_request(3, 0, 20, 1, b"eeee");
    let mut node = host.accept_node();
    let first = node.receive_range_attempt().unwrap();
    let third = node.receive_range_attempt().unwrap();
    assert_eq!((first.2, third.2), (10, 20), "the second is blocked, and no other");
    node.succeed((first.0, first.1), b"");
    assert_eq!(node.receive_range_attempt().map(|p| (p.2, p.3)), Some((13, 2)));
    host.abort();
}

#[test]
fn a_write_whose_connection_broke_blocks_overlapping_writes_for_a_while() {
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
    assert_eq!(order, [20, 13], "the overlapping one waits for the quiet period");
    host.abort();
}

#[test]
fn a_read_across_extents_gets_one_answer() {
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
    let pieces = [node.receive_range_attempt().unwrap(), node.receive_range_attempt().unwrap()];
    assert_eq!(pieces.map(|p| (p.2, p.3)), [(18, 2), (20, 2)]);
    // The later part succeeds first, and the first one fails once: it is retried.
    node.succeed((pieces[1].0, pieces[1].1), b"CD");
    node.send(&outcome(pieces[0].0, pieces[0].1, OutcomeCode::Error, &[]));
    let again = node.receive_range_attempt().unwrap();
    assert_eq!((again.0, again.1), (pieces[0].0, 1));
    node.succeed((again.0, again.1), b"AB");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "ABCD".to_string())));
    // Cancelling a split read cancels its parts.
    client.send_range_request(2, 0, 18, 4, &[]);
    let pieces = [node.receive_range_attempt().unwrap(), node.receive_range_attempt().unwrap()];
    client.send(&Message::CancelRequest { request_id: 2 });
    let cancel = |m: &Message<'_>| match m {
        Message::CancelAttempt { request_id, .. } => Some(*request_id),
        _ => None,
    };
    let mut cancelled = [node.receive(cancel).unwrap(), node.receive(cancel).unwrap()];
    cancelled.sort_unstable();
    assert_eq!(cancelled, pieces.map(|p| p.0));
    host.abort();
}
