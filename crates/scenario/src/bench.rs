//! Measures what a host costs: requests a second, latency, processor time and memory, against a bare relay and
//! against clients that speak to nodes straight, in one run with the same emulated services and clients.

use crate::clients::Session;
use crate::config::{read_all, ScenarioConfig, Sheet};
use crate::hosts::{HostProcess, Program};
use crate::run::{offer, LoadReport};
use magpiewick_emulator::{EmulatorConfig, Handle};
use magpiewick_gateway::config::HostConfig;
use magpiewick_hcl_settings::read_text;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

type Ms = f64;

/// How long each figure is measured, and how often; the repeats give the spread.
const TIME: Ms = 2000.0;
const REPEATS: u64 = 3;
/// Requests that flooding clients keep in hand.
const FLOOD: usize = 256;

/// One way at one number of nodes: medians, and the least and most of the repeats.
#[derive(Serialize)]
pub struct Measured {
    pub way: &'static str,
    pub nodes: usize,
    pub most_a_second: [f64; 3],
    /// Requests a second at which the figures below were taken.
    pub at: f64,
    pub p50_ms: [f64; 3],
    pub p99_ms: [f64; 3],
    pub p999_ms: [f64; 3],
    /// Processor time of the process between, a request; 0 where there is none.
    pub cpu_us: [f64; 3],
    /// Its resident memory: before any load, after the most that clients could offer, and after the figures above.
    pub memory_mb: [f64; 3],
    pub bounced: u64,
}

fn text(nodes: usize) -> String {
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    let mut text = format!(
        "host {{\n  most_units = 1\n  most_clients = 64\n}}\nlog {{\n  level = \"error\"\n}}\n\
         band \"read\" {{\n  soft_limit = \"200ms\"\n  time_limit = \"1s\"\n  repeats = \"retriable\"\n}}\n\
         plan \"all\" {{\n  rate = 100000\n}}\n\
         volume \"v\" {{\n  id = 1\n  plan = \"all\"\n  shards = [{}]\n}}\n\
         drill {{\n  time = \"2s\"\n}}\n\
         traffic {{\n  rate = 1000\n  clients = 4\n  keys = 10000\n  mix \"read\" {{\n    share = 1\n  }}\n}}\n\
         standin {{\n  unit_work = \"0ms\"\n  cores = 64\n  queue = 100000\n",
        shards.join(", ")
    );
    (0..nodes).for_each(|n| text += &format!("  node \"{n}\" {{\n    shard = {n}\n  }}\n"));
    text + "}\n"
}

/// What the middle, least and most of some figures are.
pub fn spread(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [figures[figures.len() / 2], figures[0], figures[figures.len() - 1]]
}

struct Rig {
    host: HostConfig,
    drill: ScenarioConfig,
    handle: Handle,
    nodes: Vec<SocketAddr>,
}

impl Rig {
    fn once(&self, to: SocketAddr, rate: Option<f64>, seed: u64) -> io::Result<LoadReport> {
        let mut drill = self.drill.clone();
        drill.traffic.rate = rate.unwrap_or(1.0);
        let in_flight = rate.is_none().then_some(FLOOD);
        let session = Session { in_flight, ..Session::open(Clock::start(), TIME, seed) };
        offer(&self.host, &drill, to, &session)
    }
}

/// Measures at these numbers of nodes, latencies at `rate` or half of what the host can do at the most. Straight to a node only where there is one, as a client has no placement.
pub fn bench(program: &Path, counts: &[usize], rate: Option<f64>) -> io::Result<Vec<Measured>> {
    let mut all = Vec::new();
    for &count in counts {
        let text = text(count);
        with_file(&text, |file, configs| at(program, file, configs, rate, &mut all))?;
    }
    Ok(all)
}

type Sheets = (HostConfig, ScenarioConfig, EmulatorConfig);

/// Reads a text as a settings file, and has it in a file while it is used.
fn with_file<T>(text: &str, with: impl FnOnce(&Path, Sheets) -> io::Result<T>) -> io::Result<T> {
    let configs = read_text("bench", text, |root| {
        let Sheet { host, fleet, drill } = read_all(root, 1)?;
        Some(((host, drill?), fleet?))
    });
    let configs = configs.map_err(|faults| io::Error::other(faults.to_string()))?;
    let Some(((host, drill), fleet)) = configs else { return Err(io::Error::other("no bench")) };
    let file = std::env::temp_dir().join(format!("magpiewick-bench-{}.hcl", std::process::id()));
    std::fs::write(&file, text)?;
    let done = with(&file, (host, drill, fleet));
    std::fs::remove_file(&file)?;
    done
}

/// How long reads of many blocks take to their last byte.
#[derive(Serialize)]
pub struct ReadMeasured {
    pub nodes: usize,
    /// Whether reads are cut, in a volume of many extents; else the volume is one extent on one node.
    pub cut: bool,
    /// Whether one node, the one that holds the whole volume where it is one extent, does a fourth of its work.
    pub slow: bool,
    pub p50_ms: [f64; 3],
    pub p99_ms: [f64; 3],
}

const BLOCKS: u64 = 64;

fn reads_text(nodes: usize, cut: bool) -> String {
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    // Extents of four blocks, so that a read touches as many nodes as there are.
    let (extents, piece) = if cut { (256, BLOCKS) } else { (1, 1 << 20) };
    let mut text = format!(
        "host {{\n  most_units = {BLOCKS}\n}}\nlog {{\n  level = \"error\"\n}}\nlist {{\n  map = true\n}}\n\
         split {{\n  blocks = {piece}\n  at_once = 16\n}}\n\
         band \"read\" {{\n  soft_limit = \"2s\"\n  time_limit = \"4s\"\n  repeats = \"retriable\"\n}}\n\
         plan \"all\" {{\n  rate = 100000\n}}\n\
         volume \"v\" {{\n  id = 1\n  plan = \"all\"\n  shards = [{}]\n}}\n\
         drill {{\n  time = \"2s\"\n}}\n\
         traffic {{\n  rate = 10\n  clients = 1\n  keys = 1023\n  \
         mix \"read\" {{\n    share = 1\n    blocks = {BLOCKS}\n    units = {BLOCKS}\n  }}\n}}\n\
         standin {{\n  unit_work = \"0.5ms\"\n  cores = 2\n  extents = {extents}\n  keys = 1024\n",
        shards.join(", ")
    );
    (0..nodes).for_each(|n| text += &format!("  node \"{n}\" {{\n    shard = {n}\n  }}\n"));
    text + "}\n"
}

/// Measures large reads at these numbers of nodes: one client that always has one in hand.
pub fn bench_reads(program: &Path, counts: &[usize]) -> io::Result<Vec<ReadMeasured>> {
    let mut all = Vec::new();
    for &nodes in counts {
        for cut in [false, true] {
            with_file(&reads_text(nodes, cut), |file, (host, drill, fleet)| {
                let handle = Handle::start(fleet, Clock::start(), None)?;
                handle.order(|fleet| fleet.forget_records());
                let (program, file, list) = (program.to_path_buf(), file.to_path_buf(), handle.list);
                let through = HostProcess::start(
                    &Program { program, file, list, seed: 1, alone: Vec::new(), undamped: false },
                    0,
                )?;
                for slow in [false, true] {
                    let times = if slow { 4.0 } else { 1.0 };
                    _ = handle.ask(move |fleet| fleet.ail(0, |node| node.slow = times));
                    let once = |seed| {
                        let session = Session::open(Clock::start(), TIME, seed);
                        let session = Session { in_flight: Some(1), ..session };
                        offer(&host, &drill, through.address, &session)
                    };
                    let reports = (0..REPEATS).map(once).collect::<io::Result<Vec<_>>>()?;
                    let of = |figure: fn(&LoadReport) -> f64| spread(reports.iter().map(figure).collect());
                    let (p50_ms, p99_ms) = (of(|r| r.p50_ms), of(|r| r.p99_ms));
                    all.push(ReadMeasured { nodes, cut, slow, p50_ms, p99_ms });
                }
                Ok(())
            })?;
        }
    }
    Ok(all)
}

fn at(
    program: &Path,
    file: &Path,
    (host, drill, fleet): Sheets,
    rate: Option<f64>,
    all: &mut Vec<Measured>,
) -> io::Result<()> {
    let count = fleet.nodes.len();
    let handle = Handle::start(fleet, Clock::start(), None)?;
    handle.order(|fleet| fleet.forget_records());
    let nodes = handle.ask(|fleet| fleet.addresses()).unwrap_or_default();
    let nodes: Vec<SocketAddr> = nodes.into_iter().map(|n| n.1).collect();
    let rig = Rig { host, drill, handle, nodes };
    let started = Program {
        program: program.to_path_buf(),
        file: file.to_path_buf(),
        list: rig.handle.list,
        seed: 1,
        alone: Vec::new(),
        undamped: false,
    };
    let mut relay = Command::new(program);
    relay.arg("relay").args(rig.nodes.iter().map(SocketAddr::to_string));
    let (through, relay) = (HostProcess::start(&started, 0)?, HostProcess::run(relay)?);
    let mut ways: Vec<(&'static str, SocketAddr, Option<&HostProcess>)> =
        vec![("host", through.address, Some(&through)), ("relay", relay.address, Some(&relay))];
    if count == 1 {
        ways.push(("straight", rig.nodes[0], None));
    }
    let resident = |ways: &[(&'static str, SocketAddr, Option<&HostProcess>)]| {
        let one = |p: &HostProcess| p.usage().map(|u| u.1 as f64 / f64::from(1 << 20));
        ways.iter().map(|way| way.2.map_or(Ok(0.0), one)).collect::<io::Result<Vec<f64>>>()
    };
    let rested = resident(&ways)?;
    // In turn, so that a change of the machine's speed meets all ways alike.
    let mut most: Vec<Vec<f64>> = ways.iter().map(|_| Vec::new()).collect();
    for seed in 0..REPEATS {
        for (way, figures) in ways.iter().zip(&mut most) {
            figures.push(rig.once(way.1, None, seed)?.settled_a_second);
        }
    }
    let flooded = resident(&ways)?;
    let most: Vec<[f64; 3]> = most.into_iter().map(spread).collect();
    let half = rate.unwrap_or(most[0][0] / 2.0);
    let mut half_load: Vec<Vec<(LoadReport, f64)>> = ways.iter().map(|_| Vec::new()).collect();
    for seed in 0..REPEATS {
        for (way, figures) in ways.iter().zip(&mut half_load) {
            let used = |p: Option<&HostProcess>| p.map_or(Ok(0.0), |p| p.usage().map(|u| u.0));
            let before = used(way.2)?;
            let report = rig.once(way.1, Some(half), seed)?;
            let cpu = (used(way.2)? - before) * 1e6 / report.taken.max(1) as f64;
            figures.push((report, cpu));
        }
    }
    let after = resident(&ways)?;
    for (i, ((way, most), reports)) in ways.iter().zip(most).zip(half_load).enumerate() {
        let of = |figure: fn(&LoadReport) -> f64| spread(reports.iter().map(|r| figure(&r.0)).collect());
        all.push(Measured {
            way: way.0,
            nodes: count,
            most_a_second: most,
            at: half,
            p50_ms: of(|r| r.p50_ms),
            p99_ms: of(|r| r.p99_ms),
            p999_ms: of(|r| r.p999_ms),
            cpu_us: spread(reports.iter().map(|r| r.1).collect()),
            memory_mb: [rested[i], flooded[i], after[i]],
            bounced: reports.iter().map(|r| r.0.bounced).sum(),
        });
    }
    Ok(())
}
