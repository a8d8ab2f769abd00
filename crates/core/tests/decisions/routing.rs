//! Routing: which route a message is sent over, and how much of the in-flight capacity a
//! destination may use.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointId, EndpointUpdate, Settings};

#[test]
fn routes_are_picked_evenly_in_short_runs() {
    let mut sim = Simulation::new(settings());
    for _ in 0..40 {
        sim.submit(0, 2);
        sim.advance(200 * MS);
    }
    for endpoint in 8..12 {
        assert_eq!(sim.attempts_to(endpoint), 10);
    }
}

#[test]
fn a_rate_limited_message_is_retried_at_once_by_another_route() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[8] = Behavior::RateLimits(Some(3 * SEC));
    for _ in 0..8 {
        sim.submit(0, 2);
        sim.advance(300 * MS);
    }
    assert_eq!((sim.attempts_to(8), sim.env.delivered.len()), (1, 8));
    let rate_limited = sim
        .env
        .sent
        .iter()
        .position(|s| s.endpoint == 8)
        .expect("an attempt was sent to endpoint 8");
    let (first, next) = (&sim.env.sent[rate_limited], &sim.env.sent[rate_limited + 1]);
    assert_eq!((next.message, next.at), (first.message, first.at + 20 * MS));
}

/// Regression (incident i6c01aa): at-most-once attempts to hanging routes occupied the whole
/// in-flight capacity for entire message lifetimes.
#[test]
fn a_destination_that_hangs_leaves_capacity_to_others() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[..4].fill(Behavior::Hangs);
    let mut others = Vec::new();
    for _ in 0..100 {
        sim.submit(3, 0);
        others.push(sim.submit(0, 2));
        sim.advance(100 * MS);
    }
    sim.advance(5 * SEC);
    let delivered = others
        .iter()
        .filter(|m| sim.env.delivered.contains(m))
        .count();
    assert!(delivered >= 95, "only {delivered} of 100 delivered");
}

/// Regression (pieces+silent+leave): individual connections stopped answering while others of the
/// same route still did. No route became suspect, so each affected attempt kept its capacity until
/// its timeout while messages waited.
#[test]
fn lost_answers_on_healthy_routes_take_no_capacity_from_waiting_messages() {
    let mut sim = Simulation::with_endpoints(
        Settings {
            queue_capacity: 600,
            ..settings()
        },
        24,
    );
    for n in 0..3_000 {
        sim.env.behaviors.fill(if n % 101 == 0 {
            Behavior::Hangs
        } else {
            Behavior::AnswersAfter(30 * MS)
        });
        sim.submit(3, n % 6);
        sim.env.behaviors.fill(Behavior::AnswersAfter(30 * MS));
        sim.advance(10 * MS);
    }
    let late = sim
        .env
        .sent
        .iter()
        .filter(|s| s.at > sim.env.accepted_at(s.message) + SEC)
        .count();
    assert!(
        late == 0 && !sim.has_logged("suspect"),
        "{late} attempts sent late, {:?}",
        sim.env.log_lines
    );
}

/// Establishing a connection takes time, so the daemon checks again before it writes the first
/// byte.
#[test]
fn an_endpoint_accepts_no_attempts_while_it_drains_or_is_suspended() {
    let mut sim = Simulation::new(settings());
    assert!((0..12).all(|e| sim.dispatcher.accepts_attempts(sim.env.now, EndpointId(e))));
    sim.set_serving(0, false, EndpointUpdate::Delta);
    sim.env.behaviors[8] = Behavior::RateLimits(Some(3 * SEC));
    for _ in 0..4 {
        sim.submit(0, 2);
    }
    sim.advance(SEC);
    let accepting = |sim: &Simulation| {
        (0..13)
            .filter(|e| sim.dispatcher.accepts_attempts(sim.env.now, EndpointId(*e)))
            .collect::<Vec<_>>()
    };
    assert_eq!(accepting(&sim), [1, 2, 3, 4, 5, 6, 7, 9, 10, 11]);
    sim.advance(3 * SEC);
    assert_eq!(accepting(&sim), (1..12).collect::<Vec<_>>());
}
