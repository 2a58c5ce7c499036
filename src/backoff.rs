//! Exponential backoff with jitter.

use crate::random_source::RandomSource;
use crate::types::Ms;

/// Delays before retries, which double from the first to the longest. Each is spread at random over half to
/// one and a half of its length, so that hosts which failed together do not come back together.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    first: Ms,
    longest: Ms,
    next: Ms,
}

impl Backoff {
    /// Delays from `first` to `longest`.
    pub fn new(first: Ms, longest: Ms) -> Backoff {
        Backoff { first, longest, next: first }
    }

    /// The delay after one more failure.
    pub fn failed(&mut self, rng: &mut RandomSource) -> Ms {
        let delay = self.next * (0.5 + rng.fraction());
        self.next = (self.next * 2.0).min(self.longest);
        delay
    }

    /// Begins again with the first delay: something succeeded, or what is tried next is not what failed.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
