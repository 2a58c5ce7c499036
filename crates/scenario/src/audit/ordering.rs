//! Rule 5: requests of one key at one host run one at a time in the order taken, and overlapping writes of one
//! connection take effect in the order sent.

use super::evidence::{BlockWrite, Run, TrackedAttempt, TrackedRequest};
use super::verdict::{Rule, Verdict};
use crate::Ms;
use std::collections::{BTreeMap, HashMap};

/// How many earlier requests of a key are compared with each; those before them were over long ago.
const COMPARED_REQUESTS: usize = 64;

pub(super) fn check_keys(run: &Run<'_>, verdict: &mut Verdict) {
    let classes = &run.evidence.host.scheduler.classes;
    let mut by_key: BTreeMap<(u64, u64, u64), Vec<&TrackedRequest>> = BTreeMap::new();
    for tracked in &run.requests {
        let request = &tracked.request;
        if classes[usize::from(request.class)].ordered {
            by_key.entry((request.host, request.volume, request.key)).or_default().push(tracked);
        }
    }
    let mut checked = 0;
    for requests in by_key.values() {
        for (index, later) in requests.iter().enumerate() {
            for (position, attempt) in run.attempts_of(later).enumerate() {
                for earlier in requests[..index].iter().rev().take(COMPARED_REQUESTS) {
                    checked += 1;
                    check_pair(run, earlier, attempt, position == 0, verdict);
                }
            }
        }
    }
    verdict.add_checked(Rule::Ordering, checked);
}

/// Checks an attempt of a later request against an earlier request of its key.
fn check_pair(
    run: &Run<'_>,
    earlier: &TrackedRequest,
    attempt: &TrackedAttempt,
    is_first_attempt: bool,
    verdict: &mut Verdict,
) {
    let tolerance = run.evidence.scenario.clock_tolerance;
    let quiet_period = run.evidence.host.scheduler.ordering_quiet_period;
    let at = attempt.at;
    let stalled = run.is_stalled(earlier.request.host_number, earlier.sent_at, at);
    if earlier.over_at() > at + tolerance && !stalled {
        let description = "sent while an earlier request of its key is not over";
        verdict.add_attempt(Rule::Ordering, at, attempt, description);
    }
    for earlier_attempt in run.attempts_of(earlier) {
        let outcome = outcome_of(earlier_attempt, earlier);
        let needs_quiet_period = !outcome.is_answer && is_first_attempt;
        let allowed_at = if needs_quiet_period { outcome.at + quiet_period } else { outcome.at };
        if at + tolerance < allowed_at && outcome.at < f64::INFINITY || earlier_attempt.at > at {
            let description = "sent while an earlier request of its key may run";
            verdict.add_attempt(Rule::Ordering, at, attempt, description);
        }
    }
}

/// When a host knew the outcome of an attempt at the earliest.
struct Outcome {
    at: Ms,
    /// Whether the node answered; else the attempt may still run, and the key needs a quiet period.
    is_answer: bool,
}

fn outcome_of(attempt: &TrackedAttempt, tracked: &TrackedRequest) -> Outcome {
    match (attempt.answered, attempt.dropped) {
        (Some((at, _)), None) => Outcome { at, is_answer: true },
        (Some((at, _)), Some(dropped)) if at <= dropped => Outcome { at, is_answer: true },
        (_, Some(dropped)) => Outcome { at: dropped, is_answer: false },
        (None, None) => Outcome { at: tracked.over_at(), is_answer: false },
    }
}

pub(super) fn check_overlapping_writes(run: &Run<'_>, verdict: &mut Verdict) {
    let mut requests: HashMap<(u64, u64), (u64, usize)> = HashMap::new();
    for (sequence, tracked) in (0..).zip(&run.requests).filter(|(_, tracked)| tracked.request.write) {
        let request = &tracked.request;
        // A retry comes after whatever was sent meanwhile.
        requests.insert((request.host, request.idempotency_key), (sequence, request.connection));
    }
    let mut latest: HashMap<(u64, (u64, u64), usize), u64> = HashMap::new();
    let mut checked = 0;
    for BlockWrite { at, host, block, idempotency_key } in run.evidence.block_writes() {
        let Some(&(sequence, connection)) = requests.get(&(host, idempotency_key)) else { continue };
        let before = latest.entry((host, block, connection)).or_insert(sequence);
        checked += usize::from(*before != sequence);
        if *before > sequence {
            let description = format!("block {} of volume {}: a later write ran first", block.1, block.0);
            verdict.add_request(Rule::Ordering, at, idempotency_key, description);
        }
        *before = sequence.max(*before);
    }
    verdict.add_checked(Rule::Ordering, checked);
}
