//! A folder of its own for each test, and the testbed's program run in it.
#![allow(dead_code)]

use bellsill_testbed::run::{RunLine, lines};
use std::path::PathBuf;
use std::process::Command;

pub struct Lab {
    pub folder: PathBuf,
}

impl Lab {
    pub fn new(name: &str, experiment: &str) -> Lab {
        let folder =
            std::env::temp_dir().join(format!("bellsill-testbed-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("experiment.toml"), experiment).unwrap();
        Lab { folder }
    }

    /// The program with a sub-command, on the experiment of this folder.
    pub fn command(&self, args: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bellsill-testbed"));
        command
            .args(args)
            .arg("experiment.toml")
            .current_dir(&self.folder);
        if args[0] != "check" {
            command.args(["--out", "out", "--quiet"]);
        }
        command
    }

    pub fn runs(&self) -> PathBuf {
        self.folder.join("out/experiment/runs.jsonl")
    }

    pub fn lines(&self) -> Vec<RunLine> {
        lines(&self.runs()).unwrap()
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        // What a failing test left is looked at by hand.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A program of the workspace, built if it is not; where it stands below the target folder.
fn built(what: &[&str], place: &str) -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let done = Command::new(cargo)
        .args(["build", "--locked", "--quiet"])
        .args(what)
        .status()
        .unwrap();
    assert!(done.success());
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    path.pop();
    path.join(place)
}

pub fn dispatcher() -> PathBuf {
    built(&["-p", "bellsill-daemon"], "bellsill")
}

pub fn scripted_peer() -> PathBuf {
    built(
        &["-p", "bellsill-testbed", "--example", "scripted_peer"],
        "examples/scripted_peer",
    )
}
