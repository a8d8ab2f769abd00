//! The standing test's table on growth, as far as virtual time can tell it: what a dispatcher needs at sixteen times the
//! endpoints, over the same day at the usual size.

use bellsill_testbed::experiment;
use bellsill_testbed::measure::Results;
use bellsill_testbed::spec::Spec;
use bellsill_testbed::virtual_time;
use bellsill_testbed::world::plan::Plan;
use std::path::Path;

/// Of the table: connections made to endpoints, and the share served.
const CONNECTIONS_TIMES: f64 = 2.5;
const CONNECTIONS_MORE: f64 = 40.0;
const SHARE_KEPT: f64 = 0.85;
/// No bound of the table: endpoints have to share the load evenly. Messages come by chance, so the busiest of 480 endpoints
/// is over the mean by three to four deviations: with 126 calls each by a third, with 42 by a half; and a route may have one
/// dispatcher more than the mean of four, a fifth more.
const LARGEST_OVER_MEAN: f64 = 1.5;
const LARGEST_OVER_MEAN_OF_FEW: f64 = 1.7;

fn usual() -> Spec {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/growth.toml");
    experiment::read(&path, false)
        .unwrap()
        .variants
        .remove(0)
        .spec
}

fn play(spec: &Spec, seed: u64) -> Results {
    let played = virtual_time::run(Plan::new(spec, seed), &mut |_| {});
    assert!(played.verdict.passed(), "{:?}", played.verdict.samples);
    played.results
}

/// Plays both sizes with a number of dispatchers, and holds the larger to the table.
fn compare(dispatchers: usize, rate: f64, most_uneven: f64, grow: impl Fn(&mut Spec)) {
    let mut small = usual();
    small.dispatchers.count = dispatchers;
    small.load.rate = rate;
    let mut large = small.clone();
    grow(&mut large);
    for seed in [1, 2] {
        let (before, after) = (play(&small, seed), play(&large, seed));
        let each = |results: &Results| results.opened as f64 / dispatchers as f64;
        let most = CONNECTIONS_TIMES * each(&before) + CONNECTIONS_MORE;
        println!(
            "{dispatchers} dispatchers, seed {seed}: connections {:.1} to {:.1} of {most:.1}, share {:.3} to {:.3}, \
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
            each(&after) <= most,
            "{:.1} connections a dispatcher, {most:.1} allowed",
            each(&after)
        );
        assert!(
            after.share >= SHARE_KEPT * before.share,
            "share {} of {}",
            after.share,
            before.share
        );
        assert!(
            after.largest_over_mean <= most_uneven,
            "uneven: {:.2}",
            after.largest_over_mean
        );
    }
}

#[test]
fn sixteen_times_the_endpoints_of_each_destination_keep_the_table() {
    compare(300, 1_500.0, LARGEST_OVER_MEAN, |spec| {
        spec.world.endpoints_each *= 16
    });
}

#[test]
fn sixteen_times_the_destinations_keep_the_table() {
    compare(300, 1_500.0, LARGEST_OVER_MEAN, |spec| {
        spec.world.destinations *= 16
    });
}

#[test]
fn a_fleet_of_fifty_keeps_the_table_too() {
    compare(50, 500.0, LARGEST_OVER_MEAN_OF_FEW, |spec| {
        spec.world.endpoints_each *= 16
    });
}

/// A small fleet uses all routes: with a few in each subset most of them would stand idle.
#[test]
fn a_fleet_of_three_uses_all_routes_evenly() {
    let mut spec = usual();
    spec.dispatchers.count = 3;
    spec.load.rate = 60.0;
    spec.world.endpoints_each *= 16;
    let results = play(&spec, 1);
    println!(
        "3 dispatchers: share {:.3}, largest over mean {:.2}",
        results.share, results.largest_over_mean
    );
    // Five calls each: chance alone makes one of 480 two or three times as busy.
    assert!(
        results.largest_over_mean < 3.5,
        "{:.2}",
        results.largest_over_mean
    );
}
