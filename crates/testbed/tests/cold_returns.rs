//! Endpoints in slow start must not receive more calls than their budget, regardless of the number of dispatchers, both where
//! dispatchers use all routes of a destination and where each uses a subset.

use bellsill_testbed::experiment;
use bellsill_testbed::virtual_time;
use bellsill_testbed::world::plan::Plan;
use bellsill_testbed::world::slow_start_budget;
use std::path::Path;

const MESSAGES_PER_DISPATCHER: f64 = 5.0;

/// Runs an outage of a zone that recovers cold, and checks the verdict.
fn check_zone_outage(dispatchers: usize, endpoints_each: usize, seeds: &[u64]) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let calm = std::fs::read_to_string(folder.join("calm.toml")).unwrap();
    // The faults have to precede the table of the long form.
    let (base, _) = calm.split_once("[long]").unwrap();
    let fault = "[[troubles]]\nwhat = \"down\"\nzone = \"hall-b\"\nfrom_s = 4\nto_s = 9\n";
    let read = experiment::parse(&format!("{base}\n{fault}"), "cold-returns").unwrap();
    let mut spec = read.variants.into_iter().next().unwrap().spec;
    spec.run.seconds = 24.0;
    spec.world.destinations = 10;
    spec.world.endpoints_each = endpoints_each;
    spec.load.rate = MESSAGES_PER_DISPATCHER * dispatchers.max(10) as f64;
    spec.dispatchers.count = dispatchers;
    for &seed in seeds {
        let outcome = virtual_time::run(Plan::new(&spec, seed), &mut |_| {});
        println!(
            "{dispatchers} dispatchers, {endpoints_each} endpoints each, seed {seed}: share {:.3}",
            outcome.results.share
        );
        assert!(
            outcome.verdict.passed(),
            "{dispatchers} dispatchers, seed {seed}: {:?}",
            outcome.verdict.samples
        );
    }
}

#[test]
fn slow_start_budget_matches_the_documented_formula() {
    assert_eq!(slow_start_budget(100.0), 100.0 + 20.0 + 2.0);
    assert_eq!(
        slow_start_budget(30.0).floor(),
        (30.0 + 2.0 * 30f64.sqrt() + 2.0).floor()
    );
    assert_eq!(slow_start_budget(25.0), 25.0 + 15.0 + 3.0);
}

#[test]
fn a_cold_zone_is_not_overloaded_by_3_to_300_dispatchers() {
    check_zone_outage(3, 3, &[1, 2, 3]);
    check_zone_outage(30, 3, &[1, 2, 3]);
    check_zone_outage(300, 3, &[1, 2]);
}

#[test]
fn a_cold_zone_is_not_overloaded_when_dispatchers_use_subsets() {
    check_zone_outage(30, 48, &[1, 2]);
    check_zone_outage(300, 48, &[1]);
    check_zone_outage(900, 48, &[1]);
}
