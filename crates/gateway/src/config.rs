//! What a host is told by its settings file, read and checked as a whole. `docs/settings.md` lists it.

use magpiewick::{
    DeduplicationScope, Idempotency, Ms, QosPolicy, RequestClass, RetryBudget, SchedulerConfig,
};
use magpiewick_hcl_settings::Part;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where a host learns of nodes.
#[derive(Clone, Debug)]
pub struct ListSource {
    pub address: SocketAddr,
    /// The service must be asked, else it pushes to whoever connects.
    pub asked: bool,
    /// The service tells the map of extents too.
    pub map: bool,
    /// Where the list is kept over a restart.
    pub remember: Option<PathBuf>,
}

/// A volume as the operators state it.
#[derive(Clone, Debug)]
pub struct Volume {
    pub name: String,
    pub plan: usize,
    /// The shards that hold its data; a piece of data lies on the one that its key falls to.
    pub shards: Vec<usize>,
    /// Through how many hosts its requests come.
    pub hosts: f64,
}

/// Bounds of what a host takes up, and its waits on sockets.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub connect_within: Ms,
    /// How long a client may leave a frame half sent.
    pub frame_within: Ms,
    pub most_clients: usize,
    pub most_in_hand: usize,
    /// Bytes of answers that wait for a client before nothing more is read from it.
    pub client_buffer: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Clone, Debug)]
pub struct LogConfig {
    pub level: String,
    pub format: LogFormat,
    /// A line for each request.
    pub requests: bool,
}

/// All that a host is told.
#[derive(Clone, Debug)]
pub struct HostConfig {
    pub number: u32,
    pub listen: SocketAddr,
    pub list: ListSource,
    pub start: SchedulerConfig,
    pub classes: Vec<String>,
    pub volumes: BTreeMap<u64, Volume>,
    /// By number, where hosts may tell each other what they see of nodes; this host is among them.
    pub peers: BTreeMap<usize, SocketAddr>,
    pub bounds: Bounds,
    pub log: LogConfig,
    /// What travels together; one part where merging is off.
    pub merge: magpiewick_coalescing::BatchLimits,
    pub split: Split,
}

/// How large reads are cut.
#[derive(Clone, Debug)]
pub struct Split {
    /// The most blocks of a piece; extents are kept apart in any case.
    pub blocks: u64,
    /// Pieces of one read that are out at a time.
    pub at_once: usize,
}

impl HostConfig {
    /// A host that knows nothing of cold nodes and names no time to come back, to compare with.
    pub fn damp_nothing(&mut self) {
        (self.start.slow_start_share, self.start.slow_start_duration, self.start.overload_window) =
            (1.0, 0.0, 0.0);
        self.start.max_retry_after = 0.0;
    }

    /// Sends every request by itself from now on.
    pub fn send_alone(&mut self) {
        self.merge.max_parts = 1;
        self.start.max_batch_units = self.start.max_units;
    }
}

const REPEATS: [(&str, Idempotency); 3] = [
    ("retriable", Idempotency::Idempotent),
    ("fingerprinted", Idempotency::IdempotentWithKey),
    ("binding", Idempotency::NonIdempotent),
];
const SCOPES: [(&str, DeduplicationScope); 3] = [
    ("all", DeduplicationScope::All),
    ("zone", DeduplicationScope::Zone),
    ("shard", DeduplicationScope::Shard),
];
const MODES: [(&str, bool); 2] = [("push", false), ("ask", true)];
const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVELS: [(&str, &str); 5] =
    [("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug"), ("trace", "trace")];
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Reads a host's part of a file. `seed` is used where the file states none.
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
        cold(&p, &mut start);
    }
    start.budget = root.part("budget").map(|p| budget(&p));
    if start.max_attempts > 1 && start.classes.iter().all(|b| b.idempotency == Idempotency::NonIdempotent) {
        let message = "hand_offs to spare, where every band is binding; a second one is never allowed after \
            the first may have run";
        part.fault_at("hand_offs", message);
    }
    capacity(root, &start, &volumes);
    let bounds = Bounds {
        connect_within: part.field("connect_within").time_or(250.0),
        frame_within: part.field("frame_within").time_or(10_000.0),
        most_clients: part.field("most_clients").whole_or(1..=1_000_000, 4096) as usize,
        most_in_hand: part.field("most_in_hand").whole_or(1..=10_000_000, 50_000) as usize,
        client_buffer: part.field("client_buffer").whole_or(1024..=1 << 30, 4 << 20) as usize,
    };
    let merge = merge(root.part("merge"), units);
    if merge.max_parts > 1 {
        start.max_batch_units = merge.max_units.max(units);
    }
    Some(HostConfig {
        number: part.field("number").whole_or(0..=u64::from(u32::MAX), 0) as u32,
        listen: part.field("listen").address_or(LOOPBACK),
        list: list.map_or(
            ListSource { address: LOOPBACK, asked: false, map: false, remember: None },
            |(source, _)| source,
        ),
        start,
        classes: class_names,
        volumes,
        peers: peers(root, hosts as usize),
        bounds,
        log,
        merge,
        split: split(root.part("split")),
    })
}

fn list(p: &Part) -> (ListSource, Option<Ms>) {
    let asked = p.field("mode").one_of_or(&MODES, false);
    let within = p.field("ask_within");
    let max_poll_interval = match (asked, within.given()) {
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
    let remember = p.field("remember");
    let remember = remember.given().then(|| PathBuf::from(remember.text()));
    let (address, map) = (p.field("address").address_or(LOOPBACK), p.field("map").flag_or(false));
    let source = ListSource { address, asked, map, remember };
    (source, max_poll_interval)
}

/// Without the block a batch weighs at most two of the largest requests.
fn merge(part: Option<Part>, max_units: f64) -> magpiewick_coalescing::BatchLimits {
    let (parts, units, bytes, reach) = (8, 2.0 * max_units, 64 << 10, 64);
    part.map_or(
        magpiewick_coalescing::BatchLimits {
            max_parts: parts,
            max_units: units,
            max_bytes: bytes,
            max_gap: reach,
        },
        |p| magpiewick_coalescing::BatchLimits {
            max_parts: p.field("parts").whole_or(1..=256, parts as u64) as usize,
            max_units: p.field("units").number_or(units),
            max_bytes: p.field("bytes").whole_or(1..=512 << 10, bytes as u64) as usize,
            max_gap: p.field("reach").whole_or(0..=1 << 40, reach),
        },
    )
}

fn split(part: Option<Part>) -> Split {
    let (blocks, at_once) = (64, 4);
    part.map_or(Split { blocks, at_once }, |p| Split {
        blocks: p.field("blocks").whole_or(1..=1 << 30, blocks),
        at_once: p.field("at_once").whole_or(1..=256, at_once as u64) as usize,
    })
}

fn classes(root: &Part, round: Ms) -> (Vec<RequestClass>, Vec<String>) {
    let parts = root.labelled("band");
    if parts.is_empty() {
        root.fault("no band; expected at least one block band \"name\"");
    }
    let read = |p: &Part| {
        let idempotency = p.field("repeats").one_of(&REPEATS).unwrap_or(Idempotency::NonIdempotent);
        let (deduplication_scope, deduplication_window) = (p.field("group"), p.field("memory"));
        let fingerprinted = idempotency == Idempotency::IdempotentWithKey;
        for (name, given) in
            [("group", deduplication_scope.given()), ("memory", deduplication_window.given())]
        {
            if given && !fingerprinted {
                p.fault_at(name, format!("{name} goes with repeats = \"fingerprinted\" only"));
            }
        }
        let class = RequestClass {
            latency_objective: p.field("soft_limit").time(),
            client_timeout: p.field("time_limit").time(),
            priority_weight: p.field("payoff").number_or(1.0),
            idempotency,
            deduplication_scope: deduplication_scope.one_of_or(&SCOPES, DeduplicationScope::Shard),
            deduplication_window: if fingerprinted { deduplication_window.time() } else { 0.0 },
            ordered: p.field("in_order").flag_or(false),
        };
        if class.latency_objective > class.client_timeout {
            let (soft, most) = (class.latency_objective, class.client_timeout);
            p.fault_at(
                "soft_limit",
                format!("soft_limit of {soft}ms lies beyond the time_limit of {most}ms"),
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

/// The hosts that tell each other; all of them state each other in the same words, so each can be given the same
/// file. Which of them this one is stands in its number, which may be given at its start.
fn peers(root: &Part, hosts: usize) -> BTreeMap<usize, SocketAddr> {
    let mut peers = BTreeMap::new();
    for p in root.labelled("peer") {
        let number: Option<usize> = p.label().parse().ok().filter(|number| *number < hosts);
        let Some(address) = p.field("address").address() else { continue };
        if address.port() == 0 {
            p.fault_at("address", "an address without a port; expected one that other hosts can send to");
        }
        if peers.values().any(|other| *other == address) {
            p.fault_at("address", format!("a second peer at {address}"));
        }
        match number {
            Some(number) if number.to_string() == p.label() => _ = peers.insert(number, address),
            _ => p.fault(format!("a peer {:?}; expected a host's number, 0 to {}", p.label(), hosts - 1)),
        }
    }
    peers
}

fn cold(p: &Part, start: &mut SchedulerConfig) {
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

fn budget(p: &Part) -> RetryBudget {
    let window = p.field("window").time();
    if window <= 0.0 && p.field("window").given() {
        p.fault_at("window", "a window of 0; expected the time over which further hand-offs are counted");
    }
    RetryBudget { free: p.field("free").number_or(0.0), share: p.field("share").number_or(0.0), window }
}

/// Checks what is reserved, and what a store may let out, against what the shards can do, where that is stated.
fn capacity(root: &Part, start: &SchedulerConfig, volumes: &BTreeMap<u64, Volume>) {
    let Some(p) = root.part("capacity") else { return };
    let a_shard = p.field("units_a_second").number();
    let mut reserved: BTreeMap<usize, f64> = BTreeMap::new();
    for volume in volumes.values() {
        for shard in &volume.shards {
            let reserve = start.plans.get(volume.plan).map_or(0.0, |plan| plan.reserve);
            *reserved.entry(*shard).or_default() += reserve / volume.shards.len() as f64;
        }
    }
    for (shard, reserved) in reserved.into_iter().filter(|(_, reserved)| *reserved > a_shard) {
        p.fault(format!(
            "the reserves on shard {shard} come to {reserved} units a second; it can do {a_shard}"
        ));
    }
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".to_string(), format: LogFormat::Text, requests: false }
    }
}

fn log(part: Option<Part>) -> LogConfig {
    part.map_or_else(LogConfig::default, |p| LogConfig {
        level: p.field("level").one_of_or(&LEVELS, "info").to_string(),
        format: p.field("format").one_of_or(&FORMATS, LogFormat::Text),
        requests: p.field("commands").flag_or(false),
    })
}

#[cfg(test)]
mod tests;
