//! Upgrades in a soak run: a process starts beside the running one, with the same clients' address and state directory,
//! then one of the two ends.

use super::{KILL_AFTER_TERM, SoakRun};
use rustix::process::{Pid, Signal, kill_process};
use std::process::Child;
use std::time::{Duration, Instant};

/// How long after the end of a process its clients may take to notice.
const CLOSE_DELAY: Duration = Duration::from_millis(50);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a process is ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEnd {
    /// By SIGTERM, and SIGKILL if it has not ended in time.
    Terminated,
    /// By SIGKILL.
    Killed,
}

/// Which of the two processes of an upgrade serves on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Survivor {
    /// The new one: the upgrade is completed.
    New,
    /// The old one: the upgrade is abandoned.
    Old,
}

impl SoakRun {
    /// Starts a new process, and ends one of the two some time after the new one is ready.
    pub fn upgrade(&mut self, survivor: Survivor, end: ProcessEnd) {
        let mut ending = self.process.child.take().unwrap();
        self.start_beside();
        let overlap = self.random_duration_ms(50..900);
        self.run_for(overlap);
        if survivor == Survivor::Old {
            let new = self.process.child.as_mut().unwrap();
            std::mem::swap(&mut ending, new);
        }
        self.end_process(ending, end);
    }

    fn start_beside(&mut self) {
        self.upgrades += 1;
        self.process.config["mgmt"] = self.process.admin_addr(self.upgrades).into();
        let command = self.logging_command();
        self.process.start_second_command(command);
    }

    /// Ends a process beside one that serves on. Its messages may be late until the other one has adopted them.
    fn end_process(&mut self, mut process: Child, end: ProcessEnd) {
        self.shared.ledger().restart_started();
        if end == ProcessEnd::Terminated {
            kill_process(Pid::from_child(&process), Signal::TERM).unwrap();
            let kill_at = Instant::now() + KILL_AFTER_TERM;
            while Instant::now() < kill_at && process.try_wait().unwrap().is_none() {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        self.shared.ledger().process_killed();
        process.kill().unwrap();
        process.wait().unwrap();
        std::thread::sleep(CLOSE_DELAY);
        self.shared.ledger().restart_ended();
    }
}
