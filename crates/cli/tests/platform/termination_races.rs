//! Races between an end and an outstanding response, each forced: one side is held at a point while the other acts.

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

/// Settings under which a connect may take long, and nothing may be cancelled.
fn allow_slow_connects(settings: &mut Value) {
    settings["limits"]["dial_timeout_ns"] = json!(30_000_000_000u64);
    settings["limits"]["cancelling"] = json!(false);
    settings["profiles"][1]["window_ns"] = json!(600_000_000u64);
}

/// A host whose only shard is on a node that nobody can connect to yet.
fn cluster_with_unreachable_node() -> (TestCluster, UnreachableNode) {
    let (cluster, unreachable) = (TestCluster::with_settings(1, allow_slow_connects), UnreachableNode::new());
    let calls = cluster.discovery.calls().len();
    cluster.discovery.publish(vec![instance("s-unreachable", unreachable.address, 0, "SERVING")]);
    cluster.discovery.wait_for_calls("the host has the list", |all| all.len() > calls);
    (cluster, unreachable)
}

fn read_request_head(stream: &mut TcpStream) -> String {
    let (mut text, mut buffer) = (String::new(), [0; 4096]);
    while !text.contains("\r\n\r\n") {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "it ended after {text:?}");
        text.push_str(std::str::from_utf8(&buffer[..n]).unwrap());
    }
    text
}

#[test]
fn a_client_disconnect_cancels_a_connecting_attempt() {
    let (cluster, unreachable) = cluster_with_unreachable_node();
    let mut client = cluster.client();
    client.send(&request_bytes("c1", "once", 0, 3000));
    cluster.wait_until("the connection is being established", |_| unreachable.connecting_count() == 1);
    let left = Instant::now();
    drop(client);
    cluster.wait_until("the attempt is cancelled", |_| unreachable.connecting_count() == 0);
    assert!(left.elapsed() < Duration::from_millis(1500), "only its deadline ended it: {:?}", left.elapsed());
}

#[test]
fn a_connecting_attempt_moves_to_another_endpoint_on_drain() {
    let (cluster, unreachable) = cluster_with_unreachable_node();
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
fn an_attempt_carries_the_time_left_once_connected() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let (mut client, asked) = (cluster.client(), Instant::now());
    client.send(&request_bytes("c1", "once", 0, 2900));
    cluster.wait_until("the connection is being established", |_| unreachable.connecting_count() == 1);
    unreachable.empty_backlog();
    // The kernel repeats its SYN after a second.
    let mut node = unreachable.accept();
    let text = read_request_head(&mut node);
    let came = asked.elapsed().as_secs_f64() * 1000.0;
    let deadline =
        text.split("X-Deadline: ").nth(1).unwrap().split('m').next().unwrap().parse::<f64>().unwrap();
    assert!(came > 900.0, "the connection was there at once: {came}");
    assert!(
        deadline <= 2900.0 - 900.0,
        "its deadline was {deadline} ms, {came} ms after the client sent the request"
    );
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n{}", expected_body("c1"));
    node.write_all(answer.as_bytes()).unwrap();
    assert_served(client.receive(), "c1");
}

#[test]
fn a_retry_connected_after_the_deduplication_window_is_not_sent() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let mut client = cluster.client();
    unreachable.empty_backlog();
    client.send(&request_bytes("w1", "write", 0, 2900));
    let mut first = unreachable.accept();
    read_request_head(&mut first);
    unreachable.fill_backlog();
    // The attempt may have run; the retry connects only after the deduplication window of the first.
    first.shutdown(Shutdown::Both).unwrap();
    cluster.wait_until("the retry's connection is coming up", |_| unreachable.connecting_count() == 1);
    unreachable.empty_backlog();
    let mut bytes = Vec::new();
    _ = unreachable.accept().read_to_end(&mut bytes);
    assert!(bytes.is_empty(), "it was sent: {:?}", String::from_utf8_lossy(&bytes));
    assert_eq!(client.receive().unwrap().status(), 502, "it may have run, and may not be retried any more");
}

#[test]
fn a_client_disconnect_behind_unread_bytes_is_noticed() {
    // The scheduler itself ends no request for half a minute.
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
    // More than the host buffers of pipelined requests.
    let early: Vec<u8> = (0..1200).flat_map(|i| request_bytes(&format!("e{i}"), "read", 0, 29_000)).collect();
    assert!(early.len() > 200 << 10);
    client.send(&early);
    drop(client);
    cluster.wait_until("its id is free", |cluster| {
        cluster.client().request(&request_bytes("c1", "once", 0, 900)).unwrap().status() != 409
    });
}

fn use_pushed_list(settings: &mut Value) {
    settings["registry_mode"] = json!("push");
    settings["safety"]["must_ask_in_ns"] = Value::Null;
    settings["safety"]["stop_sending_within_ns"] = json!(500_000_000u64);
}

#[test]
fn a_pushed_list_is_followed_from_the_start_and_after_an_outage() {
    let mut cluster = TestCluster::with_settings(2, use_pushed_list);
    assert_served(cluster.client().request(&request_bytes("r1", "read", 0, 900)), "r1");
    let drain = |cluster: &TestCluster, from: usize, to: usize, id: &str| {
        let at = |node: usize, condition| {
            instance(&format!("s-{node}"), cluster.node_addresses[node], 0, condition)
        };
        cluster.discovery.publish(vec![at(from, "DRAINING"), at(to, "SERVING")]);
        let (published, before) = (Instant::now(), cluster.nodes[to].request_count());
        for attempt in 0.. {
            let answer =
                cluster.client().request(&request_bytes(&format!("{id}-{attempt}"), "read", 0, 900)).unwrap();
            if answer.status() == 200 && cluster.nodes[to].request_count() > before {
                break;
            }
            assert!(published.elapsed() < Duration::from_secs(2), "the drain is not noticed");
        }
    };
    drain(&cluster, 0, 1, "a");
    // The agent stops responding to a watch; its changes meanwhile arrive once it responds again.
    let calls = cluster.discovery.calls().len();
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    cluster.discovery.wait_for_calls("calls go on", |all| all.len() > calls + 2);
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    drain(&cluster, 1, 0, "b");
    // A new process is not ready before the agent has responded, however fresh its cached list is.
    cluster.discovery.set_fault_mode(FaultMode::Unresponsive);
    cluster.restart_host_without_wait();
    cluster.wait_until("it listens", |cluster| cluster.readiness().is_some());
    assert_eq!(cluster.readiness(), Some(503));
    cluster.discovery.set_fault_mode(FaultMode::Healthy);
    cluster.wait_until("it is ready", |cluster| cluster.readiness() == Some(200));
}

#[test]
fn the_former_discovery_counts_until_the_new_one_responds() {
    let mut cluster = TestCluster::start(2);
    let (new, new_at) = Discovery::start(Vec::new());
    new.set_fault_mode(FaultMode::Unresponsive);
    cluster
        .discovery
        .wait_for_calls("a watch is open", |all| all.iter().any(|call| call.contains("wait_ms=2000")));
    cluster.host.reload_with_discovery(new_at);
    new.wait_for_calls("the new one is called", |all| !all.is_empty());
    cluster.discovery.publish(vec![
        instance("s-0", cluster.node_addresses[0], 0, "DRAINING"),
        instance("s-1", cluster.node_addresses[1], 0, "SERVING"),
    ]);
    let published = Instant::now();
    cluster.wait_until("the drain is noticed", |cluster| {
        _ = cluster.client().request(&request_bytes(&format!("r{:?}", published.elapsed()), "read", 0, 900));
        cluster.nodes[1].request_count() > 0
    });
}

#[test]
fn chunked_requests_and_expect_continue_are_served() {
    let cluster = TestCluster::start(1);
    let plain = String::from_utf8(request_bytes("w1", "write", 0, 900)).unwrap();
    let chunked = plain.replace("Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n");
    let chunked = chunked.replace("some bytes", "4\r\nsome\r\n6;x=y\r\n bytes\r\n0\r\nT: u\r\n\r\n");
    assert_served(cluster.client().request(chunked.as_bytes()), "w1");
    let waits = plain.replace("w1", "w2").replace("Host: ", "Expect: 100-continue\r\nHost: ");
    let (head, body) = waits.split_at(waits.len() - 10);
    let mut client = cluster.client();
    assert_eq!(client.request(head.as_bytes()).unwrap().status(), 100);
    assert_served(client.request(body.as_bytes()), "w2");
    let got = cluster.nodes[0].received.lock().unwrap();
    for message in got.iter() {
        assert_eq!(
            (message.body.as_slice(), message.field("content-length")),
            (&b"some bytes"[..], Some("10"))
        );
        assert!(message.field("transfer-encoding").is_none() && message.field("expect").is_none());
    }
}

#[test]
fn a_second_sigterm_loses_no_response() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    client.send(&request_bytes("a", "once", 0, 2000));
    cluster.nodes[0].wait_for_requests(1);
    cluster.host.signal("TERM");
    cluster.wait_until("it shuts down", |cluster| cluster.readiness() == Some(503));
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
    // Its shard has no node: it waits, and is never forwarded.
    pending.send(&request_bytes("b", "once", 5, 60_000));
    cluster.wait_until("both are connected", |cluster| cluster.client_connections() >= 2);
    let asked = Instant::now();
    cluster.host.signal("TERM");
    let answers = [in_flight.receive().unwrap(), pending.receive().unwrap()];
    assert_eq!(answers.each_ref().map(|a| a.status()), [502, 503]);
    assert!(answers.iter().all(|a| a.field("connection") == Some("close")));
    assert!(
        asked.elapsed() < Duration::from_millis(3700),
        "the forced shutdown came first: {:?}",
        asked.elapsed()
    );
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn shutdown_does_not_spin_on_a_client_that_does_not_read() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::WriteBody(1_000_000));
    cluster.host.signal("TERM");
    // Its responses are stuck before the host closes, and still when the host would exit.
    let all: Vec<u8> = (0..60).flat_map(|i| request_bytes(&format!("c{i}"), "read", 0, 3000)).collect();
    std::thread::sleep(Duration::from_millis(2500));
    let mut client = HttpClient::with_receive_buffer(16 << 10, cluster.host_address);
    client.send(&all);
    std::thread::sleep(Duration::from_millis(1250));
    let before = cluster.host.cpu_ticks();
    std::thread::sleep(Duration::from_millis(500));
    if let (Some(before), Some(after)) = (before, cluster.host.cpu_ticks()) {
        assert!(after - before < 10, "it spins: {} hundredths of half a second", after - before);
    }
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn connections_accepted_by_the_kernel_before_close_are_answered() {
    let mut cluster = TestCluster::start(1);
    let mut idle = cluster.client();
    assert_served(idle.request(&request_bytes("r", "read", 0, 900)), "r");
    let asked = Instant::now();
    cluster.host.signal("TERM");
    cluster.wait_until("it shuts down", |cluster| cluster.readiness() == Some(503));
    // The host is stopped while it should close: more connections come than one turn of its loop accepts, and a request
    // comes on an idle connection.
    cluster.host.signal("STOP");
    let mut all: Vec<HttpClient> = (0..100).map(|_| cluster.client()).collect();
    for (i, client) in all.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("c{i}"), "read", 0, 900));
    }
    idle.send(&request_bytes("last", "read", 0, 900));
    std::thread::sleep(Duration::from_millis(3450).saturating_sub(asked.elapsed()));
    cluster.host.signal("CONT");
    for (i, client) in all.iter_mut().enumerate() {
        let answer = client.receive().unwrap_or_else(|| panic!("c{i} has no answer"));
        assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
        assert!(client.closes_cleanly(), "c{i}: a reset");
    }
    assert!(matches!(idle.receive().unwrap().status(), 200 | 503));
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn a_request_that_crosses_the_close_is_not_forwarded_and_loses_no_response() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(30)));
    let (mut busy, mut idle) = (cluster.client(), cluster.client());
    assert_served(idle.request(&request_bytes("r", "read", 0, 900)), "r");
    busy.send(&request_bytes("b0", "read", 0, 900));
    cluster.host.signal("TERM");
    // There is always one request behind the open one: the last of all crosses the close.
    let mut answered = 0;
    loop {
        busy.send(&request_bytes(&format!("b{}", answered + 1), "read", 0, 900));
        let answer = busy.receive().unwrap_or_else(|| panic!("b{answered} has no answer"));
        let last = answer.field("connection") == Some("close");
        assert_served(Some(answer), &format!("b{answered}"));
        answered += 1;
        if last {
            break;
        }
    }
    busy.send(&request_bytes("later", "read", 0, 900));
    assert!(busy.closes_cleanly() && idle.closes_cleanly(), "a reset");
    idle.send(&request_bytes("late", "read", 0, 900));
    assert!(cluster.host.wait_for_exit().success());
    assert_eq!(
        cluster.nodes[0].request_count(),
        1 + answered,
        "something was forwarded that came after the close"
    );
}

#[test]
fn pipelined_requests_read_before_the_close_are_answered() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(100)));
    let mut client = cluster.client();
    cluster.host.signal("TERM");
    // Four at a time in one write: the close falls between them, and they are read together.
    for batch in 0.. {
        let ids: Vec<String> = (0..4).map(|i| format!("b{batch}-{i}")).collect();
        client.send(&ids.iter().flat_map(|id| request_bytes(id, "read", 0, 2000)).collect::<Vec<u8>>());
        let answers: Vec<u16> = ids.iter().map_while(|_| client.receive()).map(|a| a.status()).collect();
        assert!(
            matches!(answers.len(), 0 | 4) && answers.iter().all(|s| matches!(s, 200 | 503)),
            "{answers:?}"
        );
        if answers.is_empty() || client.is_closed() {
            break;
        }
    }
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn a_connecting_attempt_ends_with_its_request() {
    let (cluster, mut unreachable) = cluster_with_unreachable_node();
    let answer = cluster.client().request(&request_bytes("c1", "once", 0, 700)).unwrap();
    assert_eq!(answer.status(), 503, "{answer:?}");
    cluster.wait_until("the attempt is cancelled", |_| unreachable.connecting_count() == 0);
    unreachable.empty_backlog();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(unreachable.connecting_count(), 0);
}
