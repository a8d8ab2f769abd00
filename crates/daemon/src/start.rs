//! What a dispatcher needs at its start: the platform's configuration file, the state folder and the installation file.

use crate::installation::{Installation, InstallationError};
use bellsill_settings::{FieldReader, InvalidField, PlatformSettings};
use serde_json::Value;
use std::ffi::OsStr;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The platform's megabyte, of its limits.
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Fewer sockets leave none for clients.
const MIN_SOCKETS: u64 = 32;
/// Names the operators' address where the file does not.
const MANAGEMENT_VARIABLE: &str = "RELAY_MGMT";

/// The configuration of one dispatcher.
pub struct Start {
    /// The name by which the platform knows it.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens, which notifications go to as well.
    pub discovery: SocketAddr,
    /// Where operators connect, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// The memory limit.
    pub memory_bytes: u64,
    /// The limit of open sockets.
    pub sockets: usize,
    /// The disk quota of the state folder.
    pub disk_bytes: u64,
    /// The endpoint list as the platform knew it at the start.
    pub known: Value,
    /// The platform's settings of the decisions.
    pub boot: PlatformSettings,
    /// The state folder, which outlasts the process.
    pub state: PathBuf,
    /// Where it has only a part of the configuration; `None` where discovery sends everything.
    pub installation: Option<Installation>,
    /// What it was read from, to be read again on a reload; `None` where it came from no file.
    pub source: Option<Source>,
    /// The fields that only a restart applies, with their values.
    pub fixed: Vec<(&'static str, Value)>,
}

/// What a configuration is read from.
#[derive(Clone, Debug)]
pub struct Source {
    /// The platform's file.
    pub file: PathBuf,
    /// The state folder that was named beside it, in place of the file's `state`.
    pub state: Option<PathBuf>,
}

/// The fields of the file that only a restart applies. `known` is the list before the start, and `seed` is new with each
/// start: neither is compared on a reload.
const RESTART_ONLY_FIELDS: [&str; 5] = ["name", "listen", "limits", "settings", "state"];

/// Why a configuration is rejected.
#[derive(Debug, Error)]
pub enum StartError {
    /// The file could not be read from disk.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What reading it failed with.
        source: io::Error,
    },
    /// The file is no JSON.
    #[error("{path}: not JSON: {source}")]
    NotJson {
        /// The file.
        path: PathBuf,
        /// Where in the file and why.
        source: serde_json::Error,
    },
    /// A field is missing, or its value makes no sense.
    #[error("configuration: {0}")]
    Field(InvalidField),
    /// The environment names an operators' address that is none.
    #[error("{path}: RELAY_MGMT: `{value}` is no address such as 127.0.0.1:9100")]
    ManagementAddress {
        /// The file, which names no such address.
        path: PathBuf,
        /// The variable's value.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The installation file is rejected.
    #[error(transparent)]
    Installation(#[from] InstallationError),
}

impl From<InvalidField> for StartError {
    fn from(invalid: InvalidField) -> Self {
        StartError::Field(invalid)
    }
}

/// Reads the platform's file. The state folder is the one given here, or else the file's `state`.
pub fn read(path: &Path, state: Option<PathBuf>) -> Result<Start, StartError> {
    let text = std::fs::read_to_string(path).map_err(|source| StartError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    let json: Value = serde_json::from_str(&text).map_err(|source| StartError::NotJson {
        path: path.to_path_buf(),
        source,
    })?;
    let source = Source {
        file: path.to_path_buf(),
        state: state.clone(),
    };
    let mut start = Start {
        source: Some(source),
        ..parse(&json, state)?
    };
    if start.mgmt.is_none()
        && let Some(value) = std::env::var_os(MANAGEMENT_VARIABLE)
    {
        start.mgmt = Some(parse_management_address(path, &value)?);
    }
    Ok(start)
}

fn parse_management_address(path: &Path, value: &OsStr) -> Result<SocketAddr, StartError> {
    let value = value.to_string_lossy();
    value
        .parse()
        .map_err(|source| StartError::ManagementAddress {
            path: path.to_path_buf(),
            value: value.into_owned(),
            source,
        })
}

/// Reads the platform's file and the installation file, if there is one.
pub fn read_all(
    path: &Path,
    state: Option<PathBuf>,
    installation: Option<&Path>,
) -> Result<Start, StartError> {
    let start = read(path, state)?;
    let installation = installation.map(Installation::read).transpose()?;
    Ok(Start {
        installation,
        ..start
    })
}

fn parse(json: &Value, state: Option<PathBuf>) -> Result<Start, InvalidField> {
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
            return Err(reader.invalid("state", "a folder that lasts, here or by RELAY_STATE"));
        }
    };
    let boot = bellsill_settings::read(settings, seed, "settings")?;
    if boot.settings.max_batch.iter().any(|most| *most > 1) {
        return Err(reader.invalid(
            "settings.family-info.per-call",
            "1 for each kind: a call to an endpoint carries one message",
        ));
    }
    Ok(Start {
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
        boot,
        state,
        installation: None,
        source: None,
        fixed: RESTART_ONLY_FIELDS
            .map(|field| (field, json.get(field).cloned().unwrap_or(Value::Null)))
            .to_vec(),
    })
}
