//! Rule 6: the retries of one host in any window stay within its retry budget.

use super::evidence::{Run, TrackedAttempt};
use super::verdict::{Rule, Verdict};
use crate::Ms;
use std::collections::BTreeMap;

/// What one incarnation of a host took and retried.
#[derive(Default)]
struct HostLoad<'a> {
    request_times: Vec<Ms>,
    retries: Vec<&'a TrackedAttempt>,
}

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    let Some(budget) = &run.evidence.host.scheduler.budget else { return };
    let tolerance = run.evidence.scenario.clock_tolerance;
    for HostLoad { request_times, retries } in load_by_host(run).values() {
        verdict.add_checked(Rule::RetryBudget, retries.len());
        for (index, retry) in retries.iter().enumerate() {
            let in_window =
                |time: Ms, margin: Ms| time > retry.at - budget.window - margin && time <= retry.at + margin;
            let used = retries[..=index].iter().filter(|r| in_window(r.at, -tolerance)).count();
            let taken = request_times.iter().filter(|time| in_window(**time, tolerance)).count();
            let allowed = budget.free + budget.share * taken as f64;
            if used as f64 > allowed {
                let description = format!("{used} retries in a window with a budget of {allowed:.1}");
                verdict.add_attempt(Rule::RetryBudget, retry.at, retry, description);
            }
        }
    }
}

fn load_by_host<'a>(run: &'a Run<'_>) -> BTreeMap<u64, HostLoad<'a>> {
    let mut hosts: BTreeMap<u64, HostLoad<'_>> = BTreeMap::new();
    for tracked in &run.requests {
        hosts.entry(tracked.request.host).or_default().request_times.push(tracked.sent_at);
    }
    for attempt in run.attempts.iter().filter(|attempt| attempt.attempt > 0) {
        hosts.entry(attempt.host).or_default().retries.push(attempt);
    }
    hosts
}
