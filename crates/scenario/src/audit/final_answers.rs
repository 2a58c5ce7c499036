//! Rule 1: one final answer in time, and no attempt after it.

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
        let over_at = tracked.over_at() + tolerance;
        for attempt in run.attempts_of(tracked).filter(|attempt| attempt.at > over_at) {
            let description = format!("sent {:.0} ms after its end", attempt.at - over_at + tolerance);
            verdict.add_attempt(Rule::FinalAnswer, attempt.at, attempt, description);
        }
    }
}

/// When it was clear that no answer came in time. A connection that ended earlier excuses its host, which was
/// killed.
fn missed_deadline(tracked: &TrackedRequest, deadline: Ms) -> Option<Ms> {
    match (tracked.answer, tracked.ended) {
        (None, Some(ended)) => (ended >= deadline - 1.0).then_some(ended),
        (None, None) => Some(deadline),
        (Some((at, _)), _) => (at > deadline).then_some(at),
    }
}
