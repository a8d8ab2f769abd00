//! What a dispatcher is told at its start: the platform's file, and the folder that lasts.

use crate::installation::{Installation, InstallationError};
use bellsill_settings::{InvalidField, PlatformSettings, Reader};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    pub memory_bytes: u64,
    pub sockets: usize,
    pub disk_bytes: u64,
    /// The list of endpoints as it was held last.
    pub known: Value,
    pub boot: PlatformSettings,
    pub state: PathBuf,
    /// Where it holds a part of the configuration alone; none where discovery tells it everything.
    pub installation: Option<Installation>,
    /// What it was read from, to be read again; none where it came from no file.
    pub source: Option<Source>,
    /// The fields that only a restart takes, as they were read.
    pub fixed: Vec<(&'static str, Value)>,
}

/// The file, and the folder named beside it.
#[derive(Clone, Debug)]
pub struct Source {
    pub file: PathBuf,
    pub state: Option<PathBuf>,
}

/// The fields of the configuration that a dispatcher keeps until it is started again. `known` is what the list was
/// before the start, and `seed` is new with each start: neither is looked at again.
const FIXED: [&str; 5] = ["name", "listen", "limits", "settings", "state"];

/// Why a dispatcher cannot start.
#[derive(Debug)]
pub enum BadStart {
    Field(InvalidField),
    File(PathBuf, String),
    Installation(InstallationError),
}

impl From<InstallationError> for BadStart {
    fn from(bad: InstallationError) -> Self {
        BadStart::Installation(bad)
    }
}

impl From<InvalidField> for BadStart {
    fn from(bad: InvalidField) -> Self {
        BadStart::Field(bad)
    }
}

impl std::fmt::Display for BadStart {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            BadStart::Field(bad) => write!(f, "configuration: {bad}"),
            BadStart::File(path, why) => write!(f, "{}: {why}", path.display()),
            BadStart::Installation(bad) => write!(f, "{bad}"),
        }
    }
}

/// Reads the platform's file. The folder is the one named here, or else the file's `state`.
pub fn read(path: &Path, state: Option<PathBuf>) -> Result<Start, BadStart> {
    let file = |why: String| BadStart::File(path.to_path_buf(), why);
    let text = std::fs::read_to_string(path).map_err(|e| file(e.to_string()))?;
    let json: Value = serde_json::from_str(&text).map_err(|e| file(format!("not JSON: {e}")))?;
    let source = Source {
        file: path.to_path_buf(),
        state: state.clone(),
    };
    let mut start = Start {
        source: Some(source),
        ..parse(&json, state)?
    };
    if let (None, Some(mgmt)) = (start.mgmt, std::env::var_os("RELAY_MGMT")) {
        let mgmt = mgmt.to_string_lossy();
        let bad = || {
            file(format!(
                "RELAY_MGMT: `{mgmt}` is no address such as 127.0.0.1:9100"
            ))
        };
        start.mgmt = Some(mgmt.parse().map_err(|_| bad())?);
    }
    Ok(start)
}

/// Reads the platform's file and that of the installation, if there is one.
pub fn read_all(
    path: &Path,
    state: Option<PathBuf>,
    installation: Option<&Path>,
) -> Result<Start, BadStart> {
    let start = read(path, state)?;
    let installation = installation.map(Installation::read).transpose()?;
    Ok(Start {
        installation,
        ..start
    })
}

pub fn parse(json: &Value, state: Option<PathBuf>) -> Result<Start, InvalidField> {
    let r = Reader { json, place: "" };
    let address = |field: &str| {
        r.need(field, "an address such as 127.0.0.1:6379", |v| {
            v.as_str()?.parse().ok()
        })
    };
    let seed = r.need("seed", "16 hex digits", |v| {
        u64::from_str_radix(v.as_str()?, 16).ok()
    })?;
    let settings = r.need("settings", "an object", |v| v.is_object().then_some(v))?;
    let known = r.need("known", "a list of endpoints", |v| {
        v.get("servers")?.is_array().then_some(v)
    })?;
    let state = match state {
        Some(state) => state,
        None => r
            .word("state")
            .map_err(|_| r.bad("state", "a folder that lasts, here or by RELAY_STATE"))?
            .into(),
    };
    let boot = bellsill_settings::read(settings, seed, "settings")?;
    if boot.settings.max_batch.iter().any(|most| *most > 1) {
        return Err(r.bad(
            "settings.family-info.per-call",
            "1 for each kind: a call to an endpoint carries one message",
        ));
    }
    Ok(Start {
        name: r.word("name")?.to_string(),
        listen: address("listen")?,
        discovery: address("discovery")?,
        mgmt: match json.get("mgmt") {
            None | Some(Value::Null) => None,
            Some(_) => Some(address("mgmt")?),
        },
        memory_bytes: (r.num("limits.memory_mb")? * 1e6) as u64,
        sockets: r.from(32, "limits.sockets")? as usize,
        disk_bytes: (r.num("limits.disk_mb")? * 1e6) as u64,
        known: known.clone(),
        boot,
        state,
        installation: None,
        source: None,
        fixed: FIXED
            .map(|field| (field, json.get(field).cloned().unwrap_or(Value::Null)))
            .to_vec(),
    })
}
