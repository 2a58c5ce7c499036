//! Admission of requests: acceptance and rejection, the time until which each request may be served, and
//! the coverage of requests by the reserve of their volume.

use super::fair_queueing::Tag;
use super::pending_request::{PendingRequest, RequestState};
use super::retry_policy::is_safe_to_repeat;
use super::Scheduler;
use crate::structures::TokenBucket;
use crate::types::{FinalAnswer, FinalStatus, Ms, Request, SchedulerConfig, UnservedCause};
use std::collections::BTreeMap;

/// Least fraction of requests with the longest client timeout from which a shorter timeout indicates that
/// part of the time was spent before arrival.
const COMMON_TIMEOUT_FRACTION: f64 = 0.1;
/// Factor by which earlier counts decay with each request.
const TIMEOUT_COUNT_DECAY: f64 = 0.995;
/// Highest fraction of requests ending unserved at which retries are few among the arriving requests.
const LOW_UNSERVED_FRACTION: f64 = 0.05;
/// Number of requests that must have arrived while few ended unserved before their statistics are
/// representative.
const MIN_REPRESENTATIVE_REQUESTS: f64 = 50.0;
/// Largest difference between timeouts that are treated as equal.
const TIMEOUT_TOLERANCE: Ms = 1.0;
/// Fraction of the longest retry-after over which rejected clients are spread.
const RETRY_AFTER_SPREAD: f64 = 0.25;
/// Number of action intervals of the caller before the client's deadline by which attempts must be
/// finished.
const DEADLINE_INTERVALS: f64 = 2.0;

/// Exponentially decaying count of requests that have a property.
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

    /// Counts a request as matching that was added before as not matching.
    fn add_matching(&mut self) {
        self.matching += 1.0;
    }

    fn is_at_least(&self, fraction: f64) -> bool {
        self.matching >= fraction * self.all
    }

    fn exceeds(&self, fraction: f64) -> bool {
        self.matching > fraction * self.all
    }
}

/// Statistics of the client timeouts of one class and QoS policy.
#[derive(Clone, Default)]
struct TimeoutStatistics {
    longest: Ms,
    /// Count of requests with the longest timeout.
    with_longest: DecayingCount,
    /// Count of requests with the longest timeout among requests that arrived while few ended unserved.
    with_longest_while_few_unserved: DecayingCount,
    /// Count of requests that ended unserved.
    unserved: DecayingCount,
}

impl TimeoutStatistics {
    /// Returns how much of the client timeout was spent before the request arrived: the request is a
    /// retry of the client, or waited for a stalled host. Where few requests have the longest timeout,
    /// timeouts are of many lengths, and a shorter one is no indication. Where many requests end
    /// unserved, retries outnumber first requests, so the statistics from before that count. Guards
    /// against work on requests past their latency objective in a retry storm; may penalise clients that
    /// change to shorter timeouts during the storm.
    fn time_spent(&mut self, client_timeout: Ms) -> Ms {
        if client_timeout > self.longest + TIMEOUT_TOLERANCE {
            let unserved = self.unserved;
            *self = TimeoutStatistics { longest: client_timeout, unserved, ..TimeoutStatistics::default() };
        }
        let has_longest = client_timeout > self.longest - TIMEOUT_TOLERANCE;
        let few_unserved = !self.unserved.exceeds(LOW_UNSERVED_FRACTION);
        self.unserved.add(false);
        self.with_longest.add(has_longest);
        if few_unserved {
            self.with_longest_while_few_unserved.add(has_longest);
        }
        let counts =
            match few_unserved || self.with_longest_while_few_unserved.all < MIN_REPRESENTATIVE_REQUESTS {
                true => self.with_longest,
                false => self.with_longest_while_few_unserved,
            };
        if counts.is_at_least(COMMON_TIMEOUT_FRACTION) {
            self.longest - client_timeout
        } else {
            0.0
        }
    }
}

/// Statistics of client timeouts by class and QoS policy.
pub(super) struct ClientTimeouts {
    policies: usize,
    statistics: Vec<TimeoutStatistics>,
}

impl ClientTimeouts {
    /// Creates statistics without any request.
    pub(super) fn new(config: &SchedulerConfig) -> ClientTimeouts {
        let policies = config.policies.len().max(1);
        let statistics = vec![TimeoutStatistics::default(); config.classes.len() * policies];
        ClientTimeouts { policies, statistics }
    }

    fn time_spent(&mut self, request: &Request) -> Ms {
        self.statistics_of(request).time_spent(request.client_timeout)
    }

    /// Records that a request ended unserved, so that its client may retry it.
    fn on_unserved(&mut self, request: &Request) {
        self.statistics_of(request).unserved.add_matching();
    }

    fn statistics_of(&mut self, request: &Request) -> &mut TimeoutStatistics {
        &mut self.statistics[request.class * self.policies + request.policy]
    }
}

/// Unused reserve of each volume: a bucket that fills at the reserved rate and is drained by requests
/// queued here and by units that nodes report as served through other hosts.
#[derive(Default)]
pub(super) struct ReserveCoverage {
    buckets: BTreeMap<usize, TokenBucket>,
}

impl ReserveCoverage {
    /// Returns the approximate memory of the buckets.
    pub(super) fn memory_bytes(&self) -> usize {
        self.buckets.len() * size_of::<(usize, TokenBucket)>()
    }

    /// Returns whether the reserve covers a request, as far as this host can tell, and takes the
    /// request's units if it does. Where nodes do not report the units served through other hosts, this
    /// host's part of the reserve is the reserve divided by the square root of the number of the volume's
    /// hosts.
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

    /// Returns the units of a covered request that leaves its queue unsent.
    pub(super) fn put_back(&mut self, request: &Request) {
        if let Some(bucket) = self.buckets.get_mut(&request.volume) {
            bucket.put_back(request.units);
        }
    }

    /// Drains units that were served through other hosts.
    pub(super) fn drain(&mut self, volume: usize, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&volume) {
            bucket.drain(units);
        }
    }
}

impl Scheduler {
    /// Accepts a new request.
    pub(super) fn accept(&mut self, now: Ms, id: usize, request: &Request) {
        self.retries.add_request(now, request.budget_weight);
        self.sequence += 1;
        let time_spent = self.client_timeouts.time_spent(request);
        let class = &self.config.classes[request.class];
        let deadline = now + request.client_timeout - DEADLINE_INTERVALS * self.config.action_interval;
        let objective_at = deadline.min(now + class.latency_objective);
        let guessed_objective_at = deadline.min(now - time_spent + class.latency_objective);
        let is_retry_by_guess = guessed_objective_at < objective_at && !self.has_room(now, request);
        let expires_at = if is_retry_by_guess { guessed_objective_at } else { objective_at };
        if let Some(key) = self.ordering_key(request) {
            self.key_locks.enqueue(now, key, id);
        }
        let pending = PendingRequest {
            request: request.clone(),
            arrival: self.sequence,
            state: RequestState::Blocked,
            tag: Tag::default(),
            expires_at,
            is_retry_by_guess,
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

    /// Returns whether the node of a request has a free slot and no queue, or any node where the request names no shard.
    /// There, the request delays no other one, and timeouts of other requests say nothing about it.
    fn has_room(&mut self, now: Ms, request: &Request) -> bool {
        let Some(shard) = request.shard else {
            return self.nodes.with_capacity().any(|node| node.accepts_attempt(now, false));
        };
        let Some(node) = self.select_node(shard) else { return false };
        let index = node.endpoint.node;
        node.queue.is_empty() && node.accepts_attempt(now, false) && self.slow_start_allows(now, index)
    }

    /// Finishes a request that has no attempt in flight: rejects it if a retry of the client cannot cause
    /// a second effect, and fails it otherwise.
    pub(super) fn reject_or_fail(&mut self, now: Ms, id: usize) -> FinalAnswer {
        let cause = self.requests.get(id).map(|pending| self.unserved_cause(now, id, pending));
        self.dequeue(id);
        let Some(pending) = self.requests.get(id) else {
            return FinalAnswer { status: FinalStatus::Failed, cause: UnservedCause::AttemptFailed };
        };
        self.client_timeouts.on_unserved(&pending.request);
        let class = &self.config.classes[pending.request.class];
        let is_safe_to_retry = is_safe_to_repeat(class) || pending.uncertain_attempt.is_none();
        let time_left = (pending.deadline - now).max(0.0);
        // Spread at random, so that clients that are rejected together do not retry together.
        let spread_factor = 1.0 - RETRY_AFTER_SPREAD * self.rng.fraction();
        let retry_after = (self.config.max_retry_after * spread_factor).min(time_left);
        self.remove_request(now, id);
        let status = match is_safe_to_retry {
            true => FinalStatus::Rejected { retry_after },
            false => FinalStatus::Failed,
        };
        FinalAnswer { status, cause: cause.unwrap_or(UnservedCause::AttemptFailed) }
    }

    /// Removes all state of a finished request.
    pub(super) fn remove_request(&mut self, now: Ms, id: usize) {
        self.unblock(id);
        self.set_waiting(id, false);
        let Some(pending) = self.requests.remove(id) else { return };
        self.release_key(now, id, &pending.request);
    }
}
