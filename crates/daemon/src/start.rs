//! The configuration of a dispatcher at startup: the platform's configuration file, the state directory and the
//! installation file.

use crate::installation::{Installation, InstallationError};
use crate::start_retry;
use bellsill_settings::{FieldReader, InvalidField, PlatformSettings};
use serde_json::Value;
use std::ffi::OsStr;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Megabytes in the platform's limits are decimal.
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// The smallest allowed socket limit; with fewer, no sockets would be left for clients.
const MIN_SOCKETS: u64 = 32;
/// The environment variable with the admin address, used if the configuration file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "RELAY_MGMT";

/// The configuration of one dispatcher.
pub struct StartConfig {
    /// The dispatcher's name on the platform.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery, which also receives notifications.
    pub discovery: SocketAddr,
    /// The address that admin requests are accepted on, if any.
    pub mgmt: Option<SocketAddr>,
    /// The memory limit in bytes.
    pub memory_bytes: u64,
    /// The limit on open sockets.
    pub sockets: usize,
    /// The disk quota of the state directory in bytes.
    pub disk_bytes: u64,
    /// The endpoint list that the platform knew when it started the dispatcher.
    pub known: Value,
    /// The platform's settings for the decision logic.
    pub platform: PlatformSettings,
    /// The state directory, which persists across restarts.
    pub state: PathBuf,
    /// The installation of a dispatcher that holds only a part of the configuration; `None` if discovery sends all of
    /// it.
    pub installation: Option<Installation>,
    /// The files to read again on a reload; `None` if the configuration was not read from a file.
    pub source: Option<Source>,
    /// The values of the fields that take effect only after a restart.
    pub restart_only: Vec<(&'static str, Value)>,
}

/// The source of a configuration.
#[derive(Clone, Debug)]
pub struct Source {
    /// The platform's configuration file.
    pub file: PathBuf,
    /// The state directory given on the command line or in the environment; it overrides the file's `state`.
    pub state: Option<PathBuf>,
}

/// The fields of the file that take effect only after a restart. A reload does not compare `known`, which is only the
/// initial list, or `seed`, which differs at each start.
const RESTART_ONLY_FIELDS: [&str; 5] = ["name", "listen", "limits", "settings", "state"];

/// An error in the configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The configuration file could not be read.
    #[error("{path}: cannot read the configuration file: {source}")]
    Unreadable {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of reading the file.
        source: io::Error,
    },
    /// The configuration file is not valid JSON.
    #[error("{path}: invalid JSON in the configuration file: {source}")]
    NotJson {
        /// The path of the configuration file.
        path: PathBuf,
        /// The position and cause of the syntax error.
        source: serde_json::Error,
    },
    /// A field is missing or has an invalid value.
    #[error("configuration: {0}")]
    Field(InvalidField),
    /// The environment variable `RELAY_MGMT` does not hold a socket address.
    #[error("{path}: RELAY_MGMT: `{value}` is not an address such as 127.0.0.1:9100")]
    AdminAddress {
        /// The configuration file, which has no `mgmt` address.
        path: PathBuf,
        /// The value of the variable.
        value: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The installation file is invalid.
    #[error(transparent)]
    Installation(#[from] InstallationError),
}

impl ConfigError {
    /// Whether reading the file failed with an error that may pass.
    pub(crate) fn may_pass(&self) -> bool {
        match self {
            ConfigError::Unreadable { source, .. }
            | ConfigError::Installation(InstallationError::Unreadable { source, .. }) => {
                start_retry::is_transient(source)
            }
            _ => false,
        }
    }
}

impl From<InvalidField> for ConfigError {
    fn from(invalid: InvalidField) -> Self {
        ConfigError::Field(invalid)
    }
}

/// Reads the platform's configuration file. `state` overrides the file's state directory.
pub fn read(path: &Path, state: Option<PathBuf>) -> Result<StartConfig, ConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    let json: Value = serde_json::from_str(&text).map_err(|source| ConfigError::NotJson {
        path: path.to_path_buf(),
        source,
    })?;
    let source = Source {
        file: path.to_path_buf(),
        state: state.clone(),
    };
    let mut start = StartConfig {
        source: Some(source),
        ..parse(&json, state)?
    };
    if start.mgmt.is_none()
        && let Some(value) = std::env::var_os(ADMIN_ADDRESS_VARIABLE)
    {
        start.mgmt = Some(parse_admin_address(path, &value)?);
    }
    Ok(start)
}

fn parse_admin_address(path: &Path, value: &OsStr) -> Result<SocketAddr, ConfigError> {
    let value = value.to_string_lossy();
    value.parse().map_err(|source| ConfigError::AdminAddress {
        path: path.to_path_buf(),
        value: value.into_owned(),
        source,
    })
}

/// Reads the platform's configuration file, and the installation file if one is given.
pub fn read_with_installation(
    path: &Path,
    state: Option<PathBuf>,
    installation: Option<&Path>,
) -> Result<StartConfig, ConfigError> {
    let start = read(path, state)?;
    let installation = installation.map(Installation::read).transpose()?;
    Ok(StartConfig {
        installation,
        ..start
    })
}

fn parse(json: &Value, state: Option<PathBuf>) -> Result<StartConfig, InvalidField> {
    let reader = FieldReader {
        json,
        path_prefix: "",
    };
    let address = |field: &str| {
        reader.require(field, "an address such as 127.0.0.1:6379", |v| {
            v.as_str()?.parse().ok()
        })
    };
    let seed = reader.require("seed", "16 hex digits", |v| {
        u64::from_str_radix(v.as_str()?, 16).ok()
    })?;
    let settings = reader.require("settings", "an object", |v| v.is_object().then_some(v))?;
    let known = reader.require("known", "a list of endpoints", |v| {
        v.get("servers")?.is_array().then_some(v)
    })?;
    let state = match (state, reader.string("state")) {
        (Some(state), _) => state,
        (None, Ok(state)) => state.into(),
        (None, Err(_)) => {
            return Err(reader.invalid(
                "state",
                "the path of the state directory, unless --state or RELAY_STATE gives it",
            ));
        }
    };
    let platform = bellsill_settings::read(settings, seed, "settings")?;
    if platform.settings.max_batch.iter().any(|max| *max > 1) {
        return Err(reader.invalid(
            "settings.family-info.per-call",
            "1 for each kind: each attempt carries one message",
        ));
    }
    Ok(StartConfig {
        name: reader.string("name")?.to_string(),
        listen: address("listen")?,
        discovery: address("discovery")?,
        mgmt: match json.get("mgmt") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address("mgmt")?),
        },
        memory_bytes: (reader.number("limits.memory_mb")? * BYTES_PER_MEGABYTE) as u64,
        sockets: reader.integer_at_least(MIN_SOCKETS, "limits.sockets")? as usize,
        disk_bytes: (reader.number("limits.disk_mb")? * BYTES_PER_MEGABYTE) as u64,
        known: known.clone(),
        platform,
        state,
        installation: None,
        source: None,
        restart_only: RESTART_ONLY_FIELDS
            .map(|field| (field, json.get(field).cloned().unwrap_or(Value::Null)))
            .to_vec(),
    })
}
