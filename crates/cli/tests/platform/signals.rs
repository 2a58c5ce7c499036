//! Reload on SIGHUP and graceful shutdown on SIGTERM.

use crate::support::discovery::{instance, Discovery};
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use std::time::{Duration, Instant};

#[test]
fn reload_switches_discovery_without_disturbing_requests() {
    let mut cluster = TestCluster::start(2);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    client.send(&request_bytes("a", "read", 0, 900));
    cluster.nodes[0].wait_for_requests(1);
    cluster.host.reload_truncated_file();
    let (second, second_address) =
        Discovery::start(vec![instance("s-9", cluster.node_addresses[1], 0, "SERVING")]);
    cluster.host.reload_with_discovery(second_address);
    assert_served(client.receive(), "a");
    assert_served(client.request(&request_bytes("b", "read", 0, 900)), "b");
    assert_eq!(cluster.nodes[1].request_count(), 1, "the new list applies");
    assert!(!second.calls().is_empty() && cluster.host.is_running());
    let first_address = cluster.discovery_address;
    cluster.host.reload_with_discovery(first_address);
    cluster.host.reload_with_discovery(first_address);
    assert_served(client.request(&request_bytes("c", "read", 0, 900)), "c");
}

#[test]
fn graceful_shutdown_keeps_serving_and_answers_all_requests() {
    let mut cluster = TestCluster::start(1);
    let mut idle = cluster.client();
    cluster.host.signal("TERM");
    cluster.host.signal("HUP");
    let start = Instant::now();
    for (i, time_ms) in [100, 250, 1000, 3050].into_iter().enumerate() {
        std::thread::sleep(Duration::from_millis(time_ms).saturating_sub(start.elapsed()));
        let (a, b) = (format!("a{i}"), format!("b{i}"));
        assert_served(idle.request(&request_bytes(&a, "write", 0, 900)), &a);
        assert_served(cluster.client().request(&request_bytes(&b, "read", 0, 900)), &b);
    }
    let not_ready = cluster.client().request(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
    assert_eq!(not_ready.status(), 503);
    // A request that can no longer be served still gets a response, and the host does not spin in the meantime, even
    // though client connections are already closed after the latency objective of the request.
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    let mut last = cluster.client();
    last.send(&request_bytes("last", "once", 0, 3000));
    cluster.nodes[0].wait_for_requests(9);
    assert!(idle.closes_without_response());
    let ticks = cluster.host.cpu_ticks();
    let response = last.receive().unwrap();
    assert_eq!((response.status(), response.field("connection")), (502, Some("close")));
    assert!(cluster.host.cpu_ticks().is_none_or(|now| now - ticks.unwrap() < 10), "the host spins");
    assert!(
        cluster.host.wait_for_exit().success() && start.elapsed() < Duration::from_millis(3700),
        "{:?}",
        start.elapsed()
    );
}

#[test]
fn reloads_during_shutdown_lose_no_response() {
    let mut cluster = TestCluster::start(1);
    let discoveries: Vec<_> = (0..8)
        .map(|_| Discovery::start(vec![instance("s-0", cluster.node_addresses[0], 0, "SERVING")]))
        .collect();
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    client.send(&request_bytes("a", "read", 0, 1500));
    cluster.nodes[0].wait_for_requests(1);
    discoveries.iter().for_each(|(_, address)| cluster.host.reload_with_discovery(*address));
    cluster.host.signal("TERM");
    cluster.host.reload_with_discovery(discoveries[0].1);
    assert_served(client.receive(), "a");
    assert_eq!(cluster.host.wait_for_exit().code(), Some(0));
}
