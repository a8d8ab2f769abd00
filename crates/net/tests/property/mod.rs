//! Property checks with a fixed seed, so that every run generates the same cases.

use quickcheck::{Gen, QuickCheck, Testable};

/// Checks a property on `cases` generated inputs.
pub(crate) fn check(cases: u64, property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 20_261_201))
        .tests(cases)
        .quickcheck(property);
}
