//! The growth limits of the acceptance test, as far as virtual time can check them: what a dispatcher needs with sixteen times
//! the endpoints, compared with the same load at the usual size.

use bellsill_testbed::experiment;
use bellsill_testbed::measure::Results;
use bellsill_testbed::spec::Spec;
use bellsill_testbed::virtual_time;
use bellsill_testbed::world::plan::Plan;
use std::path::Path;

/// Limits of the acceptance test: connections opened to endpoints, and the share delivered.
const CONNECTIONS_FACTOR: f64 = 2.5;
const EXTRA_CONNECTIONS: f64 = 40.0;
const MIN_RELATIVE_SHARE: f64 = 0.85;
/// Not a limit of the acceptance test: endpoints have to share the load evenly. Arrivals are random, so the busiest of 480
/// endpoints exceeds the mean by three to four standard deviations: by a third with 126 calls each, by a half with 42. A route
/// may also have one dispatcher more than the mean of four, which adds a fifth.
const MAX_OVER_MEAN: f64 = 1.5;
const MAX_OVER_MEAN_SMALL_FLEET: f64 = 1.7;

fn base_spec() -> Spec {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/growth.toml");
    experiment::read(&path, false)
        .unwrap()
        .variants
        .remove(0)
        .spec
}

fn run(spec: &Spec, seed: u64) -> Results {
    let outcome = virtual_time::run(Plan::new(spec, seed), &mut |_| {});
    assert!(outcome.verdict.passed(), "{:?}", outcome.verdict.samples);
    outcome.results
}

/// Runs both sizes with a number of dispatchers and checks the larger one against the limits.
fn compare(dispatchers: usize, rate: f64, max_over_mean: f64, grow: impl Fn(&mut Spec)) {
    let mut small = base_spec();
    small.dispatchers.count = dispatchers;
    small.load.rate = rate;
    let mut large = small.clone();
    grow(&mut large);
    for seed in [1, 2] {
        let (before, after) = (run(&small, seed), run(&large, seed));
        let each = |results: &Results| results.opened as f64 / dispatchers as f64;
        let limit = CONNECTIONS_FACTOR * each(&before) + EXTRA_CONNECTIONS;
        println!(
            "{dispatchers} dispatchers, seed {seed}: connections {:.1} to {:.1} of {limit:.1}, share {:.3} to {:.3}, \
             refused {} to {}, largest over mean {:.2} to {:.2}",
            each(&before),
            each(&after),
            before.share,
            after.share,
            before.refused,
            after.refused,
            before.largest_over_mean,
            after.largest_over_mean
        );
        assert!(
            each(&after) <= limit,
            "{:.1} connections per dispatcher, {limit:.1} allowed",
            each(&after)
        );
        assert!(
            after.share >= MIN_RELATIVE_SHARE * before.share,
            "delivered share {}, {} at the base size",
            after.share,
            before.share
        );
        assert!(
            after.largest_over_mean <= max_over_mean,
            "largest over mean: {:.2}",
            after.largest_over_mean
        );
    }
}

#[test]
fn sixteen_times_the_endpoints_per_destination_stay_within_limits() {
    compare(300, 1_500.0, MAX_OVER_MEAN, |spec| {
        spec.world.endpoints_each *= 16
    });
}

#[test]
fn sixteen_times_the_destinations_stay_within_limits() {
    compare(300, 1_500.0, MAX_OVER_MEAN, |spec| {
        spec.world.destinations *= 16
    });
}

#[test]
fn a_fleet_of_fifty_stays_within_limits() {
    compare(50, 500.0, MAX_OVER_MEAN_SMALL_FLEET, |spec| {
        spec.world.endpoints_each *= 16
    });
}

/// A small fleet has to use all routes: with small subsets, most routes would stay idle.
#[test]
fn a_fleet_of_three_uses_all_routes_evenly() {
    let mut spec = base_spec();
    spec.dispatchers.count = 3;
    spec.load.rate = 60.0;
    spec.world.endpoints_each *= 16;
    let results = run(&spec, 1);
    println!(
        "3 dispatchers: share {:.3}, largest over mean {:.2}",
        results.share, results.largest_over_mean
    );
    // With five calls each, random variation alone makes one of 480 endpoints two to three times as busy as the mean.
    assert!(
        results.largest_over_mean < 3.5,
        "{:.2}",
        results.largest_over_mean
    );
}
