//! Behaviour of a host whose discovery fails or does not respond.

use crate::support::discovery::{instance, FaultMode};
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::test_cluster::TestCluster;
use std::time::{Duration, Instant};

#[test]
fn failing_discovery_is_polled_again_and_the_list_is_kept() {
    for fault_mode in [FaultMode::Busy, FaultMode::Malformed, FaultMode::Unresponsive] {
        let cluster = TestCluster::start(1);
        cluster.discovery.set_fault_mode(fault_mode);
        std::thread::sleep(Duration::from_millis(300));
        assert_served(cluster.client().request(&request_bytes("a", "read", 0, 900)), "a");
        // The host times out a discovery call after 2.9 s.
        std::thread::sleep(Duration::from_millis(if fault_mode == FaultMode::Unresponsive {
            3200
        } else {
            500
        }));
        let calls = cluster.discovery.calls().len();
        assert!((3..60).contains(&calls), "{fault_mode:?}: {calls} calls");
        cluster.discovery.set_fault_mode(FaultMode::Healthy);
        cluster.discovery.publish(vec![instance("s-0", cluster.node_addresses[0], 0, "DRAINING")]);
        std::thread::sleep(Duration::from_millis(3200));
        let response = cluster.client().request(&request_bytes("b", "read", 0, 300)).unwrap();
        assert_eq!(
            (response.status(), cluster.nodes[0].request_count()),
            (503, 1),
            "{fault_mode:?}: the update was not applied"
        );
    }
}

#[test]
fn restarted_host_serves_from_its_cached_list() {
    let mut cluster = TestCluster::start(1);
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    let restart = Instant::now();
    cluster.restart_host();
    assert!(restart.elapsed() < Duration::from_secs(1), "ready after {:?}", restart.elapsed());
    assert_served(cluster.client().request(&request_bytes("a", "read", 0, 900)), "a");
}
