//! Retry storms: what nodes that came back were sent, and how soon clients were served as before. Pure, as the
//! rest of the audit.

use super::evidence::Evidence;
use super::verdict::{Finding, Rule, Verdict};
use crate::client_event::ClientEvent;
use crate::config::RetryStormExpectation;
use crate::Ms;
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The length of the slots in which the load on a node is compared with its ceiling.
const LOAD_SLOT: Ms = 100.0;
/// The span over which the earned weight is averaged; nodes that start within it count as one return.
const WINDOW: Ms = 1000.0;
/// How far apart the examined windows begin.
const WINDOW_STEP: Ms = 250.0;

/// Nodes that came back together, or one.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeReturn {
    /// When the first of them started.
    pub at_ms: Ms,
    /// Their numbers.
    pub nodes: Vec<u32>,
    /// The most units that one of them was sent in 100 ms, as a multiple of its capacity in them.
    #[serde(rename = "most_load")]
    pub peak_load: f64,
    /// When that was.
    #[serde(rename = "most_at_ms")]
    pub peak_at_ms: Ms,
    /// The part of the units they were sent while they warmed up that were clients' retries.
    #[serde(rename = "later")]
    pub retry_share: f64,
    /// How often one of them was overloaded and stopped.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// After what time the earned weight had recovered; `None` where it had not when the next node stopped, or at
    /// the end.
    pub recovered_ms: Option<Ms>,
}

/// What the retry storms of a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RetryStormReport {
    /// The part of the priority weight earned within the latency objective while the traffic was quiet.
    #[serde(rename = "quiet_payoff")]
    pub quiet_earned_share: f64,
    /// How often clients sent a request, on average.
    #[serde(rename = "tries")]
    pub sends_per_request: f64,
    /// The returns of nodes, by time.
    pub returns: Vec<NodeReturn>,
}

/// The priority weight of a request, and what was earned of it within the latency objective.
struct RequestWeight {
    first_due: Ms,
    total: f64,
    earned: f64,
}

/// Checks what a scenario expects of retry storms.
pub(super) fn check(evidence: &Evidence<'_>, expectation: &RetryStormExpectation, verdict: &mut Verdict) {
    let begin = run_begin(evidence);
    let weights = request_weights(evidence);
    let sends = sends_by_idempotency_key(evidence);
    let send_count: usize = sends.values().map(Vec::len).sum();
    let quiet_earned_share = earned_share(&weights, begin, begin + expectation.quiet_duration);
    let mut report = RetryStormReport {
        quiet_earned_share,
        sends_per_request: send_count as f64 / weights.len().max(1) as f64,
        returns: Vec::new(),
    };
    for (at_ms, nodes) in returns(evidence.node_events) {
        let mut node_return = NodeReturn { at_ms, nodes, ..NodeReturn::default() };
        measure_load(evidence, &sends, &mut node_return);
        let until = next_stop(evidence, at_ms).unwrap_or(begin + evidence.scenario.duration);
        let target = expectation.recovery_share * quiet_earned_share;
        node_return.recovered_ms = time_to_recover(&weights, at_ms, until, target);
        check_return(&node_return, expectation, until, verdict);
        report.returns.push(node_return);
    }
    verdict.add_checked(Rule::RetryStorm, report.returns.len());
    verdict.retry_storms = Some(report);
}

fn check_return(
    node_return: &NodeReturn,
    expectation: &RetryStormExpectation,
    until: Ms,
    verdict: &mut Verdict,
) {
    let node = node_return.nodes.first().copied();
    let mut add = |at: Ms, description: String| {
        let rule = Rule::RetryStorm;
        verdict.findings.push(Finding { rule, at, host: None, node, request_id: None, description });
    };
    if node_return.peak_load > expectation.max_load {
        let description = format!("sent {:.2} times its capacity in {LOAD_SLOT} ms", node_return.peak_load);
        add(node_return.peak_at_ms, description);
    }
    let at = node_return.at_ms;
    match node_return.recovered_ms {
        Some(after) if after <= expectation.max_recovery_time => {}
        // It stopped again before there was time to recover.
        None if until - at < 2.0 * WINDOW => {}
        Some(after) => add(at, format!("the earned weight had recovered only after {after:.0} ms")),
        None => add(at, "the earned weight had not recovered when the next node stopped".to_string()),
    }
}

fn run_begin(evidence: &Evidence<'_>) -> Ms {
    let sent = |(at, event): &(Ms, ClientEvent)| matches!(event, ClientEvent::Sent(_)).then_some(*at);
    evidence.client_events.iter().find_map(sent).unwrap_or(0.0)
}

fn next_stop(evidence: &Evidence<'_>, after: Ms) -> Option<Ms> {
    let stops = |(at, event): &(Ms, NodeEvent)| {
        (matches!(event, NodeEvent::Stopped { .. }) && *at > after).then_some(*at)
    };
    evidence.node_events.iter().find_map(stops)
}

/// The weight of each request, by when it was due first.
fn request_weights(evidence: &Evidence<'_>) -> Vec<RequestWeight> {
    let classes = &evidence.host.scheduler.classes;
    let mut by_idempotency_key: HashMap<u64, usize> = HashMap::new();
    let mut by_number = HashMap::new();
    let mut weights: Vec<RequestWeight> = Vec::new();
    for (at, event) in evidence.client_events {
        match *event {
            ClientEvent::Sent(request) => {
                by_number.insert(request.number, request);
                by_idempotency_key.entry(request.idempotency_key).or_insert_with(|| {
                    let total = classes[usize::from(request.class)].priority_weight;
                    weights.push(RequestWeight { first_due: request.first_due, total, earned: 0.0 });
                    weights.len() - 1
                });
            }
            ClientEvent::Answered { number, code: FinalCode::Succeeded, .. } => {
                let Some(request) = by_number.get(&number) else { continue };
                let class = &classes[usize::from(request.class)];
                let in_time = *at <= request.first_due + class.latency_objective;
                if let Some(&index) = by_idempotency_key.get(&request.idempotency_key).filter(|_| in_time) {
                    weights[index].earned = class.priority_weight;
                }
            }
            _ => {}
        }
    }
    weights.sort_by(|a, b| a.first_due.total_cmp(&b.first_due));
    weights
}

/// The part of the weight of a span that was earned.
fn earned_share(weights: &[RequestWeight], from: Ms, to: Ms) -> f64 {
    let first = weights.partition_point(|weight| weight.first_due < from);
    let last = weights.partition_point(|weight| weight.first_due < to);
    let total: f64 = weights[first..last].iter().map(|weight| weight.total).sum();
    let earned: f64 = weights[first..last].iter().map(|weight| weight.earned).sum();
    earned / f64::max(total, 1e-9)
}

/// The starts of nodes that warm up and had stopped before, those within a window together.
fn returns(node_events: &[(Ms, NodeEvent)]) -> Vec<(Ms, Vec<u32>)> {
    let mut stopped = HashSet::new();
    let mut returns: Vec<(Ms, Vec<u32>)> = Vec::new();
    for (at, event) in node_events {
        match *event {
            NodeEvent::Stopped { node, .. } => _ = stopped.insert(node),
            NodeEvent::Started { node, warming_up: true, .. } if stopped.remove(&node) => {
                match returns.last_mut() {
                    Some((first, nodes)) if at - *first < WINDOW => nodes.push(node),
                    _ => returns.push((*at, vec![node])),
                }
            }
            _ => {}
        }
    }
    returns
}

/// A time at which a client sent a request.
struct Send {
    at: Ms,
    is_retry: bool,
}

fn sends_by_idempotency_key(evidence: &Evidence<'_>) -> HashMap<u64, Vec<Send>> {
    let mut sends: HashMap<u64, Vec<Send>> = HashMap::new();
    for (at, event) in evidence.client_events {
        if let ClientEvent::Sent(request) = event {
            sends
                .entry(request.idempotency_key)
                .or_default()
                .push(Send { at: *at, is_retry: request.is_retry });
        }
    }
    sends
}

/// Measures what the nodes of a return were sent until they were warm, or stopped again.
fn measure_load(evidence: &Evidence<'_>, sends: &HashMap<u64, Vec<Send>>, node_return: &mut NodeReturn) {
    let (warm_up, begin) = (evidence.emulator.slow_start.duration, node_return.at_ms);
    let mut started: HashMap<u32, Ms> = HashMap::new();
    let mut slots: BTreeMap<(u32, u64), f64> = BTreeMap::new();
    let (mut all_units, mut retried_units) = (0.0, 0.0);
    for (at, event) in evidence.node_events.iter().filter(|(at, _)| *at >= begin) {
        match *event {
            NodeEvent::Started { node, .. } if node_return.nodes.contains(&node) && *at < begin + WINDOW => {
                started.insert(node, *at);
            }
            NodeEvent::Stopped { node, .. } => _ = started.remove(&node),
            NodeEvent::Overloaded { node } => {
                node_return.overloads += u64::from(started.contains_key(&node));
            }
            NodeEvent::AttemptReceived { node, idempotency_key, units, .. } => {
                let warming_up = started.get(&node).filter(|start| *at < *start + warm_up);
                let Some(&start) = warming_up else { continue };
                *slots.entry((node, ((at - start) / LOAD_SLOT) as u64)).or_default() += units;
                let latest =
                    sends.get(&idempotency_key).and_then(|all| all.iter().rev().find(|send| send.at <= *at));
                all_units += units;
                retried_units += if latest.is_some_and(|send| send.is_retry) { units } else { 0.0 };
            }
            _ => {}
        }
    }
    node_return.retry_share = retried_units / f64::max(all_units, 1e-9);
    for ((node, slot), units) in slots {
        let Some(node) = evidence.node(node) else { continue };
        let since_start = (slot as f64 + 0.5) * LOAD_SLOT;
        let load = units / (evidence.units_per_ms(node, since_start) * LOAD_SLOT);
        if load > node_return.peak_load {
            node_return.peak_load = load;
            node_return.peak_at_ms = begin + since_start;
        }
    }
}

/// After what time the earned share reached the target over a whole window.
fn time_to_recover(weights: &[RequestWeight], at: Ms, until: Ms, target: f64) -> Option<Ms> {
    let steps = ((until - at - WINDOW) / WINDOW_STEP).max(0.0) as u32;
    let starts = (0..=steps).map(|step| at + f64::from(step) * WINDOW_STEP);
    let windows = starts.map(|from| (from, from + WINDOW));
    let mut recovered = windows.filter(|(from, to)| earned_share(weights, *from, *to) >= target);
    recovered.next().map(|(_, to)| to - at)
}

#[cfg(test)]
mod tests;
