//! Delays between connects to a service that pushes updates. Each delay is twice the previous one, and random
//! so that hosts do not connect at the same time.

use magpiewick::{Backoff, Ms, RandomSource};

const INITIAL_DELAY: Ms = 50.0;
const MAX_DELAY: Ms = 2000.0;

/// Delays between connects to one service.
pub(crate) struct ReconnectBackoff {
    backoff: Backoff,
    rng: RandomSource,
}

impl ReconnectBackoff {
    pub(crate) fn new(seed: u64) -> ReconnectBackoff {
        ReconnectBackoff { backoff: Backoff::new(INITIAL_DELAY, MAX_DELAY), rng: RandomSource::new(seed) }
    }

    /// Records a failed connect; returns the time of the next one.
    #[must_use]
    pub(crate) fn on_failure(&mut self, now: Ms) -> Ms {
        now + self.backoff.failed(&mut self.rng)
    }

    /// Records an answer of the service: the next delay is the initial one again.
    pub(crate) fn on_success(&mut self) {
        self.backoff.reset();
    }
}

#[cfg(test)]
mod tests;
