//! Clients that disconnect, and clients that violate HTTP.

use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, request_bytes, sized_request_bytes};
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn client_disconnect_cancels_the_attempt_and_releases_the_request_id() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::NoResponse]);
    let mut client = cluster.client();
    client.send(&request_bytes("c1", "read", 0, 2000));
    cluster.nodes[0].wait_for_requests(1);
    let duplicate = cluster.client().request(&request_bytes("c1", "read", 0, 2000)).unwrap();
    assert_eq!(duplicate.status(), 409, "the id is in use");
    drop(client);
    std::thread::sleep(Duration::from_millis(100));
    assert_served(cluster.client().request(&request_bytes("c1", "read", 0, 2000)), "c1");
}

/// Malformed requests; `{path}` and `{fields}` are replaced by a valid path and valid fields.
const MALFORMED_REQUESTS: [&str; 18] = [
    "\0\u{1}\u{2}\u{3}",
    "nonsense\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /api/1/2 HTTP/1.1\r\n\r\n",
    "GET /api/1/2 HTTP/1.1\nHost: h\n\n",
    "GET /api/1/2 HTTP/9.9\r\nHost: h\r\n\r\n",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}\r\n",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: -4\r\n\r\nbody",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 99999999999999999999999\r\n\r\nbody",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 60000000\r\n\r\nbody",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Transfer-Encoding: chunked\r\n\r\n4\r\nbody, and more\r\n0\r\n\r\n",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 4\r\n\r\nbody, and more than that",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 4\r\n\r\nBODYANDMORE",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 400\r\n\r\nless than that",
    "PUT {path} HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: 4\r\nX-Endless: ",
    "",
];

#[test]
fn malformed_requests_are_rejected_or_closed_and_not_forwarded() {
    let cluster = TestCluster::start(1);
    let path = "/api/00000003b4d60021/7f3a9c21e0b4d655";
    let fields =
        "X-Request-Id: bad\r\nX-Class: write\r\nX-Qos-Policy: gold\r\nX-Deadline: 900m\r\nX-Placement: units=1,shard=0,hosts=1\r\n";
    let start = Instant::now();
    let clients: Vec<HttpClient> = MALFORMED_REQUESTS
        .iter()
        .map(|bytes| {
            let mut client = cluster.client();
            client.send(bytes.replace("{path}", path).replace("{fields}", fields).as_bytes());
            client
        })
        .collect();
    for (mut client, bytes) in clients.into_iter().zip(MALFORMED_REQUESTS) {
        if let Some(response) = client.receive() {
            assert!(matches!(response.status(), 400..=428 | 431 | 505), "{bytes:?}: {response:?}");
        }
        assert!(start.elapsed() < Duration::from_secs(3), "{bytes:?}: {:?}", start.elapsed());
    }
    assert_eq!(cluster.nodes[0].request_count(), 0);
    assert_served(cluster.client().request(&request_bytes("good", "read", 0, 900)), "good");
}

/// Guards against a part of a body that is sent on as the whole where a read ends with the stated length.
#[test]
fn wrong_content_length_is_noticed_wherever_a_read_ends() {
    let cluster = TestCluster::start(1);
    for read_bytes in [4 << 10, 16 << 10, 32 << 10, 64 << 10] {
        let request = sized_request_bytes("cut", 0, 900, 0);
        let head = String::from_utf8(request).unwrap();
        // The stated end of the request is at the end of a read of this size, and more follows.
        let head_bytes = head.len() + format!("{read_bytes}").len() - 1;
        let stated = read_bytes - head_bytes;
        let head = head.replace("Content-Length: 0", &format!("Content-Length: {stated}"));
        let length = head.len() + stated;
        let mut bytes = head.into_bytes();
        bytes.resize(length, b'b');
        bytes.extend_from_slice(b"and more");
        let mut client = cluster.client();
        client.send(&bytes);
        if let Some(response) = client.receive() {
            assert_eq!(response.status(), 400, "{read_bytes}: {response:?}");
        }
    }
    assert_eq!(cluster.nodes[0].request_count(), 0);
}

#[test]
fn request_smuggling_is_rejected() {
    let cluster = TestCluster::start(1);
    let hidden = String::from_utf8(request_bytes("hidden", "read", 0, 900)).unwrap();
    let outer = String::from_utf8(request_bytes("outer", "write", 0, 900)).unwrap();
    let outer = outer.strip_suffix("some bytes").unwrap();
    for lengths in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len() + 5),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len() + 5),
        "Transfer-Encoding: chunked, identity\r\n".to_string(),
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n".to_string(),
        "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n".to_string(),
    ] {
        let mut client = cluster.client();
        let bytes = outer.replace("Content-Length: 10\r\n", &lengths) + "0\r\n\r\n" + &hidden;
        let response = client.request(bytes.as_bytes()).unwrap();
        assert!(matches!(response.status(), 400 | 501), "{lengths:?}: {response:?}");
        assert!(client.closes_without_response(), "{lengths:?}: bytes arrived after the rejection");
    }
    assert_eq!(cluster.nodes[0].request_count(), 0);
    // Inside a single chunk, the same bytes are ordinary data and reach the node as one body.
    let bytes = outer.replace("Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n")
        + &format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    assert_served(cluster.client().request(bytes.as_bytes()), "outer");
    let received = cluster.nodes[0].received.lock().unwrap();
    assert_eq!((received.len(), received[0].body.as_slice()), (1, hidden.as_bytes()));
}

#[test]
fn oversized_body_is_rejected_based_on_content_length() {
    let cluster = TestCluster::start(1);
    let mut client = cluster.client();
    let head = String::from_utf8(request_bytes("big", "write", 0, 900)).unwrap();
    let head = head.replace("Content-Length: 10", "Content-Length: 60000000").replace("some bytes", "");
    client.send(head.as_bytes());
    let mut stream = client.stream.try_clone().unwrap();
    // The client sends at full speed until the host closes the connection.
    let sender = std::thread::spawn(move || {
        let chunk = [7; 1 << 16];
        (0..60_000_000 / chunk.len()).all(|_| stream.write_all(&chunk).is_ok())
    });
    let response = client.receive();
    assert!(response.is_none_or(|r| r.status() == 413));
    assert!(!sender.join().unwrap(), "the host accepted the whole body");
}
