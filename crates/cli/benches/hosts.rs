//! Compares processor time per request and resident memory of a platform host with a host run by `magpiewick serve`.
//! Both hosts are measured alternately in one run, at the same rate and with the same number of nodes that do no work.

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
/// Number of rounds, each of which measures both hosts.
const ROUNDS: usize = 5;
/// Number of measurements of the platform host per round, of which the median is used; the same number as for the other
/// host.
const REPEATS: usize = 3;
const RUN_TIME: Duration = Duration::from_secs(2);
/// Number of clients that together send at `RATE`.
const PACED_CLIENTS: usize = 16;
/// Number of clients that send each request as soon as the previous response arrives.
const FLOOD_CLIENTS: usize = 256;

/// Runs clients for [`RUN_TIME`], each sending at an interval or as soon as the previous response arrives. Returns the
/// number of requests served.
fn load(cluster: &TestCluster, name: &str, clients: usize, interval: Option<Duration>) -> usize {
    let run_client = |i: usize| {
        let mut client = cluster.client();
        let start = Instant::now();
        let (mut sent, mut served) = (0, 0);
        while start.elapsed() < RUN_TIME {
            let id = format!("{name}-{i}-{sent}");
            let response =
                client.request(&request_bytes(&id, "read", (i + sent) as i32 % NODES as i32, 1000));
            served += usize::from(response.is_some_and(|response| response.status() == 200));
            sent += 1;
            let next = interval.map(|interval| interval * sent as u32);
            std::thread::sleep(next.unwrap_or_default().saturating_sub(start.elapsed()));
        }
        served
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..clients).map(|i| scope.spawn(move || run_client(i))).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).sum()
    })
}

/// Measures a platform host. Returns the processor time per request in microseconds, and the memory in megabytes at the
/// start, under full load and afterwards.
fn measure_platform() -> (f64, [f64; 3]) {
    let cluster =
        TestCluster::with_limits(NODES, Limits { sockets: 2048, descriptors: 2048, ..Limits::default() });
    let initial = cluster.host.memory_kb();
    load(&cluster, "flood", FLOOD_CLIENTS, None);
    let full = cluster.host.memory_kb();
    let interval = Duration::from_secs_f64(PACED_CLIENTS as f64 / RATE);
    let cpu_times = (0..REPEATS).map(|repeat| {
        let before = cluster.host.cpu_ticks().unwrap();
        let served = load(&cluster, &format!("paced{repeat}"), PACED_CLIENTS, Some(interval));
        (cluster.host.cpu_ticks().unwrap() - before) as f64 * 1e4 / served as f64
    });
    (
        median_min_max(cpu_times.collect())[0],
        [initial, full, cluster.host.memory_kb()].map(|kb| kb as f64 / 1024.0),
    )
}

fn main() {
    // `cargo test --benches` runs this program without `--bench`, which measures nothing.
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
    for (label, figures) in [("processor time a request", ratios), ("memory at the fullest", memory)] {
        let [median, min, max] = median_min_max(figures);
        println!("{label}: {median:.2} times the other host's ({min:.2} to {max:.2})");
    }
}
