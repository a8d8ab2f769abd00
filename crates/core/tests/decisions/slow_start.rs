//! Rule 4: after an outage, a route in slow start is sent no more than it bears.

use crate::simulation::{Behavior, MS, Simulation, settings};
use bellsill_core::interface::{Nanos, Settings};

/// After an outage that this dispatcher observed, no window has more attempts than the warming
/// route bears.
fn assert_returns_without_overload(outage: Behavior) {
    let mut sim = Simulation::new(Settings {
        max_in_flight: 40,
        queue_capacity: 400,
        ..settings()
    });
    let submit_ten_a_second = |sim: &mut Simulation, count: u32| {
        for _ in 0..count {
            sim.submit(0, 2);
            sim.advance(100 * MS);
        }
    };
    submit_ten_a_second(&mut sim, 200);
    sim.env.behaviors.fill(outage);
    submit_ten_a_second(&mut sim, 80);
    sim.env.behaviors.fill(Behavior::AnswersAfter(100 * MS));
    let returned_at = sim.env.now;
    submit_ten_a_second(&mut sim, 120);
    let settings = settings();
    for endpoint in 8..12 {
        let times: Vec<Nanos> = sim
            .env
            .sent
            .iter()
            .filter(|s| s.endpoint == endpoint && s.at >= returned_at)
            .map(|s| s.at)
            .collect();
        assert!(
            times.len() > 5,
            "endpoint {endpoint} got only {} messages after its return",
            times.len()
        );
        for (i, &end) in times
            .iter()
            .enumerate()
            .filter(|(_, end)| **end < returned_at + settings.slow_start)
        {
            let available = settings.cold_capacity_share
                + (1.0 - settings.cold_capacity_share)
                    * ((end - returned_at) as f64 / settings.slow_start as f64);
            // The endpoint took 2.5 a second and could take 3; two more in a window are an
            // allowance for chance.
            let bears = 3.0
                * settings.overload_multiple
                * available
                * (settings.overload_window as f64 / 1e9)
                + 2.0;
            let window = times[..=i]
                .iter()
                .filter(|&&t| t + settings.overload_window > end)
                .count();
            assert!(
                window as f64 <= bears,
                "endpoint {endpoint}: {window} sent in a window, it bears {bears:.1}"
            );
        }
    }
}

#[test]
fn a_silent_route_returns_without_overload() {
    assert_returns_without_overload(Behavior::Hangs);
}

#[test]
fn a_failing_route_returns_without_overload() {
    assert_returns_without_overload(Behavior::ReturnsErrors);
}

#[test]
fn a_rate_limiting_route_returns_without_overload() {
    assert_returns_without_overload(Behavior::RateLimits(None));
}
