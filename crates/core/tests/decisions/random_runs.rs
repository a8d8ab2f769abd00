//! Property tests: the six rules hold in random runs.

use crate::simulation::{Behavior, LIFETIME, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, MessageId, Settings};
use quickcheck::{Gen, QuickCheck, TestResult};

/// One step of a random run: the event, its target endpoint or destination, and the milliseconds
/// until the next step (modulo 128).
type Step = (u8, u8, u16);

fn behavior(n: u8) -> Behavior {
    match n % 12 {
        0 => Behavior::Hangs,
        1 => Behavior::ReturnsErrors,
        2 => Behavior::RateLimits(None),
        3 => Behavior::RateLimits(Some(u64::from(n) * 10 * MS)),
        4 => Behavior::Unreachable,
        5 => Behavior::RefusesConnections,
        6 => Behavior::AnswersAfter(u64::from(n) * 20 * MS),
        7 => Behavior::ResetsConnections,
        8 => Behavior::LacksLocalCapacity,
        9 => Behavior::LosesSomeAnswers,
        10 => Behavior::RateLimitsLate,
        _ => Behavior::AnswersAfter(100 * MS),
    }
}

fn run(steps: Vec<Step>) -> TestResult {
    // The first step selects the settings, which include small capacities, many endpoints, large
    // fleets, sparse traffic and batches.
    let variant = steps.first().map_or(0, |s| usize::from(s.2));
    let (max_in_flight, dispatchers) = ([8, 2, 3][variant % 3], [1, 300][variant / 3 % 2]);
    let endpoints = [12, 60][variant / 6 % 2];
    let max_batch = [vec![], vec![4, 1], vec![3, 20]][variant / 12 % 3].clone();
    let mut sim = Simulation::with_endpoints(
        Settings {
            max_in_flight,
            dispatchers,
            max_batch,
            ..settings()
        },
        u32::from(endpoints),
    );
    for (event, target, wait) in steps {
        let endpoint = u32::from(target % endpoints);
        match event % 32 {
            0 => sim.env.behaviors[endpoint as usize] = behavior((event / 32).wrapping_add(target)),
            1 => sim.set_serving(endpoint, target % 3 == 0, EndpointUpdate::Delta),
            2 => sim.set_serving(endpoint, true, EndpointUpdate::Snapshot),
            3 if target % 8 == 0 => sim.restart_without_journal(),
            3 if target % 8 == 1 => sim.restart_with_journal(),
            4 => sim.withdraw(MessageId(sim.env.sent.last().map_or(1, |s| s.message.0))),
            5 => sim
                .env
                .behaviors
                .iter_mut()
                .skip(usize::from(target % 3) * 4)
                .take(4)
                .for_each(|endpoint| *endpoint = behavior(target)),
            6 => sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS)),
            n => {
                let lifetime = if target == 0 { 3 * MS } else { LIFETIME };
                sim.submit_with(
                    usize::from(n % 4),
                    u64::from(target % (endpoints / 4)),
                    Some(u64::from(target % 5)),
                    lifetime,
                );
            }
        }
        sim.advance(u64::from(wait % 128) * MS);
    }
    sim.advance(30 * SEC);
    TestResult::passed()
}

#[test]
fn the_six_rules_hold_in_random_runs() {
    let source = Gen::from_size_and_seed(600, 20_261_201);
    QuickCheck::new()
        .rng(source)
        .tests(120)
        .quickcheck(run as fn(Vec<Step>) -> TestResult);
}
