//! Failing system calls: the host handles each errno according to its meaning.

use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::node::{Behaviour, OK_RESPONSE};
use crate::support::test_cluster::TestCluster;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const ENETUNREACH: i32 = 101;
const ECONNABORTED: i32 = 103;
const ENOBUFS: i32 = 105;
const ECONNREFUSED: i32 = 111;
const EADDRNOTAVAIL: i32 = 99;
const EPROTO: i32 = 71;
const EINTR: i32 = 4;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOMEM: i32 = 12;

/// Sends requests over new connections and returns the number of requests served.
fn served_count(cluster: &TestCluster, requests: usize) -> usize {
    let is_served = |i| {
        let bytes = request_bytes(&format!("r{i}"), "read", 0, 900);
        HttpClient::connect(cluster.host_address)
            .ok()?
            .request(&bytes)
            .filter(|response| response.status() == 200)
    };
    (0..requests).filter_map(is_served).count()
}

#[test]
fn failing_accepts_close_no_idle_client() {
    for errno in [ECONNABORTED, ENOBUFS, EPROTO] {
        let cluster = TestCluster::with_syscall_faults(1, &format!("accept4={errno}/4"));
        let mut idle: Vec<HttpClient> = (0..8).map(|_| cluster.client()).collect();
        let mut served: Vec<usize> = Vec::new();
        for (i, client) in idle.iter_mut().enumerate() {
            if client
                .request(&request_bytes(&format!("s{i}"), "read", 0, 900))
                .is_some_and(|a| a.status() == 200)
            {
                served.push(i);
            }
        }
        assert!(served.len() >= 4, "errno {errno}: {served:?}");
        served_count(&cluster, 40);
        std::thread::sleep(Duration::from_millis(400));
        served_count(&cluster, 40);
        let closed: Vec<&usize> = served.iter().filter(|i| idle[**i].is_closed()).collect();
        assert!(closed.is_empty(), "errno {errno}: the connections of {closed:?} were closed");
    }
}

#[test]
fn local_socket_errors_are_not_attributed_to_the_endpoint() {
    // Each request needs a new connection, because the node closes the connection after each response.
    for fault in ["socket=105/3", "connect=99/3", "connect=4/3"] {
        let cluster = TestCluster::with_syscall_faults(1, fault);
        cluster.nodes[0].set_default(Behaviour::WriteThenClose(OK_RESPONSE));
        let mut client = cluster.client();
        for i in 0..30 {
            let id = format!("r{i}");
            assert_served(client.request(&request_bytes(&id, "read", 0, 900)), &id);
        }
    }
}

#[test]
fn failing_connects_close_no_idle_client() {
    for errno in [ENETUNREACH, ECONNREFUSED, EADDRNOTAVAIL, EINTR] {
        let cluster = TestCluster::with_syscall_faults(1, &format!("connect={errno}/2"));
        cluster.nodes[0].set_default(Behaviour::WriteThenClose(OK_RESPONSE));
        let mut idle = cluster.client();
        assert_served(idle.request(&request_bytes("first", "read", 0, 2900)), "first");
        std::thread::sleep(Duration::from_millis(400));
        served_count(&cluster, 20);
        assert!(!idle.is_closed(), "errno {errno}");
    }
}

/// Guards against eviction of clients to free descriptors when descriptors are not actually exhausted.
#[test]
fn sporadic_descriptor_errors_evict_no_client_and_lose_no_request() {
    for (accept, socket) in [(EMFILE, EMFILE), (ENFILE, ENFILE), (ENOBUFS, ENOMEM)] {
        let faults = format!("accept4={accept}/4,socket={socket}/4");
        let cluster = TestCluster::with_syscall_faults(2, &faults);
        cluster.nodes.iter().for_each(|node| node.set_default(Behaviour::WriteThenClose(OK_RESPONSE)));
        let mut open: Vec<(HttpClient, usize)> = Vec::new();
        // A client whose accept failed is replaced: only clients that were accepted must stay connected.
        while open.len() < 8 {
            let (mut client, id) = (cluster.client(), format!("first-{}", open.len()));
            if client.request(&request_bytes(&id, "read", 0, 2900)).is_some() {
                open.push((client, 0));
            }
        }
        for round in 0..40 {
            // Other clients connect and disconnect in the meantime.
            _ = HttpClient::connect(cluster.host_address);
            for (number, (client, responses)) in open.iter_mut().enumerate() {
                let id = format!("r{round}-{number}");
                let response = client.request(&request_bytes(&id, "read", round % 2, 2900));
                *responses +=
                    usize::from(response.is_some_and(|response| matches!(response.status(), 200 | 503)));
            }
        }
        let responses: Vec<usize> = open.iter().map(|(_, responses)| *responses).collect();
        assert_eq!(
            responses, [40; 8],
            "accept4 {accept}, socket {socket}: responses to 40 requests of each client"
        );
    }
}

/// Guards against clients that wait for seconds in a long accept queue because each failed accept delays the whole
/// queue.
#[test]
fn clients_in_a_long_accept_queue_are_accepted_soon_despite_sporadic_accept_errors() {
    for errno in [EMFILE, ENFILE, ENOBUFS] {
        let cluster = TestCluster::with_syscall_faults(1, &format!("accept4={errno}/4"));
        let queued: Vec<TcpStream> =
            (0..200).map_while(|_| TcpStream::connect(cluster.host_address).ok()).collect();
        let mut clients: Vec<HttpClient> = (0..4).map(|_| cluster.client()).collect();
        let sent = Instant::now();
        for (number, client) in clients.iter_mut().enumerate() {
            client.send(&request_bytes(&format!("r{number}"), "read", 0, 900));
        }
        // The accept of one of the four connections fails.
        let responses = clients.iter_mut().filter_map(HttpClient::receive).count();
        assert!(responses >= 3, "errno {errno}: {responses} responses");
        assert!(sent.elapsed() < Duration::from_millis(900), "errno {errno}: {:?}", sent.elapsed());
        assert_eq!(queued.len(), 200);
    }
}
