//! The endpoint list and the extent map.

use crate::harness::{outcome, Peer, TestHost, SETTINGS};
use magpiewick_gateway::config::{read_host_config, HostConfig};
use magpiewick_gateway::Gateway;
use magpiewick_hcl_settings::read_text;
use magpiewick_node_protocol::{FinalCode, MapEntryKind, Message, OutcomeCode, AGE_LONG_RUNNING};
use std::io::Write;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;

#[test]
fn request_whose_shard_moved_waits_for_the_map_and_is_sent_again() {
    let mut host = TestHost::start(AGE_LONG_RUNNING);
    host.send_map(true, 1, MapEntryKind::Extent, 1000, 1);
    let mut client = host.client();
    // A non-idempotent request is sent again only as the node's answer proves that nothing ran.
    client.send_request(1, 1, b"paid");
    let mut node = host.accept_node();
    let sent = |m: &Message<'_>| match m {
        Message::Attempt(attempt) => Some((attempt.request_id, attempt.attempt, attempt.version)),
        _ => None,
    };
    let (request_id, _, version) = node.receive(sent).unwrap();
    assert_eq!(version, 1);
    node.send(&outcome(request_id, 0, OutcomeCode::ShardMoved, &[]));
    host.send_map(false, 2, MapEntryKind::Switch, 0, 2);
    assert_eq!(node.receive(sent), Some((request_id, 1, 2)));
    node.succeed((request_id, 1), &[]);
    assert_eq!(client.receive_answer().map(|a| a.1), Some(FinalCode::Succeeded));
    host.shut_down();
}

#[test]
fn unresponsive_list_service_is_reconnected() {
    let list = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config: HostConfig = read_text("test", SETTINGS, |r| read_host_config(r, 1)).unwrap().unwrap();
    (config.list_service.address, config.list_service.polled) = (list.local_addr().unwrap(), true);
    config.scheduler.max_poll_interval = Some(1000.0);
    let (mut shutdown_signal, other) = UnixStream::pair().unwrap();
    let gateway = Gateway::bind(config, other, 99).unwrap();
    let host = std::thread::spawn(move || gateway.run().unwrap());
    let watch = |m: &Message<'_>| matches!(m, Message::WatchEndpoints { .. }).then_some(());
    // The service receives a watch and does not answer: the next watch arrives on another connection.
    let mut unresponsive = Peer::new(list.accept().unwrap().0);
    unresponsive.receive(watch).expect("a watch");
    assert!(unresponsive.receive(watch).is_none(), "the unresponsive connection is still used");
    let mut next = Peer::new(list.accept().unwrap().0);
    next.receive(watch).expect("a watch on the second connection");
    shutdown_signal.write_all(&[1, 1]).unwrap();
    host.join().unwrap();
}
