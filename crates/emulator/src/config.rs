//! Settings of the emulated services, read from an HCL file.

use crate::Ms;
use magpiewick_extents::MigrationLimits;
use magpiewick_hcl_settings::SettingsBlock;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Warm-up of a node after its start, and the overload of a warming node.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartConfig {
    /// Fraction of the capacity that is available at the start.
    pub initial_capacity: f64,
    /// Time until the node reaches its full capacity.
    pub duration: Ms,
    /// Multiple of the capacity over a window above which the node is overloaded.
    pub overload_factor: f64,
    /// Length of the window.
    pub overload_window: Ms,
    /// Number of units that the node always tolerates in its first window.
    pub allowance: f64,
}

/// Set of nodes that share a deduplication window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// All nodes of a zone.
    Zone,
    /// All nodes of a shard.
    Shard,
}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Number of the node.
    pub number: u32,
    /// Address on which the node listens.
    pub listen: SocketAddr,
    /// Zone of the node.
    pub zone: u16,
    /// Shard served by the node.
    pub shard: u32,
    /// Number of requests that the node executes concurrently.
    pub cores: usize,
    /// Speed of the node as a multiple of the usual speed.
    pub speed: f64,
    /// Set if the node runs only after a script has started it.
    pub spare: bool,
}

/// Settings of the emulated services.
#[derive(Clone, Debug)]
pub struct EmulatorConfig {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Address on which the endpoint list service listens.
    pub list_address: SocketAddr,
    /// Delay with which the endpoint list service publishes an update.
    pub publication_delay: Ms,
    /// Execution time of a unit of work at a speed of 1.
    pub unit_work: Ms,
    /// Fixed execution time of a node request, independent of its parts.
    pub request_work: Ms,
    /// Size of a block in the answer to a read of several blocks, in bytes.
    pub block_size: usize,
    /// Capacity of the queue of a node, in requests.
    pub queue_capacity: usize,
    /// Warm-up of nodes.
    pub slow_start: SlowStartConfig,
    /// Numbers of the request classes with deduplication.
    pub deduplicated_classes: Vec<u16>,
    /// Set of nodes among which requests are deduplicated.
    pub deduplication_scope: DeduplicationScope,
    /// Duration of the deduplication window.
    pub deduplication_window: Ms,
    /// Fraction of the work of a write that is deferred.
    pub deferred_part: f64,
    /// Interval between executions of deferred work, during which the node executes no requests.
    pub deferred_work_interval: Ms,
    /// Settings of the nodes.
    pub nodes: Vec<NodeConfig>,
    /// Number of extents per volume; 0 for no extent map.
    pub extents_per_volume: u64,
    /// Number of keys per volume.
    pub keys_per_volume: u64,
    /// Duration of a migration step.
    pub migration_step: Ms,
    /// Limits on concurrent migrations.
    pub migration_limits: MigrationLimits,
    /// Volumes and the shards that initially store them, taken from the settings of the host.
    pub volumes: Vec<(u64, Vec<u32>)>,
}

const SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Reads the block `standin` of a file, if present.
pub fn read_config(root: &SettingsBlock<'_>) -> Option<EmulatorConfig> {
    let block = root.optional_block("standin")?;
    let cores = block.attribute("cores").integer_or(1..=1024, 2);
    let speed = block.attribute("speed").number_or(1.0);
    if speed <= 0.0 {
        block.report_attribute_error(
            "speed",
            "a speed of 0: no request would ever complete; expected a number above 0",
        );
    }
    let nodes = block
        .labelled_blocks("node")
        .iter()
        .map(|node_block| read_node(node_block, cores, speed))
        .collect::<Vec<_>>();
    if nodes.is_empty() {
        block.report_error("no node; expected at least one block node \"number\"");
    }
    let classes = block.attribute("fingerprinted");
    let classes = if classes.is_present() { classes.integers() } else { Vec::new() };
    Some(EmulatorConfig {
        seed: block.attribute("seed").integer_or(0..=u64::MAX, 1),
        list_address: block.attribute("list").address_or(ANY_PORT),
        publication_delay: block.attribute("list_late").duration_ms_or(0.0),
        unit_work: block.attribute("unit_work").duration_ms_or(1.0),
        request_work: block.attribute("command_work").duration_ms_or(0.0),
        block_size: block.attribute("block").integer_or(8..=1 << 20, 64) as usize,
        queue_capacity: block.attribute("queue").integer_or(1..=1 << 20, 256) as usize,
        slow_start: read_slow_start(block.optional_block("cold")),
        deduplicated_classes: classes.into_iter().map(|class| class as u16).collect(),
        deduplication_scope: block.attribute("group").one_of_or(&SCOPES, DeduplicationScope::Shard),
        deduplication_window: block.attribute("memory").duration_ms_or(0.0),
        deferred_part: block.attribute("put_off").fraction_or(0.0),
        deferred_work_interval: block.attribute("put_off_every").duration_ms_or(1000.0),
        nodes,
        extents_per_volume: block.attribute("extents").integer_or(0..=1 << 20, 0),
        keys_per_volume: block.attribute("keys").integer_or(1..=1 << 40, 1 << 20),
        migration_step: block.attribute("move_step").duration_ms_or(20.0),
        migration_limits: MigrationLimits {
            max_concurrent: block.attribute("moves").integer_or(1..=1000, 4) as usize,
            max_per_shard: block.attribute("moves_a_shard").integer_or(1..=1000, 2) as usize,
            max_queue_length: block.attribute("moves_queue").integer_or(1..=1 << 20, 64) as usize,
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
    part.map_or(always_warm, |block| SlowStartConfig {
        initial_capacity: block.attribute("share").fraction_or(1.0),
        duration: block.attribute("time").duration_ms(),
        overload_factor: block.attribute("fall_multiple").number(),
        overload_window: block.attribute("fall_time").duration_ms(),
        allowance: block.attribute("units").number_or(0.0),
    })
}

fn read_node(block: &SettingsBlock<'_>, cores: u64, speed: f64) -> NodeConfig {
    let number = block.label().parse().unwrap_or_else(|_| {
        block.report_error(format!("the label {:?} of a node is not its number", block.label()));
        0
    });
    NodeConfig {
        number,
        listen: block.attribute("listen").address_or(ANY_PORT),
        zone: block.attribute("zone").integer_or(0..=u64::from(u16::MAX), 0) as u16,
        shard: block.attribute("shard").integer(0..=u64::from(u16::MAX)) as u32,
        cores: block.attribute("cores").integer_or(1..=1024, cores) as usize,
        speed: block.attribute("speed").number_or(speed),
        spare: block.attribute("spare").bool_or(false),
    }
}
