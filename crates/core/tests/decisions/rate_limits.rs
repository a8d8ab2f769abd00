//! Rate limits: suspension by Retry-After, backoff and pacing.

use crate::simulation::{Behavior, MS, SEC, Simulation, settings};
use bellsill_core::interface::{EndpointUpdate, Nanos, Settings};

#[test]
fn a_retry_after_suspends_all_endpoints_that_share_a_limiter() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RateLimits(Some(2 * SEC)));
    sim.submit(0, 0);
    sim.advance(SEC);
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.advance(10 * SEC);
    assert_eq!(sim.env.sent.len(), 2);
    assert_eq!(
        sim.env.sent[1].at,
        sim.env.sent[0].at + 20 * MS + 2 * SEC,
        "sent at the end of the Retry-After"
    );
}

#[test]
fn the_backoff_doubles_and_is_reset_by_a_delivery() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RateLimits(None));
    sim.submit(0, 0);
    sim.advance(1_500 * MS);
    let waits = |sim: &Simulation| {
        sim.env
            .sent
            .windows(2)
            .map(|p| p[1].at - p[0].at)
            .collect::<Vec<_>>()
    };
    let grown = waits(&sim);
    assert!(grown.len() >= 2 && grown[1] > grown[0] * 3 / 2, "{grown:?}");
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.advance(5 * SEC);
    assert_eq!(sim.env.delivered.len(), 1);
    let before = sim.env.sent.len();
    sim.env.behaviors.fill(Behavior::RateLimits(None));
    sim.submit(0, 0);
    sim.advance(SEC);
    let again = waits(&sim)[before];
    assert!(
        again < grown[1],
        "backoff of {again} ns after a delivery, {grown:?} before"
    );
}

#[test]
fn rate_limiting_widens_the_pacing_and_deliveries_narrow_it() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors[..4].fill(Behavior::RateLimits(Some(100 * MS)));
    sim.submit(0, 0);
    sim.advance(300 * MS);
    sim.env.behaviors.fill(Behavior::AnswersAfter(MS));
    let from = sim.env.sent.len();
    for _ in 0..50 {
        sim.submit(0, 0);
    }
    sim.advance(10 * SEC);
    let gaps: Vec<Nanos> = sim.env.sent[from..]
        .windows(2)
        .map(|p| p[1].at - p[0].at)
        .collect();
    assert!(gaps[1] > 10 * MS && gaps[48] < 2 * MS, "{gaps:?}");
}

/// Regression (random runs): an endpoint that was listed while a Retry-After suspended the others
/// of its limiter got attempts immediately.
#[test]
fn a_retry_after_applies_to_an_endpoint_listed_later() {
    let mut sim = Simulation::new(settings());
    sim.env.behaviors.fill(Behavior::RateLimits(Some(2 * SEC)));
    sim.submit(0, 0);
    sim.advance(100 * MS);
    sim.add_endpoint_like(0);
    sim.publish_endpoints(EndpointUpdate::Delta);
    sim.advance(SEC);
    assert_eq!(sim.env.sent.len(), 1);
}

/// Regression (nairobi-depot-later rules-1, i26e69d): a route that hung with a full queue
/// rate-limited only a few attempts of each of hundreds of dispatchers. They retried within a
/// second and overloaded the route while it recovered.
#[test]
fn in_a_large_fleet_a_few_rate_limited_attempts_eject_a_route() {
    let mut sim = Simulation::new(Settings {
        dispatchers: 300,
        ..settings()
    });
    sim.env.behaviors.fill(Behavior::RateLimits(None));
    sim.submit_with(0, 0, None, 200 * SEC);
    sim.advance(1_400 * MS);
    assert_eq!(sim.env.sent.len(), 1, "retried too soon");
    while sim.env.sent.len() < 2 {
        sim.advance(100 * MS);
    }
    sim.advance(100 * MS);
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    sim.advance(100 * SEC);
    assert!(
        sim.has_logged("begins a slow start"),
        "no slow start: {:?}, {} attempts",
        sim.env.log_lines,
        sim.env.sent.len()
    );
}
