//! Nodes that send identical responses to different requests, for example to two reads of one object or to two writes
//! answered with `OK`. Identical content alone does not show that a response belongs to another request.

use crate::support::http_message::request_bytes;
use crate::support::node::{Behaviour, Node};
use crate::support::test_cluster::TestCluster;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SAME_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsame";
const EMPTY_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const SHORT_OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK";

/// Sends requests from one client and returns the response statuses.
fn send_requests(cluster: &TestCluster, client: usize, count: usize, pause: Duration) -> Vec<u16> {
    let mut connection = cluster.client();
    let send = |i: usize| {
        let class = ["read", "write", "once"][(i + client) % 3];
        let shard = (i + client) % cluster.nodes.len();
        let id = format!("c{client}-{i}");
        let response = connection.request(&request_bytes(&id, class, shard as i32, 2900));
        std::thread::sleep(pause);
        response.unwrap_or_else(|| panic!("no response to {id}")).status()
    };
    (0..count).map(send).collect()
}

fn connection_count(nodes: &[std::sync::Arc<Node>]) -> u64 {
    nodes.iter().map(|node| node.connections.load(Ordering::SeqCst)).sum()
}

/// Guards against correct responses that are discarded as duplicates, and against a new connection for each exchange.
#[test]
fn identical_correct_responses_are_served_without_retries_over_few_connections() {
    for response in [SAME_BODY, EMPTY_BODY, SHORT_OK] {
        let cluster = TestCluster::start(4);
        cluster.nodes.iter().for_each(|node| node.set_default(Behaviour::Write(response)));
        let pause = Duration::from_millis(20);
        let statuses: Vec<u16> = std::thread::scope(|scope| {
            let cluster = &cluster;
            let run = |client| scope.spawn(move || send_requests(cluster, client, 80, pause));
            let clients: Vec<_> = (0..4).map(run).collect();
            clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
        });
        let attempts: usize = cluster.nodes.iter().map(|node| node.request_count()).sum();
        let connections = connection_count(&cluster.nodes);
        assert!(statuses.iter().all(|status| *status == 200), "{response:?}: {statuses:?}");
        assert_eq!(attempts, statuses.len(), "{response:?}: attempts and requests");
        assert!(connections <= statuses.len() as u64 / 5, "{response:?}: {connections} connections");
    }
}

/// Guards against permanent exclusion of a node after one response that looked like a duplicate.
#[test]
fn single_node_with_identical_responses_loses_at_most_one_response() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::Write(SAME_BODY));
    let statuses = send_requests(&cluster, 0, 30, Duration::from_millis(130));
    let not_served = statuses.iter().filter(|status| **status != 200).count();
    assert!(not_served <= 1, "{statuses:?}");
    let attempts = cluster.nodes[0].request_count();
    assert!(attempts <= statuses.len() + 1, "{attempts} attempts of {} requests", statuses.len());
    let connections = connection_count(&cluster.nodes);
    assert!(connections <= 4, "{connections} connections for 30 sequential requests");
}
