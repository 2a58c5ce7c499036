//! What a fleet of emulated services is told.

use crate::Ms;
use magpiewick_extents::Pace;
use magpiewick_hcl_settings::SettingsBlock;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// How a node that has just started does its work.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub share: f64,
    pub time: Ms,
    /// It falls when sent more than this multiple of what it can do for this time, but bears these units.
    pub fall_multiple: f64,
    pub fall_time: Ms,
    pub units: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Shard,
}

#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub number: u32,
    pub listen: SocketAddr,
    pub zone: u16,
    pub shard: u32,
    pub cores: usize,
    pub speed: f64,
    /// Not started until a script does.
    pub spare: bool,
}

#[derive(Clone, Debug)]
pub struct EmulatorConfig {
    pub seed: u64,
    pub list: SocketAddr,
    /// How late the endpoint list service tells its news.
    pub list_late: Ms,
    /// Work of a unit at a speed of 1.
    pub unit_work: Ms,
    /// Work of a request of the node, whatever it holds.
    pub command_work: Ms,
    /// Bytes of a block in the answer to a read of several.
    pub block: usize,
    pub queue: usize,
    pub cold: Cold,
    /// The classes, by number, whose repeats are dropped, among which nodes, and for how long.
    pub fingerprinted: Vec<u16>,
    pub group: DeduplicationScope,
    pub memory: Ms,
    /// The part of a write's work that is put off, and how often what was put off is done in one go.
    pub put_off: f64,
    pub put_off_every: Ms,
    pub nodes: Vec<NodeConfig>,
    /// Into how many extents each volume is cut (0: no map), how many keys a volume has room for, and how long a
    /// step of a move takes.
    pub extents: u64,
    pub keys: u64,
    pub move_step: Ms,
    pub pace: Pace,
    /// The volumes and the shards that hold them at first; the host's part of the file tells them.
    pub volumes: Vec<(u64, Vec<u32>)>,
}

const SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Reads the block `standin` of a file, where it has one.
pub fn fleet(root: &SettingsBlock) -> Option<EmulatorConfig> {
    let p = root.optional_block("standin")?;
    let cores = p.attribute("cores").integer_or(1..=1024, 2);
    let speed = p.attribute("speed").number_or(1.0);
    if speed <= 0.0 {
        p.report_attribute_error("speed", "a speed of 0: nothing would ever be done");
    }
    let nodes = p.labelled_blocks("node").iter().map(|n| node(n, cores, speed)).collect::<Vec<_>>();
    if nodes.is_empty() {
        p.report_error("no node; expected at least one block node \"number\"");
    }
    let classes = p.attribute("fingerprinted");
    let fingerprinted = if classes.is_present() { classes.integers() } else { Vec::new() };
    Some(EmulatorConfig {
        seed: p.attribute("seed").integer_or(0..=u64::MAX, 1),
        list: p.attribute("list").address_or(ANY),
        list_late: p.attribute("list_late").duration_ms_or(0.0),
        unit_work: p.attribute("unit_work").duration_ms_or(1.0),
        command_work: p.attribute("command_work").duration_ms_or(0.0),
        block: p.attribute("block").integer_or(8..=1 << 20, 64) as usize,
        queue: p.attribute("queue").integer_or(1..=1 << 20, 256) as usize,
        cold: cold(p.optional_block("cold")),
        fingerprinted: fingerprinted.into_iter().map(|class| class as u16).collect(),
        group: p.attribute("group").one_of_or(&SCOPES, DeduplicationScope::Shard),
        memory: p.attribute("memory").duration_ms_or(0.0),
        put_off: p.attribute("put_off").fraction_or(0.0),
        put_off_every: p.attribute("put_off_every").duration_ms_or(1000.0),
        nodes,
        extents: p.attribute("extents").integer_or(0..=1 << 20, 0),
        keys: p.attribute("keys").integer_or(1..=1 << 40, 1 << 20),
        move_step: p.attribute("move_step").duration_ms_or(20.0),
        pace: Pace {
            at_once: p.attribute("moves").integer_or(1..=1000, 4) as usize,
            a_shard: p.attribute("moves_a_shard").integer_or(1..=1000, 2) as usize,
            queue: p.attribute("moves_queue").integer_or(1..=1 << 20, 64) as usize,
        },
        volumes: Vec::new(),
    })
}

fn cold(part: Option<SettingsBlock>) -> Cold {
    let warm = Cold { share: 1.0, time: 0.0, fall_multiple: 1.0, fall_time: 0.0, units: f64::INFINITY };
    part.map_or(warm, |p| Cold {
        share: p.attribute("share").fraction_or(1.0),
        time: p.attribute("time").duration_ms(),
        fall_multiple: p.attribute("fall_multiple").number(),
        fall_time: p.attribute("fall_time").duration_ms(),
        units: p.attribute("units").number_or(0.0),
    })
}

fn node(p: &SettingsBlock, cores: u64, speed: f64) -> NodeConfig {
    let number = p.label().parse().unwrap_or_else(|_| {
        p.report_error(format!("the label {:?} of a node is not its number", p.label()));
        0
    });
    NodeConfig {
        number,
        listen: p.attribute("listen").address_or(ANY),
        zone: p.attribute("zone").integer_or(0..=u64::from(u16::MAX), 0) as u16,
        shard: p.attribute("shard").integer(0..=u64::from(u16::MAX)) as u32,
        cores: p.attribute("cores").integer_or(1..=1024, cores) as usize,
        speed: p.attribute("speed").number_or(speed),
        spare: p.attribute("spare").bool_or(false),
    }
}
