//! The scale test: its fits, its parts at tiny sizes, and what is worked out from given slopes.

mod common;

use bellsill_testbed::capacity::bench::Sizes;
use bellsill_testbed::capacity::fit::{Fit, Point};
use bellsill_testbed::capacity::model::failures::{Failure, consequence};
use bellsill_testbed::capacity::model::ranking::{Ranking, rank};
use bellsill_testbed::capacity::model::rows::{self, RowId};
use bellsill_testbed::capacity::model::{Design, Inputs, Slopes};
use bellsill_testbed::capacity::page;
use bellsill_testbed::capacity::report::{Capacity, Finding, SeriesId, figure};
use bellsill_testbed::capacity::traffic::Traffic;
use bellsill_testbed::capacity::wasted;
use bellsill_testbed::capacity::{self, Options};
use common::dispatcher;
use serde_json::Value;
use std::path::Path;

fn points(of: &[(f64, f64)]) -> Vec<Point> {
    of.iter()
        .map(|(size, value)| Point {
            size: *size,
            value: *value,
        })
        .collect()
}

fn near(is: f64, expected: f64) -> bool {
    (is - expected).abs() <= 1e-4 * expected.abs().max(1e-4)
}

#[test]
fn a_fit_tells_slope_intercept_and_the_error_of_the_slope() {
    // By hand: squares of sizes 5, of both 9.9, left over 0.018; Student's factor of two degrees of freedom is 4.30265.
    let fit = Fit::through(&points(&[(1.0, 2.0), (2.0, 4.1), (3.0, 5.9), (4.0, 8.0)])).unwrap();
    assert!(near(fit.slope, 1.98), "{fit:?}");
    assert!(near(fit.intercept, 0.05), "{fit:?}");
    assert!(
        near(fit.slope_error, 4.302_65 * (0.018_f64 / 2.0 / 5.0).sqrt()),
        "{fit:?}"
    );
    assert!(near(fit.at(100.0), 198.05), "{fit:?}");
}

#[test]
fn points_that_tell_no_error_are_refused() {
    let two = Fit::through(&points(&[(1.0, 1.0), (2.0, 2.0)])).unwrap_err();
    assert_eq!(two.points, 2);
    let one_size = Fit::through(&points(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]));
    assert!(one_size.is_err());
}

#[test]
fn figures_have_three_digits() {
    let said: Vec<String> = [1_453_210.0, 1_983.4, 31.46, 0.010_72, -0.5, 0.0]
        .map(figure)
        .to_vec();
    assert_eq!(
        said,
        ["1,450,000", "1,980", "31.5", "0.0107", "-0.500", "0"]
    );
}

/// Equal in all but the last digit of numbers, which the reader of JSON does not keep.
fn same(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(one, other)| same(one, other))
        }
        (Value::Object(one), Value::Object(other)) => {
            one.len() == other.len()
                && one
                    .iter()
                    .all(|(name, value)| other.get(name).is_some_and(|o| same(value, o)))
        }
        (Value::Number(one), Value::Number(other)) => {
            let (one, other) = (one.as_f64().unwrap(), other.as_f64().unwrap());
            (one - other).abs() <= 1e-14 * one.abs()
        }
        _ => one == other,
    }
}

fn tiny() -> Capacity {
    let work = std::env::temp_dir().join(format!("bellsill-capacity-{}", std::process::id()));
    let options = Options {
        program: dispatcher(),
        work: work.clone(),
        sizes: Sizes::tiny(),
    };
    let capacity = capacity::run(&options, &mut |_| {}).unwrap();
    let left = std::fs::read_dir(&work).unwrap().count();
    assert_eq!(left, 0, "what the run wrote is gone");
    let _ = std::fs::remove_dir(&work);
    capacity
}

#[test]
fn every_part_runs_at_tiny_sizes_and_its_json_is_read_back_the_same() {
    let capacity = tiny();
    assert_eq!(capacity.series.len(), 18);
    for series in &capacity.series {
        assert!(series.points.len() >= 4, "{series:?}");
        let fit = series.fit;
        assert!(
            [fit.intercept, fit.slope, fit.slope_error]
                .iter()
                .all(|f| f.is_finite()),
            "{series:?}"
        );
    }
    // Bytes are exact, whatever the machine does: an entry of the list, a message in the journal.
    let change = capacity.largest(SeriesId::ChangeBytesByKnown).unwrap();
    assert!((120.0..200.0).contains(&change.value), "{change:?}");
    let journal = capacity.fit(SeriesId::JournalByHeld).unwrap();
    assert!((550.0..700.0).contains(&journal.slope), "{journal:?}");
    let loaded = capacity.findings.iter().any(
        |finding| matches!(finding, Finding::WholeLine { sent, known_after, .. } if u64::from(*sent) == *known_after),
    );
    assert!(loaded, "{:?}", capacity.findings);

    let page = page::page(&capacity).unwrap();
    assert!(
        page.contains("## Ranking") && page.contains("### A control machine"),
        "{page}"
    );
    assert!(
        page::page(&Capacity::default()).is_err(),
        "a run without its series"
    );

    let before = serde_json::to_value(&capacity).unwrap();
    let again: Capacity = serde_json::from_str(&before.to_string()).unwrap();
    let after = serde_json::to_value(&again).unwrap();
    assert!(same(&before, &after), "{before}\n{after}");
}

#[test]
fn first_attempts_wasted_are_those_at_destinations_that_are_down() {
    let traffic = Traffic {
        destinations: 20,
        down: 2,
        messages_per_second: 40.0,
        seconds: 60,
        seed: 7,
    };
    let one = wasted::play(traffic, 1).unwrap();
    let many = wasted::play(traffic, 300).unwrap();
    assert_eq!(
        wasted::play(traffic, 300).unwrap(),
        many,
        "equal seeds give equal runs"
    );
    assert!(many.at_down <= many.messages_to_down);
    assert!(
        one.share_of_down() < many.share_of_down(),
        "{one:?}, {many:?}"
    );
    let nobody_down = wasted::play(Traffic { down: 0, ..traffic }, 3).unwrap();
    assert_eq!(nobody_down.at_down, 0);
}

fn through_nought(slope: f64) -> Fit {
    Fit {
        intercept: 0.0,
        slope,
        slope_error: 0.0,
    }
}

/// Slopes in round figures: bytes and microseconds.
fn given() -> Slopes {
    Slopes {
        memory_by_known: through_nought(2_000.0),
        start_by_known: through_nought(5.0),
        message_by_known: Fit {
            intercept: 100.0,
            ..through_nought(0.003)
        },
        message_by_held: through_nought(0.02),
        message_by_down: through_nought(1.0),
        whole_bytes: through_nought(100.0),
        whole_time: through_nought(3.0),
        change_bytes: Fit {
            intercept: 150.0,
            ..through_nought(0.0)
        },
        change_time: through_nought(0.01),
        memory_by_held: through_nought(1_000.0),
        journal_by_held: through_nought(570.0),
        restart_by_held: through_nought(3.0),
        wasted: Fit {
            intercept: 0.02,
            ..through_nought(0.01)
        },
    }
}

fn need(id: RowId, design: Design) -> f64 {
    let inputs = Inputs::design(given(), design);
    let row = rows::all().into_iter().find(|row| row.id == id).unwrap();
    (row.value)(&inputs)
}

#[test]
fn needs_at_the_full_size_follow_from_given_slopes() {
    let assigned = 2.0 * 730_000.0 / 1_900.0;
    let memory = [Design::Unscoped, Design::Scoped, Design::Routed]
        .map(|design| need(RowId::ConfigurationMemory, design));
    assert!(near(memory[0], 1.46e9), "{memory:?}");
    assert!(
        near(memory[1], 2_000.0 * (assigned + 4_096.0)),
        "{memory:?}"
    );
    assert!(near(memory[2], 2_000.0 * assigned), "{memory:?}");

    let each = 1_400_000.0 / 1_900.0;
    assert!(near(
        need(RowId::MessageItself, Design::Unscoped),
        each * 100e-6
    ));
    assert!(near(
        need(RowId::DestinationSearch, Design::Unscoped),
        each * 0.003e-6 * 730_000.0
    ));
    assert!(near(
        need(RowId::HeldPass, Design::Unscoped),
        each * 0.02e-6 * 2.1e9 / 1_900.0
    ));
    assert!(near(
        need(RowId::DownLines, Design::Unscoped),
        each * 1e-6 * 0.049 * 730_000.0
    ));
    assert!(near(
        need(RowId::DownLines, Design::Routed),
        each * 1e-6 * 0.049 * assigned
    ));
    assert!(near(
        need(RowId::ChangeWire, Design::Unscoped),
        3_300.0 / 86_400.0 * 150.0
    ));
    assert!(near(need(RowId::WholeTime, Design::Unscoped), 2.19));
    assert!(near(need(RowId::LongestLine, Design::Unscoped), 73e6));
    assert_eq!(need(RowId::LongestLine, Design::Scoped), 65_536.0);

    let missed = 1.0 - (assigned + 4_096.0) / 730_000.0;
    assert!(near(
        need(RowId::LookUpWire, Design::Scoped),
        each * missed * 400.0
    ));
    assert_eq!(need(RowId::LookUpWire, Design::Unscoped), 0.0);
    assert_eq!(need(RowId::LookUpWire, Design::Routed), 0.0);
    assert!(near(
        need(RowId::ControlLookUpWire, Design::Scoped),
        1_400_000.0 / 9.0 * missed * 400.0
    ));
}

#[test]
fn the_ranking_goes_by_the_part_at_which_a_budget_is_reached() {
    let Ranking { all, first } = rank(given(), Design::Unscoped);
    let ids: Vec<RowId> = all.iter().map(|ranked| ranked.row.id).collect();
    let expected = [
        RowId::ConfigurationMemory,
        RowId::LongestLine,
        RowId::DownLines,
        RowId::HeldPass,
        RowId::DestinationSearch,
    ];
    assert_eq!(ids, expected);
    assert_eq!(first, Some(0));
    assert!(near(all[0].part, 64e6 / 1.46e9), "{}", all[0].part);
    // Messages and what each costs both grow: the root of the part counts.
    let cores = need(RowId::DownLines, Design::Unscoped);
    assert!(near(all[2].part, (0.964 / cores).sqrt()), "{}", all[2].part);
}

#[test]
fn of_needs_close_together_the_one_that_carries_the_others_comes_first() {
    let slopes = Slopes {
        memory_by_known: through_nought(900.0),
        whole_bytes: through_nought(150.0),
        ..given()
    };
    let Ranking { all, first } = rank(slopes, Design::Unscoped);
    assert_eq!(all[0].row.id, RowId::LongestLine);
    assert!(all[1].part < 2.0 * all[0].part);
    assert_eq!(
        first.map(|place| all[place].row.id),
        Some(RowId::ConfigurationMemory)
    );
    let alone = Slopes {
        memory_by_known: through_nought(100.0),
        ..slopes
    };
    let Ranking { all, first } = rank(alone, Design::Unscoped);
    assert_eq!(
        first.map(|place| all[place].row.id),
        Some(RowId::LongestLine),
        "memory is not close"
    );
}

#[test]
fn with_scoped_configuration_asking_comes_first_and_with_routing_it_is_gone() {
    let scoped = rank(given(), Design::Scoped);
    assert_eq!(
        scoped.first.map(|place| scoped.all[place].row.id),
        Some(RowId::LookUpWire)
    );
    let routed = rank(given(), Design::Routed);
    assert!(
        routed
            .all
            .iter()
            .all(|ranked| ranked.row.id != RowId::LookUpWire)
    );
    assert_eq!(
        routed.first.map(|place| routed.all[place].row.id),
        Some(RowId::HeldPass)
    );
}

#[test]
fn failures_follow_from_given_slopes() {
    let machine = consequence(given(), Design::Unscoped, Failure::Machine);
    assert!(
        near(machine.bytes_told, 73e6) && near(machine.seconds_each, 73e6 / 17e3),
        "{machine:?}"
    );
    assert!(near(machine.held_away, 2.1e9 / 1_900.0), "{machine:?}");
    let tenth = consequence(given(), Design::Scoped, Failure::TenthAtOnce);
    assert!(
        near(tenth.dispatchers, 190.0) && near(tenth.more_load, 1.0 / 9.0),
        "{tenth:?}"
    );
    assert!(
        near(tenth.bytes_told, 190.0 * 100.0 * 2.0 * 730_000.0 / 1_900.0),
        "{tenth:?}"
    );
    assert!(
        near(tenth.seconds_all, tenth.bytes_told / (1_900.0 * 17e3)),
        "{tenth:?}"
    );
    let cut = consequence(given(), Design::Unscoped, Failure::RegionCutOff);
    assert!(
        near(cut.bytes_told, 1_900.0 / 7.0 * 137.5 * 150.0),
        "{cut:?}"
    );
    assert_eq!((cut.messages_moved, cut.held_away), (0.0, 0.0));
}

#[test]
fn the_page_is_what_the_saved_run_says() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let saved = capacity::read(&docs.join("lab/capacity.json")).unwrap();
    let made = page::page(&saved).unwrap();
    let stands = std::fs::read_to_string(docs.join("CAPACITY.md")).unwrap();
    let before_runs = |text: &str| text.split(page::SCOPED_RUNS).next().map(str::to_string);
    assert_eq!(
        before_runs(&stands),
        before_runs(&made),
        "write it anew with capacity --from --page"
    );
}
