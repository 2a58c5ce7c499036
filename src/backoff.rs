//! Waits before something that failed is tried again.

use crate::random_source::RandomSource;
use crate::types::Ms;

/// Waits that double from the first to the longest, each spread at random over half to one and a half of its length,
/// so that hosts which failed together do not come back together.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    first: Ms,
    longest: Ms,
    next: Ms,
}

impl Backoff {
    pub fn new(first: Ms, longest: Ms) -> Backoff {
        Backoff { first, longest, next: first }
    }

    /// The wait after one more failure.
    pub fn failed(&mut self, rng: &mut RandomSource) -> Ms {
        let wait = self.next * (0.5 + rng.fraction());
        self.next = (self.next * 2.0).min(self.longest);
        wait
    }

    /// Something succeeded, or what failed is not what is tried next.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
