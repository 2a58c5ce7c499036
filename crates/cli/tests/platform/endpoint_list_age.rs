//! Limits on the age of the endpoint list. For every kind of discovery failure, a draining or removed endpoint receives
//! no new attempt after the change has become binding.

use crate::support::discovery::{instance, Discovery, FaultMode};
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::proxy::{ConnectionFault, Proxy};
use crate::support::test_cluster::TestCluster;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after which a change is binding, counted from the moment at which discovery has the change and is reachable.
const BINDING_DELAY: Duration = Duration::from_secs(6);
/// Additional time in which an endpoint may still receive attempts: the platform's grace period of 250 ms and its
/// measurement tolerance of 50 ms.
const GRACE: Duration = Duration::from_millis(250 + 50);

/// Returns a list of the cluster's two nodes, both serving shard 0, with the first node in the given state.
fn both_nodes(cluster: &TestCluster, first_lifecycle: &str) -> Vec<Value> {
    vec![
        instance("s-0", cluster.node_addresses[0], 0, first_lifecycle),
        instance("s-1", cluster.node_addresses[1], 0, "SERVING"),
    ]
}

fn send_read(cluster: &TestCluster, id: &str) {
    _ = cluster.client().request(&request_bytes(id, "read", 0, 900));
}

/// Sends requests until a given time after a change. Returns the time between the change and the last attempt that
/// reached the first node.
fn last_attempt_after(cluster: &TestCluster, change: Instant, duration: Duration) -> Duration {
    let mut last = Duration::ZERO;
    for attempt in 0.. {
        let before = cluster.nodes[0].request_count();
        send_read(cluster, &format!("r{attempt}"));
        if cluster.nodes[0].request_count() > before {
            last = change.elapsed();
        }
        if change.elapsed() > duration {
            return last;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    unreachable!()
}

fn assert_in_time(last_attempt: Duration) {
    assert!(
        last_attempt <= BINDING_DELAY + GRACE,
        "the draining node received an attempt {last_attempt:?} after the change"
    );
}

/// Returns a host with an open watch at its discovery, and a second discovery that is not yet in its settings.
fn cluster_with_second_discovery() -> (TestCluster, Arc<Discovery>, SocketAddr) {
    let cluster = TestCluster::start(2);
    cluster.discovery.publish(both_nodes(&cluster, "SERVING"));
    cluster.discovery.wait_for_calls("a watch is open", |all| {
        all.iter().any(|call| call.contains("after=2") && call.contains("wait_ms=2000"))
    });
    let (second, second_address) = Discovery::start(both_nodes(&cluster, "SERVING"));
    (cluster, second, second_address)
}

#[test]
fn response_of_the_former_discovery_does_not_stop_retries_to_the_new_one() {
    let (mut cluster, second, second_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(second_address, |number| {
        if number == 0 {
            ConnectionFault::Reset
        } else {
            ConnectionFault::None
        }
    });
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("the first call to the new discovery has failed", |_| {
        !proxy.connection_times().is_empty()
    });
    // The call to the former discovery is still open and receives a response.
    cluster.discovery.publish(both_nodes(&cluster, "SERVING"));
    std::thread::sleep(Duration::from_millis(200));
    second.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn discovery_calls_delayed_by_seconds_are_not_abandoned() {
    let (mut cluster, second, second_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(second_address, |_| ConnectionFault::Delay(Duration::from_millis(2500)));
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("the new discovery is called", |_| !proxy.connection_times().is_empty());
    std::thread::sleep(Duration::from_millis(3500));
    second.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn partially_written_file_at_reload_is_read_once_complete() {
    let (mut cluster, second, second_address) = cluster_with_second_discovery();
    cluster.host.reload_truncated_file();
    std::thread::sleep(Duration::from_millis(300));
    cluster.host.write_discovery(second_address);
    // The former discovery no longer responds.
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    second.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn malformed_lists_stop_attempts_to_a_draining_endpoint_in_time() {
    let cluster = TestCluster::start(2);
    cluster.discovery.publish(both_nodes(&cluster, "SERVING"));
    assert_served(cluster.client().request(&request_bytes("before", "read", 0, 900)), "before");
    cluster.discovery.set_fault_mode(FaultMode::Malformed);
    cluster.discovery.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(7500)));
    // No request is served while the list may be outdated; requests wait for a valid list and are then served.
    assert_eq!(cluster.client().request(&request_bytes("refused", "read", 0, 300)).unwrap().status(), 503);
    let mut waiting = cluster.client();
    waiting.send(&request_bytes("waits", "read", 0, 3000));
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    assert_served(waiting.receive(), "waits");
}

#[test]
fn unresponsive_discovery_after_reload_stops_attempts_to_a_draining_endpoint_in_time() {
    let (mut cluster, second, second_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(second_address, |_| ConnectionFault::Unresponsive);
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("the new discovery is called", |_| !proxy.connection_times().is_empty());
    second.publish(both_nodes(&cluster, "DRAINING"));
    let change = Instant::now();
    assert_in_time(last_attempt_after(&cluster, change, Duration::from_millis(7500)));
    proxy.set_plan(|_| ConnectionFault::None);
    let before = cluster.nodes[1].request_count();
    cluster.wait_until("its list is applied again", |cluster| {
        send_read(cluster, &format!("again{:?}", change.elapsed()));
        cluster.nodes[1].request_count() > before
    });
    assert!(change.elapsed() < Duration::from_millis(7500 + 3500), "{:?}", change.elapsed());
}

#[test]
fn stalled_host_does_not_use_its_outdated_list() {
    let cluster = TestCluster::start(2);
    cluster.discovery.publish(vec![instance("s-0", cluster.node_addresses[0], 0, "SERVING")]);
    let id = |n: u32| format!("r{n}");
    assert_served(cluster.client().request(&request_bytes(&id(0), "read", 0, 900)), &id(0));
    cluster.host.signal("STOP");
    cluster.discovery.publish(both_nodes(&cluster, "DRAINING"));
    let mut waiting = cluster.client();
    std::thread::sleep(BINDING_DELAY + GRACE);
    let before = cluster.nodes[0].request_count();
    waiting.send(&request_bytes(&id(1), "read", 0, 3000));
    cluster.host.signal("CONT");
    let response = waiting.receive().expect("a response");
    assert!(matches!(response.status(), 200 | 503), "{response:?}");
    assert_eq!(cluster.nodes[0].request_count(), before, "the draining node received an attempt");
}

#[test]
fn host_serves_during_a_discovery_outage_and_detects_recovery() {
    let (mut cluster, second, second_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(second_address, |_| ConnectionFault::None);
    cluster.host.reload_with_discovery(proxy.address);
    second.wait_for_calls("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    proxy.set_plan(|_| ConnectionFault::Reset);
    proxy.close_all();
    std::thread::sleep(Duration::from_millis(8000));
    assert_served(cluster.client().request(&request_bytes("through", "read", 0, 900)), "through");
    second.publish(both_nodes(&cluster, "DRAINING"));
    proxy.set_plan(|_| ConnectionFault::None);
    let last_attempt = last_attempt_after(&cluster, Instant::now(), Duration::from_millis(4000));
    assert!(last_attempt < Duration::from_millis(3000), "{last_attempt:?} after the outage");
}
