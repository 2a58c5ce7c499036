//! Result for the client of each kind of node response and of each end of an attempt.

use crate::support::discovery::instance;
use crate::support::http_message::{assert_served, expected_body, request_bytes};
use crate::support::node::{Behaviour, FAILED_RESPONSE, OK_RESPONSE, OVERLOADED_RESPONSE};
use crate::support::test_cluster::TestCluster;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Sends a request whose first attempt meets the given behaviour. Returns the response status and the number of
/// attempts that reached the node.
fn outcome_of_first_attempt(class: &str, behaviour: Behaviour) -> (u16, usize) {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(std::slice::from_ref(&behaviour));
    let response = cluster
        .client()
        .request(&request_bytes("c1", class, 0, 1500))
        .unwrap_or_else(|| panic!("{behaviour:?}: no response"));
    if response.status() == 200 {
        assert_eq!(String::from_utf8_lossy(&response.body), expected_body("c1"), "{behaviour:?}");
    }
    (response.status(), cluster.nodes[0].request_count())
}

#[test]
fn attempts_that_did_not_run_are_retried_in_every_class() {
    for class in ["read", "write", "once"] {
        assert_eq!(
            outcome_of_first_attempt(class, Behaviour::Write(OVERLOADED_RESPONSE)),
            (200, 2),
            "{class}"
        );
    }
}

#[test]
fn attempts_that_may_have_run_are_retried_only_for_idempotent_classes() {
    for behaviour in [
        Behaviour::Write(FAILED_RESPONSE),
        Behaviour::Close,
        Behaviour::Write("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
        Behaviour::Write("\u{1}\u{2}noise"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{body}"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nContent-Length: 24\r\nContent-Length: 3\r\n\r\n{body}"),
        Behaviour::WriteThenClose("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{body}"),
        // A reset does not mark the end of a body, so the length of the body is unknown.
        Behaviour::WriteThenReset("HTTP/1.1 200 OK\r\n\r\n{body}"),
    ] {
        assert_eq!(outcome_of_first_attempt("read", behaviour.clone()), (200, 2), "{behaviour:?}");
        assert_eq!(outcome_of_first_attempt("once", behaviour.clone()), (502, 1), "{behaviour:?}");
    }
}

#[test]
fn valid_responses_of_every_framing_are_forwarded() {
    for behaviour in [
        Behaviour::Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18\r\n{body}\r\n0\r\n\r\n"),
        Behaviour::WriteThenClose(OK_RESPONSE),
        Behaviour::WriteThenClose("HTTP/1.1 200 OK\r\n\r\n{body}"),
        Behaviour::WriteThenClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{body}"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nX-Rho: many\r\nX-Iops-Used: -1e999\r\nContent-Length: 24\r\n\r\n{body}"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"),
    ] {
        assert_eq!(outcome_of_first_attempt("once", behaviour.clone()), (200, 1), "{behaviour:?}");
    }
}

#[test]
fn upstream_connection_with_unsolicited_bytes_is_not_reused() {
    let cluster = TestCluster::start(1);
    let mut client = cluster.client();
    cluster.nodes[0].enqueue(&[
        Behaviour::Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18\r\n{body}\r\n0\r\n\r\nnoise"),
        Behaviour::Write("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"),
    ]);
    for id in ["a", "b", "c"] {
        assert_served(client.request(&request_bytes(id, "once", 0, 900)), id);
    }
    assert_eq!(cluster.nodes[0].connections.load(Ordering::SeqCst), 3);
}

#[test]
fn closing_idle_upstream_connections_fails_no_request() {
    let cluster = TestCluster::start(1);
    let mut client = cluster.client();
    cluster.nodes[0]
        .enqueue(&[Behaviour::WriteThenClose(OK_RESPONSE), Behaviour::WriteThenClose(OK_RESPONSE)]);
    for id in ["a", "b", "c"] {
        assert_served(client.request(&request_bytes(id, "once", 0, 900)), id);
        std::thread::sleep(Duration::from_millis(30));
    }
}

#[test]
fn requests_to_an_unresponsive_node_are_answered_before_their_deadline() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    for class in ["read", "write", "once"] {
        let (start, mut client) = (Instant::now(), cluster.client());
        let response = client.request(&request_bytes(&format!("x-{class}"), class, 0, 600)).unwrap();
        assert!(
            response.status() >= 500 && start.elapsed() < Duration::from_millis(650),
            "{class}: {response:?}"
        );
        if response.status() == 503 {
            let retry_after: f64 =
                response.field("retry-after").expect("a retry-after field").parse().unwrap();
            assert!((0.0..=0.5).contains(&retry_after));
        }
    }
}

#[test]
fn truncated_response_times_out_early() {
    let cluster = TestCluster::start(1);
    let mut client = cluster.client();
    for (id, truncated) in
        [("a", "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{body}"), ("b", "HTTP/1.1 200 OK\r\nCont")]
    {
        cluster.nodes[0].enqueue(&[Behaviour::Write(truncated)]);
        let start = Instant::now();
        assert_served(client.request(&request_bytes(id, "read", 0, 1500)), id);
        assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
    }
}

#[test]
fn refused_connection_counts_as_not_run() {
    let cluster = TestCluster::start(1);
    let closed_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    cluster.discovery.publish(vec![instance("s-9", closed_address, 0, "SERVING")]);
    std::thread::sleep(Duration::from_millis(100));
    let response = cluster.client().request(&request_bytes("c1", "once", 0, 600)).unwrap();
    assert_eq!(response.status(), 503, "a rejected request may be sent again: {response:?}");
    assert_eq!(cluster.nodes[0].request_count(), 0);
}
