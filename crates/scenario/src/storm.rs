//! What nodes that came back met, and how soon clients were served as before. Pure, as the audit is, and like it a
//! plain model of its own.

use crate::audit::{units_a_ms, Evidence, Finding, Rule};
use crate::clients::Said;
use crate::config::Storm;
use magpiewick_emulator::Seen;
use magpiewick_node_protocol::FinalCode as Answer;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

type Ms = f64;

/// The slots in which the load on a node is held against its ceiling.
const SLOT: Ms = 100.0;
/// The priority weight is looked at over so long a time, and anew after each step.
const WINDOW: Ms = 1000.0;
const STEP: Ms = 250.0;

/// Nodes that came back together, or one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Return {
    pub at_ms: Ms,
    pub nodes: Vec<u32>,
    /// The most units that one of them was sent in 100 ms, as a multiple of what it could do in them, and when.
    pub most_load: f64,
    pub most_at_ms: Ms,
    /// The part of what they were sent until they were warm that were later tries.
    pub later: f64,
    pub fell: u64,
    /// After what time the priority weight was back; none: not when the next node stopped, or at the end.
    pub recovered_ms: Option<Ms>,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Storms {
    /// The priority weight within the latency objective, as a part of what was due, while the traffic was quiet.
    pub quiet_payoff: f64,
    /// Tries a request over the run.
    pub tries: f64,
    pub returns: Vec<Return>,
}

/// Payoff due and reached, by when requests were due at first.
fn payoffs(e: &Evidence) -> Vec<(Ms, f64, f64)> {
    let classes = &e.host.start.classes;
    let mut by_mark: HashMap<u64, usize> = HashMap::new();
    let (mut tries, mut all) = (HashMap::new(), Vec::new());
    for (at, said) in e.said {
        match *said {
            Said::Took(t) => {
                tries.insert(t.number, t);
                by_mark.entry(t.mark).or_insert_with(|| {
                    all.push((t.first, classes[usize::from(t.class)].priority_weight, 0.0));
                    all.len() - 1
                });
            }
            Said::Answered { number, verdict: Answer::Succeeded, .. } => {
                let Some(t) = tries.get(&number) else { continue };
                let class = &classes[usize::from(t.class)];
                if let Some(&i) = by_mark.get(&t.mark).filter(|_| *at <= t.first + class.latency_objective) {
                    all[i].2 = class.priority_weight;
                }
            }
            _ => {}
        }
    }
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all
}

fn payoff(all: &[(Ms, f64, f64)], from: Ms, to: Ms) -> f64 {
    let (first, last) = (all.partition_point(|p| p.0 < from), all.partition_point(|p| p.0 < to));
    let (due, reached) = all[first..last].iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.1, sum.1 + p.2));
    reached / f64::max(due, 1e-9)
}

/// Cold starts of nodes that had stopped before, those of a second together.
fn returns(seen: &[(Ms, Seen)]) -> Vec<(Ms, Vec<u32>)> {
    let mut stopped = HashSet::new();
    let mut all: Vec<(Ms, Vec<u32>)> = Vec::new();
    for (at, seen) in seen {
        match *seen {
            Seen::Stopped { node, .. } => _ = stopped.insert(node),
            Seen::Started { node, cold: true, .. } if stopped.remove(&node) => match all.last_mut() {
                Some((first, nodes)) if at - *first < WINDOW => nodes.push(node),
                _ => all.push((*at, vec![node])),
            },
            _ => {}
        }
    }
    all
}

/// When each request was tried, by its mark, and whether that was a later try.
fn tries(said: &[(Ms, Said)]) -> HashMap<u64, Vec<(Ms, bool)>> {
    let mut tries: HashMap<u64, Vec<(Ms, bool)>> = HashMap::new();
    for (at, said) in said {
        if let Said::Took(t) = said {
            tries.entry(t.mark).or_default().push((*at, t.later));
        }
    }
    tries
}

/// What the nodes of a return were sent until they were warm, or stopped again.
fn load(e: &Evidence, tries: &HashMap<u64, Vec<(Ms, bool)>>, back: &mut Return) {
    let (cold, begin) = (e.fleet.cold, back.at_ms);
    let mut started: HashMap<u32, Ms> = HashMap::new();
    let mut slots: BTreeMap<(u32, u64), f64> = BTreeMap::new();
    let (mut all, mut later) = (0.0, 0.0);
    for (at, seen) in e.seen.iter().filter(|(at, _)| *at >= begin) {
        match *seen {
            Seen::Started { node, .. } if back.nodes.contains(&node) && *at < begin + WINDOW => {
                started.insert(node, *at);
            }
            Seen::Stopped { node, .. } => _ = started.remove(&node),
            Seen::Fell { node } => back.fell += u64::from(started.contains_key(&node)),
            Seen::Attempt { node, mark, units, .. } => {
                let Some(&start) = started.get(&node).filter(|start| *at < *start + cold.time) else {
                    continue;
                };
                *slots.entry((node, ((at - start) / SLOT) as u64)).or_default() += units;
                let of = tries.get(&mark).and_then(|t| t.iter().rev().find(|t| t.0 <= *at));
                all += units;
                later += if of.is_some_and(|t| t.1) { units } else { 0.0 };
            }
            _ => {}
        }
    }
    back.later = later / f64::max(all, 1e-9);
    for ((node, slot), units) in slots {
        let Some(n) = e.fleet.nodes.iter().find(|n| n.number == node) else { continue };
        let after = (slot as f64 + 0.5) * SLOT;
        let times = units / (units_a_ms(e.fleet, n, after) * SLOT);
        if times > back.most_load {
            (back.most_load, back.most_at_ms) = (times, begin + after);
        }
    }
}

/// After what time clients were served as well as this, for as long as a window lasts.
fn recovered(all: &[(Ms, f64, f64)], at: Ms, until: Ms, target: f64) -> Option<Ms> {
    let steps = ((until - at - WINDOW) / STEP).max(0.0) as u32;
    let ends = (0..=steps).map(|step| at + f64::from(step) * STEP);
    ends.map(|from| (from, from + WINDOW))
        .find(|(from, to)| payoff(all, *from, *to) >= target)
        .map(|(_, to)| to - at)
}

/// What the storms of a run came to, and where they broke what the scenario states.
pub fn storms(e: &Evidence, storm: &Storm) -> (Storms, Vec<Finding>) {
    let took = |(at, said): &(Ms, Said)| matches!(said, Said::Took(_)).then_some(*at);
    let begin = e.said.iter().find_map(took).unwrap_or(0.0);
    let all = payoffs(e);
    let quiet_payoff = payoff(&all, begin, begin + storm.quiet);
    let by_mark = tries(e.said);
    let tries = by_mark.values().map(Vec::len).sum::<usize>() as f64 / all.len().max(1) as f64;
    let (mut result, mut found) = (Storms { quiet_payoff, tries, returns: Vec::new() }, Vec::new());
    for (at, nodes) in returns(e.seen) {
        let stops =
            |(when, seen): &(Ms, Seen)| (matches!(seen, Seen::Stopped { .. }) && *when > at).then_some(*when);
        let until = e.seen.iter().find_map(stops).unwrap_or(begin + e.drill.time);
        let mut back = Return { at_ms: at, nodes, ..Return::default() };
        load(e, &by_mark, &mut back);
        back.recovered_ms = recovered(&all, at, until, storm.recovers_to * quiet_payoff);
        let mut find = |at: Ms, what: String| {
            let (rule, node) = (Rule::Storm, back.nodes.first().copied());
            found.push(Finding { rule, at, host: None, node, request_id: None, what });
        };
        if back.most_load > storm.ceiling {
            find(back.most_at_ms, format!("sent {:.2} times what it can do in {SLOT} ms", back.most_load));
        }
        match back.recovered_ms {
            Some(after) if after <= storm.recovers_in => {}
            // Gone again at once: there was no time in which to come back.
            None if until - at < 2.0 * WINDOW => {}
            Some(after) => find(at, format!("the payoff was back only after {after:.0} ms")),
            None => find(at, "the payoff was not back when the next node stopped".to_string()),
        }
        result.returns.push(back);
    }
    (result, found)
}

#[cfg(test)]
mod tests;
