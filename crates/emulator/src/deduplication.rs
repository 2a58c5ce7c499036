//! The deduplication window: requests that nodes executed lately, so that repeats are answered without effect.

use crate::Ms;
use std::collections::HashMap;

/// How many requests are remembered before those outside the window are removed.
const CLEANUP_SIZE: usize = 100_000;

pub(crate) struct DeduplicationWindow {
    length: Ms,
    /// When requests were executed, by deduplication scope and mark.
    executed: HashMap<(u64, u64), Ms>,
}

impl DeduplicationWindow {
    pub(crate) fn new(length: Ms) -> DeduplicationWindow {
        DeduplicationWindow { length, executed: HashMap::new() }
    }

    /// Whether a request was executed within the window; notes it where it was not.
    pub(crate) fn is_repeat(&mut self, now: Ms, scope: u64, idempotency_key: u64) -> bool {
        let length = self.length;
        if self.executed.len() > CLEANUP_SIZE {
            self.executed.retain(|_, at| now - *at < length);
        }
        let known = self.executed.get(&(scope, idempotency_key)).is_some_and(|at| now - at < length);
        if !known {
            self.executed.insert((scope, idempotency_key), now);
        }
        known
    }
}

#[cfg(test)]
mod tests;
