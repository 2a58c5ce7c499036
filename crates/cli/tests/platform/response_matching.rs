//! Matching of responses to requests: each request that was read gets exactly one response, its own. This also holds if
//! bytes arrive on a connection outside an exchange, or if a connection, host or attempt ends before the response.

use crate::support::discovery::instance;
use crate::support::host_settings::Limits;
use crate::support::http_client::HttpClient;
use crate::support::http_message::{assert_served, expected_body, request_bytes};
use crate::support::node::{Behaviour, Unsolicited, OK_RESPONSE};
use crate::support::proxy::{ConnectionFault, Proxy};
use crate::support::random::SeededRandom;
use crate::support::test_cluster::TestCluster;
use serde_json::json;
use std::io::Write;
use std::time::{Duration, Instant};

/// Sends requests sequentially with a pause after each; asserts that each response belongs to its request.
fn assert_own_responses(cluster: &TestCluster, name: &str, class: &str, pause: Duration) {
    let mut client = cluster.client();
    for i in 0..6 {
        let id = format!("{name}-{i}");
        let response = client
            .request(&request_bytes(&id, class, 0, 2000))
            .unwrap_or_else(|| panic!("no response to {id}"));
        let body = String::from_utf8_lossy(&response.body).into_owned();
        match response.status() {
            200 => assert_eq!(body, expected_body(&id), "{id} received the response to another request"),
            status => assert!(class == "once" && status == 502, "{id}: {status} {body}"),
        }
        std::thread::sleep(pause);
    }
}

#[test]
fn unsolicited_bytes_are_never_used_as_the_next_response() {
    for unsolicited in [
        Unsolicited::Duplicate,
        Unsolicited::EarlierDuplicate,
        Unsolicited::TruncatedDuplicate(1),
        Unsolicited::TruncatedDuplicate(7),
        Unsolicited::TruncatedDuplicate(12),
        Unsolicited::TruncatedDuplicate(30),
        Unsolicited::TruncatedDuplicate(50),
        Unsolicited::Garbage,
        Unsolicited::InterimResponse,
    ] {
        // Connections are reused immediately, or after an idle period.
        std::thread::scope(|scope| {
            for (pause, class) in
                [0, 15, 250].into_iter().flat_map(|pause| [(pause, "read"), (pause, "once")])
            {
                scope.spawn(move || {
                    let cluster = TestCluster::start(1);
                    cluster.nodes[0].set_default(Behaviour::RespondBehind(unsolicited));
                    assert_own_responses(
                        &cluster,
                        &format!("{class}-{pause}"),
                        class,
                        Duration::from_millis(pause),
                    );
                });
            }
        });
    }
}

/// Runs five clients that send requests sequentially while the node writes one response in three twice, with a network
/// delay of 2 ms between host and node. Returns the number of responses that belonged to another request.
fn mismatched_responses(seed: u64, delays_ms: &[u64]) -> usize {
    let cluster = TestCluster::start(1);
    let network =
        Proxy::start(cluster.node_addresses[0], |_| ConnectionFault::Delay(Duration::from_millis(2)));
    cluster.discovery.publish(vec![instance("s-near", network.address, 0, "SERVING")]);
    let mut random = SeededRandom::new(seed);
    let script: Vec<Behaviour> = (0..4000)
        .map(|_| match random.below(3) {
            0 => Behaviour::DuplicateAfter(Duration::from_millis(
                delays_ms[random.below(delays_ms.len() as u64) as usize],
            )),
            _ => Behaviour::Write(OK_RESPONSE),
        })
        .collect();
    cluster.nodes[0].enqueue(&script);
    std::thread::sleep(Duration::from_millis(100));
    let run = |client: usize| {
        let mut connection = cluster.client();
        let is_mismatched = |i: usize| {
            let id = format!("c{client}-{i}");
            let response = connection.request(&request_bytes(&id, "read", 0, 2000)).unwrap();
            response.status() == 200 && response.body != expected_body(&id).into_bytes()
        };
        (0..120).map(is_mismatched).filter(|mismatched| *mismatched).count()
    };
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..5).map(|client| scope.spawn(move || run(client))).collect();
        clients.into_iter().map(|client| client.join().unwrap()).sum()
    })
}

#[test]
fn late_duplicate_responses_reach_no_client() {
    for (seed, delays_ms) in [(1, &[1, 2, 3, 4, 5, 6][..]), (2, &[12, 20][..]), (3, &[40, 70, 120, 200][..])]
    {
        assert_eq!(mismatched_responses(seed, delays_ms), 0, "duplicates delayed by {delays_ms:?} ms");
    }
}

/// Returns a request that the host answers immediately without a node.
fn immediate_request(form: usize, id: &str) -> Vec<u8> {
    let valid = String::from_utf8(request_bytes(id, "read", 0, 900)).unwrap();
    match form {
        0 => b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        1 => valid.replace("X-Class: read", "X-Class: unheard-of").into_bytes(),
        _ => valid.replace("X-Deadline: 900m", "X-Deadline: 1m").into_bytes(),
    }
}

/// Sends batches of three pipelined requests until the connection ends. Returns the number of responses to each batch.
fn pipeline_batches(mut client: HttpClient, name: &str, form: usize) -> Vec<usize> {
    let mut response_counts = Vec::new();
    for batch in 0.. {
        let [first, second, third] = ["a", "b", "c"].map(|part| format!("{name}-{batch}-{part}"));
        let requests = [
            request_bytes(&first, "read", 0, 2500),
            immediate_request(form, &second),
            request_bytes(&third, "read", 0, 2500),
        ];
        client.send(&requests.concat());
        let received = (0..3).map_while(|_| client.receive()).count();
        response_counts.push(received);
        if received < 3 || client.is_closed() {
            break;
        }
    }
    response_counts
}

#[test]
fn requests_pipelined_after_an_immediate_response_are_answered_during_shutdown() {
    for form in 0..3 {
        let mut cluster = TestCluster::start(1);
        cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(120)));
        cluster.host.signal("TERM");
        std::thread::sleep(Duration::from_millis(2800));
        let clients: Vec<_> = (0..6)
            .map(|client| {
                std::thread::sleep(Duration::from_millis(21));
                let connection = cluster.client();
                std::thread::spawn(move || pipeline_batches(connection, &format!("c{client}"), form))
            })
            .collect();
        for client in clients {
            let counts = client.join().unwrap();
            assert!(counts.iter().all(|count| matches!(count, 0 | 3)), "form {form}: {counts:?}");
        }
        assert!(cluster.host.wait_for_exit().success());
    }
}

#[test]
fn requests_pipelined_after_an_unanswered_one_are_answered_before_forced_shutdown() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    cluster.host.signal("TERM");
    std::thread::sleep(Duration::from_millis(3000));
    let mut client = cluster.client();
    let requests: Vec<u8> = (0..4).flat_map(|i| request_bytes(&format!("r{i}"), "once", 0, 3000)).collect();
    let start = Instant::now();
    client.send(&requests);
    for i in 0..4 {
        let response = client.receive().unwrap_or_else(|| panic!("r{i} was read and has no response"));
        assert!(matches!(response.status(), 502 | 503), "{response:?}");
    }
    assert!(
        start.elapsed() < Duration::from_millis(700),
        "the forced shutdown came before the responses: {:?}",
        start.elapsed()
    );
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn each_of_many_pipelined_requests_is_answered() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    let many = 8000;
    let requests: Vec<u8> =
        (0..many).flat_map(|i| request_bytes(&format!("r{i}"), "read", 0, 3000)).collect();
    assert!(requests.len() > 3 << 19, "{} bytes", requests.len());
    let mut sender = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || Write::write_all(&mut sender, &requests));
    for i in 0..many {
        let response = client.receive().unwrap_or_else(|| panic!("r{i} was read and has no response"));
        match response.status() {
            200 => assert_served(Some(response), &format!("r{i}")),
            status => assert_eq!(status, 503, "{response:?}"),
        }
    }
    sending.join().unwrap().unwrap();
}

#[test]
fn all_requests_of_a_flood_are_answered_under_a_small_memory_limit() {
    let cluster = TestCluster::with_limits(1, Limits { memory_mb: 16, ..Limits::default() });
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(1)));
    let floods: Vec<_> = (0..8)
        .map(|flood| {
            let mut client = cluster.client();
            let requests: Vec<u8> =
                (0..2500).flat_map(|i| request_bytes(&format!("f{flood}-{i}"), "read", 0, 3000)).collect();
            std::thread::spawn(move || {
                let mut sender = client.stream.try_clone().unwrap();
                let sending = std::thread::spawn(move || Write::write_all(&mut sender, &requests).is_ok());
                let responses = (0..2500).map_while(|_| client.receive()).count();
                (responses, sending.join().unwrap())
            })
        })
        .collect();
    for flood in floods {
        assert_eq!(
            flood.join().unwrap(),
            (2500, true),
            "number of responses, and whether all requests could be sent"
        );
    }
    assert!(cluster.host.peak_memory_kb() < 16 << 10, "{} KB", cluster.host.peak_memory_kb());
}

#[test]
fn response_concurrent_with_the_idle_check_reaches_its_client() {
    // With these settings, the scheduler does not end a request before the idle check.
    let cluster = TestCluster::with_settings(1, |settings| {
        settings["limits"]["cancelling"] = json!(false);
        settings["profiles"][0]["slo_ns"] = json!(3_000_000_000u64);
    });
    // The idle check of a connection is due 2.2 s after the connection was accepted. The host is stopped at that time,
    // so that after it continues the check and the first response are due together.
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(2180)));
    let mut clients: Vec<HttpClient> = (0..8).map(|_| cluster.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("r{i}"), "read", 0, 2900));
    }
    std::thread::sleep(Duration::from_millis(2120));
    cluster.host.signal("STOP");
    std::thread::sleep(Duration::from_millis(140));
    cluster.host.signal("CONT");
    for (i, client) in clients.iter_mut().enumerate() {
        let response = client.receive().unwrap_or_else(|| panic!("no response to r{i}"));
        match response.status() {
            200 => assert_served(Some(response), &format!("r{i}")),
            // The scheduler may have ended the attempt in the meantime.
            status => assert_eq!(status, 503, "{response:?}"),
        }
    }
}
