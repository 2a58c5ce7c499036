//! Rate limits: this host's part of each volume's token bucket.

use super::{Scheduler, TIMER_TOLERANCE};
use crate::structures::TokenBucket;
use crate::types::{Ms, QosPolicy, Request};
use std::collections::BTreeMap;

/// Token buckets of rate-limited volumes. A bucket starts empty, as a host that has just restarted may
/// have spent its tokens before. Queued requests keep their tokens reserved in the bucket, as the actual
/// bucket does not refill while it is full.
#[derive(Default)]
pub(super) struct RateLimits {
    buckets: BTreeMap<usize, TokenBucket>,
    started_at: Ms,
}

impl RateLimits {
    /// Creates the state of a host whose volumes have spent no token since it started.
    pub(super) fn new(started_at: Ms) -> RateLimits {
        RateLimits { buckets: BTreeMap::new(), started_at }
    }

    /// Returns the approximate memory of the buckets.
    pub(super) fn memory_bytes(&self) -> usize {
        self.buckets.len() * size_of::<(usize, TokenBucket)>()
    }

    /// Refills the bucket of a request's volume and returns it.
    fn refilled(&mut self, now: Ms, request: &Request, policy: &QosPolicy) -> &mut TokenBucket {
        let started_at = self.started_at;
        let bucket = self.buckets.entry(request.volume).or_insert_with(|| TokenBucket::new(started_at, 0.0));
        bucket.refill(now, policy.limit_rate / request.hosts, policy.limit_burst / request.hosts);
        bucket
    }

    /// Returns the tokens that a request may reserve now.
    fn available(&mut self, now: Ms, request: &Request, policy: &QosPolicy) -> f64 {
        self.refilled(now, request, policy).available()
    }

    /// Reserves the tokens of a request. If the bucket lacks them, the error is the time at which the
    /// bucket covers the request.
    fn reserve(&mut self, now: Ms, request: &Request, policy: &QosPolicy) -> Result<(), Ms> {
        let bucket = self.refilled(now, request, policy);
        if bucket.available() >= request.units {
            bucket.reserve(request.units);
            return Ok(());
        }
        let missing = request.units - bucket.available();
        Err(now + time_to_cover(missing, request, policy))
    }

    /// Releases the tokens of a request that leaves its queue unsent. Returns whether its volume has a
    /// rate limit.
    pub(super) fn release(&mut self, request: &Request) -> bool {
        let Some(bucket) = self.buckets.get_mut(&request.volume) else { return false };
        bucket.release(request.units);
        true
    }

    /// Spends the tokens of a request that is sent.
    pub(super) fn spend(&mut self, now: Ms, request: &Request, policy: &QosPolicy) {
        let Some(bucket) = self.buckets.get_mut(&request.volume) else { return };
        bucket.refill(now, policy.limit_rate / request.hosts, policy.limit_burst / request.hosts);
        bucket.spend_reserved(request.units);
    }
}

/// Returns the time until a bucket has gained the tokens that a request lacks.
fn time_to_cover(missing: f64, request: &Request, policy: &QosPolicy) -> Ms {
    let rate = policy.limit_rate / request.hosts;
    (missing / rate * 1000.0).max(TIMER_TOLERANCE)
}

impl Scheduler {
    /// Reserves the tokens of a request. Returns the time at which the rate limit permits the request:
    /// now if the tokens are reserved.
    pub(super) fn reserve_tokens(&mut self, now: Ms, id: usize) -> Option<Ms> {
        let pending = self.requests.get_mut(id)?;
        let request = &pending.request;
        let policy = &self.config.policies[request.policy];
        if policy.limit_rate <= 0.0 || pending.has_tokens {
            return Some(now);
        }
        match self.rate_limits.reserve(now, request, policy) {
            Ok(()) => {
                pending.has_tokens = true;
                Some(now)
            }
            Err(covered_at) => Some(covered_at),
        }
    }

    /// Schedules another check of the requests that the free tokens of their volumes cover. A volume
    /// whose tokens cover no more requests is checked once they cover the smallest.
    pub(super) fn wake_token_waiters(&mut self, now: Ms) {
        for volume in self.blocked.due_token_checks(now + TIMER_TOLERANCE) {
            let Some(smallest) = self.blocked.smallest_token_waiter(volume) else { continue };
            let Some(pending) = self.requests.get(smallest.id) else { continue };
            let request = &pending.request;
            let policy = &self.config.policies[request.policy];
            let available = self.rate_limits.available(now, request, policy);
            if !self.blocked.wake_covered(volume, available) {
                let check_at = now + time_to_cover(smallest.units - available, request, policy);
                self.blocked.check_tokens_at(volume, check_at);
            }
        }
    }
}
