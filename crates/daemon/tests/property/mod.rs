//! Runs property tests with a fixed seed, so that every run checks the same cases.

use quickcheck::{Gen, QuickCheck, Testable};

/// Checks a property on this many generated cases.
pub(crate) fn check(cases: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 20_261_201))
        .tests(cases)
        .quickcheck(property);
}
