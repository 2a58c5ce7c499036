//! Measures the overhead of a host: requests per second, latency, processor time and memory, compared with a plain
//! relay and with clients connected directly to a node, in one run with the same emulated services and clients.

use crate::config::{read_config, Config, ScenarioConfig};
use crate::error::ScenarioError;
use crate::host_process::{HostProcess, HostProgram};
use crate::load::{offer_session, LoadReport};
use crate::load_generator::Session;
use crate::Ms;
use magpiewick_emulator::{EmulatorConfig, EmulatorHandle};
use magpiewick_gateway::config::HostConfig;
use magpiewick_hcl_settings::read_text;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

/// Duration of each measurement.
const MEASURING_TIME: Ms = 2000.0;
/// Number of measurements of each figure, from which median, minimum and maximum are taken.
const REPEATS: u64 = 3;
/// Number of requests in flight at the highest load.
const FLOOD_IN_FLIGHT: usize = 256;
/// Number of blocks of a large read.
const READ_BLOCKS: u64 = 64;
/// Factor by which the work of a slow node takes longer.
const SLOWDOWN: f64 = 4.0;
const BYTES_PER_MB: f64 = (1 << 20) as f64;

/// Figures of one path from clients to nodes, for one number of nodes: median, minimum and maximum of the
/// repetitions.
#[derive(Serialize)]
pub struct BenchmarkResult {
    /// Path of the requests: through a host, through the relay, or directly to a node.
    pub way: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Requests per second at the highest load.
    #[serde(rename = "most_a_second")]
    pub max_a_second: [f64; 3],
    /// Offered load for the following figures, in requests per second.
    #[serde(rename = "at")]
    pub rate: f64,
    /// Median latency.
    pub p50_ms: [f64; 3],
    /// 99th percentile of the latency.
    pub p99_ms: [f64; 3],
    /// 99.9th percentile of the latency.
    pub p999_ms: [f64; 3],
    /// Processor time per request of the process between clients and nodes; 0 without a process between them.
    pub cpu_us: [f64; 3],
    /// Resident memory of the process between clients and nodes: before any load, after the highest load, and
    /// after the preceding figures.
    pub memory_mb: [f64; 3],
    /// Number of requests that were rejected.
    #[serde(rename = "bounced")]
    pub rejected: u64,
}

/// Time to the last byte of reads of many blocks.
#[derive(Serialize)]
pub struct ReadBenchmarkResult {
    /// Number of nodes.
    pub nodes: usize,
    /// Set if reads are split in a volume of many extents; otherwise the volume is one extent on one node.
    #[serde(rename = "cut")]
    pub split: bool,
    /// Set if one node is slowed down; in a volume of one extent, the node that stores the volume.
    pub slow: bool,
    /// Median time.
    pub p50_ms: [f64; 3],
    /// 99th percentile of the time.
    pub p99_ms: [f64; 3],
}

/// Returns the median, minimum and maximum of some figures.
pub fn median_min_max(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [figures[figures.len() / 2], figures[0], figures[figures.len() - 1]]
}

/// Measures each path at each number of nodes. Latencies are measured at `rate`, by default half of the host's
/// highest rate. The direct path is measured only with a single node, because clients do not route requests.
pub fn bench(
    program: &Path,
    node_counts: &[usize],
    rate: Option<f64>,
) -> Result<Vec<BenchmarkResult>, ScenarioError> {
    let mut results = Vec::new();
    for &nodes in node_counts {
        let text = settings_text(nodes);
        results.extend(with_settings_file(&text, |file, settings| {
            measure_paths(program, file, settings, rate)
        })?);
    }
    Ok(results)
}

/// Measures large reads at each number of nodes, with one client that always has one read in flight.
pub fn bench_reads(program: &Path, node_counts: &[usize]) -> Result<Vec<ReadBenchmarkResult>, ScenarioError> {
    let mut results = Vec::new();
    for &nodes in node_counts {
        for split in [false, true] {
            let text = read_settings_text(nodes, split);
            results.extend(with_settings_file(&text, |file, settings| {
                measure_reads(program, file, settings, split)
            })?);
        }
    }
    Ok(results)
}

/// Settings of a measurement.
struct Settings {
    host: HostConfig,
    scenario: ScenarioConfig,
    emulator: EmulatorConfig,
}

/// Parses a settings text, and keeps the text in a temporary file during the measurement.
fn with_settings_file<T>(
    text: &str,
    measure: impl FnOnce(&Path, Settings) -> Result<T, ScenarioError>,
) -> Result<T, ScenarioError> {
    let settings = read_text("bench", text, |root| {
        let Config { host, emulator, scenario } = read_config(root, 1)?;
        Some(Settings { host, scenario: scenario?, emulator: emulator? })
    });
    let settings = settings.map_err(|errors| ScenarioError::InvalidSettings(errors.to_string()))?;
    let missing_block = || ScenarioError::InvalidSettings("a block is missing".to_string());
    let settings = settings.ok_or_else(missing_block)?;
    let file = std::env::temp_dir().join(format!("magpiewick-bench-{}.hcl", std::process::id()));
    let file_error = |source| ScenarioError::SettingsFile { path: file.clone(), source };
    std::fs::write(&file, text).map_err(file_error)?;
    let result = measure(&file, settings);
    std::fs::remove_file(&file).map_err(file_error)?;
    result
}

fn settings_text(nodes: usize) -> String {
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    let text = format!(
        "host {{\n  most_units = 1\n  most_clients = 64\n}}\nlog {{\n  level = \"error\"\n}}\n\
         band \"read\" {{\n  soft_limit = \"200ms\"\n  time_limit = \"1s\"\n  repeats = \"retriable\"\n}}\n\
         plan \"all\" {{\n  rate = 100000\n}}\n\
         volume \"v\" {{\n  id = 1\n  plan = \"all\"\n  shards = [{}]\n}}\n\
         drill {{\n  time = \"2s\"\n}}\n\
         traffic {{\n  rate = 1000\n  clients = 4\n  keys = 10000\n  mix \"read\" {{\n    share = 1\n  }}\n}}\n\
         standin {{\n  unit_work = \"0ms\"\n  cores = 64\n  queue = 100000\n",
        shards.join(", ")
    );
    with_nodes(text, nodes)
}

fn read_settings_text(nodes: usize, split: bool) -> String {
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    // Extents of four blocks, so that a read involves all nodes.
    let (extents, piece) = if split { (256, READ_BLOCKS) } else { (1, 1 << 20) };
    let text = format!(
        "host {{\n  most_units = {READ_BLOCKS}\n}}\nlog {{\n  level = \"error\"\n}}\nlist {{\n  map = true\n}}\n\
         split {{\n  blocks = {piece}\n  at_once = 16\n}}\n\
         band \"read\" {{\n  soft_limit = \"2s\"\n  time_limit = \"4s\"\n  repeats = \"retriable\"\n}}\n\
         plan \"all\" {{\n  rate = 100000\n}}\n\
         volume \"v\" {{\n  id = 1\n  plan = \"all\"\n  shards = [{}]\n}}\n\
         drill {{\n  time = \"2s\"\n}}\n\
         traffic {{\n  rate = 10\n  clients = 1\n  keys = 1023\n  \
         mix \"read\" {{\n    share = 1\n    blocks = {READ_BLOCKS}\n    units = {READ_BLOCKS}\n  }}\n}}\n\
         standin {{\n  unit_work = \"0.5ms\"\n  cores = 2\n  extents = {extents}\n  keys = 1024\n",
        shards.join(", ")
    );
    with_nodes(text, nodes)
}

fn with_nodes(mut text: String, nodes: usize) -> String {
    (0..nodes).for_each(|n| text += &format!("  node \"{n}\" {{\n    shard = {n}\n  }}\n"));
    text + "}\n"
}

fn host_program(program: &Path, file: &Path, list_address: SocketAddr) -> HostProgram {
    HostProgram {
        program: program.to_path_buf(),
        file: file.to_path_buf(),
        list_address,
        seed: 1,
        hosts_without_coalescing: Vec::new(),
        without_overload_protection: false,
    }
}

fn start_emulator(config: EmulatorConfig) -> Result<EmulatorHandle, ScenarioError> {
    let handle = EmulatorHandle::start(config, Clock::start(), None)?;
    handle.execute(|emulator| emulator.disable_recording());
    Ok(handle)
}

fn measure_reads(
    program: &Path,
    file: &Path,
    settings: Settings,
    split: bool,
) -> Result<Vec<ReadBenchmarkResult>, ScenarioError> {
    let Settings { host, scenario, emulator } = settings;
    let nodes = emulator.nodes.len();
    let emulator = start_emulator(emulator)?;
    let process = HostProcess::start(&host_program(program, file, emulator.list_address), 0)?;
    let mut results = Vec::new();
    for slow in [false, true] {
        let slowdown = if slow { SLOWDOWN } else { 1.0 };
        _ = emulator.query(move |emulator| emulator.change_faults(0, |faults| faults.slowdown = slowdown));
        let measure_once = |seed| {
            let session = Session::open_loop(Clock::start(), MEASURING_TIME, seed);
            let session = Session { in_flight: Some(1), ..session };
            offer_session(&host, &scenario, process.address, &session)
        };
        let reports = (0..REPEATS).map(measure_once).collect::<Result<Vec<_>, ScenarioError>>()?;
        let figure = |of: fn(&LoadReport) -> f64| median_min_max(reports.iter().map(of).collect());
        let (p50_ms, p99_ms) = (figure(|report| report.p50_ms), figure(|report| report.p99_ms));
        results.push(ReadBenchmarkResult { nodes, split, slow, p50_ms, p99_ms });
    }
    Ok(results)
}

/// A path from clients to nodes.
struct RequestPath {
    name: &'static str,
    address: SocketAddr,
    /// Process between clients and nodes.
    process: Option<HostProcess>,
}

impl RequestPath {
    fn cpu_seconds(&self) -> Result<f64, ScenarioError> {
        self.process.as_ref().map_or(Ok(0.0), |process| process.usage().map(|usage| usage.0))
    }

    fn memory_mb(&self) -> Result<f64, ScenarioError> {
        let memory = |process: &HostProcess| process.usage().map(|usage| usage.1 as f64 / BYTES_PER_MB);
        self.process.as_ref().map_or(Ok(0.0), memory)
    }

    fn offer(
        &self,
        host: &HostConfig,
        scenario: &ScenarioConfig,
        load: Load,
        seed: u64,
    ) -> Result<LoadReport, ScenarioError> {
        let mut scenario = scenario.clone();
        let session = Session::open_loop(Clock::start(), MEASURING_TIME, seed);
        let session = match load {
            Load::Flood => {
                scenario.traffic.rate = 1.0;
                Session { in_flight: Some(FLOOD_IN_FLIGHT), ..session }
            }
            Load::Rate(rate) => {
                scenario.traffic.rate = rate;
                session
            }
        };
        offer_session(host, &scenario, self.address, &session)
    }
}

#[derive(Clone, Copy)]
enum Load {
    /// Highest rate that the path supports.
    Flood,
    /// A number of requests per second.
    Rate(f64),
}

/// Report of a load at a fixed rate, and the processor time per request.
struct RateSample {
    report: LoadReport,
    cpu_us: f64,
}

fn start_paths(
    program: &Path,
    file: &Path,
    emulator: &EmulatorHandle,
) -> Result<Vec<RequestPath>, ScenarioError> {
    let nodes = emulator.query(|emulator| emulator.node_addresses()).unwrap_or_default();
    let nodes: Vec<SocketAddr> = nodes.into_iter().map(|node| node.1).collect();
    let mut relay = Command::new(program);
    relay.arg("relay").args(nodes.iter().map(SocketAddr::to_string));
    let host = HostProcess::start(&host_program(program, file, emulator.list_address), 0)?;
    let relay = HostProcess::run(relay)?;
    let mut paths = vec![
        RequestPath { name: "host", address: host.address, process: Some(host) },
        RequestPath { name: "relay", address: relay.address, process: Some(relay) },
    ];
    if let [node] = nodes[..] {
        paths.push(RequestPath { name: "straight", address: node, process: None });
    }
    Ok(paths)
}

fn measure_paths(
    program: &Path,
    file: &Path,
    settings: Settings,
    rate: Option<f64>,
) -> Result<Vec<BenchmarkResult>, ScenarioError> {
    let Settings { host, scenario, emulator } = settings;
    let nodes = emulator.nodes.len();
    let emulator = start_emulator(emulator)?;
    let paths = start_paths(program, file, &emulator)?;
    let memory = || paths.iter().map(RequestPath::memory_mb).collect::<Result<Vec<f64>, ScenarioError>>();
    let memory_idle = memory()?;
    // Load is offered to the paths in alternation, so that a change of the machine's speed affects all paths equally.
    let mut max_rates: Vec<Vec<f64>> = paths.iter().map(|_| Vec::new()).collect();
    for seed in 0..REPEATS {
        for (path, rates) in paths.iter().zip(&mut max_rates) {
            rates.push(path.offer(&host, &scenario, Load::Flood, seed)?.succeeded_a_second);
        }
    }
    let memory_flooded = memory()?;
    let max_rates: Vec<[f64; 3]> = max_rates.into_iter().map(median_min_max).collect();
    let rate = rate.unwrap_or(max_rates[0][0] / 2.0);
    let mut samples: Vec<Vec<RateSample>> = paths.iter().map(|_| Vec::new()).collect();
    for seed in 0..REPEATS {
        for (path, samples) in paths.iter().zip(&mut samples) {
            let before = path.cpu_seconds()?;
            let report = path.offer(&host, &scenario, Load::Rate(rate), seed)?;
            let cpu_us = (path.cpu_seconds()? - before) * 1e6 / report.sent.max(1) as f64;
            samples.push(RateSample { report, cpu_us });
        }
    }
    let memory_after = memory()?;
    let measured = paths.iter().zip(max_rates).zip(samples).enumerate();
    let measured = measured.map(|(i, ((path, max_a_second), samples))| {
        let figure = |of: fn(&RateSample) -> f64| median_min_max(samples.iter().map(of).collect());
        BenchmarkResult {
            way: path.name,
            nodes,
            max_a_second,
            rate,
            p50_ms: figure(|sample| sample.report.p50_ms),
            p99_ms: figure(|sample| sample.report.p99_ms),
            p999_ms: figure(|sample| sample.report.p999_ms),
            cpu_us: figure(|sample| sample.cpu_us),
            memory_mb: [memory_idle[i], memory_flooded[i], memory_after[i]],
            rejected: samples.iter().map(|sample| sample.report.rejected).sum(),
        }
    });
    Ok(measured.collect())
}
