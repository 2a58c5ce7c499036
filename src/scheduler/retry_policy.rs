//! Rules for repeating requests: idempotency, deduplication, and the retry budget.

use super::pending_request::PendingRequest;
use super::Scheduler;
use crate::structures::RollingWindow;
use crate::types::{AfterOutcome, DeduplicationScope, Idempotency, Ms, RequestClass, RetryBudget};

/// Number of buckets of the budget's window.
const BUCKETS: usize = 20;
/// Window for counting requests where there is no budget.
const DEFAULT_WINDOW: Ms = 1000.0;

/// Requests and retries that the retry budget counts. Retries count over the window and one bucket more,
/// requests over one bucket less, so that the budget is never exceeded.
#[derive(Default)]
pub(super) struct RetryCounts {
    requests: RollingWindow,
    retries: RollingWindow,
}

impl RetryCounts {
    /// Creates counters over the budget's window.
    pub(super) fn new(budget: Option<&RetryBudget>) -> RetryCounts {
        let bucket_length = budget.map_or(DEFAULT_WINDOW, |budget| budget.window) / BUCKETS as f64;
        let window = || RollingWindow::new(bucket_length, BUCKETS);
        RetryCounts { requests: window(), retries: window() }
    }

    /// Counts an accepted request.
    pub(super) fn add_request(&mut self, now: Ms, weight: f64) {
        self.requests.add(now, weight);
    }

    /// Counts a retry that is sent.
    pub(super) fn add_retry(&mut self, now: Ms) {
        self.retries.add(now, 1.0);
    }

    fn allow_retry(&mut self, now: Ms, budget: &RetryBudget) -> bool {
        self.retries.upper_sum(now) + 1.0 <= budget.free + budget.share * self.requests.lower_sum(now)
    }
}

/// Returns whether a request may be repeated at any node without a second effect.
pub(super) fn is_safe_to_repeat(class: &RequestClass) -> bool {
    match (class.idempotency, class.deduplication_scope) {
        (Idempotency::Idempotent, _) => true,
        (Idempotency::IdempotentWithKey, DeduplicationScope::All) => true,
        (Idempotency::IdempotentWithKey | Idempotency::NonIdempotent, _) => false,
    }
}

impl Scheduler {
    /// Returns whether the retry budget permits another retry.
    pub(super) fn retry_budget_allows(&mut self, now: Ms) -> bool {
        let Some(budget) = &self.config.budget else { return true };
        self.retries.allow_retry(now, budget)
    }

    /// Returns whether idempotency permits a request to run at a node, given an earlier attempt that may
    /// have run.
    pub(super) fn idempotency_allows(&self, now: Ms, pending: &PendingRequest, node: usize) -> bool {
        let Some(earlier) = pending.uncertain_attempt else { return true };
        let class = &self.config.classes[pending.request.class];
        let (Some(to), Some(from)) = (self.nodes.get(node), self.nodes.get(earlier.node)) else {
            return false;
        };
        let is_window_over =
            || now + self.config.action_interval >= earlier.sent_at + class.deduplication_window;
        match (class.idempotency, class.deduplication_scope) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::IdempotentWithKey, _) if is_window_over() => false,
            (Idempotency::IdempotentWithKey, DeduplicationScope::All) => true,
            (Idempotency::IdempotentWithKey, DeduplicationScope::Zone) => {
                to.endpoint.zone == from.endpoint.zone
            }
            (Idempotency::IdempotentWithKey, DeduplicationScope::Shard) => {
                to.endpoint.shard == from.endpoint.shard
            }
        }
    }

    /// Returns the latest time at which an attempt may be sent. Later, nodes may no longer recognise an
    /// earlier attempt of the request.
    pub(super) fn latest_send_time(&self, pending: &PendingRequest) -> Ms {
        let class = &self.config.classes[pending.request.class];
        let deduplicated =
            pending.uncertain_attempt.filter(|_| class.idempotency == Idempotency::IdempotentWithKey);
        deduplicated.map_or(f64::INFINITY, |earlier| {
            earlier.sent_at + class.deduplication_window - self.config.action_interval
        })
    }

    /// Decides between a retry and a final answer after a failed attempt at `node`: a retry requires that
    /// idempotency, the number of attempts, the latency objective and the budget permit it.
    pub(super) fn retry_or_finish(&mut self, now: Ms, id: usize, node: usize) -> AfterOutcome {
        let may_retry = self.requests.get(id).is_some_and(|pending| {
            let earlier = pending.uncertain_attempt.map_or(node, |earlier| earlier.node);
            self.idempotency_allows(now, pending, earlier)
                && pending.attempts < self.config.max_attempts
                && !self.is_objective_unreachable(now, id)
        });
        if may_retry && self.retry_budget_allows(now) {
            return AfterOutcome::Retry;
        }
        AfterOutcome::Finish(self.finish(now, id))
    }
}
