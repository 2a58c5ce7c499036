//! Reads the settings of a host from an HCL file. The names of keys and their values are those of our installations;
//! this is the one place that maps them to the code's terms.

use super::{Bounds, HostConfig, ListSource, LogConfig, LogFormat, Split, Volume};
use magpiewick::{
    DeduplicationScope, Idempotency, Ms, QosPolicy, RequestClass, RetryBudget, SchedulerConfig,
};
use magpiewick_hcl_settings::Part;
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
pub fn host(root: &Part, seed: u64) -> Option<HostConfig> {
    let part = root.must("host");
    let list = root.part("list").map(|p| list(&p));
    let round = part.as_ref().map_or(2.0, |p| p.field("round").time_or(2.0));
    let (classes, class_names) = classes(root, round);
    let (plans, plan_names) = plans(root);
    let hosts = part.as_ref().map_or(1, |p| p.field("hosts").whole_or(1..=10_000, 1)) as f64;
    let volumes = volumes(root, &plan_names, hosts);
    let log = log(root.part("log"));
    let part = part?;
    let units = part.field("most_units").number_or(1.0);
    let mean = part.field("mean_units").number_or(units);
    if mean > units || units <= 0.0 {
        part.fault_at("mean_units", format!("mean_units {mean} must lie within most_units {units}"));
    }
    let max_poll_interval = list.as_ref().and_then(|(_, within)| *within);
    let mut start = SchedulerConfig {
        seed: part.field("seed").whole_or(0..=u64::MAX, seed),
        hosts,
        classes,
        plans,
        round,
        max_attempts: part.field("hand_offs").whole_or(1..=100, 3) as u32,
        can_cancel: part.field("cancels").flag_or(true),
        max_retry_after: part.field("longest_back").time_or(500.0),
        max_poll_interval,
        slow_start_share: 1.0,
        slow_start_duration: 0.0,
        slow_start_units: 0.0,
        overload_window: 0.0,
        overload_multiple: 1.0,
        ordering_quiet_period: part.field("order_rest").time_or(0.0),
        budget: None,
        max_units: units,
        mean_units: mean,
        max_batch_units: units,
        share_weight: part.field("share_payoff").part_or(0.35),
        counts_remote_service: part.field("counts_others").flag_or(true),
        peer: None,
    };
    if let Some(p) = root.part("cold") {
        slow_start(&p, &mut start);
    }
    start.budget = root.part("budget").map(|p| retry_budget(&p));
    if start.max_attempts > 1 && start.classes.iter().all(|b| b.idempotency == Idempotency::NonIdempotent) {
        let message = "hand_offs to spare, where every band is binding; a second one is never allowed after \
            the first may have run";
        part.fault_at("hand_offs", message);
    }
    capacity(root, &start, &volumes);
    let bounds = Bounds {
        connect_timeout: part.field("connect_within").time_or(250.0),
        partial_frame_timeout: part.field("frame_within").time_or(10_000.0),
        max_clients: part.field("most_clients").whole_or(1..=1_000_000, 4096) as usize,
        max_pending_requests: part.field("most_in_hand").whole_or(1..=10_000_000, 50_000) as usize,
        max_client_buffer: part.field("client_buffer").whole_or(1024..=1 << 30, 4 << 20) as usize,
    };
    let coalescing = coalescing(root.part("merge"), units);
    if coalescing.parts > 1 {
        start.max_batch_units = coalescing.units.max(units);
    }
    Some(HostConfig {
        number: part.field("number").whole_or(0..=u64::from(u32::MAX), 0) as u32,
        listen: part.field("listen").address_or(LOOPBACK),
        list: list.map_or(
            ListSource { address: LOOPBACK, polled: false, serves_map: false, cache_path: None },
            |(source, _)| source,
        ),
        start,
        classes: class_names,
        volumes,
        gossip_addresses: gossip_addresses(root, hosts as usize),
        bounds,
        log,
        coalescing,
        split: split(root.part("split")),
    })
}

fn list(p: &Part) -> (ListSource, Option<Ms>) {
    let polled = p.field("mode").one_of_or(&POLLED_WORDS, false);
    let within = p.field("ask_within");
    let max_poll_interval = match (polled, within.given()) {
        (true, _) => Some(within.time()),
        (false, true) => {
            p.fault_at(
                "ask_within",
                "ask_within goes with mode = \"ask\"; a list that is pushed is not asked for",
            );
            None
        }
        (false, false) => None,
    };
    let cache = p.field("remember");
    let source = ListSource {
        address: p.field("address").address_or(LOOPBACK),
        polled,
        serves_map: p.field("map").flag_or(false),
        cache_path: cache.given().then(|| PathBuf::from(cache.text())),
    };
    (source, max_poll_interval)
}

/// Without the block a batch weighs at most two of the largest requests.
fn coalescing(part: Option<Part>, max_units: f64) -> magpiewick_coalescing::Bounds {
    let (parts, units, bytes, reach) = (8, 2.0 * max_units, 64 << 10, 64);
    part.map_or(magpiewick_coalescing::Bounds { parts, units, bytes, reach }, |p| {
        magpiewick_coalescing::Bounds {
            parts: p.field("parts").whole_or(1..=256, parts as u64) as usize,
            units: p.field("units").number_or(units),
            bytes: p.field("bytes").whole_or(1..=512 << 10, bytes as u64) as usize,
            reach: p.field("reach").whole_or(0..=1 << 40, reach),
        }
    })
}

fn split(part: Option<Part>) -> Split {
    let (max_blocks, max_in_flight) = (64, 4);
    part.map_or(Split { max_blocks, max_in_flight }, |p| Split {
        max_blocks: p.field("blocks").whole_or(1..=1 << 30, max_blocks),
        max_in_flight: p.field("at_once").whole_or(1..=256, max_in_flight as u64) as usize,
    })
}

fn classes(root: &Part, round: Ms) -> (Vec<RequestClass>, Vec<String>) {
    let parts = root.labelled("band");
    if parts.is_empty() {
        root.fault("no band; expected at least one block band \"name\"");
    }
    let read = |p: &Part| {
        let idempotency = p.field("repeats").one_of(&IDEMPOTENCY_WORDS).unwrap_or(Idempotency::NonIdempotent);
        let (deduplication_scope, deduplication_window) = (p.field("group"), p.field("memory"));
        let has_key = idempotency == Idempotency::IdempotentWithKey;
        for (name, given) in
            [("group", deduplication_scope.given()), ("memory", deduplication_window.given())]
        {
            if given && !has_key {
                p.fault_at(name, format!("{name} goes with repeats = \"fingerprinted\" only"));
            }
        }
        let class = RequestClass {
            latency_objective: p.field("soft_limit").time(),
            client_timeout: p.field("time_limit").time(),
            priority_weight: p.field("payoff").number_or(1.0),
            idempotency,
            deduplication_scope: deduplication_scope.one_of_or(&SCOPE_WORDS, DeduplicationScope::Shard),
            deduplication_window: if has_key { deduplication_window.time() } else { 0.0 },
            ordered: p.field("in_order").flag_or(false),
        };
        if class.latency_objective > class.client_timeout {
            let (objective, timeout) = (class.latency_objective, class.client_timeout);
            p.fault_at(
                "soft_limit",
                format!("soft_limit of {objective}ms lies beyond the time_limit of {timeout}ms"),
            );
        }
        if class.client_timeout <= 4.0 * round && p.field("time_limit").given() {
            p.fault_at("time_limit", format!("time_limit leaves no time beside a round of {round}ms"));
        }
        class
    };
    (parts.iter().map(read).collect(), parts.iter().map(|p| p.label().to_string()).collect())
}

fn plans(root: &Part) -> (Vec<QosPolicy>, Vec<String>) {
    let parts = root.labelled("plan");
    if parts.is_empty() {
        root.fault("no plan; expected at least one block plan \"name\"");
    }
    let read = |p: &Part| {
        let rate = p.field("rate").number();
        let plan = QosPolicy {
            price: p.field("price").number_or(1.0),
            weight: p.field("weight").number_or(1.0),
            rate,
            reserve: p.field("reserve").number_or(0.0),
            limit_rate: p.field("limit_rate").number_or(0.0),
            limit_burst: p.field("limit_store").number_or(0.0),
        };
        if plan.limit_rate > 0.0 && plan.reserve > plan.limit_rate {
            let (reserve, limit) = (plan.reserve, plan.limit_rate);
            p.fault_at("reserve", format!("a reserve of {reserve} lies beyond the limit_rate of {limit}"));
        }
        if (plan.limit_rate > 0.0) != (plan.limit_burst > 0.0) {
            p.fault_at(
                "limit_store",
                "limit_rate and limit_store go together: a rate and what may come at once",
            );
        }
        plan
    };
    (parts.iter().map(read).collect(), parts.iter().map(|p| p.label().to_string()).collect())
}

fn volumes(root: &Part, plans: &[String], hosts: f64) -> BTreeMap<u64, Volume> {
    let mut volumes = BTreeMap::new();
    for p in root.labelled("volume") {
        let id = p.field("id").whole(0..=u64::MAX);
        let names: Vec<(&str, usize)> = plans.iter().map(String::as_str).zip(0..).collect();
        let plan = p.field("plan").one_of(&names).unwrap_or(0);
        let shards: Vec<usize> = p.field("shards").wholes().iter().map(|s| *s as usize).collect();
        if p.field("shards").given() && shards.is_empty() {
            p.fault_at("shards", "shards is empty; a volume's data lies on one at least");
        }
        let through = p.field("hosts").number_or(hosts);
        if through < 1.0 || through > hosts {
            p.fault_at("hosts", format!("a volume comes through 1 to {hosts} hosts, not {through}"));
        }
        let volume = Volume { name: p.label().to_string(), plan, shards, hosts: through };
        if volumes.insert(id, volume).is_some() {
            p.fault_at("id", format!("a second volume with the id {id}"));
        }
    }
    volumes
}

/// The gossip addresses of all hosts, so that each can be given the same file. Which host this one is stands in its
/// number, which may be given at its start.
fn gossip_addresses(root: &Part, hosts: usize) -> BTreeMap<usize, SocketAddr> {
    let mut addresses = BTreeMap::new();
    for p in root.labelled("peer") {
        let number: Option<usize> = p.label().parse().ok().filter(|number| *number < hosts);
        let Some(address) = p.field("address").address() else { continue };
        if address.port() == 0 {
            p.fault_at("address", "an address without a port; expected one that other hosts can send to");
        }
        if addresses.values().any(|other| *other == address) {
            p.fault_at("address", format!("a second peer at {address}"));
        }
        match number {
            Some(number) if number.to_string() == p.label() => _ = addresses.insert(number, address),
            _ => p.fault(format!("a peer {:?}; expected a host's number, 0 to {}", p.label(), hosts - 1)),
        }
    }
    addresses
}

fn slow_start(p: &Part, start: &mut SchedulerConfig) {
    start.slow_start_share = p.field("share").part_or(1.0);
    start.slow_start_duration = p.field("time").time();
    start.slow_start_units = p.field("units").number_or(0.0);
    start.overload_window = p.field("fall_time").time();
    start.overload_multiple = p.field("fall_multiple").number();
    if start.slow_start_share <= 0.0 {
        p.fault_at("share", "a share of 0: a node that can do nothing at its start is never warm");
    }
    if start.overload_window <= 0.0 && p.field("fall_time").given() {
        p.fault_at("fall_time", "a fall_time of 0; expected the time over which a cold node is pushed over");
    }
    if start.overload_multiple < 1.0 && p.field("fall_multiple").given() {
        p.fault_at("fall_multiple", "a fall_multiple under 1: a cold node could not be sent what it can do");
    }
}

fn retry_budget(p: &Part) -> RetryBudget {
    let window = p.field("window").time();
    if window <= 0.0 && p.field("window").given() {
        p.fault_at("window", "a window of 0; expected the time over which further hand-offs are counted");
    }
    RetryBudget { free: p.field("free").number_or(0.0), share: p.field("share").number_or(0.0), window }
}

/// Checks the reservations against the capacity of the shards, where that is stated.
fn capacity(root: &Part, start: &SchedulerConfig, volumes: &BTreeMap<u64, Volume>) {
    let Some(p) = root.part("capacity") else { return };
    let shard_capacity = p.field("units_a_second").number();
    let mut reserved: BTreeMap<usize, f64> = BTreeMap::new();
    for volume in volumes.values() {
        for shard in &volume.shards {
            let reserve = start.plans.get(volume.plan).map_or(0.0, |plan| plan.reserve);
            *reserved.entry(*shard).or_default() += reserve / volume.shards.len() as f64;
        }
    }
    for (shard, reserved) in reserved.into_iter().filter(|(_, reserved)| *reserved > shard_capacity) {
        p.fault(format!(
            "the reserves on shard {shard} come to {reserved} units a second; it can do {shard_capacity}"
        ));
    }
}

fn log(part: Option<Part>) -> LogConfig {
    part.map_or_else(LogConfig::default, |p| LogConfig {
        level: p.field("level").one_of_or(&LEVEL_WORDS, "info").to_string(),
        format: p.field("format").one_of_or(&FORMAT_WORDS, LogFormat::Text),
        requests: p.field("commands").flag_or(false),
    })
}
