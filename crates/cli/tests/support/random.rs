//! Deterministic random source.

/// Generator of pseudo-random numbers; equal seeds give equal sequences.
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    /// Returns the generator for a seed.
    pub(crate) fn new(seed: u64) -> SeededRandom {
        SeededRandom(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// Returns the next number, from 0 to below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}
