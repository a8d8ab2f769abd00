//! The configuration file of a control process: reading and validation.

use bellsill_directory::entry::is_member_name;
use bellsill_directory::feed::FILL_RATE;
use bellsill_directory::rate_limiter::RateLimit;
use bellsill_placement::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// How long a dispatcher may be absent before its buckets move, by default.
const DEFAULT_RESTART_GRACE_SECONDS: u64 = 30;
/// The longest restart grace that is accepted.
const MAX_RESTART_GRACE_SECONDS: u64 = 24 * 3600;
/// The most buckets of all regions together: a reassignment of them all fits on one line between control processes.
const MAX_BUCKETS: u32 = 24_000;
/// How many seconds' worth of fill bytes may be sent in one burst.
const BURST_SECONDS: u64 = 2;

/// How a control process handles writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts them. One process of an installation has this role, `writer` in the file.
    Leader,
    /// Replicates another process and accepts no writes.
    Follower {
        /// The address of the leader.
        leader: SocketAddr,
    },
}

/// The settings of a control process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process's name in log lines.
    pub name: String,
    /// The address for clients and other control processes.
    pub listen: SocketAddr,
    /// The directory for the log and snapshots. One process at a time uses it.
    pub state: PathBuf,
    /// Whether the process is the leader or a follower.
    pub role: Role,
    /// The zones, regions and buckets.
    pub layout: Layout,
    /// How long a dispatcher may be absent before its buckets move.
    pub restart_grace: Duration,
    /// The rate limit for sending a watcher the content of its buckets.
    pub fill_pace: RateLimit,
}

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not TOML, or has unknown, missing or mistyped fields.
    #[error("not as a configuration has to be: {0}")]
    Malformed(String),
    /// The value of a field is invalid.
    #[error("field {field}: expected {expected}")]
    Field {
        /// The name of the field.
        field: &'static str,
        /// What it has to be.
        expected: String,
    },
    /// The zones and buckets are inconsistent.
    #[error("field zones or buckets_per_region: {0}")]
    Layout(#[from] LayoutError),
}

/// The file as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    listen: SocketAddr,
    state: PathBuf,
    role: RoleName,
    writer: Option<SocketAddr>,
    zones: Vec<Zone>,
    #[serde(default = "default_buckets_per_region")]
    buckets_per_region: u32,
    #[serde(default = "default_restart_grace_seconds")]
    restart_grace_seconds: u64,
    #[serde(default = "default_fill_bytes_per_second")]
    fill_bytes_per_second: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleName {
    #[serde(rename = "writer")]
    Leader,
    Follower,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Zone {
    name: String,
    region: String,
}

fn default_buckets_per_region() -> u32 {
    DEFAULT_BUCKETS_PER_REGION
}

fn default_restart_grace_seconds() -> u64 {
    DEFAULT_RESTART_GRACE_SECONDS
}

fn default_fill_bytes_per_second() -> u64 {
    FILL_RATE.bytes_per_second
}

impl Config {
    /// Reads a file.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Config::parse(&text)
    }

    /// Reads and checks the text of a file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: File =
            toml::from_str(text).map_err(|error| ConfigError::Malformed(error.to_string()))?;
        let role = file.role()?;
        let layout = file.layout()?;
        check(
            is_member_name(&file.name),
            "name",
            "letters, digits and - _ . : alone",
        )?;
        check(
            !file.state.as_os_str().is_empty(),
            "state",
            "a directory that lasts",
        )?;
        check(
            (1..=MAX_RESTART_GRACE_SECONDS).contains(&file.restart_grace_seconds),
            "restart_grace_seconds",
            &format!("a whole number from 1 to {MAX_RESTART_GRACE_SECONDS}"),
        )?;
        check(
            file.fill_bytes_per_second > 0,
            "fill_bytes_per_second",
            "a whole number from 1",
        )?;
        let fill_pace = RateLimit {
            bytes_per_second: file.fill_bytes_per_second,
            burst_bytes: file.fill_bytes_per_second.saturating_mul(BURST_SECONDS),
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            state: file.state,
            role,
            layout,
            restart_grace: Duration::from_secs(file.restart_grace_seconds),
            fill_pace,
        })
    }
}

impl File {
    fn role(&self) -> Result<Role, ConfigError> {
        match (&self.role, self.writer) {
            (RoleName::Leader, None) => Ok(Role::Leader),
            (RoleName::Follower, Some(leader)) => Ok(Role::Follower { leader }),
            (RoleName::Leader, Some(_)) => Err(field(
                "writer",
                "no such field where the role is writer; remove it, or set role to follower",
            )),
            (RoleName::Follower, None) => Err(field(
                "writer",
                "the address of the writer, such as 10.0.0.1:7400, as the role is follower",
            )),
        }
    }

    fn layout(&self) -> Result<Layout, ConfigError> {
        let names = self
            .zones
            .iter()
            .flat_map(|zone| [&zone.name, &zone.region]);
        for name in names {
            check(
                is_member_name(name),
                "zones",
                "names of letters, digits and - _ . : alone",
            )?;
        }
        let zones = self
            .zones
            .iter()
            .map(|zone| (ZoneName(zone.name.clone()), RegionName(zone.region.clone())));
        let layout = Layout::new(zones, self.buckets_per_region)?;
        check(
            layout.buckets() <= MAX_BUCKETS,
            "buckets_per_region",
            &format!("so many that all regions together have no more than {MAX_BUCKETS}"),
        )?;
        Ok(layout)
    }
}

fn check(holds: bool, name: &'static str, expected: &str) -> Result<(), ConfigError> {
    if holds {
        Ok(())
    } else {
        Err(field(name, expected))
    }
}

fn field(field: &'static str, expected: &str) -> ConfigError {
    ConfigError::Field {
        field,
        expected: expected.to_string(),
    }
}
