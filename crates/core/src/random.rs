//! Reproducible random numbers: the same seed and the same calls yield the same numbers.

use rand::distr::uniform::{SampleRange, SampleUniform};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A seeded pseudo-random number generator.
pub struct Random(Pcg64Mcg);

impl Random {
    /// Creates a generator from a seed.
    pub fn seeded(seed: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a uniformly distributed number from the range.
    pub fn range<T: SampleUniform>(&mut self, range: impl SampleRange<T>) -> T {
        self.0.random_range(range)
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::seeded(0)
    }
}
