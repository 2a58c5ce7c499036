//! Breaks one rule on purpose, in the rig between sockets and nodes, so that an audit can be seen to find it.

use crate::audit::Rule;
use magpiewick::Idempotency;
use magpiewick_emulator::{Arrived, Tamper};
use magpiewick_gateway::config::HostConfig;
use std::collections::HashMap;

type Ms = f64;

/// What a rig breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Rule(Rule),
    /// On its way to the host, a node's answer that the data lies elsewhere becomes one that it is done: what a host
    /// that ignores it would tell its client.
    Moved,
    /// A batch of which a part was refused comes again as a whole.
    Batch,
    /// The blocks of a read come in another order.
    Swapped,
    /// A part of a batch is answered twice to its client.
    Again,
    /// Hosts are told half of each change of the map.
    Half,
    /// Clients hear no time to come back and ask again at once.
    Deaf,
}

impl Planted {
    /// The plant of a name; none where there is none.
    pub fn named(name: &str) -> Option<Planted> {
        let rule = Rule::ALL.into_iter().find(|r| r.name() == name);
        Some(match (rule, name) {
            (Some(rule), _) => Planted::Rule(rule),
            (_, "moved") => Planted::Moved,
            (_, "batch") => Planted::Batch,
            (_, "swapped") => Planted::Swapped,
            (_, "again") => Planted::Again,
            (_, "half") => Planted::Half,
            (_, "deaf") => Planted::Deaf,
            _ => return None,
        })
    }

    /// The names beside those of the rules.
    pub const OTHERS: &str = "moved, batch, swapped, again, half, deaf";

    pub fn rule(self) -> Option<Rule> {
        match self {
            Planted::Rule(rule) => Some(rule),
            _ => None,
        }
    }
}

/// How many attempts go by before a plant begins.
const FIRST: u64 = 200;
/// A node that nothing came to for so long was away.
const AWAY: Ms = 1000.0;

struct Plant {
    planted: Planted,
    seen: u64,
    binding: Vec<u16>,
    /// Bands without an order that may run again, and the one of them that may wait longest with that wait.
    free: Vec<u16>,
    patient: (u16, Ms),
    limited: Vec<u64>,
    /// When a node was first and last met on this run.
    met: HashMap<u32, Ms>,
    last: HashMap<u32, Ms>,
    done: bool,
    /// The one that comes again.
    batch: Option<u64>,
}

/// A rig that breaks what is named and nothing else; none where it is broken elsewhere.
pub fn plant(planted: Planted, host: &HostConfig) -> Option<Box<dyn Tamper>> {
    let classes = || host.start.classes.iter().zip(0..);
    let plans = &host.start.policies;
    let limited = host.volumes.iter().filter(|(_, v)| plans[v.plan].limit_rate > 0.0).map(|(id, _)| *id);
    let of = |repeats| classes().filter(move |(b, _)| b.idempotency == repeats && !b.ordered).map(|(_, i)| i);
    let waits = |class: &u16| host.start.classes[usize::from(*class)].latency_objective;
    let patient = of(Idempotency::Idempotent).max_by(|a, b| waits(a).total_cmp(&waits(b))).unwrap_or(0);
    let plant = Plant {
        planted,
        seen: 0,
        binding: of(Idempotency::NonIdempotent).collect(),
        free: of(Idempotency::Idempotent).collect(),
        patient: (patient, 0.85 * waits(&patient)),
        limited: limited.collect(),
        met: HashMap::new(),
        last: HashMap::new(),
        done: false,
        batch: None,
    };
    let between = match planted {
        Planted::Rule(rule) => !matches!(rule, Rule::Lost | Rule::Order | Rule::Data),
        other => other == Planted::Batch,
    };
    between.then(|| Box::new(plant) as Box<dyn Tamper>)
}

impl Tamper for Plant {
    fn pass(&mut self, now: Ms, node: u32, arrived: Arrived) -> Vec<(Ms, Arrived)> {
        self.seen += 1;
        let met = *self.met.entry(node).or_insert(now);
        let rested = self.last.insert(node, now).map_or(0.0, |last| now - last);
        if self.seen < FIRST {
            return vec![(0.0, arrived)];
        }
        let (free, limited) = (self.free.contains(&arrived.class), self.limited.contains(&arrived.volume));
        let next = || Arrived { attempt: arrived.attempt + 1, ..arrived.clone() };
        // Copies that look like requests of their own.
        let others = |copies: u64| {
            let copy =
                |n| Arrived { request_id: arrived.request_id ^ (n << 48), attempt: 0, ..arrived.clone() };
            (1..=copies).map(|n| (0.0, copy(n))).collect::<Vec<_>>()
        };
        let more = match self.planted {
            Planted::Rule(Rule::Twice) if self.binding.contains(&arrived.class) && !self.done => {
                self.done = true;
                vec![(5.0, next())]
            }
            // Held back on the way: some come to a node that has begun to drain meanwhile.
            Planted::Rule(Rule::Drain) if arrived.class == self.patient.0 => {
                return vec![(self.patient.1, arrived)]
            }
            // A burst of what came early to a node that joined late.
            Planted::Rule(Rule::Cold)
                if free && !limited && now - met < 1500.0 && met > 1000.0 && !self.done =>
            {
                self.done = true;
                others(900)
            }
            // What a host holds for a node that was away, all at once.
            Planted::Rule(Rule::Storm) if rested > AWAY => others(120),
            Planted::Rule(Rule::RetryBudget) if free => vec![(1.0, next())],
            Planted::Rule(Rule::Limits) if free && limited => others(8),
            // As a host would that takes one part's refusal for the whole batch's.
            Planted::Batch if self.binding.contains(&arrived.class) && arrived.parts > 1 => {
                match *self.batch.get_or_insert(arrived.batch) == arrived.batch {
                    true => vec![(60.0, next())],
                    false => Vec::new(),
                }
            }
            _ => Vec::new(),
        };
        [vec![(0.0, arrived)], more].concat()
    }
}
