//! Requests and responses pass through a host unchanged, on connections that are used again; endpoints follow the list.

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
    let limit: f64 = write.field("x-deadline").unwrap().trim_end_matches('m').parse().unwrap();
    assert!(limit > 0.0 && limit <= 900.0, "the node got a deadline of {limit} ms");
}

/// Sends requests one after the other, with a pause after each.
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
    // Unsolicited bytes may still follow an exchange that has just ended: requests right behind it use other connections.
    send_sequentially(&cluster, "b", 30, Duration::ZERO);
    let most = connections();
    std::thread::sleep(Duration::from_millis(200));
    send_sequentially(&cluster, "c", 30, Duration::from_millis(5));
    assert_eq!(connections(), most, "idle connections are used before a new one is made");
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(100))]);
    let mut client = cluster.client();
    let both = [request_bytes("a", "read", 0, 900), request_bytes("b", "read", 0, 900)].concat();
    assert_served(client.request(&both), "a");
    assert_served(client.receive(), "b");
}

#[test]
fn a_draining_endpoint_gets_no_new_attempt() {
    let cluster = TestCluster::start(2);
    let mut client = cluster.client();
    assert_served(client.request(&request_bytes("a", "read", 0, 900)), "a");
    let [old, new] = [cluster.node_addresses[0], cluster.node_addresses[1]];
    cluster.discovery.publish(vec![instance("s-0", old, 0, "DRAINING"), instance("s-7", new, 0, "SERVING")]);
    std::thread::sleep(Duration::from_millis(100));
    for i in 0..10 {
        let id = format!("b{i}");
        assert_served(client.request(&request_bytes(&id, "read", 0, 900)), &id);
    }
    assert_eq!((cluster.nodes[0].request_count(), cluster.nodes[1].request_count()), (1, 10));
}

#[test]
fn a_start_time_in_the_future_does_not_prolong_slow_start() {
    let cluster = TestCluster::start(1);
    let mut late = instance("s-late", cluster.node_addresses[0], 0, "SERVING");
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
    late["startedAtMs"] = json!(unix + 3_600_000);
    cluster.discovery.publish(vec![late.clone()]);
    // Warm-up and slow start are over; the same list once more changes nothing.
    std::thread::sleep(Duration::from_millis(2000));
    cluster.discovery.publish(vec![late]);
    std::thread::sleep(Duration::from_millis(1300));
    let mut all: Vec<HttpClient> = (0..40).map(|_| cluster.client()).collect();
    for (i, client) in all.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("c{i}"), "read", 0, 900));
    }
    for (i, client) in all.iter_mut().enumerate() {
        assert_served(client.receive(), &format!("c{i}"));
    }
}
