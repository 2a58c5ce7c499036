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
/// Up to this part of requests that end unserved, few of those that come are retries of them.
const CALM_UNSERVED_PART: f64 = 0.05;
/// Requests that must have come while few ended unserved before these speak for all.
const MIN_CALM_REQUESTS: f64 = 50.0;
/// By how much timeouts may differ that count as the same.
const TIMEOUT_TOLERANCE: Ms = 1.0;
/// The part of the longest retry-after over which rejected clients are spread.
const RETRY_AFTER_SPREAD: f64 = 0.25;
/// Rounds of the caller before the client's deadline by which attempts must be over.
const DEADLINE_ROUNDS: f64 = 2.0;

/// How many of some requests have a property; earlier ones count less and less.
#[derive(Clone, Copy, Default)]
struct DecayingCount {
    matching: f64,
    all: f64,
}

impl DecayingCount {
    fn add(&mut self, matches: bool) {
        self.all = self.all * TIMEOUT_COUNT_DECAY + 1.0;
        self.matching = self.matching * TIMEOUT_COUNT_DECAY + f64::from(matches);
    }

    /// Counts one that has the property after all, though it was added without it.
    fn add_matching(&mut self) {
        self.matching += 1.0;
    }

    fn is_at_least(&self, part: f64) -> bool {
        self.matching >= part * self.all
    }

    fn exceeds(&self, part: f64) -> bool {
        self.matching > part * self.all
    }
}

/// The client timeouts of the requests of one class and QoS policy.
#[derive(Clone, Default)]
struct TimeoutStatistics {
    longest: Ms,
    /// Requests with the longest timeout.
    with_longest: DecayingCount,
    /// The same among those that came while few ended unserved.
    with_longest_when_calm: DecayingCount,
    /// Requests that ended unserved.
    unserved: DecayingCount,
}

impl TimeoutStatistics {
    /// How much of its timeout a request has spent before it came: it is a client's retry, or waited for a
    /// stalled host. Where few requests have the longest timeout, timeouts are of many lengths, and a
    /// shorter one is no sign. Where many end unserved, retries outnumber first requests: then the lengths
    /// count that were seen before. Guards against work on requests past their latency objective in a retry
    /// storm; it may hurt clients that change to shorter timeouts within one.
    fn time_spent(&mut self, client_timeout: Ms) -> Ms {
        if client_timeout > self.longest + TIMEOUT_TOLERANCE {
            let unserved = self.unserved;
            *self = TimeoutStatistics { longest: client_timeout, unserved, ..TimeoutStatistics::default() };
        }
        let has_longest = client_timeout > self.longest - TIMEOUT_TOLERANCE;
        let is_calm = !self.unserved.exceeds(CALM_UNSERVED_PART);
        self.unserved.add(false);
        self.with_longest.add(has_longest);
        if is_calm {
            self.with_longest_when_calm.add(has_longest);
        }
        let counts = match is_calm || self.with_longest_when_calm.all < MIN_CALM_REQUESTS {
            true => self.with_longest,
            false => self.with_longest_when_calm,
        };
        if counts.is_at_least(COMMON_TIMEOUT_PART) {
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
        self.statistics_of(request).time_spent(request.client_timeout)
    }

    /// A request ended unserved: its client may retry it.
    fn on_unserved(&mut self, request: &Request) {
        self.statistics_of(request).unserved.add_matching();
    }

    fn statistics_of(&mut self, request: &Request) -> &mut TimeoutStatistics {
        &mut self.statistics[request.class * self.policies + request.policy]
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
        let deadline = now + request.client_timeout - DEADLINE_ROUNDS * self.config.action_interval;
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
        self.client_timeouts.on_unserved(&pending.request);
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
