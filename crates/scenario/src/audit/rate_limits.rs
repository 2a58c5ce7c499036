//! Rule 7: what all hosts together send for a volume stays within its rate limit.

use super::evidence::Run;
use super::verdict::{Rule, Verdict};
use crate::Ms;
use std::collections::{HashMap, HashSet};

/// The part of a burst by which hosts that know little of each other may exceed the limit together.
const BURST_TOLERANCE: f64 = 0.1;

/// A token bucket that may be overdrawn.
struct TokenBucket {
    tokens: f64,
    filled_at: Ms,
}

pub(super) fn check(run: &Run<'_>, verdict: &mut Verdict) {
    let start = &run.evidence.host.scheduler;
    let mut known_requests: HashSet<(u64, u64)> = HashSet::new();
    let mut buckets: HashMap<u64, TokenBucket> = HashMap::new();
    let mut checked = 0;
    for attempt in &run.attempts {
        // The first attempt of a request draws its units.
        if !known_requests.insert((attempt.host, attempt.request_id)) {
            continue;
        }
        let Some(volume) = run.evidence.host.volumes.get(&attempt.volume) else { continue };
        let policy = &start.policies[volume.policy];
        if policy.limit_rate <= 0.0 {
            continue;
        }
        checked += 1;
        let full = TokenBucket { tokens: policy.limit_burst, filled_at: attempt.at };
        let bucket = buckets.entry(attempt.volume).or_insert(full);
        let refilled = bucket.tokens + (attempt.at - bucket.filled_at) * policy.limit_rate / 1000.0;
        bucket.tokens = refilled.min(policy.limit_burst) - attempt.units;
        bucket.filled_at = attempt.at;
        let tolerance = (BURST_TOLERANCE * policy.limit_burst).max(start.max_units);
        if bucket.tokens < -tolerance {
            let description = format!("the volume's token bucket is {:.1} units below 0", -bucket.tokens);
            verdict.add_attempt(Rule::RateLimits, attempt.at, attempt, description);
        }
    }
    verdict.add_checked(Rule::RateLimits, checked);
}
