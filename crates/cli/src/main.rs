//! The program `magpiewick`. `docs/operators.md` tells its requests, exit codes and log lines.

mod config;
mod extents;
mod logs;

use clap::{Parser, Subcommand, ValueEnum};
use magpiewick_emulator::{play, Handle};
use magpiewick_gateway::config::LogConfig;
use magpiewick_gateway::{Gateway, HostEnd};
use magpiewick_scenario::{
    bench, bench_reads, drill, load, relay, Planted, Rule, Said, ScenarioReport, Sheet,
};
use magpiewick_transport::Clock;

use std::hash::{BuildHasher, Hasher};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit codes, as `docs/operators.md` lists them.
const BROKEN: u8 = 1;
const USAGE: u8 = 2;
const FAILED: u8 = 3;
const ABANDONED: u8 = 4;

#[derive(Parser)]
#[command(
    name = "magpiewick",
    version,
    about = "A storage gateway: schedules a host's reads and writes over storage nodes"
)]
struct Arguments {
    #[command(subcommand)]
    command: Task,
}

#[derive(Subcommand)]
enum Task {
    /// Run a host; with a block `standin` in the file, its emulated services run with it
    Serve {
        file: PathBuf,
        /// The host's number, in place of the file's
        #[arg(long)]
        number: Option<u32>,
        /// Where clients reach it, in place of the file's
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// The endpoint list service, in place of the file's
        #[arg(long)]
        list: Option<SocketAddr>,
        /// The seed of its chance, in place of the file's
        #[arg(long)]
        seed: Option<u64>,
        /// Run no emulated services
        #[arg(long)]
        bare: bool,
        /// Send every request by itself, whatever the file says of merging
        #[arg(long)]
        alone: bool,
        /// Know nothing of cold nodes and tell no time to come back, to compare with
        #[arg(long, hide = true)]
        undamped: bool,
    },
    /// Check a settings file; all its faults are named at once
    Check { file: PathBuf },
    /// Run one of a file's storage nodes as a emulated service, with the faults that the file has for it
    Node {
        file: PathBuf,
        /// The node's number
        #[arg(long)]
        number: u32,
    },
    /// Run a file's endpoint list service and all its nodes as emulated services
    List { file: PathBuf },
    /// Play a scenario on loopback and audit the seven rules from the traffic alone
    Drill {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
        /// Break this rule, or another promise, in the rig, to see the audit find it
        #[arg(long, value_parser = planted)]
        plant: Option<Planted>,
        /// Play it a second time with hosts that damp no storm, and report both
        #[arg(long)]
        undamped: bool,
        /// Write a line for each request, with its one final answer, to this file
        #[arg(long)]
        pairs: Option<PathBuf>,
    },
    /// Offer a file's traffic to a host that runs
    Load {
        file: PathBuf,
        /// The host; the file's `listen` otherwise
        #[arg(long)]
        host: Option<SocketAddr>,
        /// Requests a second, in place of the file's
        #[arg(long)]
        rate: Option<f64>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
    },
    /// Measure what a host costs, against a bare relay and against clients straight at a node
    Bench {
        /// Numbers of nodes
        #[arg(long, value_delimiter = ',', default_values_t = [1, 8, 60])]
        nodes: Vec<usize>,
        /// Requests a second for the latencies; half of what the host can do otherwise
        #[arg(long)]
        rate: Option<f64>,
        /// Measure large reads to their last byte instead, cut and whole
        #[arg(long)]
        reads: bool,
    },
    /// Show, move, follow or abandon extents at a map service
    Extents {
        /// The list and map service
        #[arg(long)]
        service: SocketAddr,
        #[command(subcommand)]
        ask: extents::Ask,
    },
    /// Run a host on the operators' platform, told by its environment alone
    Platform,
    /// A bare relay, for measuring
    #[command(hide = true)]
    Relay { nodes: Vec<SocketAddr> },
}

impl Task {
    /// The settings file that it reads; none where it needs none.
    fn file(&self) -> Option<&Path> {
        match self {
            Task::Serve { file, .. }
            | Task::Check { file }
            | Task::Node { file, .. }
            | Task::List { file }
            | Task::Drill { file, .. }
            | Task::Load { file, .. } => Some(file),
            Task::Bench { .. } | Task::Relay { .. } | Task::Extents { .. } | Task::Platform => None,
        }
    }
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Text,
    Json,
}

fn planted(name: &str) -> Result<Planted, String> {
    let known = Rule::ALL.map(Rule::name).join(", ");
    Planted::named(name).ok_or_else(|| format!("expected one of {known}, {}", Planted::OTHERS))
}

/// A number that no other start of a process has.
fn fresh() -> u64 {
    // The hasher's keys are drawn from the system's chance.
    std::hash::RandomState::new().build_hasher().finish() | 1
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(e) => {
            // Help and version are no errors; what cannot be printed has no reader.
            _ = e.print();
            return ExitCode::from(if e.use_stderr() { USAGE } else { 0 });
        }
    };
    let done = match arguments.command.file().map(Path::to_path_buf) {
        None => measure(&arguments.command),
        Some(file) => match config::read(&file, fresh()) {
            Ok(config) => run(arguments.command, config, &file),
            Err(faults) => {
                eprintln!("{faults}");
                Ok(USAGE)
            }
        },
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            eprintln!("magpiewick: {e}");
            ExitCode::from(FAILED)
        }
    }
}

fn run(task: Task, mut config: Sheet, file: &Path) -> io::Result<u8> {
    match task {
        Task::Check { .. } => {
            let host = &config.host;
            let (classes, plans) = (host.start.classes.len(), host.start.plans.len());
            println!(
                "{}: good; {classes} bands, {plans} plans, {} volumes",
                file.display(),
                host.volumes.len()
            );
            Ok(0)
        }
        Task::Serve { number, listen, list, seed, bare, alone, undamped, .. } => {
            if alone {
                config.host.disable_coalescing();
            }
            if undamped {
                config.host.disable_overload_damping();
            }
            config.host.number = number.unwrap_or(config.host.number);
            config.host.listen = listen.unwrap_or(config.host.listen);
            config.host.list.address = list.unwrap_or(config.host.list.address);
            config.host.start.seed = seed.unwrap_or(config.host.start.seed);
            serve(config, bare)
        }
        Task::Node { number, .. } => {
            let Some(fleet) = &mut config.fleet else { return Ok(missing(file, "standin")) };
            fleet.nodes.retain(|n| n.number == number);
            if fleet.nodes.is_empty() {
                eprintln!("{}: no node {number} in the block standin", file.display());
                return Ok(USAGE);
            }
            stand_in(config, false)
        }
        Task::List { .. } if config.fleet.is_some() => stand_in(config, true),
        Task::List { .. } => Ok(missing(file, "standin")),
        Task::Drill { seed, format, plant, undamped, pairs, .. } => {
            let Some(fleet) = &config.fleet else { return Ok(missing(file, "standin")) };
            let Some(drill_sheet) = &config.drill else { return Ok(missing(file, "traffic")) };
            logs::start(&config.host.log);
            let program = std::env::current_exe()?;
            let play =
                |undamped| drill(&program, file, (&config.host, fleet, drill_sheet), seed, plant, undamped);
            let mut drilled = play(false)?;
            if undamped {
                drilled.undamped = Some(Box::new(play(true)?));
            }
            if let Some(path) = pairs {
                write_pairs(&path, &drilled)?;
            }
            tell(&drilled, format)?;
            Ok(if drilled.ok { 0 } else { BROKEN })
        }
        Task::Load { host, rate, seed, format, .. } => {
            let Some(drill_sheet) = &mut config.drill else { return Ok(missing(file, "traffic")) };
            drill_sheet.traffic.rate = rate.unwrap_or(drill_sheet.traffic.rate);
            config.host.start.hosts = 1.0;
            let report = load(&config.host, drill_sheet, host.unwrap_or(config.host.listen), seed)?;
            match format {
                Form::Json => println!("{}", serde_json::to_string_pretty(&report)?),
                Form::Text => {
                    let r = &report;
                    println!("offered {:.0}/s, settled {:.0}/s", r.offered_a_second, r.settled_a_second);
                    println!("settled {}, bounced {}, scrapped {}", r.settled, r.bounced, r.scrapped);
                    println!("p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms", r.p50_ms, r.p99_ms, r.p999_ms);
                }
            }
            Ok(0)
        }
        Task::Bench { .. } | Task::Relay { .. } | Task::Extents { .. } | Task::Platform => Ok(USAGE),
    }
}

fn show(f: [f64; 3], d: usize) -> String {
    format!("{:.d$} ({:.d$}-{:.d$})", f[0], f[1], f[2])
}

/// What needs no settings file.
fn measure(task: &Task) -> io::Result<u8> {
    match task {
        Task::Platform => {
            logs::start(&LogConfig::default());
            match magpiewick_platform::run() {
                Ok(()) => Ok(0),
                Err(magpiewick_platform::Fault::System(e)) => Err(e),
                Err(magpiewick_platform::Fault::Told(why)) => {
                    eprintln!("magpiewick: {why}");
                    Ok(USAGE)
                }
            }
        }
        Task::Bench { nodes, reads: true, .. } => {
            for m in bench_reads(&std::env::current_exe()?, nodes)? {
                let (how, slow) =
                    (if m.cut { "cut" } else { "whole" }, if m.slow { "one slow" } else { "all well" });
                println!(
                    "{:>3} nodes, {how:5}, {slow}: p50 {}, p99 {}",
                    m.nodes,
                    show(m.p50_ms, 1),
                    show(m.p99_ms, 1)
                );
            }
            Ok(0)
        }
        Task::Bench { nodes, rate, .. } => {
            let all = bench(&std::env::current_exe()?, nodes, *rate)?;
            println!(
                "{:9} {:>5} {:>24} {:>9} {:>22} {:>22} {:>22} {:>18} {:>24}",
                "way",
                "nodes",
                "most a second",
                "at",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "cpu us a command",
                "MB first, full, after"
            );
            for m in all {
                println!(
                    "{:9} {:>5} {:>24} {:>9.0} {:>22} {:>22} {:>22} {:>18} {:>24}",
                    m.way,
                    m.nodes,
                    show(m.most_a_second, 0),
                    m.at,
                    show(m.p50_ms, 3),
                    show(m.p99_ms, 3),
                    show(m.p999_ms, 3),
                    show(m.cpu_us, 1),
                    m.memory_mb.map(|mb| format!("{mb:.1}")).join(", ")
                );
            }
            Ok(0)
        }
        Task::Relay { nodes } => relay(nodes).map(|()| 0),
        Task::Extents { service, ask } => {
            extents::run(*service, ask).map(|good| if good { 0 } else { BROKEN })
        }
        _ => Ok(USAGE),
    }
}

fn missing(file: &Path, block: &str) -> u8 {
    eprintln!("{}: the block {block} is missing; this command needs it", file.display());
    USAGE
}

/// A stream on which each SIGTERM and SIGINT shows as a byte.
fn signals() -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, write.try_clone()?)?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGINT, write)?;
    Ok(read)
}

fn serve(mut config: Sheet, bare: bool) -> io::Result<u8> {
    logs::start(&config.host.log);
    let stop = signals()?;
    let stand_ins = match config.fleet.take().filter(|_| !bare) {
        Some(fleet) => {
            let handle = Handle::start(fleet, Clock::start(), None)?;
            handle.order(|fleet| fleet.forget_records());
            config.host.list.address = handle.list;
            Some(handle)
        }
        None => None,
    };
    let gateway = Gateway::bind(config.host, stop, fresh())?;
    println!("ready {}", gateway.address());
    io::stdout().flush()?;
    let end = gateway.run()?;
    drop(stand_ins);
    Ok(match end {
        HostEnd::Stopped => 0,
        HostEnd::Abandoned => ABANDONED,
    })
}

fn stand_in(config: Sheet, list: bool) -> io::Result<u8> {
    logs::start(&config.host.log);
    let mut stop = signals()?;
    let Some(fleet) = config.fleet else { return Ok(USAGE) };
    let known: Vec<u32> = fleet.nodes.iter().map(|n| n.number).collect();
    let clock = Clock::start();
    let zones: Vec<(u64, u32)> = fleet.nodes.iter().map(|n| (u64::from(n.zone), n.number)).collect();
    let handle = Handle::start(fleet, clock, None)?;
    handle.order(|fleet| fleet.forget_records());
    let addresses = handle.ask(|fleet| fleet.addresses()).unwrap_or_default();
    match list {
        true => println!("ready {}", handle.list),
        false => println!("ready {}", addresses.first().map_or(handle.list, |a| a.1)),
    }
    io::stdout().flush()?;
    let troubles = config.drill.map_or(Vec::new(), |d| d.troubles);
    let zone = |zone: u64| zones.iter().filter(|z| z.0 == zone).map(|z| z.1).collect();
    let steps = troubles.iter().flat_map(|t| t.steps(zone)).collect();
    tracing::info!(nodes = known.len(), "stand-ins run");
    stop.set_nonblocking(true)?;
    let told = || io::Read::read(&mut &stop, &mut [0; 1]).is_ok();
    play(&handle, &clock, clock.now(), steps, |_| {}, told);
    stop.set_nonblocking(false)?;
    // Whatever the read says, the wait is over.
    _ = io::Read::read(&mut stop, &mut [0; 1]);
    Ok(0)
}

/// One line a try: what was asked, when, and its one final answer.
fn write_pairs(path: &Path, drilled: &ScenarioReport) -> io::Result<()> {
    let mut out = io::BufWriter::new(std::fs::File::create(path)?);
    for (at, said) in &drilled.said {
        let line = match said {
            Said::Took(t) => serde_json::json!({
                "at_ms": at, "try": t.number, "command": t.mark, "host": t.at_host, "band": t.class,
                "volume": t.volume, "key": t.key, "limit_ms": t.limit, "later": t.later
            }),
            Said::Answered { number, verdict, back } => serde_json::json!({
                "at_ms": at, "try": number, "answer": format!("{verdict:?}").to_lowercase(), "back_ms": back
            }),
            Said::Found { number, block, mark } => serde_json::json!({
                "at_ms": at, "try": number, "block": block, "found": mark
            }),
            Said::GaveUp { number } => serde_json::json!({ "at_ms": at, "try": number, "answer": "none" }),
            Said::Lost { number } => serde_json::json!({ "at_ms": at, "try": number, "answer": "host-died" }),
        };
        writeln!(out, "{line}")?;
    }
    out.flush()
}

fn tell_storms(d: &ScenarioReport, which: &str) {
    let Some(storms) = &d.verdict.storms else { return };
    println!("{which}quiet payoff {:.3}, {:.2} tries a command", storms.quiet_payoff, storms.tries);
    for r in &storms.returns {
        let back =
            r.recovered_ms.map_or("never".to_string(), |after| format!("after {:.1} s", after / 1000.0));
        println!(
            "{which}nodes {:?} back at {:.1} s: at most {:.2} times what one can do in 100 ms, {:.0}% of it later tries, \
             fell {} times; payoff back {back}",
            r.nodes,
            r.at_ms / 1000.0,
            r.most_load,
            r.later * 100.0,
            r.fell
        );
    }
}

fn tell(d: &ScenarioReport, format: Form) -> io::Result<()> {
    if let Form::Json = format {
        println!("{}", serde_json::to_string_pretty(d)?);
        return Ok(());
    }
    println!("{} hosts, {} nodes, {} s, seed {}", d.hosts, d.nodes, d.seconds, d.seed);
    println!(
        "taken {}: settled {}, bounced {}, scrapped {}, host died {}, unanswered {}",
        d.taken, d.settled, d.bounced, d.scrapped, d.host_died, d.unanswered
    );
    println!("payoff within the soft limit {:.3}; p50 {:.1} ms, p99 {:.1} ms", d.payoff, d.p50_ms, d.p99_ms);
    println!(
        "hand-offs {}, further {}; hosts ended with {:?}",
        d.verdict.attempts, d.verdict.further, d.exit_codes
    );
    for h in d.verdict.by_host.iter().filter(|h| h.writes > 0) {
        let (merged, part) = (h.node_commands as f64 / h.sent.max(1) as f64, h.payoff);
        println!(
            "host {}: {} of {} writes sent in {} commands of nodes ({merged:.2} each), payoff {part:.3}; {} long reads, \
             p50 {:.1} ms, p99 {:.1} ms",
            h.host, h.sent, h.writes, h.node_commands, h.long_reads, h.long_p50_ms, h.long_p99_ms
        );
    }
    if d.verdict.switched > 0 {
        let v = &d.verdict;
        println!(
            "extents switched {}; stale hand-offs {}, their commands settled {}, bounced {}, scrapped {}",
            v.switched, v.stale, v.stale_settled, v.stale_bounced, v.stale_scrapped
        );
    }
    tell_storms(d, "");
    if let Some(undamped) = &d.undamped {
        tell_storms(undamped, "undamped: ");
    }
    for rule in Rule::ALL {
        let Some(checked) = d.verdict.checked.get(rule.name()) else { continue };
        let found: Vec<_> = d.verdict.findings.iter().filter(|f| f.rule == rule).collect();
        let word = if found.is_empty() { "kept" } else { "BROKEN" };
        println!("  {:7} {word:6} checked {checked}", rule.name());
        for f in found.iter().take(5) {
            println!(
                "    at {:.0} ms host {:x} node {:?} command {:?}: {}",
                f.at,
                f.host.unwrap_or(0),
                f.node,
                f.request_id,
                f.what
            );
        }
        if found.len() > 5 {
            println!("    and {} more", found.len() - 5);
        }
    }
    Ok(())
}
