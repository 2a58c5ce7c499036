//! Unchanged forwarding of requests and responses, reuse of connections, and selection of endpoints by the list.

use crate::support::discovery::instance;
use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

#[test]
fn requests_are_forwarded_unchanged_and_responses_returned() {
    let cluster = TestCluster::start(2);
    let mut client = cluster.client();
    assert_served(client.request(&request_bytes("r1", "read", 1, 900)), "r1");
    assert_served(client.request(&request_bytes("w1", "write", 0, 900)), "w1");
    assert_served(client.request(&request_bytes("n1", "write", -1, 900)), "n1");
    let read = cluster.nodes[1].received.lock().unwrap()[0].clone();
    let write = cluster.nodes[0].received.lock().unwrap()[0].clone();
    assert!(
        read.start_line.starts_with("GET /api/00000003b4d60021/")
            && read.start_line.ends_with("?v=1 HTTP/1.1")
    );
    assert_eq!((read.field("x-request-id"), read.field("idempotency-key")), (Some("r1"), Some("key-r1")));
    assert_eq!((write.field("x-request-id"), write.body.as_slice()), (Some("w1"), &b"some bytes"[..]));
    let deadline_ms: f64 = write.field("x-deadline").unwrap().trim_end_matches('m').parse().unwrap();
    assert!(deadline_ms > 0.0 && deadline_ms <= 900.0, "the node received a deadline of {deadline_ms} ms");
}

/// Sends requests sequentially, with a pause after each.
fn send_sequentially(cluster: &TestCluster, name: &str, requests: usize, pause: Duration) {
    let mut client = cluster.client();
    for i in 0..requests {
        let id = format!("{name}{i}");
        assert_served(client.request(&request_bytes(&id, "read", 0, 900)), &id);
        std::thread::sleep(pause);
    }
}

#[test]
fn idle_upstream_connections_are_reused() {
    let cluster = TestCluster::start(1);
    let connections = || cluster.nodes[0].connections.load(Ordering::SeqCst);
    send_sequentially(&cluster, "a", 10, Duration::from_millis(150));
    assert_eq!(connections(), 1);
    // Unsolicited bytes may still follow an exchange that has just ended, so immediate requests use other connections.
    send_sequentially(&cluster, "b", 30, Duration::ZERO);
    let max_connections = connections();
    std::thread::sleep(Duration::from_millis(200));
    send_sequentially(&cluster, "c", 30, Duration::from_millis(5));
    assert_eq!(connections(), max_connections, "a new connection was opened although idle ones exist");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(100))]);
    let mut client = cluster.client();
    let requests = [request_bytes("a", "read", 0, 900), request_bytes("b", "read", 0, 900)].concat();
    assert_served(client.request(&requests), "a");
    assert_served(client.receive(), "b");
}

#[test]
fn draining_endpoint_receives_no_new_attempt() {
    let cluster = TestCluster::start(2);
    let mut client = cluster.client();
    assert_served(client.request(&request_bytes("a", "read", 0, 900)), "a");
    let [draining, serving] = [cluster.node_addresses[0], cluster.node_addresses[1]];
    cluster
        .discovery
        .publish(vec![instance("s-0", draining, 0, "DRAINING"), instance("s-7", serving, 0, "SERVING")]);
    std::thread::sleep(Duration::from_millis(100));
    for i in 0..10 {
        let id = format!("b{i}");
        assert_served(client.request(&request_bytes(&id, "read", 0, 900)), &id);
    }
    assert_eq!((cluster.nodes[0].request_count(), cluster.nodes[1].request_count()), (1, 10));
}

#[test]
fn start_time_in_the_future_does_not_prolong_slow_start() {
    let cluster = TestCluster::start(1);
    let mut future_start = instance("s-late", cluster.node_addresses[0], 0, "SERVING");
    let unix_ms = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
    future_start["startedAtMs"] = json!(unix_ms + 3_600_000);
    cluster.discovery.publish(vec![future_start.clone()]);
    // Warm-up and slow start have ended; publishing the same list again has no effect.
    std::thread::sleep(Duration::from_millis(2000));
    cluster.discovery.publish(vec![future_start]);
    std::thread::sleep(Duration::from_millis(1300));
    let mut clients: Vec<HttpClient> = (0..40).map(|_| cluster.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("c{i}"), "read", 0, 900));
    }
    for (i, client) in clients.iter_mut().enumerate() {
        assert_served(client.receive(), &format!("c{i}"));
    }
}
