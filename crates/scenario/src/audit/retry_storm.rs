//! Measures retry storms: the load sent to nodes after a restart, and the time until clients earn their usual
//! priority weight again. Pure functions, like the other checks of the audit.

use super::evidence::Evidence;
use super::verdict::{Finding, Rule, Verdict};
use crate::client_event::ClientEvent;
use crate::config::RetryStormExpectation;
use crate::Ms;
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Length of the slots over which the load on a node is compared with the highest allowed load.
const LOAD_SLOT: Ms = 100.0;
/// Window over which the earned weight is averaged; nodes that restart within one window count as one return.
const WINDOW: Ms = 1000.0;
/// Interval between the starts of the examined windows.
const WINDOW_STEP: Ms = 250.0;

/// Restart of one node, or of several nodes within one window.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeReturn {
    /// Time at which the first of the nodes started.
    pub at_ms: Ms,
    /// Numbers of the nodes.
    pub nodes: Vec<u32>,
    /// Highest load on one of the nodes: units received within 100 ms, as a multiple of its capacity during the
    /// 100 ms.
    #[serde(rename = "most_load")]
    pub peak_load: f64,
    /// Time of the highest load.
    #[serde(rename = "most_at_ms")]
    pub peak_at_ms: Ms,
    /// Share of clients' retries in the units that the nodes received while warming up.
    #[serde(rename = "later")]
    pub retry_share: f64,
    /// Number of times that one of the nodes was overloaded and stopped.
    #[serde(rename = "fell")]
    pub overloads: u64,
    /// Time from the restart until the earned weight recovered; `None` if the weight had not recovered when the
    /// next node stopped, or at the end of the run.
    pub recovered_ms: Option<Ms>,
}

/// Results of the retry storms of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RetryStormReport {
    /// Fraction of the priority weight that was earned within the latency objective during the quiet period.
    #[serde(rename = "quiet_payoff")]
    pub quiet_earned_share: f64,
    /// Mean number of times that clients sent a request.
    #[serde(rename = "tries")]
    pub sends_per_request: f64,
    /// Restarts of nodes, by time.
    pub returns: Vec<NodeReturn>,
}

/// Priority weight of a request, and the weight earned within the latency objective.
struct RequestWeight {
    first_due: Ms,
    total: f64,
    earned: f64,
}

/// Checks a scenario's expectations of retry storms.
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
    for (at_ms, nodes) in grouped_restarts(evidence.node_events) {
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
        // The next node stopped before two windows had passed, so there was no time to recover.
        None if until - at < 2.0 * WINDOW => {}
        Some(after) => add(at, format!("the earned weight had recovered only after {after:.0} ms")),
        None => add(at, "the earned weight had not recovered when the next node stopped".to_string()),
    }
}

fn run_begin(evidence: &Evidence<'_>) -> Ms {
    let sent_at = |(at, event): &(Ms, ClientEvent)| matches!(event, ClientEvent::Sent(_)).then_some(*at);
    evidence.client_events.iter().find_map(sent_at).unwrap_or(0.0)
}

fn next_stop(evidence: &Evidence<'_>, after: Ms) -> Option<Ms> {
    let stops = |(at, event): &(Ms, NodeEvent)| {
        (matches!(event, NodeEvent::Stopped { .. }) && *at > after).then_some(*at)
    };
    evidence.node_events.iter().find_map(stops)
}

/// Returns the weight of each request, sorted by the time at which the request was first due.
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

/// Returns the fraction of the priority weight of a period that was earned.
fn earned_share(weights: &[RequestWeight], from: Ms, to: Ms) -> f64 {
    let first = weights.partition_point(|weight| weight.first_due < from);
    let last = weights.partition_point(|weight| weight.first_due < to);
    let total: f64 = weights[first..last].iter().map(|weight| weight.total).sum();
    let earned: f64 = weights[first..last].iter().map(|weight| weight.earned).sum();
    earned / f64::max(total, 1e-9)
}

/// Returns the starts of nodes that warm up and had stopped before; starts within one window are grouped.
fn grouped_restarts(node_events: &[(Ms, NodeEvent)]) -> Vec<(Ms, Vec<u32>)> {
    let mut stopped = HashSet::new();
    let mut restarts: Vec<(Ms, Vec<u32>)> = Vec::new();
    for (at, event) in node_events {
        match *event {
            NodeEvent::Stopped { node, .. } => _ = stopped.insert(node),
            NodeEvent::Started { node, warming_up: true, .. } if stopped.remove(&node) => {
                match restarts.last_mut() {
                    Some((first, nodes)) if at - *first < WINDOW => nodes.push(node),
                    _ => restarts.push((*at, vec![node])),
                }
            }
            _ => {}
        }
    }
    restarts
}

/// A transmission of a request by a client.
struct RequestSend {
    at: Ms,
    is_retry: bool,
}

fn sends_by_idempotency_key(evidence: &Evidence<'_>) -> HashMap<u64, Vec<RequestSend>> {
    let mut sends: HashMap<u64, Vec<RequestSend>> = HashMap::new();
    for (at, event) in evidence.client_events {
        if let ClientEvent::Sent(request) = event {
            sends
                .entry(request.idempotency_key)
                .or_default()
                .push(RequestSend { at: *at, is_retry: request.is_retry });
        }
    }
    sends
}

/// Measures the load on restarted nodes until the nodes have warmed up or stopped again.
fn measure_load(
    evidence: &Evidence<'_>,
    sends: &HashMap<u64, Vec<RequestSend>>,
    node_return: &mut NodeReturn,
) {
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

/// Returns the time until the earned share reached the target over a whole window.
fn time_to_recover(weights: &[RequestWeight], at: Ms, until: Ms, target: f64) -> Option<Ms> {
    let steps = ((until - at - WINDOW) / WINDOW_STEP).max(0.0) as u32;
    let starts = (0..=steps).map(|step| at + f64::from(step) * WINDOW_STEP);
    let windows = starts.map(|from| (from, from + WINDOW));
    let mut recovered = windows.filter(|(from, to)| earned_share(weights, *from, *to) >= target);
    recovered.next().map(|(_, to)| to - at)
}

#[cfg(test)]
mod tests;
