//! Random numbers: the same seed and the same calls give the same ones.

use rand::distr::uniform::{SampleRange, SampleUniform};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub struct Chance(Pcg64Mcg);

impl Chance {
    pub fn seeded(seed: u64) -> Chance {
        Chance(Pcg64Mcg::seed_from_u64(seed))
    }

    /// One of the range, each alike.
    pub fn range<T: SampleUniform>(&mut self, of: impl SampleRange<T>) -> T {
        self.0.random_range(of)
    }
}

impl Default for Chance {
    fn default() -> Self {
        Chance::seeded(0)
    }
}
