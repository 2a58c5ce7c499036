//! When to connect again to a service that pushes: after doubling waits, spread so that hosts do not come together.

use magpiewick::{Backoff, Ms, RandomSource};

const INITIAL_WAIT: Ms = 50.0;
const MAX_WAIT: Ms = 2000.0;

/// The waits between connects to one service.
pub(crate) struct ReconnectBackoff {
    backoff: Backoff,
    rng: RandomSource,
}

impl ReconnectBackoff {
    pub(crate) fn new(seed: u64) -> ReconnectBackoff {
        ReconnectBackoff { backoff: Backoff::new(INITIAL_WAIT, MAX_WAIT), rng: RandomSource::new(seed) }
    }

    /// The connection failed; returns when to connect again.
    #[must_use]
    pub(crate) fn on_failure(&mut self, now: Ms) -> Ms {
        now + self.backoff.failed(&mut self.rng)
    }

    /// The service answered: the next wait is the first again.
    pub(crate) fn on_success(&mut self) {
        self.backoff.reset();
    }
}

#[cfg(test)]
mod tests;
