//! Tests of the program `bellsill-testbed`: validation, stored runs, reports and interruption.

mod common;

use bellsill_testbed::experiment::{self, ExperimentError};
use common::*;
use rustix::process::{Pid, Signal, kill_process};
use std::process::Stdio;
use std::time::{Duration, Instant};

const BASE_EXPERIMENT: &str = include_str!("../experiments/calm.toml");

/// The error message for an invalid experiment; empty for a valid one.
fn error_message(text: &str) -> String {
    experiment::parse(text, "x.toml")
        .err()
        .map_or(String::new(), |e: ExperimentError| e.to_string())
}

#[test]
fn invalid_experiment_is_rejected_with_field_line_and_expected_value() {
    let unknown = error_message(&BASE_EXPERIMENT.replace("rate = 120", "rate = 120\nrtae = 3"));
    assert!(
        unknown.contains("line 59") && unknown.contains("rtae") && unknown.contains("`rate`"),
        "{unknown}"
    );
    let typed = error_message(&BASE_EXPERIMENT.replace("rate = 120", "rate = 'many'"));
    assert!(
        typed.contains("line 58") && typed.contains("'many'") && typed.contains("f64"),
        "{typed}"
    );
    let (world, long) = BASE_EXPERIMENT.split_once("[long]").unwrap();
    let fault = "[[troubles]]\nwhat = 'silent'\nzone = 'hall-x'\nfrom_s = 4\nto_s = 3\n";
    let both = error_message(&format!(
        "{}{fault}[long]{long}",
        world.replace("rate = 120", "rate = -1")
    ));
    let lines: Vec<&str> = both.lines().collect();
    assert_eq!(
        lines.len(),
        3,
        "all invalid fields are reported together: {both}"
    );
    assert!(
        lines[0].contains("line 58, field load.rate: expected messages per second"),
        "{both}"
    );
    assert!(
        lines[1].contains("field troubles[0].to_s: expected seconds, after from_s"),
        "{both}"
    );
    assert!(
        lines[2].contains("field troubles[0].zone: expected one of hall-a, hall-b, hall-c"),
        "{both}"
    );
    let varied = error_message(&BASE_EXPERIMENT.replace(
        "[long]",
        "[vary]\nfield = 'load.retries'\nvalues = [1, -1]\n[long]",
    ));
    assert!(varied.contains("vary.values"), "{varied}");
    let target = error_message(&format!(
        "{world}[[troubles]]\nwhat = 'killed'\nzone = 'hall-a'\nfrom_s = 1\nto_s = 2\n"
    ));
    assert!(target.contains("dispatcher or share"), "{target}");
}

#[test]
fn invalid_experiment_starts_nothing() {
    let directory = TestDirectory::new("bad", &BASE_EXPERIMENT.replace("rate = 120", "rate = -1"));
    let output = directory.command(&["run"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("experiment.toml: line 58, field load.rate"),
        "{message}"
    );
    assert!(!directory.path.join("out").exists());
}

#[test]
fn runs_are_stored_resumed_compared_and_reported() {
    let directory = TestDirectory::new(
        "stored",
        &BASE_EXPERIMENT.replace(
            "[long]",
            "[vary]\nfield = 'load.rate'\nvalues = [60, 120]\n[long]",
        ),
    );
    let output = directory.command(&["compare"]).output().unwrap();
    let message = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{message}");
    assert!(
        message.contains("load.rate = 120, against load.rate = 60")
            && message.contains("over 3 seeds"),
        "{message}"
    );
    let lines = directory.lines();
    assert_eq!(lines.len(), 6);
    // Truncates the last stored run: only this one may be executed again.
    let text = std::fs::read_to_string(directory.runs()).unwrap();
    std::fs::write(directory.runs(), &text[..text.trim_end().len() - 100]).unwrap();
    let before: Vec<f64> = lines[..5].iter().map(|r| r.cost.wall_s).collect();
    assert!(directory.command(&["run"]).status().unwrap().success());
    let again = directory.lines();
    assert_eq!(again.len(), 6);
    assert_eq!(
        again[..5].iter().map(|r| r.cost.wall_s).collect::<Vec<_>>(),
        before,
        "complete runs were executed again"
    );
    assert_eq!(
        (&again[5].results, &again[5].verdict),
        (&lines[5].results, &lines[5].verdict)
    );
    let report =
        std::fs::read_to_string(directory.path.join("out/experiment/report.html")).unwrap();
    assert!(report.contains("Delivered importance") && report.matches("<svg").count() >= 7);
    assert!(
        !report.contains("src=") && !report.contains("href="),
        "the report refers to other files"
    );
}

#[test]
fn late_load_generator_makes_the_run_invalid() {
    let world = BASE_EXPERIMENT
        .replace("\"virtual\"", "\"sockets\"")
        .replace("seconds = 14", "seconds = 1\nlate_ms = 0.000001");
    let world = world
        .replace("seeds = [1, 2, 3]", "seeds = [1]")
        .replace("retries = 2", "retries = 0");
    let directory = TestDirectory::new("late", &world);
    let program = dispatcher();
    let output = directory
        .command(&["run", "--program", program.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let line = directory.lines().remove(0);
    assert!(
        !line.valid() && line.not_valid[0].contains("late"),
        "{:?}",
        line.not_valid
    );
    let report =
        std::fs::read_to_string(directory.path.join("out/experiment/report.html")).unwrap();
    assert!(
        report.contains("Not valid") && !report.contains("<svg"),
        "the report contains charts of an invalid run"
    );
}

#[test]
fn ctrl_c_ends_all_processes_and_keeps_measurements() {
    let directory = TestDirectory::new(
        "ctrl-c",
        &BASE_EXPERIMENT.replace("\"virtual\"", "\"sockets\""),
    );
    let program = dispatcher();
    let mut command = directory.command(&["run", "--program", program.to_str().unwrap()]);
    let mut child = command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // The working directory of the dispatchers of this test lies in the directory of the test.
    let name = directory
        .path
        .file_name()
        .unwrap()
        .to_str()
        .unwrap()
        .to_string();
    let dispatchers = || {
        let of = |entry: std::fs::DirEntry| {
            let pid: u32 = entry.file_name().to_str()?.parse().ok()?;
            let line = std::fs::read_to_string(format!("/proc/{pid}/cmdline")).ok()?;
            let cwd = std::fs::read_link(format!("/proc/{pid}/cwd")).ok()?;
            (line.contains("serve") && cwd.to_str()?.contains(&name)).then_some(pid)
        };
        std::fs::read_dir("/proc")
            .unwrap()
            .flatten()
            .filter_map(of)
            .count()
    };
    let from = Instant::now();
    // All three dispatchers have written journal entries of messages, so the run has begun.
    let has_begun = || {
        let work = directory.path.join("out/work");
        let Ok(entries) = std::fs::read_dir(work) else {
            return false;
        };
        entries
            .flatten()
            .filter(|f| {
                f.path()
                    .join("state/mails")
                    .metadata()
                    .is_ok_and(|m| m.len() > 2_000)
            })
            .count()
            == 3
    };
    while !has_begun() {
        assert!(
            from.elapsed() < Duration::from_secs(60),
            "the run did not begin within 60 s"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(dispatchers(), 3);
    kill_process(Pid::from_raw(child.id() as i32).unwrap(), Signal::INT).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(2));
    assert_eq!(dispatchers(), 0);
    let line = directory.lines().remove(0);
    assert!(
        line.interrupted && !line.valid() && line.results.arrivals > 0,
        "{:?}",
        line.not_valid
    );
}
