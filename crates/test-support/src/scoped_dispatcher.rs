//! A dispatcher of a scoped configuration, which gets it from stand-ins for control processes.

use crate::control_stand_in::BUCKETS;
use crate::dispatcher_process::{DispatcherProcess, Program};
use rustix::process::Signal;
use std::path::PathBuf;
use std::process::Command;

/// A dispatcher `d1` in zone `north`; the zone `south` is in another region.
pub struct ScopedDispatcher {
    /// The dispatcher.
    pub process: DispatcherProcess,
    /// The path of its installation file.
    pub installation: PathBuf,
}

impl ScopedDispatcher {
    /// Prepares a dispatcher with control processes at these addresses, without starting it.
    pub fn new(program: Program, control: &[&str], cache_destinations: usize) -> ScopedDispatcher {
        let mut process = DispatcherProcess::new(program, &[]);
        process.config["mgmt"] = process.admin_addr(0).into();
        let installation = process.dir.join("installation.toml");
        let dispatcher = ScopedDispatcher {
            process,
            installation,
        };
        dispatcher.write_installation(control, cache_destinations);
        dispatcher
    }

    /// Writes the installation file; it takes effect at the next start.
    pub fn write_installation(&self, control: &[&str], cache_destinations: usize) {
        let addresses: Vec<String> = control.iter().map(|addr| format!("{addr:?}")).collect();
        let text = format!(
            "dispatcher = \"d1\"\nzone = \"north\"\ncontrol = [{}]\nbuckets_per_region = {BUCKETS}\n\
             cache_destinations = {cache_destinations}\n\
             zones = [{{name = \"north\", region = \"a\"}}, {{name = \"south\", region = \"b\"}}]\n",
            addresses.join(", ")
        );
        std::fs::write(&self.installation, text).unwrap();
    }

    /// Returns the command that starts the dispatcher.
    pub fn command(&self) -> Command {
        let mut command = self.process.command("serve");
        command.arg("--installation").arg(&self.installation);
        command
    }

    /// Starts the dispatcher and waits until it is ready.
    pub fn start(&mut self) {
        let command = self.command();
        self.process.start_command(command);
    }

    /// Stops the process with SIGTERM, on which it saves its scope file.
    pub fn stop(&mut self) {
        self.process.signal(Signal::TERM);
        let mut child = self.process.child.take().unwrap();
        assert!(child.wait().unwrap().success());
    }

    /// The value of one of the dispatcher's `scope` metrics.
    pub fn scope(&self, name: &str) -> u64 {
        self.process.metric(&format!("scope.{name}"))
    }
}
