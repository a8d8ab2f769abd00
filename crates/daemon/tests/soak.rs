//! Seeded runs of a real dispatcher under two faults at once, with restarts of both kinds; a ledger outside judges them.
//!
//! `BELLSILL_SOAK_SEEDS=FIRST-LAST` plays other seeds than the few that CI plays, `BELLSILL_SOAK_SIDE_BY_SIDE=N` so many at
//! once. A seed names its faults and its draws; threads and sockets of the machine take their own time all the same.

use bellsill_test_support::program;
use bellsill_test_support::soak::{Fault, Scenario, World};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::sync::Mutex;
use std::time::Duration;

const CI_SEEDS: (u64, u64) = (1, 9);
const SIDE_BY_SIDE: usize = 3;

/// The signals after the first SIGTERM of a planned restart, each with its delay after the one before.
fn signals(random: &mut Pcg64) -> Vec<(Signal, Duration)> {
    let count = random.random_range(0..4);
    let mut one = || {
        let signal = if random.random_range(0..2) == 0 {
            Signal::TERM
        } else {
            Signal::HUP
        };
        (signal, Duration::from_millis(random.random_range(0..900)))
    };
    (0..count).map(|_| one()).collect()
}

fn two_faults(random: &mut Pcg64) -> [Fault; 2] {
    let count = Fault::ALL.len();
    let first = random.random_range(0..count);
    let second = (first + random.random_range(1..count)) % count;
    [Fault::ALL[first], Fault::ALL[second]]
}

/// Plays one seed. What was broken, in words.
fn play(seed: u64) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let faults = two_faults(&mut random);
    let mut world = World::start(program!(), Scenario::with_faults(seed, &faults));
    world.disturb_by(&faults);
    world.disturb_for(Duration::from_millis(random.random_range(800..2_000)));
    world.kill_while_disturbed();
    world.disturb_for(Duration::from_millis(random.random_range(500..1_500)));
    world.end_and_restart(&signals(&mut random));
    world.disturb_for(Duration::from_millis(random.random_range(300..1_000)));
    world.kill_while_disturbed();
    world.disturb_for(Duration::from_millis(random.random_range(300..1_000)));
    let verdict = world.finish();
    println!("seed {seed} {faults:?}: {verdict}");
    let broken: Vec<String> = verdict
        .broken
        .iter()
        .map(|what| format!("seed {seed} {faults:?}: {what}"))
        .collect();
    // At once: a run that is cut off later has said it.
    broken.iter().for_each(|what| println!("{what}"));
    broken
}

fn seeds() -> Vec<u64> {
    let named = std::env::var("BELLSILL_SOAK_SEEDS").ok();
    let (first, last) = match &named {
        Some(range) => {
            let (first, last) = range.split_once('-').expect("FIRST-LAST");
            (
                first.parse().expect("a seed"),
                last.parse().expect("a seed"),
            )
        }
        None => CI_SEEDS,
    };
    (first..=last).rev().collect()
}

#[test]
fn under_two_faults_at_once_every_rule_is_kept() {
    let side_by_side = std::env::var("BELLSILL_SOAK_SIDE_BY_SIDE")
        .ok()
        .and_then(|n| n.parse().ok());
    let (left, broken) = (Mutex::new(seeds()), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..side_by_side.unwrap_or(SIDE_BY_SIDE) {
            scope.spawn(|| {
                loop {
                    let next = left.lock().unwrap().pop();
                    let Some(seed) = next else { return };
                    let found = play(seed);
                    broken.lock().unwrap().extend(found);
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(
        broken.is_empty(),
        "{} broken: {:#?}",
        broken.len(),
        &broken[..broken.len().min(40)]
    );
}
