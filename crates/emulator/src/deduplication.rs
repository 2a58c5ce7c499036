//! The deduplication window: recently executed requests, so that repeated requests are answered without a second
//! effect.

use crate::Ms;
use std::collections::HashMap;

/// Number of recorded requests above which the requests outside the window are removed.
const CLEANUP_SIZE: usize = 100_000;

pub(crate) struct DeduplicationWindow {
    length: Ms,
    /// Execution times of requests, by deduplication scope and idempotency key.
    executed: HashMap<(u64, u64), Ms>,
}

impl DeduplicationWindow {
    pub(crate) fn new(length: Ms) -> DeduplicationWindow {
        DeduplicationWindow { length, executed: HashMap::new() }
    }

    /// Returns whether a request was executed within the window; otherwise records the request as executed.
    pub(crate) fn is_repeat(&mut self, now: Ms, scope: u64, idempotency_key: u64) -> bool {
        let length = self.length;
        if self.executed.len() > CLEANUP_SIZE {
            self.executed.retain(|_, at| now - *at < length);
        }
        let is_repeat = self.executed.get(&(scope, idempotency_key)).is_some_and(|at| now - at < length);
        if !is_repeat {
            self.executed.insert((scope, idempotency_key), now);
        }
        is_repeat
    }
}

#[cfg(test)]
mod tests;
