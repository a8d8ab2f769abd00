//! A dispatcher that runs as a separate process, with loopback sockets.

use crate::admin::{admin_request, diagnostic_at, metric_at};
use crate::client::{Client, connect};
use crate::endpoint::Endpoint;
use crate::faults::Faults;
use crate::platform::Platform;
use crate::wait::wait_for;
use bellsill_daemon::journal::{MessageJournal, Recovered};
use rustix::process::Signal;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering};

/// The executable under test, and a directory for temporary files. Cargo provides both paths only to the tests of the
/// package that builds the executable; [`program!`](crate::program) reads them there.
#[derive(Clone, Copy)]
pub struct Program {
    /// The path of the executable.
    pub executable: &'static str,
    /// The directory for temporary files of tests.
    pub temp_dir: &'static str,
}

/// Returns the [`Program`] of the package whose test invokes the macro.
#[macro_export]
macro_rules! program {
    () => {
        $crate::dispatcher_process::Program {
            executable: env!("CARGO_BIN_EXE_bellsill"),
            temp_dir: env!("CARGO_TARGET_TMPDIR"),
        }
    };
}

/// A dispatcher process with its configuration, its directory and its [`Platform`]. Dropping it kills the process and
/// removes the directory, unless the test fails.
pub struct DispatcherProcess {
    program: Program,
    /// The directory of the configuration file and of the state directory, `state`.
    pub dir: PathBuf,
    /// The address for clients.
    pub listen: String,
    /// The configuration, which is written to the directory at each start.
    pub config: Value,
    /// The discovery and notification receiver that the configuration refers to.
    pub platform: Platform,
    /// The process, if one is running.
    pub child: Option<Child>,
}

/// The number of addresses used that differ only in their last number.
const ADDRESSES_PER_NETWORK: u64 = 250;

static NEXT_PROCESS: AtomicU64 = AtomicU64::new(0);
static NEXT_COPY: AtomicU64 = AtomicU64::new(0);

impl DispatcherProcess {
    /// Prepares a dispatcher that is configured with these endpoints and their destinations, without starting it.
    pub fn new(program: Program, endpoints: &[(&Endpoint, u64)]) -> DispatcherProcess {
        let (n, pid) = (
            NEXT_PROCESS.fetch_add(1, Ordering::SeqCst),
            std::process::id(),
        );
        // Each dispatcher has its own loopback address, so that its port cannot be assigned to another socket.
        let (second, third) = (
            16 + pid % 200,
            (u64::from(pid) / 200 + n / ADDRESSES_PER_NETWORK) % ADDRESSES_PER_NETWORK,
        );
        let last = n % ADDRESSES_PER_NETWORK + 1;
        let listen = format!("127.{second}.{third}.{last}:6379");
        let dir = PathBuf::from(program.temp_dir).join(format!("dispatcher-{pid}-{n}"));
        std::fs::create_dir_all(dir.join("state")).unwrap();
        let mut config: Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        let platform = Platform::start();
        config["listen"] = listen.clone().into();
        config["discovery"] = platform.addr.clone().into();
        let entries = endpoints.iter().enumerate();
        config["known"]["servers"] = entries
            .map(|(i, (e, destination))| e.entry(&format!("e{i}"), *destination, "up"))
            .collect::<Vec<_>>()
            .into();
        DispatcherProcess {
            program,
            dir,
            listen,
            config,
            platform,
            child: None,
        }
    }

    /// Writes the configuration file, and returns the command that runs this subcommand with it.
    pub fn command(&self, subcommand: &str) -> Command {
        std::fs::write(self.dir.join("config.json"), self.config.to_string()).unwrap();
        let mut command = Command::new(self.program.executable);
        command
            .env_remove("RELAY_STATE")
            .arg(subcommand)
            .arg("--config")
            .arg(self.dir.join("config.json"));
        command
            .arg("--state")
            .arg(self.dir.join("state"))
            .arg("--log")
            .arg("warn");
        command
    }

    /// Starts the dispatcher and waits until it is ready.
    pub fn start(&mut self) {
        let command = self.command("serve");
        self.start_command(command);
    }

    /// Returns the command that starts the dispatcher with fault injection into its system calls.
    pub fn command_with_faults(&self, faults: &Faults) -> Command {
        let mut command = self.command("serve");
        faults.preload(&mut command, &self.dir.join("state"));
        command
    }

    /// Starts the dispatcher with fault injection and waits until it is ready.
    pub fn start_with_faults(&mut self, faults: &Faults) {
        let command = self.command_with_faults(faults);
        self.start_command(command);
    }

    /// Starts the dispatcher with fault injection, without waiting.
    pub fn spawn_with_faults(&mut self, faults: &Faults) {
        self.child = Some(self.command_with_faults(faults).spawn().unwrap());
    }

    /// Starts this command and waits until the dispatcher replies to a `PING`.
    pub fn start_command(&mut self, mut command: Command) {
        self.child = Some(command.spawn().unwrap());
        wait_for("the dispatcher to be ready", || {
            let Ok(mut stream) = TcpStream::connect(&self.listen) else {
                return false;
            };
            stream.write_all(b"PING\r\n").is_ok()
                && BufReader::new(stream)
                    .lines()
                    .next()
                    .is_some_and(|l| l.is_ok_and(|l| l == "+PONG"))
        });
    }

    /// Starts another process by this command while the earlier one is still running, as during an upgrade, and waits
    /// until it is ready. The test must have set a different `mgmt` address in the configuration.
    pub fn start_second_process(&mut self) {
        let command = self.command("serve");
        self.start_second_command(command);
    }

    /// Does the same as [`DispatcherProcess::start_second_process`], by this command.
    pub fn start_second_command(&mut self, mut command: Command) {
        self.child = Some(command.spawn().unwrap());
        wait_for("the new process to be ready", || {
            TcpStream::connect(self.config["mgmt"].as_str().unwrap()).is_ok()
        });
        assert!(self.admin("ready")[0].starts_with("SUCCESS"));
    }

    /// Reads the current contents of the journal.
    pub fn read_journal(&self) -> Recovered {
        self.read_journal_in("mails")
    }

    /// Reads the current contents of this file in the state directory as a journal.
    pub fn read_journal_in(&self, file: &str) -> Recovered {
        // Each copy is in a new directory, since a process that another test is starting holds an inherited lock on the
        // previous copy until it calls `exec`. Such a copy would be treated as
        // another process's journal and read as empty.
        let copy = self
            .dir
            .join(format!("copy-{}", NEXT_COPY.fetch_add(1, Ordering::SeqCst)));
        std::fs::create_dir_all(&copy).unwrap();
        std::fs::copy(self.dir.join("state").join(file), copy.join("mails")).unwrap();
        MessageJournal::open(&copy, 10_000_000).unwrap().1
    }

    /// Returns whether the journal records an attempt of the message as certain not to have run.
    pub fn attempt_never_ran(&self, id: &str) -> bool {
        let messages = self.read_journal().messages;
        let message = messages.iter().find(|m| format!("{:016x}", m.id.0) == id);
        message.is_some_and(|m| m.attempts.iter().any(|c| c.may_have_run == Some(false)))
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(self.child.as_ref().unwrap());
        rustix::process::kill_process(pid, signal).unwrap();
    }

    /// Returns an admin address for this dispatcher. Processes that run at the same time need different values of `n`.
    pub fn admin_addr(&self, n: u16) -> String {
        let listen: std::net::SocketAddr = self.listen.parse().unwrap();
        format!("{}:{}", listen.ip(), 9100 + n)
    }

    /// Sends an admin request; see [`admin_request`].
    pub fn admin(&self, line: &str) -> Vec<String> {
        admin_request(self.config["mgmt"].as_str().unwrap(), line)
    }

    /// Returns the current value of a metric; see [`metric_at`].
    pub fn metric(&self, name: &str) -> u64 {
        metric_at(self.config["mgmt"].as_str().unwrap(), name)
    }

    /// Returns the current value of a diagnostic counter; see [`diagnostic_at`].
    pub fn diagnostic(&self, name: &str) -> u64 {
        diagnostic_at(self.config["mgmt"].as_str().unwrap(), name)
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        connect(&self.listen).unwrap()
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
        if std::thread::panicking() {
            // The log and the state explain the failure.
            println!("kept {}", self.dir.display());
        } else {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}

/// A process that is killed when this is dropped, so that it does not outlive its test even if that panics.
pub struct KillOnDrop(
    /// The process.
    pub Child,
);

impl KillOnDrop {
    /// Kills the process with SIGKILL, if it is still running.
    pub fn kill(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.kill();
    }
}
