//! Clients that leave with requests unread: nothing is sent for them later, and an id that comes again runs once.

use crate::run_alone;
use crate::support::host_settings::Limits;
use crate::support::http_message::request_bytes;
use crate::support::loopback::reset_on_drop;
use crate::support::node::Behaviour;
use crate::support::test_cluster::TestCluster;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Time after a client's close from which no attempt for it may begin, with the tolerance on sockets.
const LATEST_ATTEMPT: Duration = Duration::from_millis(150);
/// Time that a node takes.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Client timeout of the requests, in milliseconds.
const TIMEOUT_MS: u32 = 2000;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    Orderly,
    Reset,
}

/// Sends requests at once and leaves after a pause; returns the time of the close.
fn send_and_leave(cluster: &TestCluster, ids: &[String], pause: Duration, close: Close) -> Instant {
    let stream = TcpStream::connect(cluster.host_address).unwrap();
    let bytes: Vec<u8> = ids.iter().flat_map(|id| request_bytes(id, "read", 0, TIMEOUT_MS)).collect();
    std::thread::scope(|scope| {
        scope.spawn(|| _ = (&stream).write_all(&bytes));
        std::thread::sleep(pause);
        if close == Close::Reset {
            reset_on_drop(&stream);
        }
        _ = stream.shutdown(Shutdown::Both);
    });
    Instant::now()
}

/// Guards against requests that are sent on although their client has closed its connection with much unread.
#[test]
fn no_request_is_sent_on_after_its_client_has_left() {
    let _alone = run_alone();
    let limits = Limits { memory_mb: 48, sockets: 512, ..Limits::default() };
    let cluster = TestCluster::with_limits(1, limits);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(SERVICE_TIME));
    let mut closed_at: HashMap<String, Instant> = HashMap::new();
    for (round, close) in [Close::Orderly, Close::Reset, Close::Orderly, Close::Reset].into_iter().enumerate()
    {
        for (count, clients) in [(3000, 1), (300, 40), (30, 100)] {
            let left: Vec<(Vec<String>, Instant)> = std::thread::scope(|scope| {
                let cluster = &cluster;
                let leave = |client: usize| {
                    let ids =
                        (0..count).map(|n| format!("left-{round}-{count}-{client}-{n}")).collect::<Vec<_>>();
                    let pause = Duration::from_millis(40 + (client as u64 * 7) % 60);
                    scope.spawn(move || (send_and_leave(cluster, &ids, pause, close), ids))
                };
                let clients: Vec<_> = (0..clients).map(leave).collect();
                clients.into_iter().map(|client| client.join().unwrap()).map(|(at, ids)| (ids, at)).collect()
            });
            closed_at.extend(left.into_iter().flat_map(|(ids, at)| ids.into_iter().map(move |id| (id, at))));
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    let mut attempts: HashMap<String, u32> = HashMap::new();
    for (id, at) in cluster.nodes[0].arrivals() {
        let Some(closed) = closed_at.get(&id) else { continue };
        assert!(at < *closed + LATEST_ATTEMPT, "{id} was sent {:?} after its client left", at - *closed);
        *attempts.entry(id).or_default() += 1;
    }
    assert!(!attempts.is_empty(), "some requests were sent before their clients left");
    assert!(attempts.values().all(|count| *count == 1), "{attempts:?}");
}

/// Guards against a request that runs twice because its id comes again after its client has left.
#[test]
fn id_that_comes_again_after_its_client_left_runs_once() {
    let _alone = run_alone();
    let limits = Limits { memory_mb: 48, sockets: 512, ..Limits::default() };
    let cluster = TestCluster::with_limits(1, limits);
    cluster.nodes[0].set_default(Behaviour::RespondAfter(SERVICE_TIME));
    for (round, close) in [Close::Orderly, Close::Reset].into_iter().cycle().take(8).enumerate() {
        let ids: Vec<String> = (0..200).map(|n| format!("again-{round}-{n}")).collect();
        send_and_leave(&cluster, &ids, Duration::from_millis(60), close);
        std::thread::sleep(LATEST_ATTEMPT);
        let sent_before: Vec<String> = cluster.nodes[0].arrivals().into_iter().map(|(id, _)| id).collect();
        // Only requests that were never sent may run for the client that repeats them.
        let unsent = ids.iter().rev().take(3).filter(|id| !sent_before.contains(id));
        for id in unsent {
            let response = cluster.client().request(&request_bytes(id, "read", 0, TIMEOUT_MS)).unwrap();
            assert_eq!(response.status(), 200, "{id}: {response:?}");
        }
    }
    std::thread::sleep(LATEST_ATTEMPT);
    let mut attempts: HashMap<String, u32> = HashMap::new();
    cluster.nodes[0].arrivals().into_iter().for_each(|(id, _)| *attempts.entry(id).or_default() += 1);
    assert!(attempts.values().all(|count| *count == 1), "{attempts:?}");
}
