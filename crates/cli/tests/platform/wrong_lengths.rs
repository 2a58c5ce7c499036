//! Responses whose stated length is wrong: a client gets the whole body or an error, never a part of the body.

use crate::support::http_message::{assert_served, request_bytes};
use crate::support::node::{Behaviour, OK_RESPONSE};
use crate::support::test_cluster::TestCluster;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Response whose stated length is 14 bytes too small.
const CUT_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{body}";
const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n{body}";
const COPIED_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{body}";
const CHUNKED_BEFORE_NOISE: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n18\r\n{body}\r\n0\r\n\r\nnoise";
/// Time after which an idle connection to a node is used again.
const REUSE_PAUSE: Duration = Duration::from_millis(150);

/// Sends a good exchange, so that the host keeps a connection to the node that it reuses.
fn keep_a_connection(cluster: &TestCluster) {
    assert_served(cluster.client().request(&request_bytes("kept", "read", 0, 900)), "kept");
    std::thread::sleep(REUSE_PAUSE);
}

/// Guards against a part of an answer that is passed on as the whole because its stated length is too small.
#[test]
fn response_with_too_small_content_length_is_passed_to_no_client() {
    for response in [CUT_RESPONSE, CUT_HEAD] {
        for reused in [false, true] {
            let cluster = TestCluster::start(1);
            if reused {
                keep_a_connection(&cluster);
            }
            let before = cluster.nodes[0].request_count();
            cluster.nodes[0].enqueue(&[Behaviour::Write(response)]);
            assert_served(cluster.client().request(&request_bytes("retried", "read", 0, 1500)), "retried");
            assert_eq!(cluster.nodes[0].request_count(), before + 2, "the attempt counts as failed");
            cluster.nodes[0].enqueue(&[Behaviour::Write(response)]);
            let failed = cluster.client().request(&request_bytes("failed", "once", 0, 1500)).unwrap();
            assert_eq!(failed.status(), 502, "{failed:?}");
            assert_eq!(
                cluster.nodes[0].request_count(),
                before + 3,
                "the request may have run, and is not repeated"
            );
        }
    }
}

/// Guards against the rest of a body that arrives later and is taken for a part of the next response.
#[test]
fn late_rest_of_a_response_is_no_part_of_the_next() {
    for pause_ms in [1, 20, 130, 160] {
        let cluster = TestCluster::start(1);
        let pause = Duration::from_millis(pause_ms);
        let [head, rest] = ["HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", " of the body"];
        cluster.nodes[0].enqueue(&[Behaviour::WriteInParts(head, pause, rest)]);
        // No host can tell that this body is not whole at the time when its stated length has arrived.
        assert_eq!(cluster.client().request(&request_bytes("cut", "read", 0, 1500)).unwrap().status(), 200);
        for (i, wait_ms) in [0, 10, 120, 30, 150].into_iter().enumerate() {
            std::thread::sleep(Duration::from_millis(wait_ms));
            let id = format!("next-{i}");
            assert_served(cluster.client().request(&request_bytes(&id, "read", 0, 1500)), &id);
        }
    }
}

#[test]
fn good_response_is_used_where_a_copy_or_bytes_after_a_marked_end_follow() {
    for response in [COPIED_RESPONSE, CHUNKED_BEFORE_NOISE, OK_RESPONSE] {
        for reused in [false, true] {
            let cluster = TestCluster::start(1);
            if reused {
                keep_a_connection(&cluster);
            }
            let before = cluster.nodes[0].request_count();
            cluster.nodes[0].enqueue(&[Behaviour::Write(response), Behaviour::Write(response)]);
            for id in ["first", "second"] {
                assert_served(cluster.client().request(&request_bytes(id, "once", 0, 900)), id);
                std::thread::sleep(REUSE_PAUSE);
            }
            assert_eq!(cluster.nodes[0].request_count(), before + 2);
            let connections = cluster.nodes[0].connections.load(Ordering::SeqCst);
            assert!(connections <= 3, "{connections} connections");
        }
    }
}
