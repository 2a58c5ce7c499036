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

const IDEMPOTENCY_WORDS: [(&str, Idempotency); 3] = [
    ("retriable", Idempotency::Idempotent),
    ("fingerprinted", Idempotency::IdempotentWithKey),
    ("binding", Idempotency::NonIdempotent),
];
const SCOPE_WORDS: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const POLLED_WORDS: [(&str, bool); 2] = [("push", false), ("ask", true)];
const FORMAT_WORDS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVEL_WORDS: [(&str, &str); 5] =
    [("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug"), ("trace", "trace")];
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Reads and checks the settings of a host. `seed` is used where the file states none.
pub fn read_host_config(root: &SettingsBlock<'_>, seed: u64) -> Option<HostConfig> {
    let part = root.required_block("host");
    let list = root.optional_block("list").map(|p| list(&p));
    let action_interval = part.as_ref().map_or(2.0, |p| p.attribute("round").duration_ms_or(2.0));
    let (classes, class_names) = classes(root, action_interval);
    let (plans, plan_names) = plans(root);
    let hosts = part.as_ref().map_or(1, |p| p.attribute("hosts").integer_or(1..=10_000, 1)) as f64;
    let volumes = volumes(root, &plan_names, hosts);
    let log = log(root.optional_block("log"));
    let part = part?;
    let units = part.attribute("most_units").number_or(1.0);
    let mean = part.attribute("mean_units").number_or(units);
    if mean > units || units <= 0.0 {
        part.report_attribute_error(
            "mean_units",
            format!("mean_units {mean} must lie within most_units {units}"),
        );
    }
    let max_poll_interval = list.as_ref().and_then(|(_, poll_within)| *poll_within);
    let mut scheduler = SchedulerConfig {
        seed: part.attribute("seed").integer_or(0..=u64::MAX, seed),
        hosts,
        classes,
        policies: plans,
        action_interval,
        max_attempts: part.attribute("hand_offs").integer_or(1..=100, 3) as u32,
        can_cancel: part.attribute("cancels").bool_or(true),
        max_retry_after: part.attribute("longest_back").duration_ms_or(500.0),
        max_poll_interval,
        slow_start_share: 1.0,
        slow_start_duration: 0.0,
        slow_start_units: 0.0,
        overload_window: 0.0,
        overload_multiple: 1.0,
        ordering_quiet_period: part.attribute("order_rest").duration_ms_or(0.0),
        budget: None,
        max_units: units,
        mean_units: mean,
        max_batch_units: units,
        share_weight: part.attribute("share_payoff").fraction_or(0.35),
        counts_remote_service: part.attribute("counts_others").bool_or(true),
        host_number: None,
    };
    if let Some(p) = root.optional_block("cold") {
        slow_start(&p, &mut scheduler);
    }
    scheduler.budget = root.optional_block("budget").map(|p| retry_budget(&p));
    if scheduler.max_attempts > 1
        && scheduler.classes.iter().all(|b| b.idempotency == Idempotency::NonIdempotent)
    {
        let message = "hand_offs above 1, where every band is binding; a request is never sent again after \
            an attempt that may have run";
        part.report_attribute_error("hand_offs", message);
    }
    capacity(root, &scheduler, &volumes);
    let limits = HostLimits {
        connect_timeout: part.attribute("connect_within").duration_ms_or(250.0),
        partial_frame_timeout: part.attribute("frame_within").duration_ms_or(10_000.0),
        max_clients: part.attribute("most_clients").integer_or(1..=1_000_000, 4096) as usize,
        max_pending_requests: part.attribute("most_in_hand").integer_or(1..=10_000_000, 50_000) as usize,
        max_client_buffer: part.attribute("client_buffer").integer_or(1024..=1 << 30, 4 << 20) as usize,
    };
    let coalescing = coalescing(root.optional_block("merge"), units);
    if coalescing.max_parts > 1 {
        scheduler.max_batch_units = coalescing.max_units.max(units);
    }
    Some(HostConfig {
        number: part.attribute("number").integer_or(0..=u64::from(u32::MAX), 0) as u32,
        listen: part.attribute("listen").address_or(LOOPBACK),
        list_service: list.map_or(
            ListServiceConfig { address: LOOPBACK, polled: false, serves_map: false, cache_path: None },
            |(source, _)| source,
        ),
        scheduler,
        classes: class_names,
        volumes,
        gossip_addresses: gossip_addresses(root, hosts as usize),
        limits,
        log,
        coalescing,
        split_reads: split(root.optional_block("split")),
    })
}

fn list(p: &SettingsBlock<'_>) -> (ListServiceConfig, Option<Ms>) {
    let polled = p.attribute("mode").one_of_or(&POLLED_WORDS, false);
    let poll_within = p.attribute("ask_within");
    let max_poll_interval = match (polled, poll_within.is_present()) {
        (true, _) => Some(poll_within.duration_ms()),
        (false, true) => {
            p.report_attribute_error(
                "ask_within",
                "ask_within requires mode = \"ask\"; a pushed list is not polled",
            );
            None
        }
        (false, false) => None,
    };
    let cache = p.attribute("remember");
    let source = ListServiceConfig {
        address: p.attribute("address").address_or(LOOPBACK),
        polled,
        serves_map: p.attribute("map").bool_or(false),
        cache_path: cache.is_present().then(|| PathBuf::from(cache.string())),
    };
    (source, max_poll_interval)
}

/// Reads the limits of coalescing. Without the block a batch contains at most the units of two of the largest
/// requests.
fn coalescing(part: Option<SettingsBlock<'_>>, max_units: f64) -> magpiewick_coalescing::BatchLimits {
    let defaults = magpiewick_coalescing::BatchLimits {
        max_parts: 8,
        max_units: 2.0 * max_units,
        max_bytes: 64 << 10,
        max_gap: 64,
    };
    let Some(part) = part else { return defaults };
    magpiewick_coalescing::BatchLimits {
        max_parts: part.attribute("parts").integer_or(1..=256, defaults.max_parts as u64) as usize,
        max_units: part.attribute("units").number_or(defaults.max_units),
        max_bytes: part.attribute("bytes").integer_or(1..=512 << 10, defaults.max_bytes as u64) as usize,
        max_gap: part.attribute("reach").integer_or(0..=1 << 40, defaults.max_gap),
    }
}

fn split(part: Option<SettingsBlock<'_>>) -> SplitReadConfig {
    let (max_blocks, max_in_flight) = (64, 4);
    part.map_or(SplitReadConfig { max_blocks, max_in_flight }, |p| SplitReadConfig {
        max_blocks: p.attribute("blocks").integer_or(1..=1 << 30, max_blocks),
        max_in_flight: p.attribute("at_once").integer_or(1..=256, max_in_flight as u64) as usize,
    })
}

fn classes(root: &SettingsBlock<'_>, round: Ms) -> (Vec<RequestClass>, Vec<String>) {
    let parts = root.labelled_blocks("band");
    if parts.is_empty() {
        root.report_error("no band; expected at least one block band \"name\"");
    }
    let read = |p: &SettingsBlock<'_>| {
        let idempotency =
            p.attribute("repeats").one_of(&IDEMPOTENCY_WORDS).unwrap_or(Idempotency::NonIdempotent);
        let (deduplication_scope, deduplication_window) = (p.attribute("group"), p.attribute("memory"));
        let has_key = idempotency == Idempotency::IdempotentWithKey;
        for (name, given) in
            [("group", deduplication_scope.is_present()), ("memory", deduplication_window.is_present())]
        {
            if given && !has_key {
                p.report_attribute_error(name, format!("{name} requires repeats = \"fingerprinted\""));
            }
        }
        let class = RequestClass {
            latency_objective: p.attribute("soft_limit").duration_ms(),
            client_timeout: p.attribute("time_limit").duration_ms(),
            priority_weight: p.attribute("payoff").number_or(1.0),
            idempotency,
            deduplication_scope: deduplication_scope.one_of_or(&SCOPE_WORDS, DeduplicationScope::Shard),
            deduplication_window: if has_key { deduplication_window.duration_ms() } else { 0.0 },
            ordered: p.attribute("in_order").bool_or(false),
        };
        if class.latency_objective > class.client_timeout {
            let (objective, timeout) = (class.latency_objective, class.client_timeout);
            p.report_attribute_error(
                "soft_limit",
                format!("soft_limit of {objective}ms exceeds the time_limit of {timeout}ms"),
            );
        }
        if class.client_timeout <= 4.0 * round && p.attribute("time_limit").is_present() {
            p.report_attribute_error(
                "time_limit",
                format!("time_limit must exceed four rounds of {round}ms"),
            );
        }
        class
    };
    (parts.iter().map(read).collect(), parts.iter().map(|p| p.label().to_string()).collect())
}

fn plans(root: &SettingsBlock<'_>) -> (Vec<QosPolicy>, Vec<String>) {
    let parts = root.labelled_blocks("plan");
    if parts.is_empty() {
        root.report_error("no plan; expected at least one block plan \"name\"");
    }
    let read = |p: &SettingsBlock<'_>| {
        let rate = p.attribute("rate").number();
        let plan = QosPolicy {
            price: p.attribute("price").number_or(1.0),
            weight: p.attribute("weight").number_or(1.0),
            rate,
            reserve: p.attribute("reserve").number_or(0.0),
            limit_rate: p.attribute("limit_rate").number_or(0.0),
            limit_burst: p.attribute("limit_store").number_or(0.0),
        };
        if plan.limit_rate > 0.0 && plan.reserve > plan.limit_rate {
            let (reserve, limit) = (plan.reserve, plan.limit_rate);
            p.report_attribute_error(
                "reserve",
                format!("a reserve of {reserve} exceeds the limit_rate of {limit}"),
            );
        }
        if (plan.limit_rate > 0.0) != (plan.limit_burst > 0.0) {
            p.report_attribute_error(
                "limit_store",
                "limit_rate and limit_store must be given together: a rate and its burst",
            );
        }
        plan
    };
    (parts.iter().map(read).collect(), parts.iter().map(|p| p.label().to_string()).collect())
}

fn volumes(root: &SettingsBlock<'_>, plans: &[String], hosts: f64) -> BTreeMap<u64, Volume> {
    let mut volumes = BTreeMap::new();
    for p in root.labelled_blocks("volume") {
        let id = p.attribute("id").integer(0..=u64::MAX);
        let names: Vec<(&str, usize)> = plans.iter().map(String::as_str).zip(0..).collect();
        let policy = p.attribute("plan").one_of(&names).unwrap_or(0);
        let shards: Vec<usize> = p.attribute("shards").integers().iter().map(|s| *s as usize).collect();
        if p.attribute("shards").is_present() && shards.is_empty() {
            p.report_attribute_error("shards", "shards is empty; expected at least one shard");
        }
        let volume_hosts = p.attribute("hosts").number_or(hosts);
        if volume_hosts < 1.0 || volume_hosts > hosts {
            p.report_attribute_error(
                "hosts",
                format!("hosts of a volume must be 1 to {hosts}, not {volume_hosts}"),
            );
        }
        let volume = Volume { name: p.label().to_string(), policy, shards, host_count: volume_hosts };
        if volumes.insert(id, volume).is_some() {
            p.report_attribute_error("id", format!("a second volume with the id {id}"));
        }
    }
    volumes
}

/// Reads the gossip addresses of all hosts, so that all hosts can use the same file. The host's own number,
/// which may be given at start, identifies its entry.
fn gossip_addresses(root: &SettingsBlock<'_>, hosts: usize) -> BTreeMap<usize, SocketAddr> {
    let mut addresses = BTreeMap::new();
    for p in root.labelled_blocks("peer") {
        let number: Option<usize> = p.label().parse().ok().filter(|number| *number < hosts);
        let Some(address) = p.attribute("address").address() else { continue };
        if address.port() == 0 {
            p.report_attribute_error(
                "address",
                "an address without a port; expected one that other hosts can send to",
            );
        }
        if addresses.values().any(|other| *other == address) {
            p.report_attribute_error("address", format!("a second peer at {address}"));
        }
        match number {
            Some(number) if number.to_string() == p.label() => _ = addresses.insert(number, address),
            _ => p.report_error(format!(
                "a peer {:?}; expected a host's number, 0 to {}",
                p.label(),
                hosts - 1
            )),
        }
    }
    addresses
}

fn slow_start(p: &SettingsBlock<'_>, scheduler: &mut SchedulerConfig) {
    scheduler.slow_start_share = p.attribute("share").fraction_or(1.0);
    scheduler.slow_start_duration = p.attribute("time").duration_ms();
    scheduler.slow_start_units = p.attribute("units").number_or(0.0);
    scheduler.overload_window = p.attribute("fall_time").duration_ms();
    scheduler.overload_multiple = p.attribute("fall_multiple").number();
    if scheduler.slow_start_share <= 0.0 {
        p.report_attribute_error(
            "share",
            "a share of 0; a node that receives no requests at its start never warms up",
        );
    }
    if scheduler.overload_window <= 0.0 && p.attribute("fall_time").is_present() {
        p.report_attribute_error(
            "fall_time",
            "a fall_time of 0; expected the time over which a cold node becomes overloaded",
        );
    }
    if scheduler.overload_multiple < 1.0 && p.attribute("fall_multiple").is_present() {
        p.report_attribute_error(
            "fall_multiple",
            "a fall_multiple under 1; a cold node could not be used to its capacity",
        );
    }
}

fn retry_budget(p: &SettingsBlock<'_>) -> RetryBudget {
    let window = p.attribute("window").duration_ms();
    if window <= 0.0 && p.attribute("window").is_present() {
        p.report_attribute_error(
            "window",
            "a window of 0; expected the time over which further hand-offs are counted",
        );
    }
    RetryBudget {
        free: p.attribute("free").number_or(0.0),
        share: p.attribute("share").number_or(0.0),
        window,
    }
}

/// Checks the reservations against the capacity of the shards, where that is stated.
fn capacity(root: &SettingsBlock<'_>, scheduler: &SchedulerConfig, volumes: &BTreeMap<u64, Volume>) {
    let Some(p) = root.optional_block("capacity") else { return };
    let shard_capacity = p.attribute("units_a_second").number();
    let mut reserved: BTreeMap<usize, f64> = BTreeMap::new();
    for volume in volumes.values() {
        for shard in &volume.shards {
            let reserve = scheduler.policies.get(volume.policy).map_or(0.0, |plan| plan.reserve);
            *reserved.entry(*shard).or_default() += reserve / volume.shards.len() as f64;
        }
    }
    for (shard, reserved) in reserved.into_iter().filter(|(_, reserved)| *reserved > shard_capacity) {
        p.report_error(format!(
            "the reserves on shard {shard} total {reserved} units a second, above its capacity of {shard_capacity}"
        ));
    }
}

fn log(part: Option<SettingsBlock<'_>>) -> LogConfig {
    part.map_or_else(LogConfig::default, |p| LogConfig {
        level: p.attribute("level").one_of_or(&LEVEL_WORDS, "info").to_string(),
        format: p.attribute("format").one_of_or(&FORMAT_WORDS, LogFormat::Text),
        requests: p.attribute("commands").bool_or(false),
    })
}
