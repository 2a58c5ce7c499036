//! Breaks one rule on purpose, in the rig between sockets and nodes, so that an audit can be seen to find it.

use crate::audit::Rule;
use magpiewick_standin::{Arrived, Tamper};
use std::collections::HashMap;

type Ms = f64;

/// How many hand-offs go by before a plant begins.
const FIRST: u64 = 200;

struct Plant {
    rule: Rule,
    seen: u64,
    /// Bands by what they allow.
    binding: Vec<u16>,
    ordered: Vec<u16>,
    limited: Vec<u64>,
    /// The last hand-off of each host to each key.
    last: HashMap<(u64, u64), Arrived>,
    /// When a node was first met on this run.
    met: HashMap<u32, Ms>,
    done: u64,
}

/// A rig that breaks `rule`; none for the one that the clients' side breaks.
pub fn plant(rule: Rule, host: &magpiewick_gateway::sheet::HostSheet) -> Option<Box<dyn Tamper>> {
    let bands = || host.start.bands.iter().zip(0..);
    let plans = &host.start.plans;
    let limited = host.volumes.iter().filter(|(_, v)| plans[v.plan].limit_rate > 0.0).map(|(id, _)| *id);
    let binding = bands().filter(|(b, _)| b.repeats == magpiewick::Repeats::Binding).map(|(_, i)| i);
    let plant = Plant {
        rule,
        seen: 0,
        binding: binding.collect(),
        ordered: bands().filter(|(b, _)| b.in_order).map(|(_, i)| i).collect(),
        limited: limited.collect(),
        last: HashMap::new(),
        met: HashMap::new(),
        done: 0,
    };
    (rule != Rule::Lost).then(|| Box::new(plant) as Box<dyn Tamper>)
}

impl Tamper for Plant {
    fn pass(&mut self, now: Ms, node: u32, arrived: Arrived) -> Vec<(Ms, Arrived)> {
        self.seen += 1;
        let met = *self.met.entry(node).or_insert(now);
        let again = |hand_off: u16| Arrived { hand_off, ..arrived.clone() };
        let other = |n: u64| Arrived { command: arrived.command ^ (n << 56), hand_off: 0, ..arrived.clone() };
        let straight = (0.0, arrived.clone());
        if self.seen < FIRST {
            return vec![straight];
        }
        let mut out = vec![straight];
        match self.rule {
            Rule::Lost => {}
            Rule::Twice if self.binding.contains(&arrived.band) && self.done == 0 => {
                self.done = 1;
                out.push((5.0, again(arrived.hand_off + 1)));
            }
            // Every tenth comes a second time, long after: some of them to a node that drains by then.
            Rule::Drain if self.seen.is_multiple_of(10) => out.push((900.0, other(1))),
            Rule::Cold if now - met < 1500.0 && met > 1000.0 => {
                out.extend((1..=40).map(|n| (0.0, other(n))));
            }
            Rule::Order if self.ordered.contains(&arrived.band) => {
                let place = (arrived.host, arrived.key);
                if let Some(before) = self.last.insert(place, arrived.clone()) {
                    let hand_off = before.hand_off + 1;
                    out.push((0.0, Arrived { hand_off, ..before }));
                }
            }
            Rule::Budget if !self.binding.contains(&arrived.band) => out.push((1.0, again(arrived.hand_off + 1))),
            Rule::Limits if self.limited.contains(&arrived.volume) => {
                out.extend((1..=20).map(|n| (0.0, other(n))));
            }
            _ => {}
        }
        out
    }
}
