//! Seeded soak tests of a dispatcher process under two simultaneous faults, with crashes and planned restarts. A ledger
//! outside the dispatcher checks the guarantees.
//!
//! `BELLSILL_SOAK_SEEDS=FIRST-LAST` selects other seeds than the few that CI runs, and `BELLSILL_SOAK_SIDE_BY_SIDE=N`
//! sets the number of parallel runs. A seed determines the faults and all random choices, but not the timing of threads
//! and sockets, so a run is not fully reproducible.

use bellsill_test_support::program;
use bellsill_test_support::soak::{Fault, Scenario, SoakRun, draw_signals};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::sync::Mutex;
use std::time::Duration;

const CI_SEEDS: (u64, u64) = (1, 9);
const DEFAULT_PARALLEL_RUNS: usize = 3;

fn draw_faults(random: &mut Pcg64) -> [Fault; 2] {
    let count = Fault::ALL.len();
    let first = random.random_range(0..count);
    let second = (first + random.random_range(1..count)) % count;
    [Fault::ALL[first], Fault::ALL[second]]
}

/// Runs one seed, and returns a description of each violated guarantee.
fn run_seed(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let faults = draw_faults(&mut random);
    let mut run = SoakRun::start(program!(), Scenario::with_faults(seed, &faults));
    run.enable_faults(&faults);
    run.run_under_faults(Duration::from_millis(random.random_range(800..2_000)));
    run.kill_and_restart_under_faults();
    run.run_under_faults(Duration::from_millis(random.random_range(500..1_500)));
    run.stop_and_restart(&draw_signals(&mut random));
    run.run_under_faults(Duration::from_millis(random.random_range(300..1_000)));
    run.kill_and_restart_under_faults();
    run.run_under_faults(Duration::from_millis(random.random_range(300..1_000)));
    let verdict = run.finish();
    println!("seed {seed} {faults:?}: {verdict}");
    let violations: Vec<String> = verdict
        .violations
        .iter()
        .map(|violation| format!("seed {seed} {faults:?}: {violation}"))
        .collect();
    // Printed immediately, so that the violations are reported even if the test is aborted later.
    violations
        .iter()
        .for_each(|violation| println!("{violation}"));
    violations
}

fn seeds() -> Vec<u64> {
    let range = std::env::var("BELLSILL_SOAK_SEEDS").ok();
    let (first, last) = match &range {
        Some(range) => {
            let (first, last) = range
                .split_once('-')
                .expect("BELLSILL_SOAK_SEEDS must be FIRST-LAST");
            (
                first.parse().expect("a seed must be a number"),
                last.parse().expect("a seed must be a number"),
            )
        }
        None => CI_SEEDS,
    };
    (first..=last).rev().collect()
}

#[test]
fn all_guarantees_hold_under_two_simultaneous_faults() {
    let parallel_runs = std::env::var("BELLSILL_SOAK_SIDE_BY_SIDE")
        .ok()
        .and_then(|n| n.parse().ok());
    let (remaining, violations) = (Mutex::new(seeds()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..parallel_runs.unwrap_or(DEFAULT_PARALLEL_RUNS) {
            scope.spawn(|| {
                loop {
                    let next = remaining.lock().unwrap().pop();
                    let Some(seed) = next else { return };
                    let found = run_seed(seed);
                    violations.lock().unwrap().extend(found);
                }
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(40)]
    );
}
