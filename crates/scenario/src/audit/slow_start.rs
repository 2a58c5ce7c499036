//! Checks rule 4: the requests that all hosts together send to a warming node do not overload the node.

use super::evidence::{Run, TrackedAttempt};
use super::verdict::{Finding, Rule, Verdict};
use crate::Ms;
use magpiewick_emulator::{NodeConfig, NodeEvent};

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    for (at, event) in run.evidence.node_events {
        let NodeEvent::Started { node, incarnation, warming_up: true } = *event else { continue };
        let Some(node) = run.evidence.node(node) else { continue };
        check_start(run, node, incarnation, *at, verdict);
    }
    for (at, event) in run.evidence.node_events {
        let NodeEvent::Overloaded { node } = *event else { continue };
        verdict.findings.push(Finding {
            rule: Rule::SlowStart,
            at: *at,
            host: None,
            node: Some(node),
            request_id: None,
            description: "the node was overloaded and stopped".to_string(),
        });
    }
}

/// Finds the first window in which a node received more units of work than it tolerates.
fn check_start(run: &Run<'_>, node: &NodeConfig, incarnation: u64, start: Ms, verdict: &mut Verdict) {
    let slow_start = run.evidence.emulator.slow_start;
    let window = slow_start.overload_window;
    let checked_until = start + slow_start.duration + window;
    let warming_up = |attempt: &&TrackedAttempt| {
        attempt.node == node.number && attempt.incarnation == incarnation && attempt.at < checked_until
    };
    let attempts: Vec<&TrackedAttempt> = run.attempts.iter().filter(warming_up).collect();
    verdict.add_checked(Rule::SlowStart, attempts.len());
    let units_per_ms = |at: Ms| run.evidence.units_per_ms(node, at - start);
    for (last, attempt) in attempts.iter().enumerate() {
        let to = attempt.at;
        let from = (to - window).max(start);
        let units: f64 = attempts[..=last].iter().filter(|a| a.at >= from).map(|a| a.units).sum();
        let tolerated = slow_start.overload_factor * window * (units_per_ms(from) + units_per_ms(to)) / 2.0;
        if units > tolerated.max(slow_start.allowance) {
            let description =
                format!("sent {units} units in {window} ms, in which the node tolerates {tolerated:.0}");
            verdict.add_attempt(Rule::SlowStart, to, attempt, description);
            return;
        }
    }
}
