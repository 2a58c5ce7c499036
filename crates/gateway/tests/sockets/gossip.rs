//! Gossip between hosts, and the cached endpoint list.

use crate::harness::TestHost;
use magpiewick_gateway::config::HostConfig;
use magpiewick_gateway::HostExit;
use magpiewick_node_protocol::{EntryState, FinalCode, AGE_LONG_RUNNING};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

/// Returns a free address of this machine, and the socket of another host that sends to it.
fn two_hosts() -> (SocketAddr, UdpSocket) {
    let other = UdpSocket::bind("127.0.0.1:0").unwrap();
    other.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    (UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap(), other)
}

/// Enables gossip of a host with the other.
fn enable_gossip(config: &mut HostConfig, own: SocketAddr, other: &UdpSocket) {
    config.scheduler.hosts = 2.0;
    config.gossip_addresses = [(0, own), (1, other.local_addr().unwrap())].into();
}

#[test]
fn gossip_counts_remote_attempts_and_invalid_datagrams_are_ignored() {
    let (own, other) = two_hosts();
    let mut host = TestHost::without_endpoints(TcpListener::bind("127.0.0.1:0").unwrap(), |config| {
        enable_gossip(config, own, &other)
    });
    host.send_endpoint(true, 1, EntryState::Ready, 1, AGE_LONG_RUNNING);
    let mut client = host.client();
    client.send_request(1, 0, &[]);
    let mut node = host.accept_node();
    let first = node.receive_attempt().unwrap();
    let mut bytes = [0; 300];
    let report = loop {
        let length = other.recv(&mut bytes).unwrap();
        let reports = magpiewick_gossip::decode(&bytes[..length]).unwrap();
        if let Some((tag, received)) = reports.first() {
            assert_eq!((reports.len(), received.in_flight), (1, 1));
            break (*tag, magpiewick::GossipReport { in_flight: 7, has_queued: true, ..*received });
        }
    };
    // Invalid datagrams: empty, of an odd length, too long, of a later version; and a valid one from an
    // unknown sender.
    let message: Vec<u8> = magpiewick_gossip::encode(&[report]).flatten().collect();
    for invalid in [&[][..], &message[..4], &[1; 300], &[2, 0, 0, 0, 0]] {
        other.send_to(invalid, own).unwrap();
    }
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&message, own).unwrap();
    client.send_request(2, 0, &[]);
    let second = node.receive_attempt().unwrap();
    // Seven attempts of another host exceed the window: the next request waits until that report expires.
    other.send_to(&message, own).unwrap();
    let started = std::time::Instant::now();
    std::thread::sleep(Duration::from_millis(20));
    client.send_request(3, 0, &[]);
    let third = node.receive_attempt().unwrap();
    assert!(started.elapsed() >= Duration::from_millis(200), "{:?}", started.elapsed());
    for attempt in [first, second, third] {
        node.succeed(attempt, b"done");
        assert_eq!(client.receive_answer().map(|a| a.1), Some(FinalCode::Succeeded));
    }
    host.shut_down();
}

#[test]
fn restarted_host_serves_from_the_cached_list_despite_gossip_of_another_version() {
    let (own, other) = two_hosts();
    let cache = std::env::temp_dir().join(format!("magpiewick-cache-{}", std::process::id()));
    let enable_list_cache = |config: &mut HostConfig| config.list_service.cache_path = Some(cache.clone());
    let mut before =
        TestHost::without_endpoints(TcpListener::bind("127.0.0.1:0").unwrap(), enable_list_cache);
    before.send_endpoint(true, 1, EntryState::Ready, 1, AGE_LONG_RUNNING);
    let mut client = before.client();
    client.send_request(1, 0, &[]);
    let mut node = before.accept_node();
    let attempt = node.receive_attempt().unwrap();
    node.succeed(attempt, &[]);
    client.receive_answer();
    let listener = before.node.try_clone().unwrap();
    assert_eq!(before.shut_down(), HostExit::Stopped);
    let after = TestHost::without_endpoints(listener, |config| {
        enable_list_cache(config);
        enable_gossip(config, own, &other);
    });
    other.send_to(&[0, 1, 2, 3], own).unwrap();
    let mut client = after.client();
    client.send_request(1, 0, &[]);
    let mut node = after.accept_node();
    let attempt = node.receive_attempt().unwrap();
    node.succeed(attempt, b"at once");
    assert_eq!(client.receive_answer(), Some((1, FinalCode::Succeeded, "at once".to_string())));
    after.shut_down();
    std::fs::remove_file(cache).unwrap();
}
