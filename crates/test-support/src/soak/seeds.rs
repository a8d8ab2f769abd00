//! The seeds of a soak test, and running them in parallel.

use std::sync::Mutex;

/// The seeds to run: `variable` of the environment has them as `FIRST-LAST`; without it they are `default`, both included.
pub fn seeds(variable: &str, default: (u64, u64)) -> std::ops::RangeInclusive<u64> {
    let Ok(range) = std::env::var(variable) else {
        return default.0..=default.1;
    };
    let parse = |text: &str| text.parse().expect("a seed must be a number");
    let (first, last) = range
        .split_once('-')
        .unwrap_or_else(|| panic!("{variable} must be FIRST-LAST"));
    parse(first)..=parse(last)
}

/// Runs all seeds, up to `parallel_runs` at a time. `run_seed` prints a seed's result and returns a description of each
/// violation. Fails if there are any.
pub fn run_in_parallel(
    seeds: std::ops::RangeInclusive<u64>,
    parallel_runs: usize,
    run_seed: impl Fn(u64) -> Vec<String> + Sync,
) {
    let (remaining, violations) = (Mutex::new(seeds), Mutex::new(Vec::new()));
    let run_next = || {
        let seed = remaining.lock().unwrap().next()?;
        let found = run_seed(seed);
        // Printed immediately, so that the violations are reported even if the test is aborted later.
        found.iter().for_each(|violation| println!("{violation}"));
        violations.lock().unwrap().extend(found);
        Some(())
    };
    std::thread::scope(|scope| {
        for _ in 0..parallel_runs {
            scope.spawn(|| while run_next().is_some() {});
        }
    });
    assert_none(&violations.into_inner().unwrap());
}

/// Fails with the first violations, if there are any.
fn assert_none(violations: &[String]) {
    const MAX_PRINTED: usize = 40;
    assert!(
        violations.is_empty(),
        "{} violations, the first: {:#?}",
        violations.len(),
        &violations[..violations.len().min(MAX_PRINTED)]
    );
}
