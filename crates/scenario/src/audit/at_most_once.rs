//! Checks rule 2: no request takes effect twice, and no attempt or rejection makes a second effect possible.

use super::evidence::{Run, TrackedAttempt, TrackedRequest};
use super::verdict::{Finding, Rule, Verdict};
use magpiewick::{DeduplicationScope, Idempotency};
use magpiewick_emulator::NodeEvent;
use magpiewick_node_protocol::FinalCode;
use std::collections::HashMap;

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    check_effects(run, verdict);
    let classes = &run.evidence.host.scheduler.classes;
    for tracked in &run.requests {
        if classes[usize::from(tracked.request.class)].idempotency != Idempotency::Idempotent {
            check_attempts(run, tracked, verdict);
            check_rejection(run, tracked, verdict);
        }
    }
}

fn check_effects(run: &Run<'_>, verdict: &mut Verdict) {
    let classes = &run.evidence.host.scheduler.classes;
    let idempotency = |class: u16| {
        classes.get(usize::from(class)).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    };
    let mut effects: HashMap<u64, u32> = HashMap::new();
    for (at, event) in run.evidence.node_events {
        let NodeEvent::EffectApplied { node, host, class, idempotency_key, .. } = *event else { continue };
        if idempotency(class) == Idempotency::Idempotent {
            continue;
        }
        let count = effects.entry(idempotency_key).or_default();
        *count += 1;
        if *count == 2 {
            verdict.findings.push(Finding {
                rule: Rule::AtMostOnce,
                at: *at,
                host: Some(host),
                node: Some(node),
                request_id: Some(idempotency_key),
                description: "the request took effect twice".to_string(),
            });
        }
    }
    verdict.add_checked(Rule::AtMostOnce, effects.len());
}

/// Finds attempts that repeat a possibly executed attempt without being covered by deduplication.
fn check_attempts(run: &Run<'_>, tracked: &TrackedRequest, verdict: &mut Verdict) {
    let attempts: Vec<&TrackedAttempt> = run.attempts_of(tracked).collect();
    for (index, attempt) in attempts.iter().enumerate() {
        let earlier = attempts[..index].iter().find(|earlier| !earlier.reported_not_executed(attempt.at));
        let Some(earlier) = earlier else { continue };
        if let Some(description) = unsafe_repeat(run, tracked, earlier, attempt) {
            verdict.add_attempt(Rule::AtMostOnce, attempt.at, attempt, description);
        }
    }
}

fn unsafe_repeat(
    run: &Run<'_>,
    tracked: &TrackedRequest,
    earlier: &TrackedAttempt,
    attempt: &TrackedAttempt,
) -> Option<&'static str> {
    let class = &run.evidence.host.scheduler.classes[usize::from(tracked.request.class)];
    let deduplicated_until = earlier.at + class.deduplication_window + run.evidence.scenario.clock_tolerance;
    match class.idempotency {
        Idempotency::NonIdempotent => Some("a non-idempotent request retried that may have been executed"),
        _ if attempt.at > deduplicated_until => Some("retried after its deduplication window"),
        _ if !in_same_scope(run, class.deduplication_scope, earlier.node, attempt.node) => {
            Some("retried outside its deduplication scope")
        }
        _ => None,
    }
}

/// Finds a rejection of a request that may have been executed, because the client would retry the request.
fn check_rejection(run: &Run<'_>, tracked: &TrackedRequest, verdict: &mut Verdict) {
    let Some((at, FinalCode::Rejected)) = tracked.answer else { return };
    let class = &run.evidence.host.scheduler.classes[usize::from(tracked.request.class)];
    let deduplicated_everywhere = class.idempotency == Idempotency::IdempotentWithKey
        && class.deduplication_scope == DeduplicationScope::All;
    let executed = run.attempts_of(tracked).find(|attempt| !attempt.reported_not_executed(at));
    if let Some(attempt) = executed.filter(|_| !deduplicated_everywhere) {
        verdict.add_attempt(Rule::AtMostOnce, at, attempt, "rejected though it may have been executed");
    }
}

fn in_same_scope(run: &Run<'_>, scope: DeduplicationScope, a: u32, b: u32) -> bool {
    match (scope, run.evidence.node(a), run.evidence.node(b)) {
        (DeduplicationScope::All, ..) => true,
        (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
        (DeduplicationScope::Shard, Some(a), Some(b)) => a.shard == b.shard,
        _ => false,
    }
}
