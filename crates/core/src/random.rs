//! Random numbers: the same seed and the same calls give the same numbers.

use rand::distr::uniform::{SampleRange, SampleUniform};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A generator of random numbers.
pub struct Random(Pcg64Mcg);

impl Random {
    /// The generator of a seed.
    pub fn seeded(seed: u64) -> Random {
        Random(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A number of the range, all equally likely.
    pub fn range<T: SampleUniform>(&mut self, range: impl SampleRange<T>) -> T {
        self.0.random_range(range)
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::seeded(0)
    }
}
