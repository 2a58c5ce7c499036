//! Checks rule 1: each request gets one final answer in time, and no attempt is sent after the final answer.

use super::evidence::{Run, TrackedRequest};
use super::verdict::{Rule, Verdict};
use crate::Ms;

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    let tolerance = run.evidence.scenario.clock_tolerance;
    verdict.add_checked(Rule::FinalAnswer, run.requests.len());
    for tracked in &run.requests {
        let request = &tracked.request;
        let deadline = tracked.sent_at + request.timeout + tolerance;
        let stalled = run.is_stalled(request.host_number, tracked.sent_at - tolerance, deadline);
        if stalled {
            continue;
        }
        if let Some(at) = missed_deadline(tracked, deadline) {
            let description = format!("no final answer within {} ms", request.timeout);
            verdict.add_request(Rule::FinalAnswer, at, request.idempotency_key, description);
        }
        let end_tolerated_until = tracked.ended_at() + tolerance;
        for attempt in run.attempts_of(tracked).filter(|attempt| attempt.at > end_tolerated_until) {
            let description = format!(
                "sent {:.0} ms after the end of its request",
                attempt.at - end_tolerated_until + tolerance
            );
            verdict.add_attempt(Rule::FinalAnswer, attempt.at, attempt, description);
        }
    }
}

/// Returns the time at which a request missed its deadline, if it did. A request whose connection ended earlier is
/// not counted, because its host was killed.
fn missed_deadline(tracked: &TrackedRequest, deadline: Ms) -> Option<Ms> {
    match (tracked.answer, tracked.gave_up_at) {
        (None, Some(gave_up_at)) => (gave_up_at >= deadline - 1.0).then_some(gave_up_at),
        (None, None) => Some(deadline),
        (Some((at, _)), _) => (at > deadline).then_some(at),
    }
}
