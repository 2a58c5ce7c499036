//! Processor time a request and resident memory of the platform's door beside the program's other door: both in one
//! run, in turn, at the same rate, over as many nodes that do no work.

#[allow(dead_code)]
#[path = "../tests/platform/rig.rs"]
mod rig;

use magpiewick_scenario::spread;
use rig::{command, Limits, Rig};
use std::path::Path;
use std::time::{Duration, Instant};

const NODES: usize = 4;
const RATE: f64 = 4000.0;
/// Rounds, each of which measures both doors; in each the platform's figure is the middle of as many repeats as the
/// other's.
const ROUNDS: usize = 5;
const REPEATS: usize = 3;
const TIME: Duration = Duration::from_secs(2);
/// Clients that ask at the rate together, and those that ask as fast as they are answered.
const PACED: usize = 16;
const FLOOD: usize = 256;

/// Has so many clients ask for a while, each so often or as soon as it is answered; how many were served.
fn load(rig: &Rig, name: &str, clients: usize, every: Option<Duration>) -> usize {
    let one = |i: usize| {
        let (mut client, began, mut asked) = (rig.client(), Instant::now(), 0);
        let mut served = 0;
        while began.elapsed() < TIME {
            let id = format!("{name}-{i}-{asked}");
            let answer = client.asks(&command(&id, "read", (i + asked) as i32 % NODES as i32, 1000));
            served += usize::from(answer.is_some_and(|a| a.status() == 200));
            asked += 1;
            let next = every.map(|every| every * asked as u32);
            std::thread::sleep(next.unwrap_or_default().saturating_sub(began.elapsed()));
        }
        served
    };
    std::thread::scope(|scope| {
        let all: Vec<_> = (0..clients).map(|i| scope.spawn(move || one(i))).collect();
        all.into_iter().map(|one| one.join().unwrap()).sum()
    })
}

/// The platform's door: microseconds of processor time a request, and its memory at first, full and after.
fn platform() -> (f64, [f64; 3]) {
    let rig = Rig::with(NODES, Limits { sockets: 2048, given: 2048, ..Limits::default() });
    let first = rig.memory();
    load(&rig, "flood", FLOOD, None);
    let full = rig.memory();
    let every = Duration::from_secs_f64(PACED as f64 / RATE);
    let figures = (0..REPEATS).map(|repeat| {
        let before = rig.ticks().unwrap();
        let served = load(&rig, &format!("paced{repeat}"), PACED, Some(every));
        (rig.ticks().unwrap() - before) as f64 * 1e4 / served as f64
    });
    (spread(figures.collect())[0], [first, full, rig.memory()].map(|kb| kb as f64 / 1024.0))
}

fn main() {
    // `cargo test --benches` asks for nothing to be measured.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let program = Path::new(env!("CARGO_BIN_EXE_magpiewick"));
    let (mut ratios, mut memory) = (Vec::new(), Vec::new());
    for _ in 0..ROUNDS {
        let other = magpiewick_scenario::bench(program, &[NODES], Some(RATE)).unwrap();
        let other = other.iter().find(|m| m.way == "host").unwrap();
        let (cpu, held) = platform();
        println!(
            "platform {cpu:.1} us a command, {held:.1?} MB at first, full, after; the other door {:.1} us, {:.1?} MB",
            other.cpu_us[0], other.memory_mb
        );
        ratios.push(cpu / other.cpu_us[0]);
        memory.push(held[1] / other.memory_mb[1]);
    }
    for (what, all) in [("processor time a command", ratios), ("memory at the fullest", memory)] {
        let [middle, least, most] = spread(all);
        println!("{what}: {middle:.2} times the other door's ({least:.2} to {most:.2})");
    }
}
