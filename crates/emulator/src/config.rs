//! What a fleet of emulated services is told.

use crate::Ms;
use magpiewick_extents::MigrationLimits;
use magpiewick_hcl_settings::Part;
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
    pub pace: MigrationLimits,
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
pub fn fleet(root: &Part) -> Option<EmulatorConfig> {
    let p = root.part("standin")?;
    let cores = p.field("cores").whole_or(1..=1024, 2);
    let speed = p.field("speed").number_or(1.0);
    if speed <= 0.0 {
        p.fault_at("speed", "a speed of 0: nothing would ever be done");
    }
    let nodes = p.labelled("node").iter().map(|n| node(n, cores, speed)).collect::<Vec<_>>();
    if nodes.is_empty() {
        p.fault("no node; expected at least one block node \"number\"");
    }
    let classes = p.field("fingerprinted");
    let fingerprinted = if classes.given() { classes.wholes() } else { Vec::new() };
    Some(EmulatorConfig {
        seed: p.field("seed").whole_or(0..=u64::MAX, 1),
        list: p.field("list").address_or(ANY),
        list_late: p.field("list_late").time_or(0.0),
        unit_work: p.field("unit_work").time_or(1.0),
        command_work: p.field("command_work").time_or(0.0),
        block: p.field("block").whole_or(8..=1 << 20, 64) as usize,
        queue: p.field("queue").whole_or(1..=1 << 20, 256) as usize,
        cold: cold(p.part("cold")),
        fingerprinted: fingerprinted.into_iter().map(|class| class as u16).collect(),
        group: p.field("group").one_of_or(&SCOPES, DeduplicationScope::Shard),
        memory: p.field("memory").time_or(0.0),
        put_off: p.field("put_off").part_or(0.0),
        put_off_every: p.field("put_off_every").time_or(1000.0),
        nodes,
        extents: p.field("extents").whole_or(0..=1 << 20, 0),
        keys: p.field("keys").whole_or(1..=1 << 40, 1 << 20),
        move_step: p.field("move_step").time_or(20.0),
        pace: MigrationLimits {
            max_concurrent: p.field("moves").whole_or(1..=1000, 4) as usize,
            max_per_shard: p.field("moves_a_shard").whole_or(1..=1000, 2) as usize,
            max_queue_length: p.field("moves_queue").whole_or(1..=1 << 20, 64) as usize,
        },
        volumes: Vec::new(),
    })
}

fn cold(part: Option<Part>) -> Cold {
    let warm = Cold { share: 1.0, time: 0.0, fall_multiple: 1.0, fall_time: 0.0, units: f64::INFINITY };
    part.map_or(warm, |p| Cold {
        share: p.field("share").part_or(1.0),
        time: p.field("time").time(),
        fall_multiple: p.field("fall_multiple").number(),
        fall_time: p.field("fall_time").time(),
        units: p.field("units").number_or(0.0),
    })
}

fn node(p: &Part, cores: u64, speed: f64) -> NodeConfig {
    let number = p.label().parse().unwrap_or_else(|_| {
        p.fault(format!("the label {:?} of a node is not its number", p.label()));
        0
    });
    NodeConfig {
        number,
        listen: p.field("listen").address_or(ANY),
        zone: p.field("zone").whole_or(0..=u64::from(u16::MAX), 0) as u16,
        shard: p.field("shard").whole(0..=u64::from(u16::MAX)) as u32,
        cores: p.field("cores").whole_or(1..=1024, cores) as usize,
        speed: p.field("speed").number_or(speed),
        spare: p.field("spare").flag_or(false),
    }
}
