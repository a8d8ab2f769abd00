//! The budget of an endpoint in slow start binds however few or many dispatchers there are, at the usual size and where
//! destinations are divided among them.

use bellsill_testbed::experiment;
use bellsill_testbed::virtual_time;
use bellsill_testbed::world::plan::Plan;
use bellsill_testbed::world::slow_start_budget;
use std::path::Path;

const MESSAGES_OF_A_DISPATCHER: f64 = 5.0;

/// A zone is down for some seconds and comes back cold.
fn play(dispatchers: usize, endpoints_each: usize, seeds: &[u64]) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let calm = std::fs::read_to_string(folder.join("calm.toml")).unwrap();
    // Faults stand before the longer form's table.
    let (world, _) = calm.split_once("[long]").unwrap();
    let fault = "[[troubles]]\nwhat = \"down\"\nzone = \"hall-b\"\nfrom_s = 4\nto_s = 9\n";
    let read = experiment::parse(&format!("{world}\n{fault}"), "cold-returns").unwrap();
    let mut spec = read.variants.into_iter().next().unwrap().spec;
    spec.run.seconds = 24.0;
    spec.world.destinations = 10;
    spec.world.endpoints_each = endpoints_each;
    spec.load.rate = MESSAGES_OF_A_DISPATCHER * dispatchers.max(10) as f64;
    spec.dispatchers.count = dispatchers;
    for &seed in seeds {
        let played = virtual_time::run(Plan::new(&spec, seed), &mut |_| {});
        println!(
            "{dispatchers} dispatchers, {endpoints_each} endpoints each, seed {seed}: share {:.3}",
            played.results.share
        );
        assert!(
            played.verdict.passed(),
            "{dispatchers} dispatchers, seed {seed}: {:?}",
            played.verdict.samples
        );
    }
}

#[test]
fn the_budget_is_the_page_s() {
    assert_eq!(slow_start_budget(100.0), 100.0 + 20.0 + 2.0);
    assert_eq!(
        slow_start_budget(30.0).floor(),
        (30.0 + 2.0 * 30f64.sqrt() + 2.0).floor()
    );
    assert_eq!(slow_start_budget(25.0), 25.0 + 15.0 + 3.0);
}

#[test]
fn a_zone_that_comes_back_cold_is_not_pushed_over_by_three_or_by_three_hundred() {
    play(3, 3, &[1, 2, 3]);
    play(30, 3, &[1, 2, 3]);
    play(300, 3, &[1, 2]);
}

#[test]
fn nor_where_destinations_are_divided() {
    play(30, 48, &[1, 2]);
    play(300, 48, &[1]);
    play(900, 48, &[1]);
}
