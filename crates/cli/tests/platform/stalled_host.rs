//! A host that is stopped for a while and then finds what came meanwhile.

use crate::support::http_message::request_bytes;
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use std::time::{Duration, Instant};

/// Client timeout, and the time after it by which the final answer must have arrived.
const TIMEOUT_MS: u32 = 500;
const ANSWER_SLACK: Duration = Duration::from_millis(550);

/// Guards against a request that counts as new because its connection was made while the host was stopped.
#[test]
fn request_of_a_connection_made_during_a_stall_keeps_its_age() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(350)));
    for round in 0..3 {
        std::thread::sleep(Duration::from_millis(500));
        cluster.host.signal("STOP");
        let mut clients: Vec<_> = (0..3).map(|_| cluster.client()).collect();
        let sent = Instant::now();
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&request_bytes(&format!("r{round}-{number}"), "read", 0, TIMEOUT_MS));
        }
        std::thread::sleep(Duration::from_millis(880));
        cluster.host.signal("CONT");
        for client in &mut clients {
            assert!(client.receive().is_some(), "each request is answered");
        }
        let (took, due) = (sent.elapsed(), Duration::from_millis(u64::from(TIMEOUT_MS)) + ANSWER_SLACK);
        assert!(took < due, "round {round}: {took:?}");
    }
    assert_eq!(cluster.nodes[0].request_count(), 0, "no time was left for an attempt");
}
