//! A host whose discovery fails or does not respond.

use crate::support::discovery::{instance, FaultMode};
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::test_cluster::TestCluster;
use std::time::{Duration, Instant};

#[test]
fn a_failing_discovery_is_polled_again_and_the_list_is_kept() {
    for fault_mode in [FaultMode::Busy, FaultMode::Malformed, FaultMode::Unresponsive] {
        let cluster = TestCluster::start(1);
        cluster.discovery.set_fault_mode(fault_mode);
        std::thread::sleep(Duration::from_millis(300));
        assert_served(cluster.client().request(&request_bytes("a", "read", 0, 900)), "a");
        // The host's own timeout of a call is 2.9 s.
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
        let answer = cluster.client().request(&request_bytes("b", "read", 0, 300)).unwrap();
        assert_eq!(
            (answer.status(), cluster.nodes[0].request_count()),
            (503, 1),
            "{fault_mode:?}: the update came in the end"
        );
    }
}

#[test]
fn a_restarted_host_serves_by_its_cached_list() {
    let mut cluster = TestCluster::start(1);
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    let began = Instant::now();
    cluster.restart_host();
    assert!(began.elapsed() < Duration::from_secs(1), "ready after {:?}", began.elapsed());
    assert_served(cluster.client().request(&request_bytes("a", "read", 0, 900)), "a");
}
