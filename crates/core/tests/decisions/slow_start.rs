//! Rule 4: after an outage, a route in slow start is not overloaded.

use crate::simulation::{Behavior, MS, Simulation, settings};
use bellsill_core::interface::{Nanos, Settings};

/// Checks that after an outage that the dispatcher observed, the attempts in every overload window
/// stay within the capacity of the warming route.
fn assert_recovers_without_overload(outage: Behavior) {
    let mut sim = Simulation::new(Settings {
        max_in_flight: 40,
        queue_capacity: 400,
        ..settings()
    });
    let submit_ten_per_second = |sim: &mut Simulation, count: u32| {
        for _ in 0..count {
            sim.submit(0, 2);
            sim.advance(100 * MS);
        }
    };
    submit_ten_per_second(&mut sim, 200);
    sim.env.behaviors.fill(outage);
    submit_ten_per_second(&mut sim, 80);
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    let recovered_at = sim.env.now;
    submit_ten_per_second(&mut sim, 120);
    let settings = settings();
    for endpoint in 8..12 {
        let times: Vec<Nanos> = sim
            .env
            .sent
            .iter()
            .filter(|s| s.endpoint == endpoint && s.at >= recovered_at)
            .map(|s| s.at)
            .collect();
        assert!(
            times.len() > 5,
            "endpoint {endpoint} got only {} messages after its recovery",
            times.len()
        );
        for (i, &end) in times
            .iter()
            .enumerate()
            .filter(|(_, end)| **end < recovered_at + settings.slow_start)
        {
            let available = settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share)
                    * ((end - recovered_at) as f64 / settings.slow_start as f64);
            // The endpoint received 2.5 messages per second and can handle 3. Two more per window
            // are a tolerance for random variation.
            let max_attempts = 3.0
                * settings.overload_multiple
                * available
                * (settings.overload_window as f64 / 1e9)
                + 2.0;
            let window = times[..=i]
                .iter()
                .filter(|&&t| t + settings.overload_window > end)
                .count();
            assert!(
                window as f64 <= max_attempts,
                "endpoint {endpoint}: {window} attempts in a window that allows {max_attempts:.1}"
            );
        }
    }
}

#[test]
fn a_silent_route_recovers_without_overload() {
    assert_recovers_without_overload(Behavior::Hangs);
}

#[test]
fn a_failing_route_recovers_without_overload() {
    assert_recovers_without_overload(Behavior::ReturnsErrors);
}

#[test]
fn a_rate_limiting_route_recovers_without_overload() {
    assert_recovers_without_overload(Behavior::RateLimits(None));
}
