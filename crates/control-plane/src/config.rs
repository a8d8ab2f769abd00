//! Reads and validates the configuration file of a control process.

use bellsill_directory::entry::is_member_name;
use bellsill_directory::feed::FILL_RATE;
use bellsill_directory::rate_limiter::RateLimit;
use bellsill_placement::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The default time that a dispatcher may be absent before its buckets are reassigned.
const DEFAULT_RESTART_GRACE_SECONDS: u64 = 30;
/// The upper limit of `restart_grace_seconds`.
const MAX_RESTART_GRACE_SECONDS: u64 = 24 * 3600;
/// The maximum number of buckets in all regions together, so that a reassignment of all of them fits on one line of the
/// replication protocol.
const MAX_BUCKETS: u32 = 24_000;
/// The burst size of the fill rate limit, as seconds at the configured rate.
const FILL_BURST_SECONDS: u64 = 2;

/// How a control process handles writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes. Exactly one process of an installation has this role, named `writer` in the file.
    Leader,
    /// Replicates the leader and rejects writes.
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
    /// The address on which clients and other control processes connect.
    pub listen: SocketAddr,
    /// The state directory, which contains the log and the snapshots. Only one process at a time can use it.
    pub state_directory: PathBuf,
    /// Whether the process is the leader or a follower.
    pub role: Role,
    /// The zones, their regions and the number of buckets.
    pub layout: Layout,
    /// How long a dispatcher may be absent before its buckets are reassigned.
    pub restart_grace: Duration,
    /// The rate limit for sending the content of its buckets to a watcher.
    pub fill_rate_limit: RateLimit,
}

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or it has unknown fields, missing fields or fields of a wrong type.
    #[error("invalid configuration file: {0}")]
    Malformed(String),
    /// The value of a field is invalid.
    #[error("field {field}: expected {expected}")]
    Field {
        /// The name of the field.
        field: &'static str,
        /// What the field accepts.
        expected: String,
    },
    /// The zones and the number of buckets do not form a valid layout.
    #[error("field zones or buckets_per_region: {0}")]
    Layout(#[from] LayoutError),
}

/// The fields of the TOML file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    state: PathBuf,
    role: RoleField,
    writer: Option<SocketAddr>,
    zones: Vec<ZoneEntry>,
    #[serde(default = "default_buckets_per_region")]
    buckets_per_region: u32,
    #[serde(default = "default_restart_grace_seconds")]
    restart_grace_seconds: u64,
    #[serde(default = "default_fill_bytes_per_second")]
    fill_bytes_per_second: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RoleField {
    #[serde(rename = "writer")]
    Leader,
    Follower,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneEntry {
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
    /// Reads and validates a configuration file.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|source| ConfigError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Config::parse(&text)
    }

    /// Parses and validates the text of a configuration file.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let file: ConfigFile =
            toml::from_str(text).map_err(|error| ConfigError::Malformed(error.to_string()))?;
        let role = file.role()?;
        let layout = file.layout()?;
        require(
            is_member_name(&file.name),
            "name",
            "only letters, digits and the characters - _ . :",
        )?;
        require(
            !file.state.as_os_str().is_empty(),
            "state",
            "the path of a persistent directory",
        )?;
        require(
            (1..=MAX_RESTART_GRACE_SECONDS).contains(&file.restart_grace_seconds),
            "restart_grace_seconds",
            &format!("an integer from 1 to {MAX_RESTART_GRACE_SECONDS}"),
        )?;
        require(
            file.fill_bytes_per_second > 0,
            "fill_bytes_per_second",
            "an integer of at least 1",
        )?;
        let fill_rate_limit = RateLimit {
            bytes_per_second: file.fill_bytes_per_second,
            burst_bytes: file
                .fill_bytes_per_second
                .saturating_mul(FILL_BURST_SECONDS),
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            state_directory: file.state,
            role,
            layout,
            restart_grace: Duration::from_secs(file.restart_grace_seconds),
            fill_rate_limit,
        })
    }
}

impl ConfigFile {
    fn role(&self) -> Result<Role, ConfigError> {
        match (&self.role, self.writer) {
            (RoleField::Leader, None) => Ok(Role::Leader),
            (RoleField::Follower, Some(leader)) => Ok(Role::Follower { leader }),
            (RoleField::Leader, Some(_)) => Err(invalid_field(
                "writer",
                "no value if the role is writer; remove the field, or set role to follower",
            )),
            (RoleField::Follower, None) => Err(invalid_field(
                "writer",
                "the address of the writer, such as 10.0.0.1:7400, because the role is follower",
            )),
        }
    }

    fn layout(&self) -> Result<Layout, ConfigError> {
        let names = self
            .zones
            .iter()
            .flat_map(|zone| [&zone.name, &zone.region]);
        for name in names {
            require(
                is_member_name(name),
                "zones",
                "names with only letters, digits and the characters - _ . :",
            )?;
        }
        let zones = self
            .zones
            .iter()
            .map(|zone| (ZoneName(zone.name.clone()), RegionName(zone.region.clone())));
        let layout = Layout::new(zones, self.buckets_per_region)?;
        require(
            layout.buckets() <= MAX_BUCKETS,
            "buckets_per_region",
            &format!("a number with at most {MAX_BUCKETS} buckets in all regions together"),
        )?;
        Ok(layout)
    }
}

fn require(valid: bool, name: &'static str, expected: &str) -> Result<(), ConfigError> {
    if valid {
        Ok(())
    } else {
        Err(invalid_field(name, expected))
    }
}

fn invalid_field(field: &'static str, expected: &str) -> ConfigError {
    ConfigError::Field {
        field,
        expected: expected.to_string(),
    }
}
