//! Exponential backoff with jitter.

use crate::random_source::RandomSource;
use crate::types::Ms;

/// Delays before retries, which double from the first to the longest. Each delay is multiplied by a
/// random factor from one half to one and a half, so that hosts that failed together do not retry
/// together.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    first: Ms,
    longest: Ms,
    next: Ms,
}

impl Backoff {
    /// Creates a backoff with delays from `first` to `longest`.
    pub fn new(first: Ms, longest: Ms) -> Backoff {
        Backoff { first, longest, next: first }
    }

    /// Returns the delay after another failure.
    pub fn failed(&mut self, rng: &mut RandomSource) -> Ms {
        let delay = self.next * (0.5 + rng.fraction());
        self.next = (self.next * 2.0).min(self.longest);
        delay
    }

    /// Resets to the first delay, after a success or when the next attempt goes to a different target.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
