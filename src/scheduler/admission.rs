//! Which requests are accepted or rejected, until when each may be served, and which ones the reserve of
//! their volume covers.

use super::fair_queueing::Tag;
use super::pending_request::{PendingRequest, RequestState};
use super::retry_policy::is_repeatable_anywhere;
use super::Scheduler;
use crate::structures::TokenBucket;
use crate::types::{FinalStatus, Ms, Request, SchedulerConfig};
use std::collections::BTreeMap;

/// From this part of requests on that have the longest client timeout, a shorter one means that time was
/// spent.
const COMMON_TIMEOUT_PART: f64 = 0.1;
/// How much of what was counted before stays with each request.
const TIMEOUT_COUNT_DECAY: f64 = 0.995;
/// By how much timeouts may differ that count as the same.
const TIMEOUT_TOLERANCE: Ms = 1.0;
/// The part of the longest retry-after over which rejected clients are spread.
const RETRY_AFTER_SPREAD: f64 = 0.25;
/// Rounds of the caller before the client's deadline by which attempts must be over.
const DEADLINE_ROUNDS: f64 = 2.0;

/// The client timeouts of the requests of one class and QoS policy.
#[derive(Clone, Default)]
struct TimeoutStatistics {
    longest: Ms,
    with_longest: f64,
    all: f64,
}

impl TimeoutStatistics {
    /// How much of its timeout a request has spent before it came: it is a client's retry, or waited for a
    /// stalled host. Where few requests have the longest timeout, timeouts are of many lengths, and a
    /// shorter one is no sign.
    fn time_spent(&mut self, client_timeout: Ms) -> Ms {
        if client_timeout > self.longest + TIMEOUT_TOLERANCE {
            *self = TimeoutStatistics { longest: client_timeout, ..TimeoutStatistics::default() };
        }
        let has_longest = client_timeout > self.longest - TIMEOUT_TOLERANCE;
        self.all = self.all * TIMEOUT_COUNT_DECAY + 1.0;
        self.with_longest = self.with_longest * TIMEOUT_COUNT_DECAY + f64::from(has_longest);
        if self.with_longest >= COMMON_TIMEOUT_PART * self.all {
            self.longest - client_timeout
        } else {
            0.0
        }
    }
}

/// Client timeouts by class and QoS policy.
pub(super) struct ClientTimeouts {
    policies: usize,
    statistics: Vec<TimeoutStatistics>,
}

impl ClientTimeouts {
    /// No request came yet.
    pub(super) fn new(config: &SchedulerConfig) -> ClientTimeouts {
        let policies = config.policies.len().max(1);
        let statistics = vec![TimeoutStatistics::default(); config.classes.len() * policies];
        ClientTimeouts { policies, statistics }
    }

    fn time_spent(&mut self, request: &Request) -> Ms {
        let index = request.class * self.policies + request.policy;
        self.statistics[index].time_spent(request.client_timeout)
    }
}

/// How much of each volume's reserve is left: a bucket that fills at the reserved rate, drained by what is
/// queued here and by what nodes say they served through other hosts.
#[derive(Default)]
pub(super) struct ReserveCoverage {
    buckets: BTreeMap<usize, TokenBucket>,
}

impl ReserveCoverage {
    /// Whether the reserve covers a request, as far as this host knows; takes its units if so. Where nodes
    /// do not say what they served through other hosts, this host counts on the reserve over the root of
    /// the volume's hosts.
    pub(super) fn take(&mut self, now: Ms, request: &Request, config: &SchedulerConfig) -> bool {
        let reserve = config.policies[request.policy].reserve;
        let hosts = if config.counts_remote_service { 1.0 } else { request.hosts.sqrt() };
        let rate = reserve / hosts;
        let bucket = self.buckets.entry(request.volume).or_insert_with(|| TokenBucket::new(now, rate));
        bucket.refill(now, rate, rate + config.max_units);
        let covers = bucket.tokens() >= request.units && rate > 0.0;
        if covers {
            bucket.take(request.units);
        }
        covers
    }

    /// A request that the reserve covered leaves its queue unsent.
    pub(super) fn put_back(&mut self, request: &Request) {
        if let Some(bucket) = self.buckets.get_mut(&request.volume) {
            bucket.put_back(request.units);
        }
    }

    /// Units were served through other hosts.
    pub(super) fn drain(&mut self, volume: usize, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&volume) {
            bucket.drain(units);
        }
    }
}

impl Scheduler {
    /// Accepts a request that is new.
    pub(super) fn accept(&mut self, now: Ms, id: usize, request: &Request) {
        self.retries.add_request(now, request.budget_weight);
        self.sequence += 1;
        let time_spent = self.client_timeouts.time_spent(request);
        let class = &self.config.classes[request.class];
        let deadline = now + request.client_timeout - DEADLINE_ROUNDS * self.config.round;
        let expires_at = deadline.min(now - time_spent + class.latency_objective);
        if let Some(key) = self.ordering_key(request) {
            self.key_locks.enqueue(now, key, id);
        }
        let pending = PendingRequest {
            request: request.clone(),
            arrival: self.sequence,
            state: RequestState::Blocked,
            tag: Tag::default(),
            expires_at,
            deadline,
            attempts: 0,
            uncertain_attempt: None,
            earliest_retry_at: now,
            has_tokens: false,
            queue_entry: 0,
        };
        self.requests.insert(id, pending);
        self.set_waiting(id, true);
    }

    /// Ends a request that has no attempt in flight: it is rejected where a retry of the client is
    /// harmless, and has failed otherwise.
    pub(super) fn reject_or_fail(&mut self, now: Ms, id: usize) -> FinalStatus {
        self.dequeue(id);
        let Some(pending) = self.requests.get(id) else { return FinalStatus::Failed };
        let class = &self.config.classes[pending.request.class];
        let may_be_repeated = is_repeatable_anywhere(class) || pending.uncertain_attempt.is_none();
        let time_left = (pending.deadline - now).max(0.0);
        // Spread, so that clients that are rejected together do not come back together.
        let part = 1.0 - RETRY_AFTER_SPREAD * self.rng.fraction();
        let retry_after = (self.config.max_retry_after * part).min(time_left);
        self.forget(now, id);
        match may_be_repeated {
            true => FinalStatus::Rejected { retry_after },
            false => FinalStatus::Failed,
        }
    }

    /// Drops all that is known of a request that is over.
    pub(super) fn forget(&mut self, now: Ms, id: usize) {
        self.unblock(id);
        self.set_waiting(id, false);
        let Some(pending) = self.requests.remove(id) else { return };
        self.release_key(now, id, &pending.request);
    }
}
