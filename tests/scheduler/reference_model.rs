//! Reference model: a slow and simple implementation of the rules, which checks every decision.

use crate::simulation::{Attempt, Completion, Simulation, Transfer};
use magpiewick::*;

impl Simulation {
    pub(crate) fn check_no_answer_is_overdue(&self) {
        for record in self.requests.iter().filter(|record| record.completion.is_none()) {
            let due_by = record.arrived_at + record.request.client_timeout + 12.0;
            assert!(self.now < due_by, "rule 1: no answer in time");
        }
    }

    /// Records the final answer that the host gives a request.
    pub(crate) fn complete(&mut self, id: usize, status: FinalStatus) {
        let record = &self.requests[id];
        let class = &self.config.classes[record.request.class];
        assert!(record.completion.is_none() && !record.is_in_flight(), "rule 1: one final answer");
        let is_repeatable = class.idempotency == Idempotency::Idempotent
            || class.idempotency == Idempotency::IdempotentWithKey
                && class.deduplication_scope == DeduplicationScope::All;
        if status != FinalStatus::Failed {
            assert!(
                is_repeatable || record.provably_never_ran(),
                "rule 2: rejected although the request may have run"
            );
        }
        self.requests[id].completion = Some(Completion::WithFinalStatus(status));
    }

    /// Records an attempt that the host sends, coalesced with that of `first`.
    pub(crate) fn start_attempt(&mut self, id: usize, node: usize, timeout: Ms, send_by: Ms, first: usize) {
        self.check_single_attempt(id, timeout);
        self.check_endpoint(id, node);
        self.check_idempotency(id, node, send_by);
        self.check_slow_start(node, self.requests[id].request.units);
        self.check_ordering(id);
        if self.requests[id].attempts.is_empty() {
            self.check_rate_limit(id);
        } else {
            self.check_retry_budget();
        }
        let now = self.now;
        self.sent.push(Transfer { at: now, node, units: self.requests[id].request.units });
        self.requests[id].attempts.push(Attempt { node, sent_at: now, timeout, ended: None, first });
    }

    /// Checks rule 1: a request has one attempt at a time, which ends before the client's timeout.
    fn check_single_attempt(&self, id: usize, timeout: Ms) {
        let record = &self.requests[id];
        let client_deadline = record.arrived_at + record.request.client_timeout;
        assert!(
            record.completion.is_none() && !record.is_in_flight(),
            "rule 1: sent after its answer, or twice at once"
        );
        assert!(self.now + timeout < client_deadline, "rule 1: the attempt outlives the client");
        assert!(record.attempts.len() < self.config.max_attempts as usize, "too many attempts");
    }

    /// Checks rule 3: attempts go only to ready nodes that hold the data.
    fn check_endpoint(&self, id: usize, node: usize) {
        let (shard, endpoint) = (self.requests[id].request.shard, &self.endpoints[&node]);
        assert!(endpoint.state == EndpointState::Ready, "rule 3: sent to a node that is draining or removed");
        assert!(shard.is_none_or(|shard| shard == endpoint.shard), "sent to a node without the data");
    }

    /// Checks rule 2: a request that may have run is repeated only where a repetition has no further
    /// effect.
    fn check_idempotency(&self, id: usize, node: usize, send_by: Ms) {
        let record = &self.requests[id];
        let class = &self.config.classes[record.request.class];
        let may_have_run = |attempt: &&Attempt| attempt.is_in_flight() || !attempt.never_ran();
        let Some(earlier) = record.attempts.iter().find(may_have_run) else { return };
        match class.idempotency {
            Idempotency::Idempotent => {}
            Idempotency::IdempotentWithKey => {
                let same_shard = self.endpoints[&earlier.node].shard == self.endpoints[&node].shard;
                let in_scope = same_shard || class.deduplication_scope == DeduplicationScope::All;
                let window_end = earlier.sent_at + class.deduplication_window;
                assert!(in_scope && self.now < window_end, "rule 2: repeats are not recognised");
                assert!(
                    self.now <= send_by && send_by < window_end,
                    "rule 2: the attempt may be sent when repeats are not recognised"
                );
            }
            Idempotency::NonIdempotent => panic!("rule 2: a non-idempotent request sent again"),
        }
    }

    /// Checks rule 4: the units sent to a warming node within the window stay below an allowance of two
    /// largest requests plus this host's part of the rule's bound: a part of the configured units, or of
    /// the most that the shard ever served for this host in the time of a throughput window.
    fn check_slow_start(&self, node: usize, units: f64) {
        let config = &self.config;
        let age = self.endpoints[&node].started_at.map(|at| self.now - at);
        let Some(age) = age.filter(|age| *age < config.slow_start_duration) else { return };
        let shard = self.endpoints[&node].shard;
        let served_within = |from: Ms, to: Ms| -> f64 {
            let at_shard = self.served.iter().filter(|served| self.endpoints[&served.node].shard == shard);
            let within = at_shard.filter(|served| served.at > from && served.at <= to);
            within.map(|served| served.units).sum()
        };
        let throughputs =
            self.served.iter().map(|served| served_within(served.at - 13_000.0, served.at) / 12_000.0);
        let measured = config.overload_multiple * throughputs.fold(0.0, f64::max);
        let configured =
            config.slow_start_units / config.hosts / config.slow_start_share / config.overload_window;
        let recovery = (config.slow_start_share
            + (1.0 - config.slow_start_share) * age / config.slow_start_duration)
            .min(1.0);
        let bound = 2.0 * config.max_units + config.overload_window * recovery * measured.max(configured);
        let window_start = self.now - config.overload_window;
        let from = self.notified_at.get(&node).map_or(window_start, |at| at.max(window_start));
        let sent = self.sent.iter().filter(|sent| sent.node == node && sent.at >= from);
        let sent: f64 = sent.map(|sent| sent.units).sum();
        assert!(sent + units <= bound + 1e-6, "rule 4: {sent} and {units} units to a warming node, {bound}");
    }

    /// Checks rule 5: requests with the same key run one after the other, with a quiet period after an
    /// outcome that leaves the effect uncertain.
    fn check_ordering(&self, id: usize) {
        let record = &self.requests[id];
        let key = record.request.key;
        if !self.config.classes[record.request.class].ordered || key.is_none() {
            return;
        }
        for earlier in &self.requests[..id] {
            if !self.config.classes[earlier.request.class].ordered || earlier.request.key != key {
                continue;
            }
            assert!(earlier.is_over(), "rule 5: sent before an earlier one was over");
            let uncertain = [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled];
            let uncertain_end = |attempt: &Attempt| {
                attempt.ended.filter(|(outcome, _)| uncertain.contains(outcome)).map(|(_, at)| at)
            };
            let last = earlier.attempts.iter().filter_map(uncertain_end).fold(0.0, f64::max);
            let was_quiet =
                self.now >= last + self.config.ordering_quiet_period || !record.attempts.is_empty();
            assert!(was_quiet, "rule 5: the key was not quiet for long enough");
        }
    }

    /// Checks rule 6: retries stay within the budget.
    fn check_retry_budget(&mut self) {
        self.retries.push(self.now);
        let budget = self.config.budget.as_ref().unwrap();
        let is_recent = |at: &Ms| *at > self.now - budget.window;
        let retries = self.retries.iter().filter(|at| is_recent(at)).count() as f64;
        let recent = self.requests.iter().filter(|record| is_recent(&record.arrived_at));
        let requests: f64 = recent.map(|record| record.request.budget_weight).sum();
        let allowed = budget.free + budget.share * requests;
        assert!(retries <= allowed, "rule 6: {retries} retries, {requests} requests");
    }

    /// Checks rule 7: the token bucket of a rate-limited volume covers each first attempt.
    fn check_rate_limit(&mut self, id: usize) {
        let request = &self.requests[id].request;
        let policy = &self.config.policies[request.policy];
        if policy.limit_rate <= 0.0 {
            return;
        }
        let rate = policy.limit_rate / request.hosts / 1000.0;
        let capacity = policy.limit_burst / request.hosts;
        let bucket = self.token_buckets.get(&request.volume).copied();
        let (tokens, refilled_at) = bucket.unwrap_or((capacity, self.now));
        let tokens = (tokens + (self.now - refilled_at) * rate).min(capacity) - request.units;
        assert!(tokens >= -1e-6, "rule 7: the token bucket fell to {tokens}");
        self.token_buckets.insert(request.volume, (tokens, self.now));
    }
}
