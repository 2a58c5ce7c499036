//! Seeded mixtures of floods on hosts of different sizes. `FLOOD_SEEDS=1..50` runs other seeds than those of CI.

use crate::run_alone;
use crate::support::endless_flood::{EndlessFlood, FloodRequest, Pace};
use crate::support::flood::{Flood, FloodKind};
use crate::support::host_settings::Limits;
use crate::support::node::Behaviour;
use crate::support::random::SeededRandom;
use crate::support::slow_senders::{SlowSenders, SLOW_REQUESTS};
use crate::support::test_cluster::TestCluster;
use crate::support::usual_clients::run_usual_clients;
use std::ops::Range;
use std::time::Duration;

/// Time of each mixture.
const DURATION: Duration = Duration::from_secs(8);
/// Share of the descriptors that clients may hold for requests.
const CLIENT_SHARE: u64 = 3;

const REQUESTS: [FloodRequest; 7] = [
    FloodRequest::WithoutId,
    FloodRequest::Read,
    FloodRequest::Write,
    FloodRequest::UnknownClass,
    FloodRequest::UnknownPolicy,
    FloodRequest::NewField,
    FloodRequest::Unsound,
];

/// Host and clients of a mixture.
#[derive(Debug)]
struct Mixture {
    memory_mb: usize,
    descriptors: usize,
    request: FloodRequest,
    pace: Pace,
    flood_clients: usize,
    slow_clients: usize,
    leaving_clients: usize,
}

impl Mixture {
    fn draw(seed: u64) -> Mixture {
        let mut random = SeededRandom::new(seed);
        let memory_mb = [32, 48, 96, 192][random.below(4) as usize];
        let descriptors = [256, 512, 1024][random.below(3) as usize];
        let clients = descriptors as u64 / CLIENT_SHARE;
        let request = REQUESTS[random.below(REQUESTS.len() as u64) as usize];
        let (pace, most) = match random.below(3) {
            0 => (Pace::Continuous, 8),
            1 => (Pace::Continuous, 1),
            _ => (Pace::Bursts(1 + random.below(800) as usize), clients / 2),
        };
        let flood_clients = 1 + random.below(most) as usize;
        let slow_clients = random.below(clients / 3) as usize;
        let leaving_clients = random.below(clients / 8) as usize;
        Mixture { memory_mb, descriptors, request, pace, flood_clients, slow_clients, leaving_clients }
    }
}

/// Returns the seeds that the environment names, or those of CI.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("FLOOD_SEEDS") else { return 1..3 };
    let (first, end) = text.split_once("..").expect("FLOOD_SEEDS is a range such as 1..50");
    first.parse().unwrap()..end.parse().unwrap()
}

fn run_mixture(seed: u64) {
    let mixture = Mixture::draw(seed);
    let limits = Limits { memory_mb: mixture.memory_mb, sockets: mixture.descriptors, ..Limits::default() };
    let cluster = TestCluster::with_limits(2, limits);
    cluster
        .nodes
        .iter()
        .for_each(|node| node.set_default(Behaviour::RespondAfter(Duration::from_millis(10))));
    let host = cluster.host_address;
    let flood = EndlessFlood::start(host, mixture.request, mixture.pace, mixture.flood_clients);
    let slow = SlowSenders::start(host, &SLOW_REQUESTS, mixture.slow_clients);
    std::thread::sleep(Duration::from_millis(500));
    let answers = std::thread::scope(|scope| {
        let clients = mixture.leaving_clients;
        scope.spawn(move || {
            for round in 0..10 {
                let kind = FloodKind::PipelinedThenLeft(50);
                Flood { kind, clients, body_bytes: Some(200), seed: seed * 100 + round }.run(host);
            }
        });
        run_usual_clients(&cluster, "usual", 4, 1000, DURATION)
    });
    let peak = cluster.host.peak_memory_kb();
    println!(
        "seed {seed}: {mixture:?}\n  {} of {} served, {:?} at most, late {:?}, undecided {}, {} and {} answers, peak {peak} KB",
        answers.served, answers.requests, answers.longest, answers.late, answers.undecided, flood.answers(), slow.answers()
    );
    assert!(peak < limits.memory_mb << 10, "seed {seed}: {peak} KB of {} MB", limits.memory_mb);
    assert!(answers.late.is_empty(), "seed {seed}: {answers:?}");
    assert!(answers.served * 2 >= answers.requests, "seed {seed}: {answers:?}");
}

/// Guards against floods whose combination exceeds a limit or delays other clients.
#[test]
fn mixtures_of_floods_keep_the_memory_limit_and_the_time_of_other_clients() {
    let _alone = run_alone();
    seeds().for_each(run_mixture);
}
