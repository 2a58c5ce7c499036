//! Settings of a scenario or a load, read from an HCL file.

use crate::Ms;
use magpiewick_emulator::{read_config as read_emulator, read_faults, EmulatorConfig, Fault};
use magpiewick_gateway::config::{read_host_config as read_host, HostConfig, Volume};
use magpiewick_hcl_settings::SettingsBlock;

/// Traffic of one request class.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Number of the request class.
    pub class: u16,
    /// Relative share of this traffic.
    pub share: f64,
    /// Set if the requests are writes.
    pub write: bool,
    /// Highest number of units of work of a request; the lowest is 1.
    pub max_units: u64,
    /// Size of each written block, in bytes.
    pub payload: usize,
    /// Number of blocks that start at the key; 0 if a key addresses a single value.
    pub blocks: u64,
}

/// Delay before a retry without a retry-after time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backoff {
    /// No delay.
    None,
    /// The same delay before each retry.
    Fixed,
    /// A delay that doubles with each retry, with jitter from half to one and a half of the delay.
    Exponential,
}

/// Retry behaviour of some of the clients after a request that did not succeed.
#[derive(Clone, Copy, Debug)]
pub struct RetryBehaviour {
    /// Relative share of the clients with this behaviour.
    pub share: f64,
    /// Growth of the delay.
    pub backoff: Backoff,
    /// First delay.
    pub delay: Ms,
    /// Highest number of times that a request is sent.
    pub max_sends: u32,
    /// Fraction of the retry-after times that clients follow.
    pub retry_after_compliance: f64,
}

impl RetryBehaviour {
    /// Returns the delay of the retry after `sends` sends; `compliance` and `spread` are random numbers from 0 to 1.
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

/// Expectations of a scenario about retry storms.
#[derive(Clone, Debug)]
pub struct RetryStormExpectation {
    /// Highest number of units that a restarted node may receive in 100 ms, as a multiple of its capacity during
    /// the 100 ms.
    pub max_load: f64,
    /// Duration of the quiet period at the beginning.
    pub quiet_duration: Ms,
    /// Fraction of the earned weight of the quiet period at which the traffic is considered recovered.
    pub recovery_share: f64,
    /// Longest time until the traffic has recovered.
    pub max_recovery_time: Ms,
}

/// Traffic of the clients.
#[derive(Clone, Debug)]
pub struct TrafficConfig {
    /// Requests per second over all hosts.
    pub rate: f64,
    /// Number of connections to each host.
    pub connections_per_host: usize,
    /// Number of keys in each volume.
    pub keys: u64,
    /// Mean number of consecutive requests that read or write a volume sequentially.
    pub mean_run_length: u64,
    /// Set if clients without a retry behaviour retry a rejected request once, after its retry-after time.
    pub retries: bool,
    /// Traffic by request class.
    pub mixes: Vec<Mix>,
    /// Retry behaviours of the clients; if empty, `retries` applies.
    pub retry_behaviours: Vec<RetryBehaviour>,
}

/// Settings of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// Time during which clients send requests.
    pub duration: Ms,
    /// Grace period in which a host may still send attempts to a node after receiving its drain notification.
    pub drain_grace: Ms,
    /// Largest difference between the times observed by two threads of one machine.
    pub clock_tolerance: Ms,
    /// Numbers of hosts that do not coalesce writes, for comparison.
    pub hosts_without_coalescing: Vec<u64>,
    /// Traffic of the clients.
    pub traffic: TrafficConfig,
    /// Faults to inject.
    pub faults: Vec<Fault>,
    /// Expectations about retry storms, if the scenario states any.
    pub retry_storm: Option<RetryStormExpectation>,
}

/// All settings that a file may contain.
pub struct Config {
    /// Block `host` and its associated blocks.
    pub host: HostConfig,
    /// Block `standin`.
    pub emulator: Option<EmulatorConfig>,
    /// Blocks `drill`, `traffic`, `trouble` and `storm`.
    pub scenario: Option<ScenarioConfig>,
}

/// Reads a whole file; `None` if the block `host` is missing, which is an error of the file.
pub fn read_config(root: &SettingsBlock<'_>, seed: u64) -> Option<Config> {
    let host = read_host(root, seed);
    let mut emulator = read_emulator(root);
    if let (Some(emulator), Some(host)) = (&mut emulator, &host) {
        let shards = |volume: &Volume| volume.shards.iter().map(|shard| *shard as u32).collect();
        emulator.volumes = host.volumes.iter().map(|(id, volume)| (*id, shards(volume))).collect();
    }
    // Without the block `host` the blocks of a scenario are not read.
    let scenario = host.as_ref().and_then(|host| read_scenario(root, host));
    Some(Config { host: host?, emulator, scenario })
}

fn read_scenario(root: &SettingsBlock<'_>, host: &HostConfig) -> Option<ScenarioConfig> {
    let faults = read_faults(root);
    let scenario = root.optional_block("drill");
    let traffic = root.optional_block("traffic");
    let time = |name, absent| {
        scenario
            .as_ref()
            .map_or(absent, |block: &SettingsBlock<'_>| block.attribute(name).duration_ms_or(absent))
    };
    let (duration, drain_grace, clock_tolerance) =
        (time("time", 10_000.0), time("drain_within", 250.0), time("noise", 60.0));
    let hosts_setting =
        scenario.as_ref().map(|block| block.attribute("alone")).filter(|field| field.is_present());
    let hosts_without_coalescing = hosts_setting.map_or(Vec::new(), |field| field.integers());
    let traffic = traffic.map(|block| read_traffic(&block, host));
    let retry_storm = root.optional_block("storm").map(|block| read_retry_storm(&block));
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

fn read_retry_storm(block: &SettingsBlock<'_>) -> RetryStormExpectation {
    RetryStormExpectation {
        max_load: block.attribute("ceiling").number(),
        quiet_duration: block.attribute("quiet").duration_ms(),
        recovery_share: block.attribute("recovers_to").fraction_or(0.9),
        max_recovery_time: block.attribute("recovers_in").duration_ms_or(10_000.0),
    }
}

fn read_traffic(block: &SettingsBlock<'_>, host: &HostConfig) -> TrafficConfig {
    let mixes: Vec<Mix> = block.labelled_blocks("mix").iter().filter_map(|mix| read_mix(mix, host)).collect();
    if mixes.iter().map(|mix| mix.share).sum::<f64>() <= 0.0 {
        block.report_error("no mix with a share; expected at least one block mix \"band\"");
    }
    TrafficConfig {
        rate: block.attribute("rate").number(),
        connections_per_host: block.attribute("clients").integer_or(1..=10_000, 4) as usize,
        keys: block.attribute("keys").integer_or(1..=1_000_000, 100),
        mean_run_length: block.attribute("run").integer_or(1..=1_000_000, 1),
        retries: block.attribute("retries").bool_or(true),
        mixes,
        retry_behaviours: block.labelled_blocks("habit").iter().map(read_retry_behaviour).collect(),
    }
}

fn read_mix(block: &SettingsBlock<'_>, host: &HostConfig) -> Option<Mix> {
    let mut classes = host.classes.iter().map(String::as_str).zip(0..);
    let class = classes.find(|(name, _)| *name == block.label()).map(|(_, number)| number);
    if class.is_none() {
        block.report_error(format!("a mix of the unknown band {:?}", block.label()));
    }
    Some(Mix {
        share: block.attribute("share").number(),
        write: block.attribute("write").bool_or(false),
        max_units: block.attribute("units").integer_or(1..=host.scheduler.max_units.max(1.0) as u64, 1),
        blocks: block.attribute("blocks").integer_or(0..=1 << 16, 0),
        payload: block.attribute("payload").integer_or(0..=1 << 20, 64) as usize,
        class: class?,
    })
}

const BACKOFFS: [(&str, Backoff); 3] =
    [("at-once", Backoff::None), ("fixed", Backoff::Fixed), ("exponential", Backoff::Exponential)];

fn read_retry_behaviour(block: &SettingsBlock<'_>) -> RetryBehaviour {
    RetryBehaviour {
        share: block.attribute("share").number(),
        backoff: block.attribute("again").one_of_or(&BACKOFFS, Backoff::Exponential),
        delay: block.attribute("wait").duration_ms_or(50.0),
        max_sends: block.attribute("tries").integer_or(1..=1000, 4) as u32,
        retry_after_compliance: block.attribute("heeds").fraction_or(1.0),
    }
}
