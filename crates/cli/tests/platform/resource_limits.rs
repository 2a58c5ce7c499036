//! Limits on connections, memory and descriptors.

use crate::support::host_settings::Limits;
use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, request_bytes};
use crate::support::node::{Behaviour, OK_RESPONSE};
use crate::support::test_cluster::TestCluster;
use std::cell::{Cell, RefCell};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn idle_clients_are_evicted_and_descriptors_stay_within_the_limit() {
    let cluster = TestCluster::with_limits(1, Limits { sockets: 128, ..Limits::default() });
    let idle: Vec<TcpStream> =
        (0..400).map_while(|_| TcpStream::connect(cluster.host_address).ok()).collect();
    for i in 0..20 {
        let id = format!("r{i}");
        assert_served(cluster.client().request(&request_bytes(&id, "read", 0, 900)), &id);
    }
    assert!(cluster.host.open_descriptors() <= 128, "{} descriptors", cluster.host.open_descriptors());
    assert_eq!(idle.len(), 400);
}

#[test]
fn clients_that_do_not_read_responses_are_disconnected() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::WriteBody(1_000_000));
    let mut clients: Vec<HttpClient> =
        (0..12).map(|_| HttpClient::with_receive_buffer(16 << 10, cluster.host_address)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        // Several responses per client, since the kernel buffers some of them for the host, up to 4 MB.
        (0..8).for_each(|j| client.send(&request_bytes(&format!("c{i}-{j}"), "read", 0, 3000)));
    }
    cluster.wait_until("the clients are connected", |cluster| cluster.client_connections() >= 12);
    // A slow host rejects requests whose time is over, and the kernel may buffer all responses to eight requests. Each
    // client therefore continues to send requests, so that the responses exceed the buffers at any speed of the host.
    let (clients, sent_per_client) = (RefCell::new(clients), Cell::new(8));
    let last_sent = Cell::new(Instant::now());
    cluster.wait_until("the clients are disconnected", |cluster| {
        if last_sent.get().elapsed() >= Duration::from_millis(200) {
            last_sent.set(Instant::now());
            let j = sent_per_client.replace(sent_per_client.get() + 1);
            for (i, client) in clients.borrow_mut().iter_mut().enumerate() {
                client.send(&request_bytes(&format!("c{i}-{j}"), "read", 0, 3000));
            }
        }
        cluster.client_connections() == 0
    });
    let mut reading = cluster.client();
    assert_eq!(reading.request(&request_bytes("reads", "read", 0, 3000)).unwrap().body.len(), 1_000_000);
}

#[test]
fn pipelining_without_reading_buffers_one_response() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::WriteBody(1_000_000));
    let before = cluster.host.memory_kb();
    let mut client = HttpClient::with_receive_buffer(16 << 10, cluster.host_address);
    let requests: Vec<u8> = (0..60).flat_map(|i| request_bytes(&format!("c{i}"), "read", 0, 3000)).collect();
    client.send(&requests);
    cluster.wait_until("the client is disconnected", |cluster| cluster.client_connections() == 0);
    // A response is held three times, as received, as a body and as sent, each in a buffer that doubles as it grows.
    assert!(
        cluster.host.peak_memory_kb() < before + 8_000,
        "{} KB, {before} KB at the start",
        cluster.host.peak_memory_kb()
    );
}

#[test]
fn slow_responses_stay_within_the_memory_limit() {
    let cluster = TestCluster::with_limits(16, Limits { memory_mb: 24, ..Limits::default() });
    cluster.nodes.iter().for_each(|node| node.set_default(Behaviour::Trickle(1_000_000)));
    let mut clients: Vec<HttpClient> = (0..64)
        .map(|i| {
            let mut client = cluster.client();
            client.send(&request_bytes(&format!("c{i}"), "read", i % 16, 1500));
            client
        })
        .collect();
    for client in &mut clients {
        assert!(matches!(client.receive().unwrap().status(), 502 | 503));
    }
    assert!(cluster.host.peak_memory_kb() < 24 << 10, "{} KB", cluster.host.peak_memory_kb());
}

#[test]
fn exhausted_descriptors_neither_stop_the_host_nor_make_it_spin() {
    let cluster = TestCluster::with_limits(1, Limits { descriptors: 40, ..Limits::default() });
    let idle: Vec<TcpStream> =
        (0..100).map_while(|_| TcpStream::connect(cluster.host_address).ok()).collect();
    let mut clients: Vec<HttpClient> = (0..12).map(|_| cluster.client()).collect();
    let numbered = (0..).zip(&mut clients);
    numbered.for_each(|(i, client)| client.send(&request_bytes(&format!("r{i}"), "read", 0, 900)));
    (0..).zip(&mut clients).for_each(|(i, client)| assert_served(client.receive(), &format!("r{i}")));
    assert_eq!(idle.len(), 100);
    // Every connection has an outstanding request.
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    let mut busy: Vec<HttpClient> = (0..60).map(|_| cluster.client()).collect();
    let numbered = (0..).zip(&mut busy);
    numbered.for_each(|(i, client)| client.send(&request_bytes(&format!("b{i}"), "read", 0, 1500)));
    std::thread::sleep(Duration::from_millis(200));
    let before = cluster.host.cpu_ticks().unwrap();
    std::thread::sleep(Duration::from_secs(1));
    assert!(cluster.host.cpu_ticks().unwrap() - before < 20, "the host spins");
    cluster.nodes[0].set_default(Behaviour::Write(OK_RESPONSE));
    // A node that was unresponsive receives requests again only gradually.
    cluster.wait_until("the host serves again", |cluster| {
        cluster.client().request(&request_bytes("last", "read", 0, 900)).is_some_and(|a| a.status() == 200)
    });
}

#[test]
fn idle_keep_alive_connections_leave_descriptors_for_new_clients() {
    let cluster = TestCluster::with_limits(1, Limits { sockets: 128, ..Limits::default() });
    let mut idle: Vec<HttpClient> = (0..60)
        .map(|i| {
            let (mut client, id) = (cluster.client(), format!("r{i}"));
            assert_served(client.request(&request_bytes(&id, "read", 0, 900)), &id);
            client
        })
        .collect();
    // A third of the descriptors is available to idle clients.
    let timeout = Some(Duration::from_millis(1));
    idle.iter_mut().for_each(|client| client.stream.set_read_timeout(timeout).unwrap());
    let open = idle.into_iter().filter_map(|mut client| client.is_idle().then_some(())).count();
    assert!((20..40).contains(&open), "{open} connections stay open");
}
