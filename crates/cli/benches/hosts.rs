//! Processor time per request and resident memory of a host of the platform beside a host of our own installations: both
//! in one run, in turn, at the same rate, over as many nodes that do no work.

#[path = "../tests/support/mod.rs"]
mod support;

use magpiewick_scenario::median_min_max;
use std::path::Path;
use std::time::{Duration, Instant};
use support::host_settings::Limits;
use support::http_message::request_bytes;
use support::test_cluster::TestCluster;

const NODES: usize = 4;
const RATE: f64 = 4000.0;
/// Rounds, each of which measures both hosts; in each the platform's figure is the median of as many repeats as the
/// other's.
const ROUNDS: usize = 5;
const REPEATS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(2);
/// Clients that send at the rate together, and those that send as fast as they are answered.
const PACED_CLIENTS: usize = 16;
const FLOOD_CLIENTS: usize = 256;

/// Has clients send for a while, each at an interval or as soon as it is answered; how many requests were served.
fn load(cluster: &TestCluster, name: &str, clients: usize, interval: Option<Duration>) -> usize {
    let one = |i: usize| {
        let mut client = cluster.client();
        let began = Instant::now();
        let (mut sent, mut served) = (0, 0);
        while began.elapsed() < RUN_TIME {
            let id = format!("{name}-{i}-{sent}");
            let response =
                client.request(&request_bytes(&id, "read", (i + sent) as i32 % NODES as i32, 1000));
            served += usize::from(response.is_some_and(|response| response.status() == 200));
            sent += 1;
            let next = interval.map(|interval| interval * sent as u32);
            std::thread::sleep(next.unwrap_or_default().saturating_sub(began.elapsed()));
        }
        served
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..clients).map(|i| scope.spawn(move || one(i))).collect();
        all.into_iter().map(|one| one.join().unwrap()).sum()
    })
}

/// A host of the platform: microseconds of processor time per request, and its memory at first, under full load and after.
fn measure_platform() -> (f64, [f64; 3]) {
    let cluster =
        TestCluster::with_limits(NODES, Limits { sockets: 2048, descriptors: 2048, ..Limits::default() });
    let first = cluster.host.memory_kb();
    load(&cluster, "flood", FLOOD_CLIENTS, None);
    let full = cluster.host.memory_kb();
    let interval = Duration::from_secs_f64(PACED_CLIENTS as f64 / RATE);
    let figures = (0..REPEATS).map(|repeat| {
        let before = cluster.host.cpu_ticks().unwrap();
        let served = load(&cluster, &format!("paced{repeat}"), PACED_CLIENTS, Some(interval));
        (cluster.host.cpu_ticks().unwrap() - before) as f64 * 1e4 / served as f64
    });
    (
        median_min_max(figures.collect())[0],
        [first, full, cluster.host.memory_kb()].map(|kb| kb as f64 / 1024.0),
    )
}

fn main() {
    // `cargo test --benches` measures nothing.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let program = Path::new(env!("CARGO_BIN_EXE_magpiewick"));
    let (mut ratios, mut memory) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let other = magpiewick_scenario::bench(program, &[NODES], Some(RATE)).unwrap();
        let other = other.iter().find(|m| m.way == "host").unwrap();
        let (cpu, memory_mb) = measure_platform();
        println!(
            "platform {cpu:.1} us a request, {memory_mb:.1?} MB at first, full, after; the other host {:.1} us, {:.1?} MB",
            other.cpu_us[0], other.memory_mb
        );
        ratios.push(cpu / other.cpu_us[0]);
        memory.push(memory_mb[1] / other.memory_mb[1]);
    }
    for (what, all) in [("processor time a request", ratios), ("memory at the fullest", memory)] {
        let [median, least, most] = median_min_max(all);
        println!("{what}: {median:.2} times the other host's ({least:.2} to {most:.2})");
    }
}
