//! Dispatcher processes, started with the `run` command of the deploy file.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, c: u64, d: u64, e: u64) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: u64 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// The `run` command of `deploy/balancer.toml` in the repository's root.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|l| l.starts_with("run = "))
        .expect("run in the deploy file");
    let rest = &line[line.find('"').expect("a quote") + 1..];
    rest[..rest.find('"').expect("a closing quote")].to_string()
}

/// A process that is killed when this is dropped.
pub struct Process {
    pub name: String,
    pub mgmt: String,
    child: Child,
}

/// What a start needs besides the configuration file.
pub struct Start<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub name: &'a str,
    pub listen: &'a str,
    pub discovery: &'a str,
    pub mgmt: &'a str,
}

impl Process {
    /// Starts a dispatcher as the platform does: from the root, by `/bin/sh -c`, with its variables.
    pub fn start(start: &Start) -> Process {
        let log: PathBuf = start.folder.join(format!("{}.log", start.name));
        let log = File::create(log).expect("a log file");
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(run_command(start.root))
            .current_dir(start.root)
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", start.listen)
            .env("RELAY_DISCOVERY", start.discovery)
            .env("RELAY_STATE", start.folder.join("state"))
            .env("RELAY_CONFIG", start.folder.join("config.json"))
            .env("RELAY_MGMT", start.mgmt)
            .env("TMPDIR", start.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log);
        // SAFETY: prctl is async-signal-safe. The process ends with the stand-in, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        Process {
            name: start.name.to_string(),
            mgmt: start.mgmt.to_string(),
            child: command.spawn().expect("a dispatcher process"),
        }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the child has not been waited for, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    /// One operators' call; the first line of the answer.
    pub fn call(&self, line: &str) -> String {
        let ask = || -> std::io::Result<String> {
            let mut stream = TcpStream::connect(&self.mgmt)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            writeln!(stream, "{line}")?;
            let mut answer = String::new();
            BufReader::new(stream).read_line(&mut answer)?;
            Ok(answer.trim().to_string())
        };
        ask().unwrap_or_else(|e| format!("no answer: {e}"))
    }

    /// Waits for a yes to `ready`.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.call("ready").starts_with("SUCCESS") {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
