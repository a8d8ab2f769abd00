//! The program itself: what it refuses, what it keeps, and how it ends.

mod common;

use bellsill_testbed::experiment::{self, BadExperiment};
use common::*;
use rustix::process::{Pid, Signal, kill_process};
use std::process::Stdio;
use std::time::{Duration, Instant};

const CALM: &str = include_str!("../experiments/calm.toml");

/// The faults of an experiment, as a user reads them.
fn faults(text: &str) -> String {
    experiment::parse(text, "x.toml")
        .err()
        .map_or(String::new(), |e: BadExperiment| e.to_string())
}

#[test]
fn a_bad_experiment_is_refused_with_field_place_and_what_was_expected() {
    let unknown = faults(&CALM.replace("rate = 120", "rate = 120\nrtae = 3"));
    assert!(
        unknown.contains("line 59") && unknown.contains("rtae") && unknown.contains("`rate`"),
        "{unknown}"
    );
    let typed = faults(&CALM.replace("rate = 120", "rate = 'many'"));
    assert!(
        typed.contains("line 58") && typed.contains("'many'") && typed.contains("f64"),
        "{typed}"
    );
    let (world, long) = CALM.split_once("[long]").unwrap();
    let fault = "[[troubles]]\nwhat = 'silent'\nzone = 'hall-x'\nfrom_s = 4\nto_s = 3\n";
    let both = faults(&format!(
        "{}{fault}[long]{long}",
        world.replace("rate = 120", "rate = -1")
    ));
    let lines: Vec<&str> = both.lines().collect();
    assert_eq!(lines.len(), 3, "all at once: {both}");
    assert!(
        lines[0].contains("line 58, field load.rate: expected mails a second"),
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
    let varied = faults(&CALM.replace(
        "[long]",
        "[vary]\nfield = 'load.retries'\nvalues = [1, -1]\n[long]",
    ));
    assert!(varied.contains("vary.values"), "{varied}");
    let whom = faults(&format!(
        "{world}[[troubles]]\nwhat = 'killed'\nzone = 'hall-a'\nfrom_s = 1\nto_s = 2\n"
    ));
    assert!(whom.contains("dispatcher or share"), "{whom}");
}

#[test]
fn nothing_is_started_for_a_bad_experiment() {
    let lab = Lab::new("bad", &CALM.replace("rate = 120", "rate = -1"));
    let done = lab.command(&["run"]).output().unwrap();
    assert_eq!(done.status.code(), Some(2));
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(
        said.contains("experiment.toml: line 58, field load.rate"),
        "{said}"
    );
    assert!(!lab.folder.join("out").exists());
}

#[test]
fn runs_are_kept_resumed_compared_and_reported() {
    let lab = Lab::new(
        "kept",
        &CALM.replace(
            "[long]",
            "[vary]\nfield = 'load.rate'\nvalues = [60, 120]\n[long]",
        ),
    );
    let done = lab.command(&["compare"]).output().unwrap();
    let said = String::from_utf8_lossy(&done.stdout).into_owned();
    assert_eq!(done.status.code(), Some(0), "{said}");
    assert!(
        said.contains("load.rate = 120, against load.rate = 60") && said.contains("over 3 seeds"),
        "{said}"
    );
    let lines = lab.lines();
    assert_eq!(lines.len(), 6);
    // A line that was cut off is no run; the others are not played again.
    let text = std::fs::read_to_string(lab.runs()).unwrap();
    std::fs::write(lab.runs(), &text[..text.trim_end().len() - 100]).unwrap();
    let before: Vec<f64> = lines[..5].iter().map(|r| r.cost.wall_s).collect();
    assert!(lab.command(&["run"]).status().unwrap().success());
    let again = lab.lines();
    assert_eq!(again.len(), 6);
    assert_eq!(
        again[..5].iter().map(|r| r.cost.wall_s).collect::<Vec<_>>(),
        before,
        "the same runs"
    );
    assert_eq!(
        (&again[5].results, &again[5].verdict),
        (&lines[5].results, &lines[5].verdict)
    );
    let report = std::fs::read_to_string(lab.folder.join("out/experiment/report.html")).unwrap();
    assert!(report.contains("Delivered importance") && report.matches("<svg").count() >= 7);
    assert!(
        !report.contains("src=") && !report.contains("href="),
        "it needs nothing else"
    );
}

#[test]
fn a_generator_that_is_late_makes_the_run_not_valid() {
    let world = CALM
        .replace("\"virtual\"", "\"sockets\"")
        .replace("seconds = 14", "seconds = 1\nlate_ms = 0.000001");
    let world = world
        .replace("seeds = [1, 2, 3]", "seeds = [1]")
        .replace("retries = 2", "retries = 0");
    let lab = Lab::new("late", &world);
    let program = dispatcher();
    let done = lab
        .command(&["run", "--program", program.to_str().unwrap()])
        .output()
        .unwrap();
    assert_eq!(done.status.code(), Some(1));
    let line = lab.lines().remove(0);
    assert!(
        !line.valid() && line.not_valid[0].contains("late"),
        "{:?}",
        line.not_valid
    );
    let report = std::fs::read_to_string(lab.folder.join("out/experiment/report.html")).unwrap();
    assert!(
        report.contains("Not valid") && !report.contains("<svg"),
        "it never reports the good part"
    );
}

#[test]
fn ctrl_c_ends_all_processes_and_keeps_what_was_measured() {
    let lab = Lab::new("ctrl-c", &CALM.replace("\"virtual\"", "\"sockets\""));
    let program = dispatcher();
    let mut command = lab.command(&["run", "--program", program.to_str().unwrap()]);
    let mut child = command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // Dispatchers carry the name of this test's folder in their command line.
    let name = lab
        .folder
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
    // All three, and the first journal entries of messages: the run is under way.
    let under_way = || {
        let work = lab.folder.join("out/work");
        let Ok(folders) = std::fs::read_dir(work) else {
            return false;
        };
        folders
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
    while !under_way() {
        assert!(
            from.elapsed() < Duration::from_secs(60),
            "the run never began"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(dispatchers(), 3);
    kill_process(Pid::from_raw(child.id() as i32).unwrap(), Signal::INT).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(2));
    assert_eq!(dispatchers(), 0);
    let line = lab.lines().remove(0);
    assert!(
        line.interrupted && !line.valid() && line.results.arrivals > 0,
        "{:?}",
        line.not_valid
    );
}
