//! How stale the endpoint list may become: whatever fails at discovery, a draining or removed endpoint gets no new
//! attempt once the change is binding.

use crate::support::discovery::{instance, Discovery, FaultMode};
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::proxy::{ConnectionFault, Proxy};
use crate::support::test_cluster::TestCluster;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A change is binding so long after discovery had it and could be reached.
const CHANGE_BINDS_AFTER: Duration = Duration::from_secs(6);
/// For so long an endpoint may still get attempts then: the platform's grace, and its slack of measurement.
const GRACE: Duration = Duration::from_millis(250 + 50);

/// The cluster's two nodes as a list, the first of them in this state; both hold shard 0.
fn both_nodes(cluster: &TestCluster, first: &str) -> Vec<Value> {
    vec![
        instance("s-0", cluster.node_addresses[0], 0, first),
        instance("s-1", cluster.node_addresses[1], 0, "SERVING"),
    ]
}

fn send_read(cluster: &TestCluster, id: &str) {
    _ = cluster.client().request(&request_bytes(id, "read", 0, 900));
}

/// Sends requests until some time after a change; how long after it the first node got its last one.
fn last_attempt_after(cluster: &TestCluster, change: Instant, until: Duration) -> Duration {
    let mut last = Duration::ZERO;
    for attempt in 0.. {
        let before = cluster.nodes[0].request_count();
        send_read(cluster, &format!("r{attempt}"));
        if cluster.nodes[0].request_count() > before {
            last = change.elapsed();
        }
        if change.elapsed() > until {
            return last;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    unreachable!()
}

fn assert_in_time(last: Duration) {
    assert!(last <= CHANGE_BINDS_AFTER + GRACE, "the draining node got an attempt {last:?} after the change");
}

/// A host with an open watch at its first discovery, and another discovery that it does not know yet.
fn cluster_with_second_discovery() -> (TestCluster, Arc<Discovery>, SocketAddr) {
    let cluster = TestCluster::start(2);
    cluster.discovery.publish(both_nodes(&cluster, "SERVING"));
    cluster.discovery.wait_for_calls("a watch is open", |all| {
        all.iter().any(|call| call.contains("after=2") && call.contains("wait_ms=2000"))
    });
    let (other, other_address) = Discovery::start(both_nodes(&cluster, "SERVING"));
    (cluster, other, other_address)
}

#[test]
fn a_response_of_the_former_discovery_keeps_the_retry_at_the_new_one() {
    let (mut cluster, other, other_address) = cluster_with_second_discovery();
    let proxy =
        Proxy::start(
            other_address,
            |number| if number == 0 { ConnectionFault::Reset } else { ConnectionFault::None },
        );
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("the first call there has failed", |_| !proxy.connection_times().is_empty());
    // The call to the former discovery is still open, and is answered.
    cluster.discovery.publish(both_nodes(&cluster, "SERVING"));
    std::thread::sleep(Duration::from_millis(200));
    other.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn discovery_calls_delayed_by_seconds_are_not_abandoned() {
    let (mut cluster, other, other_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(other_address, |_| ConnectionFault::Delay(Duration::from_millis(2500)));
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("it is called", |_| !proxy.connection_times().is_empty());
    std::thread::sleep(Duration::from_millis(3500));
    other.publish(both_nodes(&cluster, "DRAINING"));
    assert_in_time(last_attempt_after(&cluster, Instant::now(), Duration::from_millis(8500)));
}

#[test]
fn a_file_half_written_at_reload_is_read_once_complete() {
    let (mut cluster, other, other_address) = cluster_with_second_discovery();
    cluster.host.reload_truncated_file();
    std::thread::sleep(Duration::from_millis(300));
    cluster.host.write_discovery(other_address);
    // The former discovery does not respond any more.
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    other.publish(both_nodes(&cluster, "DRAINING"));
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
    // Nothing is served by a list that may be wrong; requests wait for a valid one, and get it.
    assert_eq!(cluster.client().request(&request_bytes("refused", "read", 0, 300)).unwrap().status(), 503);
    let mut waits = cluster.client();
    waits.send(&request_bytes("waits", "read", 0, 3000));
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    assert_served(waits.receive(), "waits");
}

#[test]
fn an_unresponsive_discovery_after_reload_stops_attempts_to_a_draining_endpoint_in_time() {
    let (mut cluster, other, other_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(other_address, |_| ConnectionFault::Unresponsive);
    cluster.host.reload_with_discovery(proxy.address);
    cluster.wait_until("it is called", |_| !proxy.connection_times().is_empty());
    other.publish(both_nodes(&cluster, "DRAINING"));
    let change = Instant::now();
    assert_in_time(last_attempt_after(&cluster, change, Duration::from_millis(7500)));
    proxy.set_plan(|_| ConnectionFault::None);
    let before = cluster.nodes[1].request_count();
    cluster.wait_until("its list arrives again", |cluster| {
        send_read(cluster, &format!("again{:?}", change.elapsed()));
        cluster.nodes[1].request_count() > before
    });
    assert!(change.elapsed() < Duration::from_millis(7500 + 3500), "{:?}", change.elapsed());
}

#[test]
fn a_stalled_host_does_not_use_its_stale_list() {
    let cluster = TestCluster::start(2);
    cluster.discovery.publish(vec![instance("s-0", cluster.node_addresses[0], 0, "SERVING")]);
    let id = |n: u32| format!("r{n}");
    assert_served(cluster.client().request(&request_bytes(&id(0), "read", 0, 900)), &id(0));
    cluster.host.signal("STOP");
    cluster.discovery.publish(both_nodes(&cluster, "DRAINING"));
    let mut waits = cluster.client();
    std::thread::sleep(CHANGE_BINDS_AFTER + GRACE);
    let before = cluster.nodes[0].request_count();
    waits.send(&request_bytes(&id(1), "read", 0, 3000));
    cluster.host.signal("CONT");
    let answer = waits.receive().expect("an answer");
    assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
    assert_eq!(cluster.nodes[0].request_count(), before, "the draining node got an attempt");
}

#[test]
fn a_discovery_outage_keeps_the_host_serving_and_recovery_is_detected_soon() {
    let (mut cluster, other, other_address) = cluster_with_second_discovery();
    let proxy = Proxy::start(other_address, |_| ConnectionFault::None);
    cluster.host.reload_with_discovery(proxy.address);
    other.wait_for_calls("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    proxy.set_plan(|_| ConnectionFault::Reset);
    proxy.close_all();
    std::thread::sleep(Duration::from_millis(8000));
    assert_served(cluster.client().request(&request_bytes("through", "read", 0, 900)), "through");
    other.publish(both_nodes(&cluster, "DRAINING"));
    proxy.set_plan(|_| ConnectionFault::None);
    let noticed = last_attempt_after(&cluster, Instant::now(), Duration::from_millis(4000));
    assert!(noticed < Duration::from_millis(3000), "{noticed:?} after the outage");
}
