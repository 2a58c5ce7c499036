//! Reproducible random numbers.

use nanorand::{Rng, WyRand};

/// Random number generator; the same seed gives the same sequence.
pub struct RandomSource(WyRand);

impl Default for RandomSource {
    fn default() -> RandomSource {
        RandomSource::new(0)
    }
}

impl RandomSource {
    /// Creates a generator whose sequence depends only on the seed.
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(WyRand::new_seed(seed))
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.generate::<u32>() as f64 / u32::MAX as f64
    }

    /// Returns a whole number from 0 to below `bound`, which must not be 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0.generate_range(0..bound)
    }
}
