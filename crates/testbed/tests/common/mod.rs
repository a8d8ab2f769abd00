//! A temporary directory for each test, and the programs that tests run.
#![allow(dead_code)]

use bellsill_testbed::run::{RunLine, read_runs};
use std::path::PathBuf;
use std::process::Command;

pub struct TestDirectory {
    pub path: PathBuf,
}

impl TestDirectory {
    pub fn new(name: &str, experiment: &str) -> TestDirectory {
        let path =
            std::env::temp_dir().join(format!("bellsill-testbed-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        std::fs::write(path.join("experiment.toml"), experiment).unwrap();
        TestDirectory { path }
    }

    /// The testbed program with a subcommand, on the experiment of this directory.
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill-testbed"));
        command
            .args(args)
            .arg("experiment.toml")
            .current_dir(&self.path);
        if args[0] != "check" {
            command.args(["--out", "out", "--quiet"]);
        }
        command
    }

    pub fn runs(&self) -> PathBuf {
        self.path.join("out/experiment/runs.jsonl")
    }

    pub fn lines(&self) -> Vec<RunLine> {
        read_runs(&self.runs()).unwrap()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        // The files of a failing test are kept for inspection.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Builds a program of the workspace; `path_in_target` is its path below the profile directory of the target.
fn build_program(package: &[&str], path_in_target: &str) -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let status = Command::new(cargo)
        .args(["build", "--locked", "--quiet"])
        .args(package)
        .status()
        .unwrap();
    assert!(status.success());
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join(path_in_target)
}

pub fn dispatcher() -> PathBuf {
    build_program(&["-p", "bellsill-daemon"], "bellsill")
}

pub fn scripted_peer() -> PathBuf {
    build_program(
        &["-p", "bellsill-testbed", "--example", "scripted_peer"],
        "examples/scripted_peer",
    )
}
