//! What a host is told by its settings file, read and checked as a whole. `docs/settings.md` lists it.

use magpiewick::{Band, Budget, Group, Ms, Plan, Repeats, Start};
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
    /// Through how many hosts its commands come.
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
pub struct LogSheet {
    pub level: String,
    pub format: LogFormat,
    /// A line for each command.
    pub commands: bool,
}

/// All that a host is told.
#[derive(Clone, Debug)]
pub struct HostSheet {
    pub number: u32,
    pub listen: SocketAddr,
    pub list: ListSource,
    pub start: Start,
    pub bands: Vec<String>,
    pub volumes: BTreeMap<u64, Volume>,
    /// By number, where hosts may tell each other what they see of nodes; this host is among them.
    pub peers: BTreeMap<usize, SocketAddr>,
    pub bounds: Bounds,
    pub log: LogSheet,
    /// What travels together; one part where merging is off.
    pub merge: magpiewick_coalescing::Bounds,
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

impl HostSheet {
    /// A host that knows nothing of cold nodes and names no time to come back, to compare with.
    pub fn damp_nothing(&mut self) {
        (self.start.cold_share, self.start.cold_time, self.start.fall_time) = (1.0, 0.0, 0.0);
        self.start.longest_back = 0.0;
    }

    /// Sends every command by itself from now on.
    pub fn send_alone(&mut self) {
        self.merge.parts = 1;
        self.start.most_together = self.start.most_units;
    }
}

const REPEATS: [(&str, Repeats); 3] = [
    ("retriable", Repeats::Retriable),
    ("fingerprinted", Repeats::Fingerprinted),
    ("binding", Repeats::Binding),
];
const GROUPS: [(&str, Group); 3] = [("all", Group::All), ("zone", Group::Zone), ("shard", Group::Shard)];
const MODES: [(&str, bool); 2] = [("push", false), ("ask", true)];
const FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
const LEVELS: [(&str, &str); 5] =
    [("error", "error"), ("warn", "warn"), ("info", "info"), ("debug", "debug"), ("trace", "trace")];
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Reads a host's part of a file. `seed` is used where the file states none.
pub fn host(root: &Part, seed: u64) -> Option<HostSheet> {
    let part = root.must("host");
    let list = root.part("list").map(|p| list(&p));
    let round = part.as_ref().map_or(2.0, |p| p.field("round").time_or(2.0));
    let (bands, band_names) = bands(root, round);
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
    let ask_within = list.as_ref().and_then(|(_, within)| *within);
    let mut start = Start {
        seed: part.field("seed").whole_or(0..=u64::MAX, seed),
        hosts,
        bands,
        plans,
        round,
        max_hand_offs: part.field("hand_offs").whole_or(1..=100, 3) as u32,
        may_cancel: part.field("cancels").flag_or(true),
        longest_back: part.field("longest_back").time_or(500.0),
        ask_within,
        cold_share: 1.0,
        cold_time: 0.0,
        cold_units: 0.0,
        fall_time: 0.0,
        fall_multiple: 1.0,
        order_rest: part.field("order_rest").time_or(0.0),
        budget: None,
        most_units: units,
        mean_units: mean,
        most_together: units,
        share_payoff: part.field("share_payoff").part_or(0.35),
        counts_others: part.field("counts_others").flag_or(true),
        peer: None,
    };
    if let Some(p) = root.part("cold") {
        cold(&p, &mut start);
    }
    start.budget = root.part("budget").map(|p| budget(&p));
    if start.max_hand_offs > 1 && start.bands.iter().all(|b| b.repeats == Repeats::Binding) {
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
    if merge.parts > 1 {
        start.most_together = merge.units.max(units);
    }
    Some(HostSheet {
        number: part.field("number").whole_or(0..=u64::from(u32::MAX), 0) as u32,
        listen: part.field("listen").address_or(LOOPBACK),
        list: list.map_or(
            ListSource { address: LOOPBACK, asked: false, map: false, remember: None },
            |(source, _)| source,
        ),
        start,
        bands: band_names,
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
    let ask_within = match (asked, within.given()) {
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
    (source, ask_within)
}

/// Without the block a batch weighs at most two of the largest commands.
fn merge(part: Option<Part>, most_units: f64) -> magpiewick_coalescing::Bounds {
    let (parts, units, bytes, reach) = (8, 2.0 * most_units, 64 << 10, 64);
    part.map_or(magpiewick_coalescing::Bounds { parts, units, bytes, reach }, |p| magpiewick_coalescing::Bounds {
        parts: p.field("parts").whole_or(1..=256, parts as u64) as usize,
        units: p.field("units").number_or(units),
        bytes: p.field("bytes").whole_or(1..=512 << 10, bytes as u64) as usize,
        reach: p.field("reach").whole_or(0..=1 << 40, reach),
    })
}

fn split(part: Option<Part>) -> Split {
    let (blocks, at_once) = (64, 4);
    part.map_or(Split { blocks, at_once }, |p| Split {
        blocks: p.field("blocks").whole_or(1..=1 << 30, blocks),
        at_once: p.field("at_once").whole_or(1..=256, at_once as u64) as usize,
    })
}

fn bands(root: &Part, round: Ms) -> (Vec<Band>, Vec<String>) {
    let parts = root.labelled("band");
    if parts.is_empty() {
        root.fault("no band; expected at least one block band \"name\"");
    }
    let read = |p: &Part| {
        let repeats = p.field("repeats").one_of(&REPEATS).unwrap_or(Repeats::Binding);
        let (group, memory) = (p.field("group"), p.field("memory"));
        let fingerprinted = repeats == Repeats::Fingerprinted;
        for (name, given) in [("group", group.given()), ("memory", memory.given())] {
            if given && !fingerprinted {
                p.fault_at(name, format!("{name} goes with repeats = \"fingerprinted\" only"));
            }
        }
        let band = Band {
            soft_limit: p.field("soft_limit").time(),
            time_limit: p.field("time_limit").time(),
            payoff: p.field("payoff").number_or(1.0),
            repeats,
            group: group.one_of_or(&GROUPS, Group::Shard),
            memory: if fingerprinted { memory.time() } else { 0.0 },
            in_order: p.field("in_order").flag_or(false),
        };
        if band.soft_limit > band.time_limit {
            let (soft, most) = (band.soft_limit, band.time_limit);
            p.fault_at(
                "soft_limit",
                format!("soft_limit of {soft}ms lies beyond the time_limit of {most}ms"),
            );
        }
        if band.time_limit <= 4.0 * round && p.field("time_limit").given() {
            p.fault_at("time_limit", format!("time_limit leaves no time beside a round of {round}ms"));
        }
        band
    };
    (parts.iter().map(read).collect(), parts.iter().map(|p| p.label().to_string()).collect())
}

fn plans(root: &Part) -> (Vec<Plan>, Vec<String>) {
    let parts = root.labelled("plan");
    if parts.is_empty() {
        root.fault("no plan; expected at least one block plan \"name\"");
    }
    let read = |p: &Part| {
        let rate = p.field("rate").number();
        let plan = Plan {
            price: p.field("price").number_or(1.0),
            weight: p.field("weight").number_or(1.0),
            rate,
            reserve: p.field("reserve").number_or(0.0),
            limit_rate: p.field("limit_rate").number_or(0.0),
            limit_store: p.field("limit_store").number_or(0.0),
        };
        if plan.limit_rate > 0.0 && plan.reserve > plan.limit_rate {
            let (reserve, limit) = (plan.reserve, plan.limit_rate);
            p.fault_at("reserve", format!("a reserve of {reserve} lies beyond the limit_rate of {limit}"));
        }
        if (plan.limit_rate > 0.0) != (plan.limit_store > 0.0) {
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

fn cold(p: &Part, start: &mut Start) {
    start.cold_share = p.field("share").part_or(1.0);
    start.cold_time = p.field("time").time();
    start.cold_units = p.field("units").number_or(0.0);
    start.fall_time = p.field("fall_time").time();
    start.fall_multiple = p.field("fall_multiple").number();
    if start.cold_share <= 0.0 {
        p.fault_at("share", "a share of 0: a node that can do nothing at its start is never warm");
    }
    if start.fall_time <= 0.0 && p.field("fall_time").given() {
        p.fault_at("fall_time", "a fall_time of 0; expected the time over which a cold node is pushed over");
    }
    if start.fall_multiple < 1.0 && p.field("fall_multiple").given() {
        p.fault_at("fall_multiple", "a fall_multiple under 1: a cold node could not be sent what it can do");
    }
}

fn budget(p: &Part) -> Budget {
    let window = p.field("window").time();
    if window <= 0.0 && p.field("window").given() {
        p.fault_at("window", "a window of 0; expected the time over which further hand-offs are counted");
    }
    Budget { free: p.field("free").number_or(0.0), share: p.field("share").number_or(0.0), window }
}

/// Checks what is reserved, and what a store may let out, against what the shards can do, where that is stated.
fn capacity(root: &Part, start: &Start, volumes: &BTreeMap<u64, Volume>) {
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

impl Default for LogSheet {
    fn default() -> LogSheet {
        LogSheet { level: "info".to_string(), format: LogFormat::Text, commands: false }
    }
}

fn log(part: Option<Part>) -> LogSheet {
    part.map_or_else(LogSheet::default, |p| LogSheet {
        level: p.field("level").one_of_or(&LEVELS, "info").to_string(),
        format: p.field("format").one_of_or(&FORMATS, LogFormat::Text),
        commands: p.field("commands").flag_or(false),
    })
}

#[cfg(test)]
mod tests;
