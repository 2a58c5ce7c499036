//! Rule 3: nothing new goes to a node later than the grace after a host was notified that it drains.

use super::evidence::Run;
use super::verdict::{Rule, Verdict};
use crate::Ms;
use magpiewick_emulator::NodeEvent;
use std::collections::{HashMap, HashSet};

/// The incarnation of a host, a node and the node's incarnation.
type Notification = (u64, u32, u64);

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    let scenario = run.evidence.scenario;
    let grace = scenario.drain_grace + scenario.clock_tolerance;
    let notified = notifications(run);
    let mut checked: HashSet<Notification> = HashSet::new();
    for attempt in &run.attempts {
        let notification = (attempt.host, attempt.node, attempt.incarnation);
        let Some(&sent_at) = notified.get(&notification) else { continue };
        checked.insert(notification);
        let received_at = run.received_at(attempt.host, sent_at);
        if attempt.at > received_at + grace {
            let description = format!("sent {:.0} ms after the notice", attempt.at - received_at);
            verdict.add_attempt(Rule::Draining, attempt.at, attempt, description);
        }
    }
    verdict.add_checked(Rule::Draining, checked.len());
}

fn notifications(run: &Run<'_>) -> HashMap<Notification, Ms> {
    let mut notified = HashMap::new();
    for (at, event) in run.evidence.node_events {
        if let NodeEvent::DrainNotified { host, node, incarnation } = *event {
            notified.entry((host, node, incarnation)).or_insert(*at);
        }
    }
    notified
}
