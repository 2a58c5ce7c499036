//! Each request that was read gets exactly one response, its own, whatever arrives on a connection outside an exchange
//! and whatever ends while a response is outstanding.

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

/// Sends one request after the other with a pause after each; each response must be its own.
fn assert_own_responses(cluster: &TestCluster, name: &str, class: &str, pause: Duration) {
    let mut client = cluster.client();
    for i in 0..6 {
        let id = format!("{name}-{i}");
        let answer = client
            .request(&request_bytes(&id, class, 0, 2000))
            .unwrap_or_else(|| panic!("{id} has no answer"));
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        match answer.status() {
            200 => assert_eq!(body, expected_body(&id), "{id} got an answer that was not made for it"),
            status => assert!(class == "once" && status == 502, "{id}: {status} {body}"),
        }
        std::thread::sleep(pause);
    }
}

#[test]
fn unsolicited_bytes_are_never_taken_for_the_next_response() {
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
        // A connection is reused at once, or after it was idle.
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

/// Five clients that send one request after the other, while one response in three is written twice, with 2 ms of
/// network between host and node: how many responses belonged to another request.
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
        let mismatched = |i: usize| {
            let id = format!("c{client}-{i}");
            let answer = connection.request(&request_bytes(&id, "read", 0, 2000)).unwrap();
            answer.status() == 200 && answer.body != expected_body(&id).into_bytes()
        };
        (0..120).map(mismatched).filter(|mismatched| *mismatched).count()
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..5).map(|client| scope.spawn(move || run(client))).collect();
        all.into_iter().map(|client| client.join().unwrap()).sum()
    })
}

#[test]
fn late_duplicate_responses_reach_no_client() {
    for (seed, late) in [(1, &[1, 2, 3, 4, 5, 6][..]), (2, &[12, 20][..]), (3, &[40, 70, 120, 200][..])] {
        assert_eq!(mismatched_responses(seed, late), 0, "copies that are {late:?} ms late");
    }
}

/// A request that the host answers by itself, at once.
fn immediate_request(form: usize, id: &str) -> Vec<u8> {
    let plain = String::from_utf8(request_bytes(id, "read", 0, 900)).unwrap();
    match form {
        0 => b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
        1 => plain.replace("X-Class: read", "X-Class: unheard-of").into_bytes(),
        _ => plain.replace("X-Deadline: 900m", "X-Deadline: 1m").into_bytes(),
    }
}

/// Sends three pipelined requests again and again until the connection ends; the number of responses to each three.
fn pipeline_in_threes(mut client: HttpClient, name: &str, form: usize) -> Vec<usize> {
    let mut answers = Vec::new();
    for batch in 0.. {
        let [first, second, third] = ["a", "b", "c"].map(|part| format!("{name}-{batch}-{part}"));
        let requests = [
            request_bytes(&first, "read", 0, 2500),
            immediate_request(form, &second),
            request_bytes(&third, "read", 0, 2500),
        ];
        client.send(&requests.concat());
        let came = (0..3).map_while(|_| client.receive()).count();
        answers.push(came);
        if came < 3 || client.is_closed() {
            break;
        }
    }
    answers
}

#[test]
fn requests_behind_an_immediate_response_are_answered_during_shutdown() {
    for form in 0..3 {
        let mut cluster = TestCluster::start(1);
        cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(120)));
        cluster.host.signal("TERM");
        std::thread::sleep(Duration::from_millis(2800));
        let all: Vec<_> = (0..6)
            .map(|client| {
                std::thread::sleep(Duration::from_millis(21));
                let connection = cluster.client();
                std::thread::spawn(move || pipeline_in_threes(connection, &format!("c{client}"), form))
            })
            .collect();
        for client in all {
            let answers = client.join().unwrap();
            assert!(answers.iter().all(|came| matches!(came, 0 | 3)), "form {form}: {answers:?}");
        }
        assert!(cluster.host.wait_for_exit().success());
    }
}

#[test]
fn requests_behind_a_hanging_one_are_answered_before_forced_shutdown() {
    let mut cluster = TestCluster::start(1);
    cluster.nodes[0].set_default(Behaviour::NoResponse);
    cluster.host.signal("TERM");
    std::thread::sleep(Duration::from_millis(3000));
    let mut client = cluster.client();
    let all: Vec<u8> = (0..4).flat_map(|i| request_bytes(&format!("r{i}"), "once", 0, 3000)).collect();
    let asked = Instant::now();
    client.send(&all);
    for i in 0..4 {
        let answer = client.receive().unwrap_or_else(|| panic!("r{i} was read and has no answer"));
        assert!(matches!(answer.status(), 502 | 503), "{answer:?}");
    }
    assert!(
        asked.elapsed() < Duration::from_millis(700),
        "the forced shutdown came first: {:?}",
        asked.elapsed()
    );
    assert!(cluster.host.wait_for_exit().success());
}

#[test]
fn each_of_many_pipelined_requests_is_answered() {
    let cluster = TestCluster::start(1);
    cluster.nodes[0].enqueue(&[Behaviour::RespondAfter(Duration::from_millis(300))]);
    let mut client = cluster.client();
    let many = 8000;
    let all: Vec<u8> = (0..many).flat_map(|i| request_bytes(&format!("r{i}"), "read", 0, 3000)).collect();
    assert!(all.len() > 3 << 19, "{} bytes", all.len());
    let mut sender = client.stream.try_clone().unwrap();
    let sending = std::thread::spawn(move || Write::write_all(&mut sender, &all));
    for i in 0..many {
        let answer = client.receive().unwrap_or_else(|| panic!("r{i} was read and has no answer"));
        match answer.status() {
            200 => assert_served(Some(answer), &format!("r{i}")),
            status => assert_eq!(status, 503, "{answer:?}"),
        }
    }
    sending.join().unwrap().unwrap();
}

#[test]
fn a_flood_under_a_small_memory_limit_is_answered_completely() {
    let cluster = TestCluster::with_limits(1, Limits { memory_mb: 16, ..Limits::default() });
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(1)));
    let floods: Vec<_> = (0..8)
        .map(|flood| {
            let mut client = cluster.client();
            let all: Vec<u8> =
                (0..2500).flat_map(|i| request_bytes(&format!("f{flood}-{i}"), "read", 0, 3000)).collect();
            std::thread::spawn(move || {
                let mut sender = client.stream.try_clone().unwrap();
                let sending = std::thread::spawn(move || Write::write_all(&mut sender, &all).is_ok());
                let answers = (0..2500).map_while(|_| client.receive()).count();
                (answers, sending.join().unwrap())
            })
        })
        .collect();
    for flood in floods {
        assert_eq!(flood.join().unwrap(), (2500, true), "answers, and whether all could be sent");
    }
    assert!(cluster.host.peak_memory_kb() < 16 << 10, "{} KB", cluster.host.peak_memory_kb());
}

#[test]
fn a_response_at_the_moment_of_the_idle_check_reaches_its_client() {
    // The scheduler itself ends no request before.
    let cluster = TestCluster::with_settings(1, |settings| {
        settings["limits"]["cancelling"] = json!(false);
        settings["profiles"][0]["slo_ns"] = json!(3_000_000_000u64);
    });
    // A connection is checked 2.2 s after it came. The host is stopped then, so that it meets the check and the first
    // response at the same moment.
    cluster.nodes[0].set_default(Behaviour::RespondAfter(Duration::from_millis(2180)));
    let mut all: Vec<HttpClient> = (0..8).map(|_| cluster.client()).collect();
    for (i, client) in all.iter_mut().enumerate() {
        client.send(&request_bytes(&format!("r{i}"), "read", 0, 2900));
    }
    std::thread::sleep(Duration::from_millis(2120));
    cluster.host.signal("STOP");
    std::thread::sleep(Duration::from_millis(140));
    cluster.host.signal("CONT");
    for (i, client) in all.iter_mut().enumerate() {
        let answer = client.receive().unwrap_or_else(|| panic!("r{i} has no answer"));
        match answer.status() {
            200 => assert_served(Some(answer), &format!("r{i}")),
            // The scheduler may have ended the attempt meanwhile.
            status => assert_eq!(status, 503, "{answer:?}"),
        }
    }
}
