//! A control process: its configuration file, its start, signals and end, and requests to it.

use super::messages::StartFrom;
use super::options::HollowOptions;
use super::plan::{DispatcherIndex, Plan, region_name};
use anyhow::{Context, Result, bail};
use bellsill_directory::line::{EndpointEntry, Version};
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const REQUEST_WITHIN: Duration = Duration::from_secs(60);
const READY_WITHIN: Duration = Duration::from_secs(60);
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    Writer,
    Follower,
}

#[derive(Serialize)]
struct ZoneRow {
    name: String,
    region: String,
}

/// The file that a control process reads.
#[derive(Serialize)]
struct Configuration {
    name: String,
    listen: SocketAddr,
    state: PathBuf,
    role: Role,
    #[serde(skip_serializing_if = "Option::is_none")]
    writer: Option<SocketAddr>,
    buckets_per_region: u32,
    restart_grace_seconds: u64,
    fill_bytes_per_second: u64,
    zones: Vec<ZoneRow>,
}

/// Where a control process listens, and whom it follows.
#[derive(Clone, Debug)]
pub struct ControlPlace {
    pub name: String,
    pub listen: SocketAddr,
    /// None for the writer itself.
    pub writer: Option<SocketAddr>,
}

/// A control process as it is started and ended; its state directory lasts.
pub struct ControlProcess {
    pub name: String,
    pub address: SocketAddr,
    pub role: Role,
    program: PathBuf,
    directory: PathBuf,
    child: Option<Child>,
}

impl ControlProcess {
    /// Writes the configuration; nothing is started yet.
    pub fn prepare(
        options: &HollowOptions,
        plan: &Plan,
        place: ControlPlace,
    ) -> Result<ControlProcess> {
        let ControlPlace {
            name,
            listen,
            writer,
        } = place;
        let directory = options.work.join(&name);
        std::fs::create_dir_all(directory.join("state"))
            .with_context(|| directory.display().to_string())?;
        let role = if writer.is_none() {
            Role::Writer
        } else {
            Role::Follower
        };
        let zone = |z: &super::plan::Zone| ZoneRow {
            name: z.name.clone(),
            region: region_name(z.region),
        };
        let configuration = Configuration {
            name: name.clone(),
            listen,
            state: directory.join("state"),
            role,
            writer,
            buckets_per_region: options.buckets_per_region,
            restart_grace_seconds: options.restart_grace,
            fill_bytes_per_second: options.fill_bytes_per_second,
            zones: plan.zones.iter().map(zone).collect(),
        };
        std::fs::write(
            directory.join("control.toml"),
            toml::to_string(&configuration)?,
        )?;
        let program = std::fs::canonicalize(&options.program)
            .with_context(|| format!("the program {}", options.program.display()))?;
        Ok(ControlProcess {
            name,
            address: listen,
            role,
            program,
            directory,
            child: None,
        })
    }

    pub fn start(&mut self) -> Result<u32> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file())?;
        let child = Command::new(&self.program)
            .arg("control")
            .arg("--config")
            .arg(self.directory.join("control.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .with_context(|| self.program.display().to_string())?;
        let pid = child.id();
        self.child = Some(child);
        Ok(pid)
    }

    /// Waits until it answers requests for its figures, and has that version.
    pub fn wait_until_ready(&mut self, version: Version) -> Result<()> {
        let until = Instant::now() + READY_WITHIN;
        let client = self.client();
        while !client
            .figures()
            .is_ok_and(|figures| figures.version >= version)
        {
            if let Some(status) = self
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok())
                .flatten()
            {
                bail!(
                    "{} ended with {status}: {}",
                    self.name,
                    self.last_log_lines()
                );
            }
            if Instant::now() > until {
                bail!(
                    "{} did not answer, or not with version {}: {}",
                    self.name,
                    version.0,
                    self.last_log_lines()
                );
            }
            std::thread::sleep(TRY_AGAIN_AFTER);
        }
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn client(&self) -> ControlClient {
        ControlClient::new(self.address)
    }

    pub fn state_directory(&self) -> PathBuf {
        self.directory.join("state")
    }

    fn log_file(&self) -> PathBuf {
        self.directory.join("log")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_file()).unwrap_or_default()
    }

    fn last_log_lines(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(5)..].join(" | ")
    }

    /// Kills it, as a machine that fails does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may just have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        let pid = pid.with_context(|| format!("{} does not run", self.name))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Waits for the end of a process that ends by itself; true: it did.
    pub fn ends_within(&mut self, span: Duration) -> bool {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let ended = self
                .child
                .as_mut()
                .is_some_and(|child| child.try_wait().is_ok_and(|s| s.is_some()));
            if ended {
                self.child = None;
                return true;
            }
            std::thread::sleep(TRY_AGAIN_AFTER);
        }
        false
    }
}

impl Drop for ControlProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[derive(Serialize)]
struct MemberLine {
    name: String,
    zone: String,
    weight: f64,
}

#[derive(Deserialize)]
struct WriteAnswer {
    version: Version,
}

/// What a control process counts, as far as it is looked at here.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ControlFigures {
    pub version: Version,
    pub refused: RefusedRequests,
    /// Lines of the writer that a follower refused.
    pub writer_lines_refused: u64,
    pub longest_turn_ms: u64,
}

/// Requests that were refused for what they hold.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct RefusedRequests {
    pub malformed: u64,
    pub too_large: u64,
}

/// Requests to a control process, over a connection that is kept.
#[derive(Clone)]
pub struct ControlClient {
    agent: ureq::Agent,
    address: SocketAddr,
}

impl ControlClient {
    pub fn new(address: SocketAddr) -> Self {
        let configuration = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_WITHIN))
            .http_status_as_error(false)
            .build();
        ControlClient {
            agent: ureq::Agent::new_with_config(configuration),
            address,
        }
    }

    /// Declares all dispatchers of the plan.
    pub fn declare_members(&self, plan: &Plan) -> Result<()> {
        let member = |d: DispatcherIndex| MemberLine {
            name: plan.dispatcher_name(d),
            zone: plan.zone_of(d).name.clone(),
            weight: 1.0,
        };
        let lines: Vec<MemberLine> = plan.dispatchers().map(member).collect();
        self.post("/v2/members", &lines).map(drop)
    }

    /// Writes entries; answered once they are on disk, with the version of the last one.
    pub fn write_entries(&self, entries: &[EndpointEntry]) -> Result<Version> {
        let answer: WriteAnswer = serde_json::from_str(&self.post("/api/targets", entries)?)?;
        Ok(answer.version)
    }

    pub fn figures(&self) -> Result<ControlFigures> {
        let mut answer = self
            .agent
            .get(format!("http://{}/v2/figures", self.address))
            .call()?;
        let said = answer.body_mut().read_to_string()?;
        if answer.status() != 200 {
            bail!("/v2/figures was answered {}: {said}", answer.status());
        }
        Ok(serde_json::from_str(&said)?)
    }

    fn post(&self, path: &str, lines: &[impl Serialize]) -> Result<String> {
        let mut body = vec![];
        for line in lines {
            serde_json::to_writer(&mut body, line)?;
            body.push(b'\n');
        }
        self.post_bytes(path, &body)
    }

    pub fn post_bytes(&self, path: &str, body: &[u8]) -> Result<String> {
        let mut answer = self
            .agent
            .post(format!("http://{}{path}", self.address))
            .send(body)?;
        let said = answer.body_mut().read_to_string()?;
        if answer.status() != 200 {
            bail!("{path} was answered {}: {said}", answer.status());
        }
        Ok(said)
    }
}

/// Loopback addresses that nobody listens on now.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>> {
    let listeners: std::io::Result<Vec<std::net::TcpListener>> = (0..count)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0"))
        .collect();
    Ok(listeners?
        .iter()
        .map(|listener| listener.local_addr())
        .collect::<std::io::Result<_>>()?)
}

/// The state file of a dispatcher.
pub fn state_file(directory: &Path, name: &str) -> PathBuf {
    directory.join(format!("{name}.list"))
}

impl StartFrom {
    /// The bytes that a dispatcher starts from; none where there are none.
    pub fn read(self, file: &Path) -> Option<Vec<u8>> {
        match self {
            StartFrom::Nothing => None,
            StartFrom::StateFile => std::fs::read(file).ok(),
        }
    }
}
