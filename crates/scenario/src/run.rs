//! Plays a scenario: the emulated services in one thread, the clients in another, hosts as processes, the script here.

use crate::audit::{audit, Evidence, Rule, Verdict};
use crate::clients::{Clients, Host, Said, Session, Tally};
use crate::config::ScenarioConfig;
use crate::hosts::{HostProcess, Program};
use crate::plant::{plant, Planted};
use magpiewick_emulator::{play, EmulatorConfig, Handle, Step};
use magpiewick_gateway::config::HostConfig;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

type Ms = f64;

/// What a scenario came to.
#[derive(Serialize)]
pub struct ScenarioReport {
    pub ok: bool,
    pub seed: u64,
    pub hosts: usize,
    pub nodes: usize,
    pub seconds: f64,
    pub taken: u64,
    pub settled: u64,
    pub bounced: u64,
    pub scrapped: u64,
    /// Tries whose host died, and tries without an answer in their time.
    pub host_died: u64,
    pub unanswered: u64,
    /// The part of the priority weight due that was succeeded within the latency objective.
    pub payoff: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// How the hosts that were told to stop at the end did so.
    pub exit_codes: Vec<Option<i32>>,
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The same scenario with hosts that damp nothing, where it is on storms and was asked to be compared.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub undamped: Option<Box<ScenarioReport>>,
    #[serde(skip)]
    pub said: Vec<(Ms, Said)>,
}

struct Rig<'a> {
    program: Program,
    hosts: Vec<Option<HostProcess>>,
    clients: &'a Clients,
    clock: Clock,
    stalls: Vec<(usize, Ms, Ms)>,
    failed: Option<io::Error>,
}

impl Rig<'_> {
    fn host_step(&mut self, step: &Step) -> io::Result<()> {
        match *step {
            Step::HostStall(number, stopped) => {
                let number = number as usize;
                if let Some(Some(host)) = self.hosts.get(number) {
                    host.stall(stopped)?;
                    match stopped {
                        true => self.stalls.push((number, self.clock.now(), f64::INFINITY)),
                        false => {
                            let now = self.clock.now();
                            self.stalls.iter_mut().filter(|s| s.0 == number).for_each(|s| s.2 = s.2.min(now));
                        }
                    }
                }
            }
            Step::HostKill(number) => {
                if let Some(host) = self.hosts.get_mut(number as usize) {
                    self.clients.host(number as usize, Host::default());
                    *host = None;
                }
            }
            Step::HostStart(number) => {
                let host = HostProcess::start(&self.program, number as usize)?;
                self.clients.host(number as usize, Host { address: Some(host.address) });
                self.hosts[number as usize] = Some(host);
            }
            Step::Surge(volume, times) => self.clients.surge(volume, times),
            _ => {}
        }
        Ok(())
    }
}

/// Plays the scenario of a file. `program` is the gateway's own, as hosts run in processes of their own; `planted`
/// names what the rig breaks.
pub fn drill(
    program: &Path,
    file: &Path,
    (host, fleet, config): (&HostConfig, &EmulatorConfig, &ScenarioConfig),
    seed: u64,
    planted: Option<Planted>,
    undamped: bool,
) -> io::Result<ScenarioReport> {
    let is = |other: Planted| planted == Some(other);
    let (denied, swapped) = (is(Planted::Moved), is(Planted::Swapped));
    let (leaky, halved) = (is(Planted::Rule(Rule::Data)), is(Planted::Half));
    let clock = Clock::start();
    let mut stand_ins = fleet.clone();
    stand_ins.seed ^= seed << 8;
    let handle = Handle::start(stand_ins, clock, planted.and_then(|planted| plant(planted, host)))?;
    handle.order(move |fleet| {
        (fleet.map.leaky, fleet.map.denied) = (leaky, denied);
        (fleet.map.swapped, fleet.map.halved) = (swapped, halved);
    });
    let (program, file, list) = (program.to_path_buf(), file.to_path_buf(), handle.list);
    let count = host.start.hosts as usize;
    let (seed_of_hosts, alone) = (seed << 16 | 1, config.alone.clone());
    let program = Program { program, file, list, seed: seed_of_hosts, alone, undamped };
    let hosts =
        (0..count).map(|n| HostProcess::start(&program, n).map(Some)).collect::<io::Result<Vec<_>>>()?;
    let addresses = hosts.iter().flatten().map(|h| Host { address: Some(h.address) }).collect();
    let session = Session { record: true, planted, ..Session::open(clock, config.time, seed) };
    let clients = Clients::start(host, config, addresses, &session)?;
    let zone = |zone: u64| {
        let of = fleet.nodes.iter().filter(|n| u64::from(n.zone) == zone && !n.spare);
        of.map(|n| n.number).collect()
    };
    let steps = config.troubles.iter().flat_map(|t| t.steps(zone)).filter(|(at, _)| *at < config.time);
    let steps: Vec<(Ms, Step)> = steps.collect();
    let mut rig = Rig { program, hosts, clients: &clients, clock, stalls: Vec::new(), failed: None };
    let on = |step: &Step| {
        if let Err(e) = rig.host_step(step) {
            rig.failed.get_or_insert(e);
        }
    };
    play(&handle, &clock, session.begin, steps, on, || false);
    let Rig { hosts, stalls, failed, .. } = rig;
    if let Some(e) = failed {
        return Err(e);
    }
    let (tally, said) = clients.finish().ok_or_else(|| io::Error::other("the clients' thread failed"))?;
    let exit_codes = hosts.into_iter().flatten().map(HostProcess::end).collect::<io::Result<Vec<_>>>()?;
    let mut stored = handle.ask(|fleet| fleet.map.stored()).unwrap_or_default();
    if leaky && fleet.extents == 0 {
        stored.pop();
    }
    let seen = handle.records();
    let evidence =
        Evidence { host, fleet, drill: config, seen: &seen, said: &said, stalls: &stalls, stored: &stored };
    let verdict = audit(&evidence);
    let ended_well = exit_codes.iter().all(|code| *code == Some(0));
    Ok(ScenarioReport {
        ok: verdict.findings.is_empty() && ended_well,
        seed,
        hosts: count,
        nodes: fleet.nodes.len(),
        seconds: config.time / 1000.0,
        taken: tally.taken,
        settled: tally.settled,
        bounced: tally.bounced,
        scrapped: tally.scrapped,
        host_died: tally.lost,
        unanswered: tally.gave_up,
        payoff: verdict.reached / verdict.due.max(1e-9),
        p50_ms: tally.latency.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: tally.latency.value_at_quantile(0.99) as f64 / 1000.0,
        exit_codes,
        verdict,
        undamped: None,
        said,
    })
}

/// What a load came to: latencies in milliseconds, counted from when a request was due.
#[derive(Clone, Serialize)]
pub struct LoadReport {
    pub offered_a_second: f64,
    pub settled_a_second: f64,
    pub taken: u64,
    pub settled: u64,
    pub bounced: u64,
    pub scrapped: u64,
    pub unanswered: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
}

/// Offers a file's traffic to a host that runs already.
pub fn load(
    host: &HostConfig,
    config: &ScenarioConfig,
    address: SocketAddr,
    seed: u64,
) -> io::Result<LoadReport> {
    offer(host, config, address, &Session::open(Clock::start(), config.time, seed))
}

/// Offers a session's traffic to one address.
pub fn offer(
    host: &HostConfig,
    config: &ScenarioConfig,
    address: SocketAddr,
    session: &Session,
) -> io::Result<LoadReport> {
    let hosts = vec![Host { address: Some(address) }];
    let clients = Clients::start(host, config, hosts, session)?;
    let (tally, _) = clients.finish().ok_or_else(|| io::Error::other("the clients' thread failed"))?;
    Ok(report(&tally, config))
}

fn report(tally: &Tally, config: &ScenarioConfig) -> LoadReport {
    let at = |part: f64| tally.latency.value_at_quantile(part) as f64 / 1000.0;
    LoadReport {
        offered_a_second: config.traffic.rate,
        settled_a_second: tally.settled as f64 * 1000.0 / config.time,
        taken: tally.taken,
        settled: tally.settled,
        bounced: tally.bounced,
        scrapped: tally.scrapped,
        unanswered: tally.gave_up,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        most_ms: tally.latency.max() as f64 / 1000.0,
    }
}
