//! The scale test: its fits, its parts at tiny sizes, and what is worked out from given slopes.

mod common;

use bellsill_lab::capacity::bench::Sizes;
use bellsill_lab::capacity::fit::{Fit, Point};
use bellsill_lab::capacity::report::{Capacity, Finding, SeriesId, figure};
use bellsill_lab::capacity::wasted::{self, Traffic};
use bellsill_lab::capacity::{self, Options};
use common::dispatcher;
use serde_json::Value;

fn points(of: &[(f64, f64)]) -> Vec<Point> {
    of.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
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
    assert!(near(fit.slope_error, 4.302_65 * (0.018_f64 / 2.0 / 5.0).sqrt()), "{fit:?}");
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
    let said: Vec<String> = [1_453_210.0, 1_983.4, 31.46, 0.010_72, -0.5, 0.0].map(figure).to_vec();
    assert_eq!(said, ["1,450,000", "1,980", "31.5", "0.0107", "-0.500", "0"]);
}

/// Equal in all but the last digit of numbers, which the reader of JSON does not keep.
fn same(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(one, other)| same(one, other))
        }
        (Value::Object(one), Value::Object(other)) => {
            one.len() == other.len()
                && one.iter().all(|(name, value)| other.get(name).is_some_and(|o| same(value, o)))
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
    let options = Options { program: dispatcher(), work: work.clone(), sizes: Sizes::tiny() };
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
        assert!([fit.intercept, fit.slope, fit.slope_error].iter().all(|f| f.is_finite()), "{series:?}");
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

    let before = serde_json::to_value(&capacity).unwrap();
    let again: Capacity = serde_json::from_str(&before.to_string()).unwrap();
    let after = serde_json::to_value(&again).unwrap();
    assert!(same(&before, &after), "{before}\n{after}");
}

#[test]
fn first_attempts_wasted_are_those_at_destinations_that_are_down() {
    let traffic = Traffic { destinations: 20, down: 2, messages_per_second: 40.0, seconds: 60, seed: 7 };
    let one = wasted::play(traffic, 1).unwrap();
    let many = wasted::play(traffic, 300).unwrap();
    assert_eq!(wasted::play(traffic, 300).unwrap(), many, "equal seeds give equal runs");
    assert!(many.at_down <= many.messages_to_down);
    assert!(one.share_of_down() < many.share_of_down(), "{one:?}, {many:?}");
    let nobody_down = wasted::play(Traffic { down: 0, ..traffic }, 3).unwrap();
    assert_eq!(nobody_down.at_down, 0);
}
