//! Races between the end of a connection, attempt or host and an outstanding response. Each race is forced by holding
//! one side at a fixed point while the other side proceeds.

use crate::support::discovery::{instance, Discovery, FaultMode};
use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, expected_body, request_bytes};
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use crate::support::unreachable_node::UnreachableNode;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Changes settings to allow connects to take 30 s, to disable cancellation of attempts, and to shorten the deduplication
/// window of writes to 600 ms.
fn allow_slow_connects(settings: &mut Value) {
    settings["limits"]["dial_timeout_ns"] = json!(30_000_000_000u64);
    settings["limits"]["cancelling"] = json!(false);
    settings["profiles"][1]["window_ns"] = json!(600_000_000u64);
}

/// Returns a host whose only shard is served by a node to which connections cannot be established yet.
fn cluster_with_unreachable_node() -> (TestCluster, UnreachableNode) {
    cluster_with_unreachable_node_and_settings(allow_slow_connects)
}

/// Returns a host with changed settings whose only shard is served by a node to which connections cannot be established
/// yet.
fn cluster_with_unreachable_node_and_settings(change: impl Fn(&mut Value)) -> (TestCluster, UnreachableNode) {
    let (cluster, unreachable) = (TestCluster::with_settings(1, change), UnreachableNode::new());
    let calls = cluster.discovery.calls().len();
    cluster.discovery.publish(vec![instance("s-unreachable", unreachable.address, 0, "SERVING")]);
    cluster.discovery.wait_for_calls("the host has the list", |all| all.len() > calls);
    (cluster, unreachable)
}

fn read_request_head(stream: &mut TcpStream) -> String {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "the connection ended after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..length]).unwrap());
    }
    text
}

#[test]
fn client_disconnect_cancels_a_connecting_attempt() {
    let (cluster, unreachable) = cluster_with_unreachable_node();
    let mut client = cluster.client();
    client.send(&request_bytes("c1", "once", 0, 3000));
    cluster.wait_until("the connection is being established", |_| unreachable.connecting_count() == 1);
    let disconnected = Instant::now();
    drop(client);
    cluster.wait_until("the attempt is cancelled", |_| unreachable.connecting_count() == 0);
    assert!(
        disconnected.elapsed() < Duration::from_millis(1500),
        "the attempt was cancelled only by its deadline: {:?}",
        disconnected.elapsed()
    );
}

#[test]
fn connecting_attempt_is_retried_on_another_endpoint_when_the_first_drains() {
    // The host may reject a request past its latency objective instead of retrying. On a slow machine, the drain may
    // take longer than the default objective of 500 ms.
    let (cluster, unreachable) = cluster_with_unreachable_node_and_settings(|settings| {
        allow_slow_connects(settings);
        settings["profiles"][2]["slo_ns"] = settings["profiles"][2]["hard_limit_ns"].clone();
    });
    let mut client = cluster.client();
    client.send(&request_bytes("c1", "once", 0, 3000));
    cluster.wait_until("the connection is being established", |_| unreachable.connecting_count() == 1);
    cluster.discovery.publish(vec![
        instance("s-unreachable", unreachable.address, 0, "DRAINING"),
        instance("s-0", cluster.node_addresses[0], 0, "SERVING"),
    ]);
    assert_served(client.receive(), "c1");
    assert_eq!((unreachable.connecting_count(), cluster.nodes[0].request_count()), (0, 1));
}

#[test]
fn attempt_deadline_is_the_time_remaining_when_connected() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let (mut client, start) = (cluster.client(), Instant::now());
    client.send(&request_bytes("c1", "once", 0, 2900));
    cluster.wait_until("the connection is being established", |_| unreachable.connecting_count() == 1);
    unreachable.empty_backlog();
    // The kernel retransmits the SYN after one second.
    let mut node = unreachable.accept();
    let text = read_request_head(&mut node);
    let elapsed_ms = start.elapsed().as_secs_f64() * 1000.0;
    let deadline =
        text.split("X-Deadline: ").nth(1).unwrap().split('m').next().unwrap().parse::<f64>().unwrap();
    assert!(elapsed_ms > 900.0, "the connection was established too early: {elapsed_ms} ms");
    assert!(
        deadline <= 2900.0 - 900.0,
        "the attempt had a deadline of {deadline} ms, {elapsed_ms} ms after the client sent the request"
    );
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{}", expected_body("c1"));
    node.write_all(response.as_bytes()).unwrap();
    assert_served(client.receive(), "c1");
}

#[test]
fn retry_connected_after_the_deduplication_window_is_not_sent() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let mut client = cluster.client();
    unreachable.empty_backlog();
    client.send(&request_bytes("w1", "write", 0, 2900));
    let mut first = unreachable.accept();
    read_request_head(&mut first);
    unreachable.fill_backlog();
    // The first attempt may have run. The retry connects only after the deduplication window of the first attempt.
    first.shutdown(Shutdown::Both).unwrap();
    cluster.wait_until("the retry is connecting", |_| unreachable.connecting_count() == 1);
    unreachable.empty_backlog();
    let mut bytes = Vec::new();
    _ = unreachable.accept().read_to_end(&mut bytes);
    assert!(bytes.is_empty(), "the retry was sent: {:?}", String::from_utf8_lossy(&bytes));
    assert_eq!(
        client.receive().unwrap().status(),
        502,
        "the request may have run and must no longer be retried"
    );
}

#[test]
fn client_disconnect_after_unread_bytes_is_detected() {
    // With these settings, the scheduler ends no request for 30 s.
    let cluster = TestCluster::with_settings(1, |settings| {
        settings["profiles"].as_array_mut().unwrap().iter_mut().for_each(|profile| {
            profile["slo_ns"] = json!(30_000_000_000u64);
            profile["hard_limit_ns"] = json!(30_000_000_000u64);
        });
    });
    cluster.nodes[0].enqueue(&[Behaviour::NoResponse]);
    let mut client = cluster.client();
    client.send(&request_bytes("c1", "once", 0, 29_000));
    cluster.nodes[0].wait_for_requests(1);
    // More bytes of pipelined requests than the host buffers.
    let pipelined: Vec<u8> =
        (0..1200).flat_map(|i| request_bytes(&format!("e{i}"), "read", 0, 29_000)).collect();
    assert!(pipelined.len() > 200 << 10);
    client.send(&pipelined);
    drop(client);
    cluster.wait_until("the request id is released", |cluster| {
        cluster.client().request(&request_bytes("c1", "once", 0, 900)).unwrap().status() != 409
    });
}

fn use_pushed_list(settings: &mut Value) {
    settings["registry_mode"] = json!("push");
    settings["safety"]["must_ask_in_ns"] = Value::Null;
    settings["safety"]["stop_sending_within_ns"] = json!(500_000_000u64);
}

#[test]
fn pushed_list_is_applied_from_the_start_and_after_an_outage() {
    let mut cluster = TestCluster::with_settings(2, use_pushed_list);
    assert_served(cluster.client().request(&request_bytes("r1", "read", 0, 900)), "r1");
    let drain = |cluster: &TestCluster, from: usize, to: usize, id: &str| {
        let node_instance = |node: usize, lifecycle| {
            instance(&format!("s-{node}"), cluster.node_addresses[node], 0, lifecycle)
        };
        cluster.discovery.publish(vec![node_instance(from, "DRAINING"), node_instance(to, "SERVING")]);
        let (published, before) = (Instant::now(), cluster.nodes[to].request_count());
        for attempt in 0.. {
            let response =
                cluster.client().request(&request_bytes(&format!("{id}-{attempt}"), "read", 0, 900)).unwrap();
            if response.status() == 200 && cluster.nodes[to].request_count() > before {
                break;
            }
            assert!(published.elapsed() < Duration::from_secs(2), "the drain is not detected");
        }
    };
    drain(&cluster, 0, 1, "a");
    // The agent stops responding to watches. Changes made in the meantime arrive when the agent responds again.
    let calls = cluster.discovery.calls().len();
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    cluster.discovery.wait_for_calls("calls continue", |all| all.len() > calls + 2);
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    drain(&cluster, 1, 0, "b");
    // A restarted process is not ready until the agent has responded, even if its cached list is current.
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    cluster.restart_host_without_wait();
    cluster.wait_until("the host listens", |cluster| cluster.readiness().is_some());
    assert_eq!(cluster.readiness(), Some(503));
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    cluster.wait_until("the host is ready", |cluster| cluster.readiness() == Some(200));
}

#[test]
fn lists_of_the_former_discovery_are_applied_until_the_new_one_responds() {
    let mut cluster = TestCluster::start(2);
    let (new, new_address) = Discovery::start(Vec::new());
    new.set_fault_mode(FaultMode::Unresponsive);
    cluster
        .discovery
        .wait_for_calls("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    cluster.host.reload_with_discovery(new_address);
    new.wait_for_calls("the new discovery is called", |all| !all.is_empty());
    cluster.discovery.publish(vec![
        instance("s-0", cluster.node_addresses[0], 0, "DRAINING"),
        instance("s-1", cluster.node_addresses[1], 0, "SERVING"),
    ]);
    let published = Instant::now();
    cluster.wait_until("the drain is detected", |cluster| {
        _ = cluster.client().request(&request_bytes(&format!("r{:?}", published.elapsed()), "read", 0, 900));
        cluster.nodes[1].request_count() > 0
    });
}

#[test]
fn chunked_requests_and_expect_continue_are_served() {
    let cluster = TestCluster::start(1);
    let valid = String::from_utf8(request_bytes("w1", "write", 0, 900)).unwrap();
    let chunked = valid.replace("Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = chunked.replace("some bytes", "4\r\nsome\r\n6;x=y\r\n bytes\r\n0\r\nT: u\r\n\r\n");
    assert_served(cluster.client().request(chunked.as_bytes()), "w1");
    let expecting = valid.replace("w1", "w2").replace("Host: ", "Expect: 100-continue\r\nHost: ");
    let (head, body) = expecting.split_at(expecting.len() - 10);
    let mut client = cluster.client();
    assert_eq!(client.request(head.as_bytes()).unwrap().status(), 100);
    assert_served(client.request(body.as_bytes()), "w2");
    let received = cluster.nodes[0].received.lock().unwrap();
    for message in received.iter() {
        assert_eq!(
            (message.body.as_slice(), message.field("content-length")),
            (&b"some bytes"[..], Some("10"))
        );
        assert!(message.field("transfer-encoding").is_none() && message.field("expect").is_none());
    }
}

#[test]
fn second_sigterm_loses_no_response() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    client.send(&request_bytes("a", "once", 0, 2000));
    cluster.nodes[0].wait_for_requests(1);
    cluster.host.signal("TERM");
    cluster.wait_until("the host is shutting down", |cluster| cluster.readiness() == Some(503));
    cluster.host.signal("TERM");
    assert_served(client.receive(), "a");
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn long_deadlines_are_answered_before_forced_shutdown() {
    let mut cluster = TestCluster::with_settings(1, |settings| {
        settings["profiles"][2]["hard_limit_ns"] = json!(60_000_000_000u64);
        settings["profiles"][2]["slo_ns"] = json!(30_000_000_000u64);
    });
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    let (mut in_flight, mut pending) = (cluster.client(), cluster.client());
    in_flight.send(&request_bytes("a", "once", 0, 60_000));
    cluster.nodes[0].wait_for_requests(1);
    // No node serves the shard of this request, so the request waits and is never forwarded.
    pending.send(&request_bytes("b", "once", 5, 60_000));
    cluster.wait_until("both are connected", |cluster| cluster.client_connections() >= 2);
    let start = Instant::now();
    cluster.host.signal("TERM");
    let responses = [in_flight.receive().unwrap(), pending.receive().unwrap()];
    assert_eq!(responses.each_ref().map(|r| r.status()), [502, 503]);
    assert!(responses.iter().all(|r| r.field("connection") == Some("close")));
    assert!(
        start.elapsed() < Duration::from_millis(3700),
        "the forced shutdown came before the responses: {:?}",
        start.elapsed()
    );
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn shutdown_does_not_spin_on_a_client_that_does_not_read() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::WriteBody(1_000_000));
    cluster.host.signal("TERM");
    // The responses to this client cannot be written, neither before the host closes connections nor when it is due to
    // exit.
    let requests: Vec<u8> = (0..60).flat_map(|i| request_bytes(&format!("c{i}"), "read", 0, 3000)).collect();
    std::thread::sleep(Duration::from_millis(2500));
    let mut client = HttpClient::with_receive_buffer(16 << 10, cluster.host_address);
    client.send(&requests);
    std::thread::sleep(Duration::from_millis(1250));
    let before = cluster.host.cpu_ticks();
    std::thread::sleep(Duration::from_millis(500));
    if let (Some(before), Some(after)) = (before, cluster.host.cpu_ticks()) {
        assert!(
            after - before < 10,
            "the host spins: {} hundredths of a second in half a second",
            after - before
        );
    }
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn connections_accepted_by_the_kernel_before_close_are_answered() {
    let mut cluster = TestCluster::start(1);
    let mut idle = cluster.client();
    assert_served(idle.request(&request_bytes("r", "read", 0, 900)), "r");
    let start = Instant::now();
    cluster.host.signal("TERM");
    cluster.wait_until("the host is shutting down", |cluster| cluster.readiness() == Some(503));
    // The host is stopped at the time at which it would close. More connections arrive than one iteration of the event
    // loop accepts, and a request arrives on an idle connection.
    cluster.host.signal("STOP");
    let mut clients: Vec<HttpClient> = (0..100).map(|_| cluster.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("c{i}"), "read", 0, 900));
    }
    idle.send(&request_bytes("last", "read", 0, 900));
    std::thread::sleep(Duration::from_millis(3450).saturating_sub(start.elapsed()));
    cluster.host.signal("CONT");
    for (i, client) in clients.iter_mut().enumerate() {
        let response = client.receive().unwrap_or_else(|| panic!("no response to c{i}"));
        assert!(matches!(response.status(), 200 | 503), "{response:?}");
        assert!(client.closes_cleanly(), "c{i}: the connection was reset");
    }
    assert!(matches!(idle.receive().unwrap().status(), 200 | 503));
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn request_sent_during_the_close_is_not_forwarded_and_loses_no_response() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(30)));
    let (mut busy, mut idle) = (cluster.client(), cluster.client());
    assert_served(idle.request(&request_bytes("r", "read", 0, 900)), "r");
    busy.send(&request_bytes("b0", "read", 0, 900));
    cluster.host.signal("TERM");
    // One further request is always pipelined after the open one, so the last request is sent while the host closes.
    let mut answered = 0;
    loop {
        busy.send(&request_bytes(&format!("b{}", answered + 1), "read", 0, 900));
        let response = busy.receive().unwrap_or_else(|| panic!("no response to b{answered}"));
        let is_last = response.field("connection") == Some("close");
        assert_served(Some(response), &format!("b{answered}"));
        answered += 1;
        if is_last {
            break;
        }
    }
    busy.send(&request_bytes("later", "read", 0, 900));
    assert!(busy.closes_cleanly() && idle.closes_cleanly(), "a connection was reset");
    idle.send(&request_bytes("late", "read", 0, 900));
    assert!(cluster.host.wait_for_exit().success());
    assert_eq!(
        cluster.nodes[0].request_count(),
        1 + answered,
        "a request that arrived after the close was forwarded"
    );
}

#[test]
fn pipelined_requests_read_before_the_close_are_answered() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(100)));
    let mut client = cluster.client();
    cluster.host.signal("TERM");
    // Four requests are sent in one write and read together, so that the close occurs while some of the four are open.
    for batch in 0.. {
        let ids: Vec<String> = (0..4).map(|i| format!("b{batch}-{i}")).collect();
        client.send(&ids.iter().flat_map(|id| request_bytes(id, "read", 0, 2000)).collect::<Vec<u8>>());
        let statuses: Vec<u16> = ids.iter().map_while(|_| client.receive()).map(|r| r.status()).collect();
        assert!(
            matches!(statuses.len(), 0 | 4) && statuses.iter().all(|s| matches!(s, 200 | 503)),
            "{statuses:?}"
        );
        if statuses.is_empty() || client.is_closed() {
            break;
        }
    }
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn connecting_attempt_ends_with_its_request() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let response = cluster.client().request(&request_bytes("c1", "once", 0, 700)).unwrap();
    assert_eq!(response.status(), 503, "{response:?}");
    cluster.wait_until("the attempt is cancelled", |_| unreachable.connecting_count() == 0);
    unreachable.empty_backlog();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(unreachable.connecting_count(), 0);
}
