//! Property tests with a fixed seed, so that each run tries the same cases.

use quickcheck::{Gen, QuickCheck, Testable};

/// Tries a property on this many cases.
pub(crate) fn check(tests: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 20_261_201))
        .tests(tests)
        .quickcheck(property);
}
