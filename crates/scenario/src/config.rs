//! What a scenario or a load is told.

use magpiewick_emulator::{read_fleet, read_troubles, EmulatorConfig, Trouble};
use magpiewick_gateway::config::{host, HostConfig, Volume};
use magpiewick_hcl_settings::SettingsBlock;

type Ms = f64;

/// The traffic of one class.
#[derive(Clone, Debug)]
pub struct Mix {
    pub class: u16,
    pub share: f64,
    pub write: bool,
    /// Requests ask 1 to so many units.
    pub units: u64,
    /// Bytes of each block that is written.
    pub payload: usize,
    /// Blocks from the key on; 0 where a key is a piece by itself.
    pub blocks: u64,
}

/// How a client waits before it asks again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    AtOnce,
    Fixed,
    /// Doubled with each try, and spread over half to one and a half of it.
    Exponential,
}

/// What some of the clients do with a request that was not succeeded.
#[derive(Clone, Copy, Debug)]
pub struct Habit {
    pub share: f64,
    pub again: Again,
    pub wait: Ms,
    /// Tries in all.
    pub tries: u32,
    /// The part of the times to come back that they are told which they follow.
    pub heeds: f64,
}

impl Habit {
    /// The wait before the try that follows so many; `heeds` and `spread` are drawn from 0 to 1.
    pub fn wait_after(&self, tries: u32, back: Ms, heeds: f64, spread: f64) -> Ms {
        match self.again {
            _ if back > 0.0 && heeds < self.heeds => back,
            Again::AtOnce => 0.0,
            Again::Fixed => self.wait,
            Again::Exponential => self.wait * f64::from(1 << tries.clamp(1, 16) >> 1) * (0.5 + spread),
        }
    }
}

/// What a scenario on storms of later tries must show.
#[derive(Clone, Debug)]
pub struct Storm {
    /// The most units that a node that came back may be sent in 100 ms, as a multiple of what it can do in them.
    pub ceiling: f64,
    /// Until when the traffic is quiet; to which part of that priority weight, and within what time, it comes back.
    pub quiet: Ms,
    pub recovers_to: f64,
    pub recovers_in: Ms,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    /// Requests a second over all hosts.
    pub rate: f64,
    /// Connections to each host.
    pub clients: usize,
    /// Pieces of data in each volume.
    pub keys: u64,
    /// How many requests follow each other through a volume, one behind the other, on average.
    pub run: u64,
    /// Whether a rejected client comes back once, when it was told to.
    pub retries: bool,
    pub mixes: Vec<Mix>,
    /// None: a rejected client comes back as `retries` says.
    pub habits: Vec<Habit>,
}

#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    pub time: Ms,
    /// How late something may still be sent to a node that is known to drain.
    pub drain_within: Ms,
    /// By how much what two threads of one machine saw may lie apart.
    pub noise: Ms,
    /// Hosts that send every request by itself, to compare with.
    pub alone: Vec<u64>,
    pub traffic: Traffic,
    pub troubles: Vec<Trouble>,
    pub storm: Option<Storm>,
}

/// Reads the blocks `scenario`, `traffic` and `fault` of a file, where it has a `traffic` block.
pub fn read(root: &SettingsBlock, host: &HostConfig) -> Option<ScenarioConfig> {
    let troubles = read_troubles(root);
    let drill = root.optional_block("drill");
    let traffic = root.optional_block("traffic");
    let number = |name, absent| {
        drill.as_ref().map_or(absent, |p: &SettingsBlock| p.attribute(name).duration_ms_or(absent))
    };
    let (time, drain_within, noise) =
        (number("time", 10_000.0), number("drain_within", 250.0), number("noise", 60.0));
    let alone = drill.as_ref().map(|p| p.attribute("alone")).filter(|f| f.is_present());
    let alone = alone.map_or(Vec::new(), |f| f.integers());
    let traffic = traffic.map(|p| read_traffic(&p, host));
    let storm = root.optional_block("storm").map(|p| Storm {
        ceiling: p.attribute("ceiling").number(),
        quiet: p.attribute("quiet").duration_ms(),
        recovers_to: p.attribute("recovers_to").fraction_or(0.9),
        recovers_in: p.attribute("recovers_in").duration_ms_or(10_000.0),
    });
    if traffic.is_none() && drill.is_some() {
        root.report_error("the block traffic is missing; a drill needs clients");
    }
    Some(ScenarioConfig { time, drain_within, noise, alone, traffic: traffic?, troubles, storm })
}

fn read_traffic(p: &SettingsBlock, host: &HostConfig) -> Traffic {
    let classes: Vec<(&str, u16)> = host.classes.iter().map(String::as_str).zip(0..).collect();
    let mixes = p.labelled_blocks("mix");
    let mixes = mixes.iter().filter_map(|m| {
        let class = classes.iter().find(|(name, _)| *name == m.label());
        if class.is_none() {
            m.report_error(format!("a mix of the unknown band {:?}", m.label()));
        }
        Some(Mix {
            share: m.attribute("share").number(),
            write: m.attribute("write").bool_or(false),
            units: m.attribute("units").integer_or(1..=host.start.max_units.max(1.0) as u64, 1),
            blocks: m.attribute("blocks").integer_or(0..=1 << 16, 0),
            payload: m.attribute("payload").integer_or(0..=1 << 20, 64) as usize,
            class: class?.1,
        })
    });
    let mixes: Vec<Mix> = mixes.collect();
    if mixes.iter().map(|m| m.share).sum::<f64>() <= 0.0 {
        p.report_error("no mix with a share; expected at least one block mix \"band\"");
    }
    Traffic {
        rate: p.attribute("rate").number(),
        clients: p.attribute("clients").integer_or(1..=10_000, 4) as usize,
        keys: p.attribute("keys").integer_or(1..=1_000_000, 100),
        run: p.attribute("run").integer_or(1..=1_000_000, 1),
        retries: p.attribute("retries").bool_or(true),
        mixes,
        habits: p.labelled_blocks("habit").iter().map(read_habit).collect(),
    }
}

const AGAIN: [(&str, Again); 3] =
    [("at-once", Again::AtOnce), ("fixed", Again::Fixed), ("exponential", Again::Exponential)];

fn read_habit(p: &SettingsBlock) -> Habit {
    Habit {
        share: p.attribute("share").number(),
        again: p.attribute("again").one_of_or(&AGAIN, Again::Exponential),
        wait: p.attribute("wait").duration_ms_or(50.0),
        tries: p.attribute("tries").integer_or(1..=1000, 4) as u32,
        heeds: p.attribute("heeds").fraction_or(1.0),
    }
}

/// All that a settings file may hold.
pub struct Sheet {
    pub host: HostConfig,
    pub fleet: Option<EmulatorConfig>,
    pub drill: Option<ScenarioConfig>,
}

/// Reads a whole file; none where it has no host, which is a fault of the file.
pub fn read_all(root: &SettingsBlock, seed: u64) -> Option<Sheet> {
    let host = host(root, seed);
    let mut fleet = read_fleet(root);
    if let (Some(fleet), Some(host)) = (&mut fleet, &host) {
        let shards = |v: &Volume| v.shards.iter().map(|s| *s as u32).collect();
        fleet.volumes = host.volumes.iter().map(|(id, v)| (*id, shards(v))).collect();
    }
    // Without a host nothing can be said of a scenario; its blocks are known all the same.
    let drill = host.as_ref().and_then(|host| read(root, host));
    Some(Sheet { host: host?, fleet, drill })
}
