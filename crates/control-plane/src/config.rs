//! The configuration file of a control process, read and checked as a whole.

use bellsill_directory::entry::is_member_name;
use bellsill_directory::feed::FILL_PACE;
use bellsill_directory::pace::PaceLimits;
use bellsill_placement::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// How long a dispatcher may be away before its buckets move, unless configured otherwise.
const RESTART_GRACE_SECONDS: u64 = 30;
/// The longest restart grace that makes sense.
const LONGEST_RESTART_GRACE_SECONDS: u64 = 24 * 3600;
/// The most buckets of all regions together: a change of all their holders fits on a line among control processes.
const MOST_BUCKETS: u32 = 24_000;
/// How much more than a second's bytes may be told at once.
const BURST_SECONDS: u64 = 2;

/// What a control process does with writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes them. One process of an installation has this role.
    Writer,
    /// Follows the writer at this address.
    Follower { writer: SocketAddr },
}

/// All that a control process is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The directory that holds the log and snapshots. One process at a time uses it.
    pub state: PathBuf,
    pub role: Role,
    pub layout: Layout,
    pub restart_grace: Duration,
    pub fill_pace: PaceLimits,
}

/// Why a configuration is not taken.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{path}: cannot be read: {source}")]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("not as a configuration has to be: {0}")]
    Malformed(String),
    #[error("field {field}: expected {expected}")]
    Field {
        field: &'static str,
        expected: String,
    },
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
    Writer,
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
    RESTART_GRACE_SECONDS
}

fn default_fill_bytes_per_second() -> u64 {
    FILL_PACE.bytes_per_second
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
            (1..=LONGEST_RESTART_GRACE_SECONDS).contains(&file.restart_grace_seconds),
            "restart_grace_seconds",
            &format!("a whole number from 1 to {LONGEST_RESTART_GRACE_SECONDS}"),
        )?;
        check(
            file.fill_bytes_per_second > 0,
            "fill_bytes_per_second",
            "a whole number from 1",
        )?;
        let fill_pace = PaceLimits {
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
            (RoleName::Writer, None) => Ok(Role::Writer),
            (RoleName::Follower, Some(writer)) => Ok(Role::Follower { writer }),
            (RoleName::Writer, Some(_)) => Err(field(
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
            layout.buckets() <= MOST_BUCKETS,
            "buckets_per_region",
            &format!("so many that all regions together have no more than {MOST_BUCKETS}"),
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
