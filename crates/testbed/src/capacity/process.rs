//! A `bellsill serve` process under measurement: started, looked at through /proc, killed.

use super::client::Client;
use super::listing::{self, Addresses, Destination};
use super::peers::own_address;
use anyhow::{Context, Result, bail};
use std::fs::OpenOptions;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const READY_WITHIN: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_micros(500);
/// Processor time that stands still for so long: what was sent has been worked through.
const QUIET_FOR: Duration = Duration::from_millis(150);
const QUIET_WITHIN: Duration = Duration::from_secs(60);
const QUIET_POLL: Duration = Duration::from_millis(25);
/// The share of a core that does not count as work on what was sent: timers, which pass over all messages held.
const QUIET_SHARE: f64 = 0.2;

/// Where the measured program stands, and a folder for its files.
#[derive(Clone, Debug)]
pub struct Place {
    pub program: PathBuf,
    pub folder: PathBuf,
}

/// A running dispatcher; killed when this is dropped.
pub struct Process {
    child: Child,
    pub listen: SocketAddr,
    operators: SocketAddr,
    journal: PathBuf,
    /// From the spawn to the first answer.
    pub start_us: f64,
}

/// The memory of a process in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Memory {
    pub now: f64,
    pub peak: f64,
}

/// Ports given to dispatchers, below those that the system gives to outgoing connections: one of these could otherwise
/// take a dispatcher's port before it listens there.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;

/// A port of this process's own address that no other dispatcher of it was given lately.
fn next_address() -> SocketAddr {
    static GIVEN: AtomicU16 = AtomicU16::new(0);
    let port = FIRST_PORT + GIVEN.fetch_add(1, Ordering::Relaxed) % PORTS;
    SocketAddr::from((own_address(), port))
}

impl Place {
    /// Starts a dispatcher that holds nothing.
    pub fn start(&self, platform: SocketAddr, known: &[Destination]) -> Result<Process> {
        let state = self.state();
        if state.exists() {
            std::fs::remove_dir_all(&state).with_context(|| state.display().to_string())?;
        }
        self.start_again(platform, known)
    }

    /// Starts a dispatcher on what the one before left in its folder.
    pub fn start_again(&self, platform: SocketAddr, known: &[Destination]) -> Result<Process> {
        let state = self.state();
        std::fs::create_dir_all(&state).with_context(|| state.display().to_string())?;
        let addresses = Addresses {
            listen: next_address(),
            operators: next_address(),
            platform,
        };
        let file = self.folder.join("config.json");
        std::fs::write(&file, listing::configuration(addresses, known))?;
        let log_path = self.folder.join("log");
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log_path)?;
        let spawned = Instant::now();
        let child = Command::new(&self.program)
            .args(["serve", "--log", "warn", "--config"])
            .arg(&file)
            .arg("--state")
            .arg(&state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| self.program.display().to_string())?;
        let journal = state.join("mails");
        let (listen, operators) = (addresses.listen, addresses.operators);
        let mut process = Process {
            child,
            listen,
            operators,
            journal,
            start_us: 0.0,
        };
        process
            .ready(spawned)
            .with_context(|| std::fs::read_to_string(&log_path).unwrap_or_default())?;
        process.start_us = spawned.elapsed().as_secs_f64() * 1e6;
        Ok(process)
    }

    fn state(&self) -> PathBuf {
        self.folder.join("state")
    }
}

impl Process {
    fn ready(&mut self, spawned: Instant) -> Result<()> {
        while spawned.elapsed() < READY_WITHIN {
            if let Some(status) = self.child.try_wait()? {
                bail!("the dispatcher ended at its start: {status}");
            }
            if let Ok(mut client) = Client::connect(self.listen)
                && client.ping().is_ok()
            {
                return Ok(());
            }
            std::thread::sleep(READY_POLL);
        }
        bail!("the dispatcher did not answer within {READY_WITHIN:?}")
    }

    fn proc_text(&self, file: &str) -> Result<String> {
        let path = format!("/proc/{}/{file}", self.child.id());
        std::fs::read_to_string(&path).with_context(|| path)
    }

    /// The processor time used until now, in microseconds. The daemon is one thread.
    pub fn processor_us(&self) -> Result<f64> {
        processor_us(&self.proc_text("schedstat")?)
    }

    pub fn memory(&self) -> Result<Memory> {
        let status = self.proc_text("status")?;
        Ok(Memory {
            now: kilobytes(&status, "VmRSS:")?,
            peak: kilobytes(&status, "VmHWM:")?,
        })
    }

    /// The bytes that it has read from files until now.
    pub fn read_bytes(&self) -> Result<f64> {
        let text = self.proc_text("io")?;
        let line = text.lines().find_map(|line| line.strip_prefix("rchar:"));
        line.and_then(|value| value.trim().parse().ok())
            .context("rchar in /proc/PID/io")
    }

    /// The length of its journal.
    pub fn journal_bytes(&self) -> Result<f64> {
        Ok(std::fs::metadata(&self.journal)
            .with_context(|| self.journal.display().to_string())?
            .len() as f64)
    }

    /// Waits until it has worked through what it was sent.
    pub fn quiet(&self) -> Result<()> {
        let until = Instant::now() + QUIET_WITHIN;
        let (mut since, mut last) = (Instant::now(), self.processor_us()?);
        while since.elapsed() < QUIET_FOR {
            anyhow::ensure!(
                Instant::now() < until,
                "the dispatcher did not come to rest"
            );
            std::thread::sleep(QUIET_POLL);
            let now = self.processor_us()?;
            if now - last > QUIET_SHARE * QUIET_POLL.as_secs_f64() * 1e6 {
                since = Instant::now();
            }
            last = now;
        }
        Ok(())
    }

    /// How many endpoints it knows and takes for serving, by its operators' call.
    pub fn known(&self) -> Result<u64> {
        let mut stream = TcpStream::connect(self.operators)?;
        stream.write_all(b"show-stat\n")?;
        let mut known = None;
        for line in BufReader::new(stream).lines() {
            let line = line?;
            if line == "EOT" {
                break;
            }
            known = known.or_else(|| members(&line));
        }
        known.context("the count of serving endpoints in the answer to show-stat")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The count of serving endpoints, if this line of `show-stat` has it.
fn members(line: &str) -> Option<u64> {
    line.strip_prefix("dispatcher.members=")?.parse().ok()
}

/// The processor time in a `schedstat` file, in microseconds.
fn processor_us(schedstat: &str) -> Result<f64> {
    let nanoseconds = schedstat
        .split_whitespace()
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    Ok(nanoseconds.context("nanoseconds in schedstat")? / 1e3)
}

/// The largest memory of this process until now, in bytes.
pub fn own_peak_bytes() -> Result<f64> {
    kilobytes(&std::fs::read_to_string("/proc/self/status")?, "VmHWM:")
}

fn kilobytes(status: &str, field: &str) -> Result<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let value = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|word| word.parse::<f64>().ok());
    Ok(value.with_context(|| format!("{field} in /proc/PID/status"))? * 1024.0)
}

/// A folder that is removed when its owner is done.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create(path: &Path) -> Result<Folder> {
        std::fs::create_dir_all(path).with_context(|| path.display().to_string())?;
        Ok(Folder(path.to_path_buf()))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // What is left of it does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
