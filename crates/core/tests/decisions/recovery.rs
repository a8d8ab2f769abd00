//! Recovery of routes: suspicion, half-open trials and slow start.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Nanos, Settings};

/// Regression (incident ibd5a5f): a route that was slow for a short time went through a full slow
/// start.
#[test]
fn a_slow_period_causes_no_slow_start() {
    let mut sim = Simulation::new(settings());
    for slow in [false, true, false] {
        sim.env.behaviors[8..].fill(Behavior::AnswersAfter(if slow {
            1_500 * MS
        } else {
            100 * MS
        }));
        for _ in 0..30 {
            sim.submit(0, 2);
            sim.advance(200 * MS);
        }
    }
    assert!(sim.has_logged("suspect"));
    assert!(!sim.has_logged("slow start"), "{:?}", sim.env.log_lines);
}

/// Regression (h61c592): a route in slow start became suspect for silence because it answered
/// slowly, and counted as healthy as soon as it answered.
#[test]
fn a_warming_route_that_becomes_suspect_for_silence_keeps_warming_up() {
    let mut sim = Simulation::new(Settings {
        max_in_flight: 40,
        queue_capacity: 400,
        ..settings()
    });
    for behavior in [
        Behavior::AnswersAfter(100 * MS),
        Behavior::Hangs,
        Behavior::AnswersAfter(100 * MS),
        Behavior::AnswersAfter(1_500 * MS),
    ] {
        sim.env.behaviors[8..].fill(behavior);
        for _ in 0..60 {
            sim.submit(0, 2);
            sim.advance(50 * MS);
        }
    }
    sim.env.behaviors[8..].fill(Behavior::AnswersAfter(100 * MS));
    let from = sim.env.sent.len();
    sim.advance(1_700 * MS);
    let sent = sim.env.sent.len() - from;
    assert!(
        sent < 60,
        "{sent} sent within two seconds of the route's recovery, {:?}",
        sim.env.log_lines
    );
}

/// Regression (i2fdf7c): hundreds of dispatchers sent their backlogs to a replacement endpoint as
/// soon as it was listed.
#[test]
fn a_new_endpoint_of_a_failing_destination_gets_few_attempts() {
    let mut sim = Simulation::new(Settings {
        dispatchers: 300,
        max_in_flight: 40,
        queue_capacity: 400,
        ..settings()
    });
    sim.env.behaviors[..4].fill(Behavior::ReturnsErrors);
    for _ in 0..40 {
        sim.submit(1, 0);
        sim.advance(50 * MS);
    }
    sim.add_endpoint_like(0);
    let waiting = 40 - sim.env.delivered.len() - sim.env.rejected.len() - sim.env.failed.len();
    sim.publish_endpoints(EndpointUpdate::Delta);
    sim.advance(SEC);
    assert!(
        waiting > 5 && sim.attempts_to(12) <= 1,
        "{waiting} waiting, {} attempts to the new endpoint",
        sim.attempts_to(12)
    );
}

/// Regression (incident icbc617): refused connections were mistaken for full connection tables, so
/// the route was sent every backlog when it recovered.
#[test]
fn a_route_that_refuses_connections_recovers_with_a_slow_start() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RefusesConnections);
    for _ in 0..8 {
        sim.submit(0, 2);
        sim.advance(SEC);
    }
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    for _ in 0..8 {
        sim.submit(0, 2);
    }
    sim.advance(5 * SEC);
    assert!(
        sim.has_logged("begins a slow start"),
        "{:?}",
        sim.env.log_lines
    );
}

#[test]
fn a_route_that_refuses_connections_is_not_reopened_by_its_siblings() {
    let mut sim = Simulation::new(settings());
    let load = |sim: &mut Simulation, count: u32| {
        for _ in 0..count {
            sim.submit(0, 0);
            sim.advance(100 * MS);
        }
    };
    load(&mut sim, 80);
    sim.env.behaviors[0] = Behavior::RefusesConnections;
    let before = sim.attempts_to(0);
    load(&mut sim, 80);
    let attempts = sim.attempts_to(0) - before;
    assert!(
        (3..=8).contains(&attempts),
        "{attempts} attempts in 8 s while its siblings answered"
    );
    sim.env.behaviors[0] = Behavior::AnswersAfter(100 * MS);
    load(&mut sim, 20);
    assert!(
        sim.env
            .log_lines
            .iter()
            .any(|l| l.starts_with("endpoint 0 begins a slow start")),
        "{:?}",
        sim.env.log_lines
    );
}

#[test]
fn resets_as_late_as_answers_are_failures_of_the_route() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[8] = Behavior::ResetsAfterProcessing;
    for _ in 0..80 {
        sim.submit(0, 2);
        sim.advance(100 * MS);
    }
    assert!(
        sim.attempts_to(8) <= 14,
        "{} attempts to the failing route for 80 messages",
        sim.attempts_to(8)
    );
    assert_eq!(sim.env.delivered.len(), 80);
}

/// Regression (nairobi-depot-later rough-1): with a capacity of two calls, half-open trials of
/// hanging destinations permanently occupied one of them.
#[test]
fn half_open_trials_keep_to_their_share_of_a_capacity_of_two() {
    let mut sim = Simulation::new(Settings {
        max_in_flight: 2,
        ..settings()
    });
    sim.env.behaviors[..8].fill(Behavior::Hangs);
    for i in 0..150 {
        sim.submit(0, i % 2);
        sim.submit(0, 2);
        sim.advance(200 * MS);
    }
    let trials: Vec<Nanos> = sim
        .env
        .sent
        .iter()
        .filter(|s| s.endpoint < 8 && s.at > 1_010 * SEC)
        .map(|s| s.at)
        .collect();
    assert!(
        trials.len() < 8,
        "{} half-open trials in twenty seconds",
        trials.len()
    );
}
