//! Reads the settings of a host from an HCL file. The names of keys and values are those of the
//! installations; this module alone maps them to the code's terms.

use super::{HostConfig, HostLimits, ListServiceConfig, LogConfig, LogFormat, SplitReadConfig, Volume};
use magpiewick::{
    DeduplicationScope, Idempotency, Ms, QosPolicy, RequestClass, RetryBudget, SchedulerConfig,
};
use magpiewick_hcl_settings::SettingsBlock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Smallest memory limit of a host in bytes.
const MIN_MEMORY_LIMIT: u64 = 16 << 20;

const IDEMPOTENCY_NAMES: [(&str, Idempotency); 3] = [
    ("retriable", Idempotency::Idempotent),
    ("fingerprinted", Idempotency::IdempotentWithKey),
    ("binding", Idempotency::NonIdempotent),
];
const SCOPE_NAMES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const POLLED_NAMES: [(&str, bool); 2] = [("push", false), ("ask", true)];
const FORMAT_NAMES: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVEL_NAMES: [(&str, &str); 5] =
    [("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug"), ("trace", "trace")];
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Reads and checks the settings of a host. `seed` is used where the file states none.
pub fn read_host_config(root: &SettingsBlock<'_>, seed: u64) -> Option<HostConfig> {
    let host_block = root.required_block("host");
    let list = root.optional_block("list").map(|block| read_list_service(&block));
    let action_interval =
        host_block.as_ref().map_or(2.0, |block| block.attribute("round").duration_ms_or(2.0));
    let (classes, class_names) = read_classes(root, action_interval);
    let (qos_policies, policy_names) = read_policies(root);
    let hosts =
        host_block.as_ref().map_or(1, |block| block.attribute("hosts").integer_or(1..=10_000, 1)) as f64;
    let volumes = read_volumes(root, &policy_names, hosts);
    let log = read_log_config(root.optional_block("log"));
    let host_block = host_block?;
    let units = host_block.attribute("most_units").number_or(1.0);
    let mean = host_block.attribute("mean_units").number_or(units);
    if mean > units || units <= 0.0 {
        host_block.report_attribute_error(
            "mean_units",
            format!("mean_units {mean} must lie within most_units {units}"),
        );
    }
    let max_poll_interval = list.as_ref().and_then(|(_, poll_within)| *poll_within);
    let mut scheduler = SchedulerConfig {
        seed: host_block.attribute("seed").integer_or(0..=u64::MAX, seed),
        hosts,
        classes,
        policies: qos_policies,
        action_interval,
        max_attempts: host_block.attribute("hand_offs").integer_or(1..=100, 3) as u32,
        can_cancel: host_block.attribute("cancels").bool_or(true),
        max_retry_after: host_block.attribute("longest_back").duration_ms_or(500.0),
        max_poll_interval,
        slow_start_share: 1.0,
        slow_start_duration: 0.0,
        slow_start_units: 0.0,
        overload_window: 0.0,
        overload_multiple: 1.0,
        ordering_quiet_period: host_block.attribute("order_rest").duration_ms_or(0.0),
        budget: None,
        max_units: units,
        mean_units: mean,
        max_batch_units: units,
        share_weight: host_block.attribute("share_payoff").fraction_or(0.35),
        counts_remote_service: host_block.attribute("counts_others").bool_or(true),
        host_number: None,
    };
    if let Some(block) = root.optional_block("cold") {
        read_slow_start(&block, &mut scheduler);
    }
    scheduler.budget = root.optional_block("budget").map(|block| read_retry_budget(&block));
    if scheduler.max_attempts > 1
        && scheduler.classes.iter().all(|class| class.idempotency == Idempotency::NonIdempotent)
    {
        let message = "hand_offs above 1, where every band is binding; a request is never sent again after \
            an attempt that may have run";
        host_block.report_attribute_error("hand_offs", message);
    }
    check_capacity(root, &scheduler, &volumes);
    let limits = HostLimits {
        connect_timeout: host_block.attribute("connect_within").duration_ms_or(250.0),
        partial_frame_timeout: host_block.attribute("frame_within").duration_ms_or(10_000.0),
        max_clients: host_block.attribute("most_clients").integer_or(1..=1_000_000, 4096) as usize,
        max_pending_requests: host_block.attribute("most_in_hand").integer_or(1..=10_000_000, 50_000)
            as usize,
        max_client_buffer: host_block.attribute("client_buffer").integer_or(1024..=1 << 30, 4 << 20) as usize,
        memory_limit: host_block.attribute("memory_limit").integer_or(MIN_MEMORY_LIMIT..=1 << 40, 1 << 30)
            as usize,
    };
    let coalescing = read_batch_limits(root.optional_block("merge"), units);
    if coalescing.max_parts > 1 {
        scheduler.max_batch_units = coalescing.max_units.max(units);
    }
    Some(HostConfig {
        number: host_block.attribute("number").integer_or(0..=u64::from(u32::MAX), 0) as u32,
        listen: host_block.attribute("listen").address_or(LOOPBACK),
        list_service: list.map_or(
            ListServiceConfig { address: LOOPBACK, polled: false, serves_map: false, cache_path: None },
            |(list_service, _)| list_service,
        ),
        scheduler,
        classes: class_names,
        volumes,
        gossip_addresses: read_gossip_addresses(root, hosts as usize),
        limits,
        log,
        coalescing,
        split_reads: read_split_limits(root.optional_block("split")),
    })
}

fn read_list_service(block: &SettingsBlock<'_>) -> (ListServiceConfig, Option<Ms>) {
    let polled = block.attribute("mode").one_of_or(&POLLED_NAMES, false);
    let poll_within = block.attribute("ask_within");
    let max_poll_interval = match (polled, poll_within.is_present()) {
        (true, _) => Some(poll_within.duration_ms()),
        (false, true) => {
            block.report_attribute_error(
                "ask_within",
                "ask_within requires mode = \"ask\"; a pushed list is not polled",
            );
            None
        }
        (false, false) => None,
    };
    let cache = block.attribute("remember");
    let list_service = ListServiceConfig {
        address: block.attribute("address").address_or(LOOPBACK),
        polled,
        serves_map: block.attribute("map").bool_or(false),
        cache_path: cache.is_present().then(|| PathBuf::from(cache.string())),
    };
    (list_service, max_poll_interval)
}

/// Reads the limits of coalescing. Without the block a batch contains at most the units of two of the largest
/// requests.
fn read_batch_limits(block: Option<SettingsBlock<'_>>, max_units: f64) -> magpiewick_coalescing::BatchLimits {
    let defaults = magpiewick_coalescing::BatchLimits {
        max_parts: 8,
        max_units: 2.0 * max_units,
        max_bytes: 64 << 10,
        max_gap: 64,
    };
    let Some(block) = block else { return defaults };
    magpiewick_coalescing::BatchLimits {
        max_parts: block.attribute("parts").integer_or(1..=256, defaults.max_parts as u64) as usize,
        max_units: block.attribute("units").number_or(defaults.max_units),
        max_bytes: block.attribute("bytes").integer_or(1..=512 << 10, defaults.max_bytes as u64) as usize,
        max_gap: block.attribute("reach").integer_or(0..=1 << 40, defaults.max_gap),
    }
}

fn read_split_limits(block: Option<SettingsBlock<'_>>) -> SplitReadConfig {
    let (max_blocks, max_in_flight) = (64, 4);
    block.map_or(SplitReadConfig { max_blocks, max_in_flight }, |block| SplitReadConfig {
        max_blocks: block.attribute("blocks").integer_or(1..=1 << 30, max_blocks),
        max_in_flight: block.attribute("at_once").integer_or(1..=256, max_in_flight as u64) as usize,
    })
}

fn read_classes(root: &SettingsBlock<'_>, round: Ms) -> (Vec<RequestClass>, Vec<String>) {
    let blocks = root.labelled_blocks("band");
    if blocks.is_empty() {
        root.report_error("no band; expected at least one block band \"name\"");
    }
    let read = |block: &SettingsBlock<'_>| {
        let idempotency =
            block.attribute("repeats").one_of(&IDEMPOTENCY_NAMES).unwrap_or(Idempotency::NonIdempotent);
        let (deduplication_scope, deduplication_window) =
            (block.attribute("group"), block.attribute("memory"));
        let has_key = idempotency == Idempotency::IdempotentWithKey;
        for (name, given) in
            [("group", deduplication_scope.is_present()), ("memory", deduplication_window.is_present())]
        {
            if given && !has_key {
                block.report_attribute_error(name, format!("{name} requires repeats = \"fingerprinted\""));
            }
        }
        let class = RequestClass {
            latency_objective: block.attribute("soft_limit").duration_ms(),
            client_timeout: block.attribute("time_limit").duration_ms(),
            priority_weight: block.attribute("payoff").number_or(1.0),
            idempotency,
            deduplication_scope: deduplication_scope.one_of_or(&SCOPE_NAMES, DeduplicationScope::Shard),
            deduplication_window: if has_key { deduplication_window.duration_ms() } else { 0.0 },
            ordered: block.attribute("in_order").bool_or(false),
        };
        if class.latency_objective > class.client_timeout {
            let (objective, timeout) = (class.latency_objective, class.client_timeout);
            block.report_attribute_error(
                "soft_limit",
                format!("soft_limit of {objective}ms exceeds the time_limit of {timeout}ms"),
            );
        }
        if class.client_timeout <= 4.0 * round && block.attribute("time_limit").is_present() {
            block.report_attribute_error(
                "time_limit",
                format!("time_limit must exceed four rounds of {round}ms"),
            );
        }
        class
    };
    (blocks.iter().map(read).collect(), blocks.iter().map(|block| block.label().to_string()).collect())
}

fn read_policies(root: &SettingsBlock<'_>) -> (Vec<QosPolicy>, Vec<String>) {
    let blocks = root.labelled_blocks("plan");
    if blocks.is_empty() {
        root.report_error("no plan; expected at least one block plan \"name\"");
    }
    let read = |block: &SettingsBlock<'_>| {
        let rate = block.attribute("rate").number();
        let policy = QosPolicy {
            price: block.attribute("price").number_or(1.0),
            weight: block.attribute("weight").number_or(1.0),
            rate,
            reserve: block.attribute("reserve").number_or(0.0),
            limit_rate: block.attribute("limit_rate").number_or(0.0),
            limit_burst: block.attribute("limit_store").number_or(0.0),
        };
        if policy.limit_rate > 0.0 && policy.reserve > policy.limit_rate {
            let (reserve, limit) = (policy.reserve, policy.limit_rate);
            block.report_attribute_error(
                "reserve",
                format!("a reserve of {reserve} exceeds the limit_rate of {limit}"),
            );
        }
        if (policy.limit_rate > 0.0) != (policy.limit_burst > 0.0) {
            block.report_attribute_error(
                "limit_store",
                "limit_rate and limit_store must be given together: a rate and its burst",
            );
        }
        policy
    };
    (blocks.iter().map(read).collect(), blocks.iter().map(|block| block.label().to_string()).collect())
}

fn read_volumes(root: &SettingsBlock<'_>, policy_names: &[String], hosts: f64) -> BTreeMap<u64, Volume> {
    let mut volumes = BTreeMap::new();
    for block in root.labelled_blocks("volume") {
        let id = block.attribute("id").integer(0..=u64::MAX);
        let names: Vec<(&str, usize)> = policy_names.iter().map(String::as_str).zip(0..).collect();
        let policy = block.attribute("plan").one_of(&names).unwrap_or(0);
        let shards: Vec<usize> = block.attribute("shards").integers().iter().map(|s| *s as usize).collect();
        if block.attribute("shards").is_present() && shards.is_empty() {
            block.report_attribute_error("shards", "shards is empty; expected at least one shard");
        }
        let volume_hosts = block.attribute("hosts").number_or(hosts);
        if volume_hosts < 1.0 || volume_hosts > hosts {
            block.report_attribute_error(
                "hosts",
                format!("hosts of a volume must be 1 to {hosts}, not {volume_hosts}"),
            );
        }
        let volume = Volume { name: block.label().to_string(), policy, shards, host_count: volume_hosts };
        if volumes.insert(id, volume).is_some() {
            block.report_attribute_error("id", format!("a second volume with the id {id}"));
        }
    }
    volumes
}

/// Reads the gossip addresses of all hosts, so that all hosts can use the same file. The host's own number,
/// which may be given at start, identifies its entry.
fn read_gossip_addresses(root: &SettingsBlock<'_>, hosts: usize) -> BTreeMap<usize, SocketAddr> {
    let mut addresses = BTreeMap::new();
    for block in root.labelled_blocks("peer") {
        let number: Option<usize> = block.label().parse().ok().filter(|number| *number < hosts);
        let Some(address) = block.attribute("address").address() else { continue };
        if address.port() == 0 {
            block.report_attribute_error(
                "address",
                "an address without a port; expected one that other hosts can send to",
            );
        }
        if addresses.values().any(|other| *other == address) {
            block.report_attribute_error("address", format!("a second peer at {address}"));
        }
        match number {
            Some(number) if number.to_string() == block.label() => _ = addresses.insert(number, address),
            _ => block.report_error(format!(
                "a peer {:?}; expected a host's number, 0 to {}",
                block.label(),
                hosts - 1
            )),
        }
    }
    addresses
}

fn read_slow_start(block: &SettingsBlock<'_>, scheduler: &mut SchedulerConfig) {
    scheduler.slow_start_share = block.attribute("share").fraction_or(1.0);
    scheduler.slow_start_duration = block.attribute("time").duration_ms();
    scheduler.slow_start_units = block.attribute("units").number_or(0.0);
    scheduler.overload_window = block.attribute("fall_time").duration_ms();
    scheduler.overload_multiple = block.attribute("fall_multiple").number();
    if scheduler.slow_start_share <= 0.0 {
        block.report_attribute_error(
            "share",
            "a share of 0; a node that receives no requests at its start never warms up",
        );
    }
    if scheduler.overload_window <= 0.0 && block.attribute("fall_time").is_present() {
        block.report_attribute_error(
            "fall_time",
            "a fall_time of 0; expected the time over which a cold node becomes overloaded",
        );
    }
    if scheduler.overload_multiple < 1.0 && block.attribute("fall_multiple").is_present() {
        block.report_attribute_error(
            "fall_multiple",
            "a fall_multiple under 1; a cold node could not be used to its capacity",
        );
    }
}

fn read_retry_budget(block: &SettingsBlock<'_>) -> RetryBudget {
    let window = block.attribute("window").duration_ms();
    if window <= 0.0 && block.attribute("window").is_present() {
        block.report_attribute_error(
            "window",
            "a window of 0; expected the time over which further hand-offs are counted",
        );
    }
    RetryBudget {
        free: block.attribute("free").number_or(0.0),
        share: block.attribute("share").number_or(0.0),
        window,
    }
}

/// Checks the reservations against the capacity of the shards, where that is stated.
fn check_capacity(root: &SettingsBlock<'_>, scheduler: &SchedulerConfig, volumes: &BTreeMap<u64, Volume>) {
    let Some(block) = root.optional_block("capacity") else { return };
    let shard_capacity = block.attribute("units_a_second").number();
    let mut reserved: BTreeMap<usize, f64> = BTreeMap::new();
    for volume in volumes.values() {
        for shard in &volume.shards {
            let reserve = scheduler.policies.get(volume.policy).map_or(0.0, |policy| policy.reserve);
            *reserved.entry(*shard).or_default() += reserve / volume.shards.len() as f64;
        }
    }
    for (shard, reserved) in reserved.into_iter().filter(|(_, reserved)| *reserved > shard_capacity) {
        block.report_error(format!(
            "the reserves on shard {shard} total {reserved} units a second, above its capacity of {shard_capacity}"
        ));
    }
}

fn read_log_config(block: Option<SettingsBlock<'_>>) -> LogConfig {
    block.map_or_else(LogConfig::default, |block| LogConfig {
        level: block.attribute("level").one_of_or(&LEVEL_NAMES, "info").to_string(),
        format: block.attribute("format").one_of_or(&FORMAT_NAMES, LogFormat::Text),
        requests: block.attribute("commands").bool_or(false),
    })
}
