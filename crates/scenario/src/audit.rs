//! Audits the seven rules from what nodes and clients saw. Pure: records in, a verdict out.
//!
//! It is a plain model of the rules, written for being right, not fast, and apart from the module: it shares
//! no code with what it audits but the figures of the settings file.

use crate::clients::{Said, Try};
use crate::config::ScenarioConfig;
use crate::storm::{storms, Storms};
use magpiewick::{DeduplicationScope, Idempotency};
use magpiewick_emulator::{EmulatorConfig, NodeConfig, Seen};
use magpiewick_gateway::config::HostConfig;
use magpiewick_node_protocol::FinalCode as Answer;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

type Ms = f64;
/// Start and end of an extent, when a host heard of it, and its version.
type MapTold = (u64, u64, Ms, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    Lost,
    Twice,
    Drain,
    Cold,
    Order,
    #[serde(rename = "budget")]
    RetryBudget,
    Limits,
    /// Not one of the seven: an acknowledged write is where its piece of data lies.
    Data,
    /// Nor this: what a scenario states of storms. Checked where it states something.
    Storm,
}

impl Rule {
    pub const ALL: [Rule; 9] = [
        Rule::Lost,
        Rule::Twice,
        Rule::Drain,
        Rule::Cold,
        Rule::Order,
        Rule::RetryBudget,
        Rule::Limits,
        Rule::Data,
        Rule::Storm,
    ];

    pub fn name(self) -> &'static str {
        ["lost", "twice", "drain", "cold", "order", "budget", "limits", "data", "storm"][self as usize]
    }
}

/// One breach.
#[derive(Clone, Debug, Serialize)]
pub struct Finding {
    pub rule: Rule,
    /// Milliseconds since the run began.
    pub at: Ms,
    /// The host's life, where one host is to blame.
    pub host: Option<u64>,
    pub node: Option<u32>,
    /// The client's mark of the request.
    #[serde(rename = "command")]
    pub request_id: Option<u64>,
    pub what: String,
}

/// What an audit came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How much was checked for each rule.
    pub checked: BTreeMap<&'static str, u64>,
    pub findings: Vec<Finding>,
    /// Payoff that was due, and what was reached of it within the latency objective.
    pub due: f64,
    pub reached: f64,
    #[serde(rename = "hand_offs")]
    pub attempts: u64,
    pub further: u64,
    /// Attempts that met a node without the data, what became of their requests, and changes of owners.
    pub stale: u64,
    pub stale_settled: u64,
    pub stale_bounced: u64,
    pub stale_scrapped: u64,
    pub switched: u64,
    /// What each host did, by number.
    pub by_host: Vec<HostShare>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub storms: Option<Storms>,
}

/// What one host did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HostShare {
    pub host: usize,
    /// Writes that it was asked, those that it sent, and the requests of nodes that these travelled in.
    pub writes: u64,
    pub sent: u64,
    pub node_commands: u64,
    /// The part of the priority weight due that it succeeded within the latency objective.
    pub payoff: f64,
    /// Milliseconds to the last byte of reads of several blocks: the median and the 99th of 100.
    pub long_reads: u64,
    pub long_p50_ms: f64,
    pub long_p99_ms: f64,
}

/// All that is known of a run.
pub struct Evidence<'a> {
    pub host: &'a HostConfig,
    pub fleet: &'a EmulatorConfig,
    pub drill: &'a ScenarioConfig,
    pub seen: &'a [(Ms, Seen)],
    pub said: &'a [(Ms, Said)],
    /// Hosts that the script stopped where they stood: number, from, to.
    pub stalls: &'a [(usize, Ms, Ms)],
    /// What the owner of each piece of data holds at the end: volume, key, what was written.
    pub stored: &'a [(u64, u64, Vec<u8>)],
}

/// A try and how it ended for its client.
struct Tried {
    t: Try,
    at: Ms,
    answer: Option<(Ms, Answer)>,
    ended: Option<Ms>,
    sent: Vec<usize>,
}

impl Tried {
    fn over(&self) -> Ms {
        let answered = self.answer.map_or(f64::INFINITY, |a| a.0);
        answered.min(self.ended.unwrap_or(f64::INFINITY))
    }
}

/// An attempt as a node saw it, and when its wait ended.
struct Sent {
    at: Ms,
    node: u32,
    life: u64,
    host: u64,
    request_id: u64,
    attempt: u16,
    volume: u64,
    units: f64,
    mark: u64,
    /// When the node answered, and whether it ran.
    answered: Option<(Ms, bool)>,
    /// When the host stopped waiting, by a cancel or a broken connection.
    dropped: Option<Ms>,
}

impl Sent {
    fn never_ran(&self, by: Ms) -> bool {
        self.answered.is_some_and(|(at, ran)| !ran && at <= by)
    }
}

/// The effects of writes, block by block: when, through which host, on which block of which volume, and the mark.
fn written(seen: &[(Ms, Seen)]) -> impl Iterator<Item = (Ms, u64, (u64, u64), u64)> + '_ {
    seen.iter().flat_map(|(at, seen)| {
        let (host, volume, blocks, mark) = match *seen {
            Seen::Ran { host, volume, key, mark, write: true, blocks, .. } => {
                (host, volume, key..key + u64::from(blocks), mark)
            }
            _ => (0, 0, 0..0, 0),
        };
        blocks.map(move |block| (*at, host, (volume, block), mark))
    })
}

/// Units that a node does in a millisecond, so long after it started cold.
pub(crate) fn units_a_ms(fleet: &EmulatorConfig, n: &NodeConfig, after: Ms) -> f64 {
    let c = fleet.cold;
    let warmth = (c.share + (1.0 - c.share) * after / c.time).min(1.0);
    n.cores as f64 * n.speed / fleet.unit_work * warmth
}

struct Audit<'a> {
    e: &'a Evidence<'a>,
    tried: Vec<Tried>,
    sent: Vec<Sent>,
    verdict: Verdict,
}

pub fn audit(e: &Evidence) -> Verdict {
    let mut a = Audit { e, tried: Vec::new(), sent: Vec::new(), verdict: Verdict::default() };
    let rules = Rule::ALL.iter().filter(|rule| **rule != Rule::Storm || e.drill.storm.is_some());
    rules.for_each(|rule| _ = a.verdict.checked.insert(rule.name(), 0));
    a.gather_tries();
    a.gather_hand_offs();
    a.answers();
    a.effects();
    a.drains();
    a.cold();
    a.order();
    a.budget();
    a.limits();
    a.data();
    a.reads();
    a.effects_in_order();
    a.old_versions();
    a.stale();
    a.by_host();
    if let Some(storm) = &e.drill.storm {
        let (storms, found) = storms(e, storm);
        a.checked(Rule::Storm, storms.returns.len());
        a.verdict.storms = Some(storms);
        a.verdict.findings.extend(found);
    }
    a.verdict.findings.sort_by(|x, y| x.at.total_cmp(&y.at));
    a.verdict
}

impl Audit<'_> {
    fn find(&mut self, rule: Rule, at: Ms, sent: Option<usize>, request_id: Option<u64>, what: String) {
        let s = sent.map(|i| &self.sent[i]);
        let (host, node) = (s.map(|s| s.host), s.map(|s| s.node));
        let request_id = request_id.or(s.map(|s| s.mark));
        self.verdict.findings.push(Finding { rule, at, host, node, request_id, what });
    }

    fn checked(&mut self, rule: Rule, count: usize) {
        *self.verdict.checked.entry(rule.name()).or_default() += count as u64;
    }

    fn stalled(&self, host: usize, from: Ms, to: Ms) -> bool {
        self.e.stalls.iter().any(|s| s.0 == host && s.1 <= to && s.2 >= from)
    }

    fn gather_tries(&mut self) {
        let mut by_number: HashMap<u64, usize> = HashMap::new();
        for (at, said) in self.e.said {
            match *said {
                Said::Took(t) => {
                    by_number.insert(t.number, self.tried.len());
                    self.tried.push(Tried { t, at: *at, answer: None, ended: None, sent: Vec::new() });
                }
                Said::Answered { number, verdict, .. } => {
                    let Some(&i) = by_number.get(&number) else {
                        self.find(Rule::Lost, *at, None, None, format!("an answer to {number}, never asked"));
                        continue;
                    };
                    if self.tried[i].answer.is_some() {
                        let what = "a second final answer".to_string();
                        self.find(Rule::Lost, *at, None, Some(self.tried[i].t.mark), what);
                    }
                    self.tried[i].answer.get_or_insert((*at, verdict));
                }
                Said::Found { .. } => {}
                Said::GaveUp { number } | Said::Lost { number } => {
                    if let Some(&i) = by_number.get(&number) {
                        self.tried[i].ended = Some(*at);
                    }
                }
            }
        }
    }

    fn gather_hand_offs(&mut self) {
        let mut lives: HashMap<u32, u64> = HashMap::new();
        let mut out: HashMap<(u64, u64, u16), usize> = HashMap::new();
        for (at, seen) in self.e.seen {
            match *seen {
                Seen::Started { node, life, .. } => _ = lives.insert(node, life),
                Seen::Attempt { node, host, request_id, attempt, volume, units, mark, .. } => {
                    let life = lives.get(&node).copied().unwrap_or(0);
                    out.insert((host, request_id, attempt), self.sent.len());
                    let (at, answered, dropped) = (*at, None, None);
                    self.sent.push(Sent {
                        at,
                        node,
                        life,
                        host,
                        request_id,
                        attempt,
                        volume,
                        units,
                        mark,
                        answered,
                        dropped,
                    });
                }
                Seen::Answered { host, request_id, attempt, ran, .. } => {
                    if let Some(&i) = out.get(&(host, request_id, attempt)) {
                        self.sent[i].answered.get_or_insert((*at, ran));
                    }
                }
                Seen::Cancelled { host, request_id, attempt, .. } => {
                    if let Some(&i) = out.get(&(host, request_id, attempt)) {
                        self.sent[i].dropped.get_or_insert(*at);
                    }
                }
                Seen::Ended { node, host } => {
                    let open = self.sent.iter_mut().rev().take(10_000);
                    for s in open.filter(|s| s.node == node && s.host == host && s.answered.is_none()) {
                        s.dropped.get_or_insert(*at);
                    }
                }
                _ => {}
            }
        }
        // An attempt belongs to the latest try of its mark that its host had taken by then.
        let mut by_mark: HashMap<(u64, u64), Vec<usize>> = HashMap::new();
        for (i, tried) in self.tried.iter().enumerate() {
            by_mark.entry((tried.t.host, tried.t.mark)).or_default().push(i);
        }
        let mut first: HashMap<(u64, u64), Option<usize>> = HashMap::new();
        for i in 0..self.sent.len() {
            let s = &self.sent[i];
            let tries = by_mark.get(&(s.host, s.mark));
            let latest =
                || tries.and_then(|all| all.iter().rev().find(|t| self.tried[**t].at <= s.at).copied());
            let belongs = *first.entry((s.host, s.request_id)).or_insert_with(latest);
            match belongs {
                Some(t) => self.tried[t].sent.push(i),
                None => {
                    let what = "a hand-off of a command that no client asked".to_string();
                    self.find(Rule::Lost, self.sent[i].at, Some(i), None, what);
                }
            }
        }
        self.verdict.attempts = self.sent.len() as u64;
        self.verdict.further = self.sent.iter().filter(|s| s.attempt > 0).count() as u64;
    }

    /// Rule 1: one final answer in time, and nothing sent after it.
    fn answers(&mut self) {
        let noise = self.e.drill.noise;
        self.checked(Rule::Lost, self.tried.len());
        for i in 0..self.tried.len() {
            let tried = &self.tried[i];
            let (t, until) = (tried.t, tried.at + tried.t.limit + noise);
            let stalled = self.stalled(t.at_host, tried.at - noise, until);
            let late = match (tried.answer, tried.ended) {
                // A connection that ended took the wait with it: its host died.
                (None, Some(ended)) => (ended >= until - 1.0).then_some(ended),
                (None, None) => Some(until),
                (Some((at, _)), _) => (at > until).then_some(at),
            };
            if let Some(at) = late.filter(|_| !stalled) {
                let what = format!("no final answer within {} ms", t.limit);
                self.find(Rule::Lost, at, None, Some(t.mark), what);
            }
            let over = self.tried[i].over() + noise;
            for s in self.tried[i].sent.clone() {
                if self.sent[s].at > over && !stalled {
                    let what = format!("sent {:.0} ms after its end", self.sent[s].at - over + noise);
                    self.find(Rule::Lost, self.sent[s].at, Some(s), None, what);
                }
            }
        }
    }

    /// Rule 2: no effect twice, no attempt and no bounce that could bring one.
    fn effects(&mut self) {
        let classes = &self.e.host.start.classes;
        let repeats = |class: u16| {
            classes.get(usize::from(class)).map_or(Idempotency::NonIdempotent, |b| b.idempotency)
        };
        let mut ran: HashMap<u64, u32> = HashMap::new();
        for (at, seen) in self.e.seen {
            let Seen::Ran { node, host, class, mark, .. } = *seen else { continue };
            if repeats(class) == Idempotency::Idempotent {
                continue;
            }
            let times = ran.entry(mark).or_default();
            *times += 1;
            if *times == 2 {
                let what = "its effect took place twice".to_string();
                let (rule, at) = (Rule::Twice, *at);
                let f =
                    Finding { rule, at, host: Some(host), node: Some(node), request_id: Some(mark), what };
                self.verdict.findings.push(f);
            }
        }
        self.checked(Rule::Twice, ran.len());
        for i in 0..self.tried.len() {
            let class = usize::from(self.tried[i].t.class);
            if classes[class].idempotency != Idempotency::Idempotent {
                self.repeats(i, class);
            }
        }
    }

    fn repeats(&mut self, tried: usize, class: usize) {
        let (noise, class) = (self.e.drill.noise, &self.e.host.start.classes[class]);
        let sent = self.tried[tried].sent.clone();
        for (n, &s) in sent.iter().enumerate() {
            let at = self.sent[s].at;
            let Some(&before) = sent[..n].iter().find(|b| !self.sent[**b].never_ran(at)) else { continue };
            let (first, now) = (&self.sent[before], &self.sent[s]);
            let what = match class.idempotency {
                Idempotency::NonIdempotent => Some("a binding command sent again that may have run"),
                _ if at > first.at + class.deduplication_window + noise => {
                    Some("sent again after its mark is forgotten")
                }
                _ if !self.same_group(class.deduplication_scope, first.node, now.node) => {
                    Some("sent again outside its group")
                }
                _ => None,
            };
            if let Some(what) = what {
                self.find(Rule::Twice, at, Some(s), None, what.to_string());
            }
        }
        let Some((at, Answer::Rejected)) = self.tried[tried].answer else { return };
        let everywhere = class.idempotency == Idempotency::IdempotentWithKey
            && class.deduplication_scope == DeduplicationScope::All;
        if let Some(&s) = sent.iter().find(|s| !self.sent[**s].never_ran(at)).filter(|_| !everywhere) {
            self.find(Rule::Twice, at, Some(s), None, "bounced though it may have run".to_string());
        }
    }

    fn same_group(&self, group: DeduplicationScope, a: u32, b: u32) -> bool {
        let node = |n: u32| self.e.fleet.nodes.iter().find(|x| x.number == n);
        match (group, node(a), node(b)) {
            (DeduplicationScope::All, ..) => true,
            (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
            (DeduplicationScope::Shard, Some(a), Some(b)) => a.shard == b.shard,
            _ => false,
        }
    }

    /// The numbers of hosts by their lives.
    fn numbers(&self) -> HashMap<u64, usize> {
        self.tried.iter().map(|t| (t.t.host, t.t.at_host)).collect()
    }

    /// When a host heard what it was told: one that stood still, when it went on.
    fn heard(&self, host: Option<&usize>, at: Ms) -> Ms {
        let stalls = self.e.stalls.iter().filter(|x| Some(&x.0) == host && x.1 <= at && at < x.2);
        stalls.map(|x| x.2).fold(at, f64::max)
    }

    /// Rule 3: nothing new later than the grace after a host was told.
    fn drains(&mut self) {
        let grace = self.e.drill.drain_within + self.e.drill.noise;
        let mut told: HashMap<(u64, u32, u64), Ms> = HashMap::new();
        for (at, seen) in self.e.seen {
            if let Seen::Told { host, node, life } = *seen {
                told.entry((host, node, life)).or_insert(*at);
            }
        }
        let numbers = self.numbers();
        let mut met: HashSet<(u64, u32, u64)> = HashSet::new();
        for i in 0..self.sent.len() {
            let s = &self.sent[i];
            let place = (s.host, s.node, s.life);
            let Some(&at) = told.get(&place) else { continue };
            met.insert(place);
            let heard = self.heard(numbers.get(&s.host), at);
            if s.at > heard + grace {
                let late = s.at - heard;
                self.find(Rule::Drain, s.at, Some(i), None, format!("sent {late:.0} ms after the notice"));
            }
        }
        self.checked(Rule::Drain, met.len());
    }

    /// Rule 4: what all hosts together sent to a node that had just started.
    fn cold(&mut self) {
        let c = self.e.fleet.cold;
        let starts = self.e.seen.iter().filter_map(|(at, seen)| match *seen {
            Seen::Started { node, life, cold: true } => Some((*at, node, life)),
            _ => None,
        });
        for (start, node, life) in starts.collect::<Vec<_>>() {
            let Some(n) = self.e.fleet.nodes.iter().find(|n| n.number == node) else { continue };
            let a_ms = |at: Ms| units_a_ms(self.e.fleet, n, at - start);
            let cold = |s: &Sent| s.node == node && s.life == life && s.at < start + c.time + c.fall_time;
            let own: Vec<usize> = (0..self.sent.len()).filter(|i| cold(&self.sent[*i])).collect();
            self.checked(Rule::Cold, own.len());
            for (last, &i) in own.iter().enumerate() {
                let to = self.sent[i].at;
                let from = (to - c.fall_time).max(start);
                let sum: f64 = own[..=last]
                    .iter()
                    .filter(|s| self.sent[**s].at >= from)
                    .map(|s| self.sent[*s].units)
                    .sum();
                let could = c.fall_multiple * c.fall_time * (a_ms(from) + a_ms(to)) / 2.0;
                if sum > could.max(c.units) {
                    let what = format!("sent {sum} units in {} ms, which bears {could:.0}", c.fall_time);
                    self.find(Rule::Cold, to, Some(i), None, what);
                    break;
                }
            }
        }
        for (at, seen) in self.e.seen {
            if let Seen::Fell { node } = *seen {
                let (rule, host, request_id, what) = (Rule::Cold, None, None, "it fell over".to_string());
                let f = Finding { rule, at: *at, host, node: Some(node), request_id, what };
                self.verdict.findings.push(f);
            }
        }
    }

    /// When a host knew the outcome of an attempt, at the earliest; whether the key must rest after it.
    fn outcome(&self, s: &Sent, tried: &Tried) -> (Ms, bool) {
        match (s.answered, s.dropped) {
            (Some((at, _)), None) => (at, false),
            (Some((at, _)), Some(dropped)) if at <= dropped => (at, false),
            (_, Some(dropped)) => (dropped, true),
            (None, None) => (tried.over(), true),
        }
    }

    /// Rule 5: requests of one key at one host run one at a time, in the order taken.
    fn order(&mut self) {
        let (noise, rest) = (self.e.drill.noise, self.e.host.start.ordering_quiet_period);
        let mut lines: BTreeMap<(u64, u64, u64), Vec<usize>> = BTreeMap::new();
        for (i, tried) in self.tried.iter().enumerate() {
            if self.e.host.start.classes[usize::from(tried.t.class)].ordered {
                lines.entry((tried.t.host, tried.t.volume, tried.t.key)).or_default().push(i);
            }
        }
        let mut found = Vec::new();
        let mut checked = 0;
        for line in lines.values() {
            for (n, &later) in line.iter().enumerate() {
                let Some(&first) = self.tried[later].sent.first() else { continue };
                for &sent in &self.tried[later].sent {
                    let at = self.sent[sent].at;
                    // Whoever was taken long before has ended long before.
                    for &earlier in line[..n].iter().rev().take(64) {
                        checked += 1;
                        let e = &self.tried[earlier];
                        if e.over() > at + noise && !self.stalled(e.t.at_host, e.at, at) {
                            found.push((at, sent, "sent while an earlier one of its key is not over"));
                        }
                        for s in e.sent.iter().map(|s| &self.sent[*s]) {
                            let (known, rests) = self.outcome(s, e);
                            let from = if rests && sent == first { known + rest } else { known };
                            if at + noise < from && known < f64::INFINITY || s.at > at {
                                found.push((at, sent, "sent while an earlier one of its key may run"));
                            }
                        }
                    }
                }
            }
        }
        self.checked(Rule::Order, checked);
        for (at, sent, what) in found {
            self.find(Rule::Order, at, Some(sent), None, what.to_string());
        }
    }

    /// Rule 6: retries of one host in any window.
    fn budget(&mut self) {
        let Some(b) = &self.e.host.start.budget else { return };
        let noise = self.e.drill.noise;
        let mut hosts: BTreeMap<u64, (Vec<Ms>, Vec<usize>)> = BTreeMap::new();
        for tried in &self.tried {
            hosts.entry(tried.t.host).or_default().0.push(tried.at);
        }
        for (i, s) in self.sent.iter().enumerate().filter(|(_, s)| s.attempt > 0) {
            hosts.entry(s.host).or_default().1.push(i);
        }
        let mut found = Vec::new();
        for (taken, further) in hosts.values() {
            self.checked(Rule::RetryBudget, further.len());
            for (n, &i) in further.iter().enumerate() {
                let at = self.sent[i].at;
                let within = |t: Ms, more: Ms| t > at - b.window - more && t <= at + more;
                let made = further[..=n].iter().filter(|f| within(self.sent[**f].at, -noise)).count();
                let took = taken.iter().filter(|t| within(**t, noise)).count();
                let room = b.free + b.share * took as f64;
                if made as f64 > room {
                    found.push((i, format!("{made} further hand-offs in a window with room for {room:.1}")));
                }
            }
        }
        for (i, what) in found {
            self.find(Rule::RetryBudget, self.sent[i].at, Some(i), None, what);
        }
    }

    /// Rule 7: what all hosts together sent for a volume with a limit.
    fn limits(&mut self) {
        let start = &self.e.host.start;
        let mut known: HashSet<(u64, u64)> = HashSet::new();
        let mut stores: HashMap<u64, (f64, Ms)> = HashMap::new();
        let mut found = Vec::new();
        let mut checked = 0;
        for (i, s) in self.sent.iter().enumerate().filter(|(_, s)| known.insert((s.host, s.request_id))) {
            let Some(plan) = self.e.host.volumes.get(&s.volume).map(|v| &start.plans[v.plan]) else {
                continue;
            };
            if plan.limit_rate <= 0.0 {
                continue;
            }
            checked += 1;
            let (level, filled) = stores.get(&s.volume).copied().unwrap_or((plan.limit_burst, s.at));
            let level = (level + (s.at - filled) * plan.limit_rate / 1000.0).min(plan.limit_burst) - s.units;
            stores.insert(s.volume, (level, s.at));
            let slack = (0.1 * plan.limit_burst).max(start.max_units);
            if level < -slack {
                found.push((i, format!("the volume's store is {:.1} units below 0", -level)));
            }
        }
        self.checked(Rule::Limits, checked);
        for (i, what) in found {
            self.find(Rule::Limits, self.sent[i].at, Some(i), None, what);
        }
    }

    /// Each piece of data holds, where it lies now, what was written to it last, wherever that was.
    fn data(&mut self) {
        let mut last: BTreeMap<(u64, u64), (Ms, u64)> = BTreeMap::new();
        for (at, _, block, mark) in written(self.e.seen) {
            last.insert(block, (at, mark));
        }
        let ran: HashSet<u64> = self
            .e
            .seen
            .iter()
            .filter_map(|(_, seen)| match *seen {
                Seen::Ran { mark, .. } => Some(mark),
                _ => None,
            })
            .collect();
        for i in 0..self.tried.len() {
            let (mark, answer) = (self.tried[i].t.mark, self.tried[i].answer);
            if let Some((at, Answer::Succeeded)) = answer.filter(|_| !ran.contains(&mark)) {
                let what = "settled though it never ran".to_string();
                self.find(Rule::Data, at, None, Some(mark), what);
            }
        }
        let mark = |payload: &[u8]| payload.first_chunk::<8>().map_or(0, |b| u64::from_le_bytes(*b));
        let held: HashMap<(u64, u64), u64> =
            self.e.stored.iter().map(|(volume, key, payload)| ((*volume, *key), mark(payload))).collect();
        self.checked(Rule::Data, last.len());
        for (piece, (at, mark)) in last {
            if held.get(&piece) != Some(&mark) {
                let what = format!("key {} of volume {} holds {:?}", piece.1, piece.0, held.get(&piece));
                self.find(Rule::Data, at, None, Some(mark), what);
            }
        }
    }

    /// Each block of a succeeded read holds what some moment of the read's time found there.
    fn reads(&mut self) {
        let noise = self.e.drill.noise;
        let mut effects: HashMap<(u64, u64), Vec<(Ms, u64)>> = HashMap::new();
        for (at, _, block, mark) in written(self.e.seen) {
            effects.entry(block).or_default().push((at, mark));
        }
        let by_number: HashMap<u64, usize> =
            self.tried.iter().enumerate().map(|(i, tried)| (tried.t.number, i)).collect();
        let mut checked = 0;
        for (at, said) in self.e.said {
            let Said::Found { number, block, mark } = *said else { continue };
            let Some(tried) = by_number.get(&number).map(|i| &self.tried[*i]) else { continue };
            let (from, to, volume) = (tried.at - noise, at + noise, tried.t.volume);
            let held = effects.get(&(volume, block)).map_or(&[][..], |all| all);
            let first = held.partition_point(|e| e.0 <= from);
            let last = held.partition_point(|e| e.0 <= to);
            let found = held[first.saturating_sub(1)..last].iter().any(|e| e.1 == mark);
            let may = found || first == 0 && mark == 0;
            checked += 1;
            if !may {
                let what = format!("block {block} of volume {volume} was read as {mark}");
                let request_id = Some(tried.t.mark);
                self.find(Rule::Data, *at, None, request_id, what);
            }
        }
        self.checked(Rule::Data, checked);
    }

    /// Writes of one connection that overlap take effect in the order sent.
    fn effects_in_order(&mut self) {
        let mut tries: HashMap<(u64, u64), (u64, usize)> = HashMap::new();
        for (sent, tried) in (0..).zip(&self.tried).filter(|(_, t)| t.t.write) {
            // A later try comes after whatever was sent meanwhile.
            tries.insert((tried.t.host, tried.t.mark), (sent, tried.t.line));
        }
        let mut last: HashMap<(u64, u64, u64, usize), u64> = HashMap::new();
        let (mut found, mut checked) = (Vec::new(), 0);
        for (at, host, (volume, block), mark) in written(self.e.seen) {
            let Some(&(sent, line)) = tries.get(&(host, mark)) else { continue };
            let before = last.entry((host, volume, block, line)).or_insert(sent);
            checked += usize::from(*before != sent);
            if *before > sent {
                found.push((at, mark, format!("block {block} of volume {volume}: a later write ran first")));
            }
            *before = sent.max(*before);
        }
        self.checked(Rule::Order, checked);
        for (at, mark, what) in found {
            self.find(Rule::Order, at, None, Some(mark), what);
        }
    }

    /// Nothing leaves under a version of an extent that is older than what its host was told.
    fn old_versions(&mut self) {
        let (noise, numbers) = (self.e.drill.noise, self.numbers());
        let mut told: HashMap<(u64, u64), Vec<MapTold>> = HashMap::new();
        let (mut found, mut checked) = (Vec::new(), 0);
        for (at, seen) in self.e.seen {
            match *seen {
                Seen::MapTold { host, volume, start, end, version } => {
                    let heard = self.heard(numbers.get(&host), *at);
                    told.entry((host, volume)).or_default().push((start, end, heard, version));
                }
                Seen::Attempt { node, host, volume, key, mark, version, .. } if version > 0 => {
                    let known = told.get(&(host, volume)).map_or(&[][..], |all| all);
                    let of = known.iter().filter(|t| t.0 <= key && key < t.1 && at - t.2 > noise);
                    checked += usize::from(of.clone().next().is_some());
                    if let Some(newer) = of.clone().find(|t| t.3 > version) {
                        let what = format!("sent under version {version}, told {} before", newer.3);
                        found.push((*at, host, node, mark, what));
                    }
                }
                _ => {}
            }
        }
        self.checked(Rule::Data, checked);
        for (at, host, node, mark, what) in found {
            let (rule, host, node, request_id) = (Rule::Data, Some(host), Some(node), Some(mark));
            self.verdict.findings.push(Finding { rule, at, host, node, request_id, what });
        }
    }

    /// What each host did, and the priority weight of all.
    fn by_host(&mut self) {
        let start = &self.e.host.start;
        let mut shares = vec![HostShare::default(); start.hosts as usize];
        let (mut due, mut long) = (vec![0.0; shares.len()], vec![Vec::new(); shares.len()]);
        let numbers = self.numbers();
        for tried in &self.tried {
            let (host, class) = (tried.t.at_host, &start.classes[usize::from(tried.t.class)]);
            shares[host].writes += u64::from(tried.t.write && !tried.t.later);
            due[host] += if tried.t.later { 0.0 } else { class.priority_weight };
            let Some((at, _)) = tried.answer.filter(|a| a.1 == Answer::Succeeded) else { continue };
            if at <= tried.t.first + class.latency_objective {
                shares[host].payoff += class.priority_weight;
            }
            if !tried.t.write && tried.t.blocks > 16 {
                long[host].push(at - tried.t.first);
            }
        }
        let mut known: HashSet<u64> = HashSet::new();
        let mut sent: HashSet<(usize, u64)> = HashSet::new();
        for (_, seen) in self.e.seen {
            let Seen::Attempt { host, write: true, batch, request_id, .. } = *seen else { continue };
            let Some(&host) = numbers.get(&host) else { continue };
            shares[host].sent += u64::from(sent.insert((host, request_id)));
            shares[host].node_commands += u64::from(known.insert(batch));
        }
        let reached = shares.iter().map(|share| share.payoff).sum();
        (self.verdict.due, self.verdict.reached) = (due.iter().sum(), reached);
        for (host, share) in shares.iter_mut().enumerate() {
            let times = &mut long[host];
            times.sort_by(f64::total_cmp);
            let at = |part: f64| times.get((times.len() as f64 * part) as usize).copied().unwrap_or(0.0);
            (share.host, share.payoff, share.long_reads) =
                (host, share.payoff / f64::max(due[host], 1e-9), times.len() as u64);
            (share.long_p50_ms, share.long_p99_ms) = (at(0.5), at(0.99));
        }
        self.verdict.by_host = shares;
    }

    /// Counts what stale maps cost.
    fn stale(&mut self) {
        let stale = self.e.seen.iter().filter_map(|(_, seen)| match *seen {
            Seen::Answered { host, request_id, moved: true, .. } => Some((host, request_id)),
            _ => None,
        });
        let stale: Vec<(u64, u64)> = stale.collect();
        self.verdict.stale = stale.len() as u64;
        let of: HashSet<(u64, u64)> = stale.into_iter().collect();
        for tried in &self.tried {
            let met = tried.sent.iter().any(|s| of.contains(&(self.sent[*s].host, self.sent[*s].request_id)));
            match tried.answer.filter(|_| met) {
                Some((_, Answer::Succeeded)) => self.verdict.stale_settled += 1,
                Some((_, Answer::Rejected)) => self.verdict.stale_bounced += 1,
                Some((_, Answer::Failed)) => self.verdict.stale_scrapped += 1,
                None => {}
            }
        }
        let switched = self.e.seen.iter().filter(|(_, s)| matches!(s, Seen::Switched { .. }));
        self.verdict.switched = switched.count() as u64;
    }
}
