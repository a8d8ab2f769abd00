//! The dispatcher as a process of its own, spoken to over loopback sockets.

use crate::admin::{admin_request, metric_at};
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

/// The program under test, and where its tests may keep files. Cargo names both only to the tests of the package that has
/// the program; [`program!`](crate::program) puts them in.
#[derive(Clone, Copy)]
pub struct Program {
    /// The path of the executable.
    pub executable: &'static str,
    /// The folder for files of tests.
    pub temp_dir: &'static str,
}

/// The [`Program`] of the package whose test calls this.
#[macro_export]
macro_rules! program {
    () => {
        $crate::dispatcher_process::Program {
            executable: env!("CARGO_BIN_EXE_bellsill"),
            temp_dir: env!("CARGO_TARGET_TMPDIR"),
        }
    };
}

/// A dispatcher's process with its configuration, its folder, and its platform. The process and the folder go when it is
/// dropped.
pub struct DispatcherProcess {
    program: Program,
    /// Holds the configuration and, in `state`, what the process keeps.
    pub dir: PathBuf,
    /// Where clients connect.
    pub listen: String,
    /// The configuration, written to the folder at each start.
    pub config: Value,
    /// The discovery that the configuration names, and the receiver of notifications.
    pub platform: Platform,
    /// The process, while there is one.
    pub child: Option<Child>,
}

static PROCESSES: AtomicU64 = AtomicU64::new(0);
static COPIES: AtomicU64 = AtomicU64::new(0);

impl DispatcherProcess {
    /// Sets up a dispatcher that knows these endpoints, each with its destination, and starts nothing yet.
    pub fn new(program: Program, endpoints: &[(&Endpoint, u64)]) -> DispatcherProcess {
        let (n, pid) = (PROCESSES.fetch_add(1, Ordering::SeqCst), std::process::id());
        // An address of its own, so that nothing else is ever given its port.
        let listen = format!("127.{}.{}.{}:6379", 16 + pid % 200, pid / 200 % 250, n + 1);
        let folder = PathBuf::from(program.temp_dir).join(format!("rig-{pid}-{n}"));
        std::fs::create_dir_all(folder.join("state")).unwrap();
        let mut config: Value =
            serde_json::from_str(include_str!("../../../examples/config.json")).unwrap();
        let platform = Platform::start();
        config["listen"] = listen.clone().into();
        config["discovery"] = platform.addr.clone().into();
        let entries = endpoints.iter().enumerate();
        config["known"]["servers"] = entries
            .map(|(i, (e, cell))| e.entry(&format!("e{i}"), *cell, "up"))
            .collect::<Vec<_>>()
            .into();
        DispatcherProcess {
            program,
            dir: folder,
            listen,
            config,
            platform,
            child: None,
        }
    }

    /// Writes the configuration, and returns the command line of this subcommand with it.
    pub fn command(&self, what: &str) -> Command {
        std::fs::write(self.dir.join("config.json"), self.config.to_string()).unwrap();
        let mut command = Command::new(self.program.executable);
        command
            .env_remove("RELAY_STATE")
            .arg(what)
            .arg("--config")
            .arg(self.dir.join("config.json"));
        command
            .arg("--state")
            .arg(self.dir.join("state"))
            .arg("--log")
            .arg("warn");
        command
    }

    /// Starts the dispatcher, and waits until it is ready.
    pub fn start(&mut self) {
        let command = self.command("serve");
        self.start_command(command);
    }

    /// The command of a process whose system calls can be made to fail.
    pub fn command_with_faults(&self, faults: &Faults) -> Command {
        let mut command = self.command("serve");
        faults.preload(&mut command, &self.dir.join("state"));
        command
    }

    /// Starts such a process, and waits until it is ready.
    pub fn start_with_faults(&mut self, faults: &Faults) {
        let command = self.command_with_faults(faults);
        self.start_command(command);
    }

    /// Starts such a process, and does not wait.
    pub fn spawn_with_faults(&mut self, faults: &Faults) {
        self.child = Some(self.command_with_faults(faults).spawn().unwrap());
    }

    /// Starts a process by this command, and waits until it answers a `PING`.
    pub fn start_command(&mut self, mut command: Command) {
        self.child = Some(command.spawn().unwrap());
        wait_for("a dispatcher that is ready", || {
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

    /// Starts a process beside one that runs, at the `mgmt` address that the configuration names now.
    pub fn start_second_process(&mut self) {
        let child = self.command("serve").spawn().unwrap();
        self.child = Some(child);
        wait_for("a new version that is ready", || {
            TcpStream::connect(self.config["mgmt"].as_str().unwrap()).is_ok()
        });
        assert!(self.admin("ready")[0].starts_with("SUCCESS"));
    }

    /// What the journal holds at this moment.
    pub fn read_journal(&self) -> Recovered {
        self.read_journal_in("mails")
    }

    /// What that journal of the folder holds at this moment.
    pub fn read_journal_in(&self, journal: &str) -> Recovered {
        // A folder of its own each time: a process that another test starts just now holds a lock on the last one's file
        // until it is the program, and the journal would be taken for another's and found empty.
        let copy = self
            .dir
            .join(format!("copy-{}", COPIES.fetch_add(1, Ordering::SeqCst)));
        std::fs::create_dir_all(&copy).unwrap();
        std::fs::copy(self.dir.join("state").join(journal), copy.join("mails")).unwrap();
        MessageJournal::open(&copy, 10_000_000).unwrap().1
    }

    /// Whether the journal says that an attempt of the message never ran.
    pub fn attempt_never_ran(&self, id: &str) -> bool {
        let messages = self.read_journal().messages;
        let message = messages.iter().find(|m| format!("{:016x}", m.id.0) == id);
        message.is_some_and(|m| m.attempts.iter().any(|c| c.may_have_run == Some(false)))
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = rustix::process::Pid::from_child(self.child.as_ref().unwrap());
        rustix::process::kill_process(pid, signal).unwrap();
    }

    /// Where operators call this dispatcher: the n-th process beside others has an address of its own.
    pub fn admin_addr(&self, n: u16) -> String {
        let ip: std::net::SocketAddr = self.listen.parse().unwrap();
        format!("{}:{}", ip.ip(), 9100 + n)
    }

    /// One call as an operator makes it; see [`admin_request`].
    pub fn admin(&self, line: &str) -> Vec<String> {
        admin_request(self.config["mgmt"].as_str().unwrap(), line)
    }

    /// One of the metrics that the process shows to operators now.
    pub fn metric(&self, name: &str) -> u64 {
        metric_at(self.config["mgmt"].as_str().unwrap(), name)
    }

    /// A new connection of a client.
    pub fn client(&self) -> Client {
        connect(&self.listen).unwrap()
    }
}

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        if self.child.is_some() {
            self.kill();
        }
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

/// A process that does not outlive its test, however that ends.
pub struct KillOnDrop(
    /// The process.
    pub Child,
);

impl KillOnDrop {
    /// Ends it by SIGKILL, if it has not ended yet.
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
