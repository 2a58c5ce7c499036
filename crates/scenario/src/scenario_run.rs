//! Plays a scenario: the emulated services in one thread, the clients in another, hosts as processes, the script
//! here.

use crate::audit::{audit, Evidence, Rule, Stall, Verdict};
use crate::client_event::ClientEvent;
use crate::config::ScenarioConfig;
use crate::error::ScenarioError;
use crate::host_process::{HostProcess, HostProgram};
use crate::load_generator::{ClientReport, LoadGenerator, Session};
use crate::seeded_defect::SeededDefect;
use crate::Ms;
use magpiewick_emulator::{play_script, EmulatorConfig, EmulatorDefects, EmulatorHandle, Step, StoredKey};
use magpiewick_gateway::config::HostConfig;
use magpiewick_transport::Clock;
use serde::Serialize;
use std::path::Path;

/// What a scenario came to.
#[derive(Serialize)]
pub struct ScenarioReport {
    /// Whether no rule was broken and all hosts ended well.
    pub ok: bool,
    /// The seed that it was played with.
    pub seed: u64,
    /// How many hosts it had.
    pub hosts: usize,
    /// How many nodes it had.
    pub nodes: usize,
    /// How long clients sent.
    pub seconds: f64,
    /// Requests that clients sent, with retries.
    #[serde(rename = "taken")]
    pub sent: u64,
    /// Requests that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Requests that were rejected.
    #[serde(rename = "bounced")]
    pub rejected: u64,
    /// Requests that failed.
    #[serde(rename = "scrapped")]
    pub failed: u64,
    /// Requests whose host died.
    pub host_died: u64,
    /// Requests without an answer in time.
    pub unanswered: u64,
    /// The part of the total priority weight that was earned within the latency objective.
    #[serde(rename = "payoff")]
    pub earned_share: f64,
    /// The median latency of successful requests.
    pub p50_ms: f64,
    /// The 99th percentile latency of successful requests.
    pub p99_ms: f64,
    /// The longest delay of the clients' event loop: what they saw late may be due to it.
    pub client_delay_ms: f64,
    /// The longest delay of the emulated services' event loop.
    pub emulator_delay_ms: f64,
    /// The exit codes of the hosts that were terminated at the end.
    pub exit_codes: Vec<Option<i32>>,
    /// What the audit found.
    #[serde(flatten)]
    pub verdict: Verdict,
    /// The same scenario with hosts without overload protection, where it was asked for.
    #[serde(rename = "undamped", skip_serializing_if = "Option::is_none")]
    pub without_overload_protection: Option<Box<ScenarioReport>>,
    /// All that clients did and saw.
    #[serde(skip)]
    pub client_events: Vec<(Ms, ClientEvent)>,
}

/// The settings of a scenario and of what plays in it.
#[derive(Clone, Copy)]
pub struct ScenarioSettings<'a> {
    /// The settings of the hosts.
    pub host: &'a HostConfig,
    /// The settings of the emulated services.
    pub emulator: &'a EmulatorConfig,
    /// The settings of the scenario.
    pub scenario: &'a ScenarioConfig,
}

/// How a scenario is played.
#[derive(Clone, Copy)]
pub struct RunOptions {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// A defect that the audit is to find.
    pub defect: Option<SeededDefect>,
    /// Hosts know nothing of nodes that warm up and name no retry-after time, to compare with.
    pub without_overload_protection: bool,
}

/// Plays the scenario of a file. `program` is the gateway's own, as hosts run in processes of their own.
pub fn run_scenario(
    program: &Path,
    file: &Path,
    settings: ScenarioSettings<'_>,
    options: RunOptions,
) -> Result<ScenarioReport, ScenarioError> {
    let ScenarioSettings { host, emulator, scenario } = settings;
    let clock = Clock::start();
    let handle = start_emulator(settings, options, clock)?;
    let program = HostProgram {
        program: program.to_path_buf(),
        file: file.to_path_buf(),
        list_address: handle.list_address,
        seed: options.seed << 16 | 1,
        hosts_without_coalescing: scenario.hosts_without_coalescing.clone(),
        without_overload_protection: options.without_overload_protection,
    };
    let hosts = start_hosts(&program, host.scheduler.hosts as usize)?;
    let addresses = hosts.iter().map(|host| host.as_ref().map(|host| host.address)).collect();
    let session = Session::open_loop(clock, scenario.duration, options.seed);
    let session = Session { record: true, defect: options.defect, ..session };
    let clients = LoadGenerator::start(host, scenario, addresses, &session)?;
    let mut script = HostScript { program, hosts, clients: &clients, clock, stalls: Vec::new(), error: None };
    let steps = script_steps(settings);
    play_script(&handle, &clock, session.begin, steps, |step| script.play(step), || false);
    let HostScript { hosts, stalls, error, .. } = script;
    if let Some(error) = error {
        return Err(error);
    }
    let clients = clients.finish()?;
    let exit_codes =
        hosts.into_iter().flatten().map(HostProcess::end).collect::<Result<Vec<_>, ScenarioError>>()?;
    let stored = stored_data(&handle, emulator, options.defect);
    let emulator_delay = handle.query(|emulator| emulator.longest_delay()).unwrap_or_default();
    let node_events = handle.take_events();
    let verdict = audit(&Evidence {
        host,
        emulator,
        scenario,
        node_events: &node_events,
        client_events: &clients.events,
        stalls: &stalls,
        stored: &stored,
    });
    Ok(report(settings, options, clients, emulator_delay, verdict, exit_codes))
}

fn start_hosts(program: &HostProgram, count: usize) -> Result<Vec<Option<HostProcess>>, ScenarioError> {
    (0..count).map(|number| HostProcess::start(program, number).map(Some)).collect()
}

fn report(
    settings: ScenarioSettings<'_>,
    options: RunOptions,
    clients: ClientReport,
    emulator_delay: Ms,
    verdict: Verdict,
    exit_codes: Vec<Option<i32>>,
) -> ScenarioReport {
    let ended_well = exit_codes.iter().all(|code| *code == Some(0));
    let statistics = clients.statistics;
    ScenarioReport {
        ok: verdict.findings.is_empty() && ended_well,
        seed: options.seed,
        hosts: settings.host.scheduler.hosts as usize,
        nodes: settings.emulator.nodes.len(),
        seconds: settings.scenario.duration / 1000.0,
        sent: statistics.sent,
        succeeded: statistics.succeeded,
        rejected: statistics.rejected,
        failed: statistics.failed,
        host_died: statistics.connection_lost,
        unanswered: statistics.timed_out,
        earned_share: verdict.earned_weight / verdict.total_weight.max(1e-9),
        p50_ms: statistics.latency_ms(0.5),
        p99_ms: statistics.latency_ms(0.99),
        client_delay_ms: clients.longest_delay,
        emulator_delay_ms: emulator_delay,
        exit_codes,
        verdict,
        without_overload_protection: None,
        client_events: clients.events,
    }
}

fn is_data_defect(defect: Option<SeededDefect>) -> bool {
    defect == Some(SeededDefect::Rule(Rule::DataIntegrity))
}

fn start_emulator(
    settings: ScenarioSettings<'_>,
    options: RunOptions,
    clock: Clock,
) -> Result<EmulatorHandle, ScenarioError> {
    let mut config = settings.emulator.clone();
    config.seed ^= options.seed << 8;
    let interceptor = options.defect.and_then(|defect| defect.interceptor(settings.host));
    let handle = EmulatorHandle::start(config, clock, interceptor)?;
    let is = |other: SeededDefect| options.defect == Some(other);
    let defects = EmulatorDefects {
        fence_ignored: is_data_defect(options.defect),
        moved_as_success: is(SeededDefect::IgnoredRedirect),
        swapped_blocks: is(SeededDefect::SwappedBlocks),
        half_map_updates: is(SeededDefect::HalfMapUpdates),
    };
    handle.execute(move |emulator| emulator.seed_defects(defects));
    Ok(handle)
}

/// The steps of the scenario's faults that begin while clients send.
fn script_steps(settings: ScenarioSettings<'_>) -> Vec<(Ms, Step)> {
    let nodes_of_zone = |zone: u64| {
        let nodes = settings.emulator.nodes.iter();
        let of_zone = nodes.filter(|node| u64::from(node.zone) == zone && !node.spare);
        of_zone.map(|node| node.number).collect()
    };
    let faults = settings.scenario.faults.iter();
    let steps = faults.flat_map(|fault| fault.steps(nodes_of_zone));
    steps.filter(|(at, _)| *at < settings.scenario.duration).collect()
}

/// What the owners of all keys hold. Without a map there is no fence to ignore; the defect loses a key instead.
fn stored_data(
    handle: &EmulatorHandle,
    emulator: &EmulatorConfig,
    defect: Option<SeededDefect>,
) -> Vec<StoredKey> {
    let mut stored = handle.query(|emulator| emulator.stored_keys()).unwrap_or_default();
    if is_data_defect(defect) && emulator.extents_per_volume == 0 {
        stored.pop();
    }
    stored
}

/// The part of a script that concerns hosts and clients.
struct HostScript<'a> {
    program: HostProgram,
    hosts: Vec<Option<HostProcess>>,
    clients: &'a LoadGenerator,
    clock: Clock,
    stalls: Vec<Stall>,
    /// The first step that failed.
    error: Option<ScenarioError>,
}

impl HostScript<'_> {
    fn play(&mut self, step: &Step) {
        if let Err(error) = self.try_step(step) {
            self.error.get_or_insert(error);
        }
    }

    fn try_step(&mut self, step: &Step) -> Result<(), ScenarioError> {
        match *step {
            Step::HostStall(number, stopped) => self.stall(number as usize, stopped)?,
            Step::HostKill(number) => {
                if let Some(host) = self.hosts.get_mut(number as usize) {
                    self.clients.set_host(number as usize, None);
                    *host = None;
                }
            }
            Step::HostStart(number) => {
                let host = HostProcess::start(&self.program, number as usize)?;
                self.clients.set_host(number as usize, Some(host.address));
                self.hosts[number as usize] = Some(host);
            }
            Step::Surge(volume, factor) => self.clients.set_surge(volume, factor),
            _ => {}
        }
        Ok(())
    }

    fn stall(&mut self, number: usize, stopped: bool) -> Result<(), ScenarioError> {
        let Some(Some(host)) = self.hosts.get(number) else { return Ok(()) };
        host.stall(stopped)?;
        let now = self.clock.now();
        if stopped {
            self.stalls.push(Stall { host: number, from: now, to: f64::INFINITY });
        } else {
            let stalls = self.stalls.iter_mut().filter(|stall| stall.host == number);
            stalls.for_each(|stall| stall.to = stall.to.min(now));
        }
        Ok(())
    }
}
