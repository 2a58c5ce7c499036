//! The settings of a scenario or a load, as a file (HCL) gives them.

use crate::Ms;
use magpiewick_emulator::{read_config as read_emulator, read_faults, EmulatorConfig, Fault};
use magpiewick_gateway::config::{read_host_config as read_host, HostConfig, Volume};
use magpiewick_hcl_settings::SettingsBlock;

/// The traffic of one request class.
#[derive(Clone, Debug)]
pub struct Mix {
    /// The number of the class.
    pub class: u16,
    /// The relative share of this traffic.
    pub share: f64,
    /// Whether its requests write.
    pub write: bool,
    /// Requests have 1 to so many units of work.
    pub max_units: u64,
    /// Bytes of each block that is written.
    pub payload: usize,
    /// Blocks from the key on; 0 where a key is a piece of data by itself.
    pub blocks: u64,
}

/// How long a client waits before a retry without a retry-after time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// Not at all.
    None,
    /// The same delay each time.
    Fixed,
    /// A delay that doubles with each retry, spread over half to one and a half of it.
    Exponential,
}

/// How some of the clients retry a request that did not succeed.
#[derive(Clone, Copy, Debug)]
pub struct RetryBehaviour {
    /// The relative share of the clients that behave so.
    pub share: f64,
    /// How the delay grows.
    pub backoff: Backoff,
    /// The first delay.
    pub delay: Ms,
    /// How often a request is sent at most.
    pub max_sends: u32,
    /// The part of the retry-after times that are followed.
    pub retry_after_compliance: f64,
}

impl RetryBehaviour {
    /// The delay of the retry after so many sends; `compliance` and `spread` are drawn from 0 to 1.
    pub fn delay_after(&self, sends: u32, retry_after: Ms, compliance: f64, spread: f64) -> Ms {
        if retry_after > 0.0 && compliance < self.retry_after_compliance {
            return retry_after;
        }
        match self.backoff {
            Backoff::None => 0.0,
            Backoff::Fixed => self.delay,
            Backoff::Exponential => self.delay * f64::from(1 << sends.clamp(1, 16) >> 1) * (0.5 + spread),
        }
    }
}

/// What a scenario expects of retry storms.
#[derive(Clone, Debug)]
pub struct RetryStormExpectation {
    /// The most units that a node that came back may be sent in 100 ms, as a multiple of its capacity in them.
    pub max_load: f64,
    /// For how long the traffic is quiet at the beginning.
    pub quiet_duration: Ms,
    /// The part of the quiet traffic's earned weight that counts as recovered.
    pub recovery_share: f64,
    /// The time within which it recovers.
    pub max_recovery_time: Ms,
}

/// The traffic of the clients.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Connections to each host.
    pub connections_per_host: usize,
    /// Keys in each volume.
    pub keys: u64,
    /// How many requests follow each other sequentially through a volume, on average.
    pub mean_run_length: u64,
    /// Whether a rejected request is retried once after its retry-after time, where no behaviours are given.
    pub retries: bool,
    /// The traffic by class.
    pub mixes: Vec<Mix>,
    /// How clients retry; none where `retries` says it.
    pub retry_behaviours: Vec<RetryBehaviour>,
}

/// The settings of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// How long clients send.
    pub duration: Ms,
    /// How long something may still be sent to a node that is known to drain.
    pub drain_grace: Ms,
    /// By how much the times seen by two threads of one machine may differ.
    pub clock_tolerance: Ms,
    /// Hosts that coalesce nothing, to compare with.
    pub hosts_without_coalescing: Vec<u64>,
    /// The traffic of the clients.
    pub traffic: TrafficConfig,
    /// The faults to inject.
    pub faults: Vec<Fault>,
    /// What is expected of retry storms, where the scenario states it.
    pub retry_storm: Option<RetryStormExpectation>,
}

/// All settings that a file may hold.
pub struct Config {
    /// The block `host` and those that belong to it.
    pub host: HostConfig,
    /// The block `standin`.
    pub emulator: Option<EmulatorConfig>,
    /// The blocks `drill`, `traffic`, `trouble` and `storm`.
    pub scenario: Option<ScenarioConfig>,
}

/// Reads a whole file; `None` where it has no host, which is a fault of the file.
pub fn read_config(root: &SettingsBlock<'_>, seed: u64) -> Option<Config> {
    let host = read_host(root, seed);
    let mut emulator = read_emulator(root);
    if let (Some(emulator), Some(host)) = (&mut emulator, &host) {
        let shards = |volume: &Volume| volume.shards.iter().map(|shard| *shard as u32).collect();
        emulator.volumes = host.volumes.iter().map(|(id, volume)| (*id, shards(volume))).collect();
    }
    // Without a host nothing can be said of a scenario; its blocks are known all the same.
    let scenario = host.as_ref().and_then(|host| read_scenario(root, host));
    Some(Config { host: host?, emulator, scenario })
}

fn read_scenario(root: &SettingsBlock<'_>, host: &HostConfig) -> Option<ScenarioConfig> {
    let faults = read_faults(root);
    let scenario = root.optional_block("drill");
    let traffic = root.optional_block("traffic");
    let time = |name, absent| {
        scenario.as_ref().map_or(absent, |p: &SettingsBlock<'_>| p.attribute(name).duration_ms_or(absent))
    };
    let (duration, drain_grace, clock_tolerance) =
        (time("time", 10_000.0), time("drain_within", 250.0), time("noise", 60.0));
    let alone = scenario.as_ref().map(|p| p.attribute("alone")).filter(|field| field.is_present());
    let hosts_without_coalescing = alone.map_or(Vec::new(), |field| field.integers());
    let traffic = traffic.map(|p| read_traffic(&p, host));
    let retry_storm = root.optional_block("storm").map(|p| read_retry_storm(&p));
    if traffic.is_none() && scenario.is_some() {
        root.report_error("the block traffic is missing; a drill needs clients");
    }
    Some(ScenarioConfig {
        duration,
        drain_grace,
        clock_tolerance,
        hosts_without_coalescing,
        traffic: traffic?,
        faults,
        retry_storm,
    })
}

fn read_retry_storm(p: &SettingsBlock<'_>) -> RetryStormExpectation {
    RetryStormExpectation {
        max_load: p.attribute("ceiling").number(),
        quiet_duration: p.attribute("quiet").duration_ms(),
        recovery_share: p.attribute("recovers_to").fraction_or(0.9),
        max_recovery_time: p.attribute("recovers_in").duration_ms_or(10_000.0),
    }
}

fn read_traffic(p: &SettingsBlock<'_>, host: &HostConfig) -> TrafficConfig {
    let mixes: Vec<Mix> = p.labelled_blocks("mix").iter().filter_map(|mix| read_mix(mix, host)).collect();
    if mixes.iter().map(|mix| mix.share).sum::<f64>() <= 0.0 {
        p.report_error("no mix with a share; expected at least one block mix \"band\"");
    }
    TrafficConfig {
        rate: p.attribute("rate").number(),
        connections_per_host: p.attribute("clients").integer_or(1..=10_000, 4) as usize,
        keys: p.attribute("keys").integer_or(1..=1_000_000, 100),
        mean_run_length: p.attribute("run").integer_or(1..=1_000_000, 1),
        retries: p.attribute("retries").bool_or(true),
        mixes,
        retry_behaviours: p.labelled_blocks("habit").iter().map(read_retry_behaviour).collect(),
    }
}

fn read_mix(p: &SettingsBlock<'_>, host: &HostConfig) -> Option<Mix> {
    let mut classes = host.classes.iter().map(String::as_str).zip(0..);
    let class = classes.find(|(name, _)| *name == p.label()).map(|(_, number)| number);
    if class.is_none() {
        p.report_error(format!("a mix of the unknown band {:?}", p.label()));
    }
    Some(Mix {
        share: p.attribute("share").number(),
        write: p.attribute("write").bool_or(false),
        max_units: p.attribute("units").integer_or(1..=host.scheduler.max_units.max(1.0) as u64, 1),
        blocks: p.attribute("blocks").integer_or(0..=1 << 16, 0),
        payload: p.attribute("payload").integer_or(0..=1 << 20, 64) as usize,
        class: class?,
    })
}

const BACKOFFS: [(&str, Backoff); 3] =
    [("at-once", Backoff::None), ("fixed", Backoff::Fixed), ("exponential", Backoff::Exponential)];

fn read_retry_behaviour(p: &SettingsBlock<'_>) -> RetryBehaviour {
    RetryBehaviour {
        share: p.attribute("share").number(),
        backoff: p.attribute("again").one_of_or(&BACKOFFS, Backoff::Exponential),
        delay: p.attribute("wait").duration_ms_or(50.0),
        max_sends: p.attribute("tries").integer_or(1..=1000, 4) as u32,
        retry_after_compliance: p.attribute("heeds").fraction_or(1.0),
    }
}
