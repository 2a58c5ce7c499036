//! The settings of the emulated services, as a file (HCL) gives them.

use crate::Ms;
use magpiewick_extents::MigrationLimits;
use magpiewick_hcl_settings::SettingsBlock;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// How a node that has just started warms up, and what overloads it meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartConfig {
    /// The part of its capacity that it starts with.
    pub initial_capacity: f64,
    /// How long it takes to reach its full capacity.
    pub duration: Ms,
    /// It is overloaded when it is sent more than this multiple of its capacity over a window.
    pub overload_factor: f64,
    /// The length of that window.
    pub overload_window: Ms,
    /// Units that it tolerates in its first window in any case.
    pub allowance: f64,
}

/// The nodes that share a deduplication window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// The nodes of a zone.
    Zone,
    /// The nodes of a shard.
    Shard,
}

/// The settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's number.
    pub number: u32,
    /// Where it listens.
    pub listen: SocketAddr,
    /// The zone that it is in.
    pub zone: u16,
    /// The shard that it serves.
    pub shard: u32,
    /// Requests that it executes at once.
    pub cores: usize,
    /// A multiple of the usual speed.
    pub speed: f64,
    /// Not started until a script starts it.
    pub spare: bool,
}

/// The settings of the emulated services.
#[derive(Clone, Debug)]
pub struct EmulatorConfig {
    /// The seed of all that is drawn.
    pub seed: u64,
    /// Where the endpoint list service listens.
    pub list_address: SocketAddr,
    /// How late the endpoint list service publishes an update.
    pub publication_delay: Ms,
    /// The work of a unit at a speed of 1.
    pub unit_work: Ms,
    /// The work of a request of the node, whatever it holds.
    pub request_work: Ms,
    /// Bytes of a block in the answer to a read of several.
    pub block_size: usize,
    /// Requests that a node queues.
    pub queue_capacity: usize,
    /// How nodes warm up.
    pub slow_start: SlowStartConfig,
    /// The numbers of the classes whose repeats are dropped.
    pub deduplicated_classes: Vec<u16>,
    /// Among which nodes repeats are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// For how long repeats are dropped.
    pub deduplication_window: Ms,
    /// The part of a write's work that is deferred.
    pub deferred_part: f64,
    /// How often deferred work is done, during which the node executes nothing else.
    pub deferred_work_interval: Ms,
    /// The nodes.
    pub nodes: Vec<NodeConfig>,
    /// Into how many extents each volume is divided; 0: there is no map.
    pub extents_per_volume: u64,
    /// How many keys a volume has room for.
    pub keys_per_volume: u64,
    /// How long a step of a migration takes.
    pub migration_step: Ms,
    /// The limits on concurrent migrations.
    pub migration_limits: MigrationLimits,
    /// The volumes and the shards that hold them at first; the host's part of the file gives them.
    pub volumes: Vec<(u64, Vec<u32>)>,
}

const SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Reads the block `standin` of a file, where it has one.
pub fn read_config(root: &SettingsBlock<'_>) -> Option<EmulatorConfig> {
    let p = root.optional_block("standin")?;
    let cores = p.attribute("cores").integer_or(1..=1024, 2);
    let speed = p.attribute("speed").number_or(1.0);
    if speed <= 0.0 {
        p.report_attribute_error("speed", "a speed of 0: nothing would ever be done");
    }
    let nodes = p.labelled_blocks("node").iter().map(|n| read_node(n, cores, speed)).collect::<Vec<_>>();
    if nodes.is_empty() {
        p.report_error("no node; expected at least one block node \"number\"");
    }
    let classes = p.attribute("fingerprinted");
    let classes = if classes.is_present() { classes.integers() } else { Vec::new() };
    Some(EmulatorConfig {
        seed: p.attribute("seed").integer_or(0..=u64::MAX, 1),
        list_address: p.attribute("list").address_or(ANY_PORT),
        publication_delay: p.attribute("list_late").duration_ms_or(0.0),
        unit_work: p.attribute("unit_work").duration_ms_or(1.0),
        request_work: p.attribute("command_work").duration_ms_or(0.0),
        block_size: p.attribute("block").integer_or(8..=1 << 20, 64) as usize,
        queue_capacity: p.attribute("queue").integer_or(1..=1 << 20, 256) as usize,
        slow_start: read_slow_start(p.optional_block("cold")),
        deduplicated_classes: classes.into_iter().map(|class| class as u16).collect(),
        deduplication_scope: p.attribute("group").one_of_or(&SCOPES, DeduplicationScope::Shard),
        deduplication_window: p.attribute("memory").duration_ms_or(0.0),
        deferred_part: p.attribute("put_off").fraction_or(0.0),
        deferred_work_interval: p.attribute("put_off_every").duration_ms_or(1000.0),
        nodes,
        extents_per_volume: p.attribute("extents").integer_or(0..=1 << 20, 0),
        keys_per_volume: p.attribute("keys").integer_or(1..=1 << 40, 1 << 20),
        migration_step: p.attribute("move_step").duration_ms_or(20.0),
        migration_limits: MigrationLimits {
            max_concurrent: p.attribute("moves").integer_or(1..=1000, 4) as usize,
            max_per_shard: p.attribute("moves_a_shard").integer_or(1..=1000, 2) as usize,
            max_queue_length: p.attribute("moves_queue").integer_or(1..=1 << 20, 64) as usize,
        },
        volumes: Vec::new(),
    })
}

fn read_slow_start(part: Option<SettingsBlock<'_>>) -> SlowStartConfig {
    let always_warm = SlowStartConfig {
        initial_capacity: 1.0,
        duration: 0.0,
        overload_factor: 1.0,
        overload_window: 0.0,
        allowance: f64::INFINITY,
    };
    part.map_or(always_warm, |p| SlowStartConfig {
        initial_capacity: p.attribute("share").fraction_or(1.0),
        duration: p.attribute("time").duration_ms(),
        overload_factor: p.attribute("fall_multiple").number(),
        overload_window: p.attribute("fall_time").duration_ms(),
        allowance: p.attribute("units").number_or(0.0),
    })
}

fn read_node(p: &SettingsBlock<'_>, cores: u64, speed: f64) -> NodeConfig {
    let number = p.label().parse().unwrap_or_else(|_| {
        p.report_error(format!("the label {:?} of a node is not its number", p.label()));
        0
    });
    NodeConfig {
        number,
        listen: p.attribute("listen").address_or(ANY_PORT),
        zone: p.attribute("zone").integer_or(0..=u64::from(u16::MAX), 0) as u16,
        shard: p.attribute("shard").integer(0..=u64::from(u16::MAX)) as u32,
        cores: p.attribute("cores").integer_or(1..=1024, cores) as usize,
        speed: p.attribute("speed").number_or(speed),
        spare: p.attribute("spare").bool_or(false),
    }
}
