//! The installation file: which dispatcher this one is, its control processes, and the layout of zones and buckets. With
//! it a dispatcher has a part of the configuration (`docs/configuration.md`); without it, everything that discovery sends.

use bellsill_directory::entry::is_member_name;
use bellsill_discovery_client::scoped_list::{DEFAULT_CACHE_DESTINATIONS, MAX_CACHED_DESTINATIONS};
use bellsill_placement::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionName, ZoneName};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// A longer list of control processes is a mistake.
const MAX_CONTROL_PROCESSES: usize = 64;

/// What the file says, checked.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The name by which this dispatcher is declared.
    pub dispatcher: String,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// Where the control processes listen.
    pub control: Vec<SocketAddr>,
    /// The zones by region, and the buckets that destinations are divided into.
    pub layout: Arc<Layout>,
    /// How many destinations outside of its buckets it caches.
    pub cache_destinations: usize,
}

/// Why a file is rejected.
#[derive(Debug, Error)]
pub enum InstallationError {
    /// It could not be read from disk.
    #[error("{path}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What reading it failed with.
        source: std::io::Error,
    },
    /// It is no TOML, or a field is missing, unknown or of another type.
    #[error("{path}: not as an installation file has to be: {reason}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Where in the file and why.
        reason: Box<toml::de::Error>,
    },
    /// A field has a value that makes no sense.
    #[error("{path}: field `{field}`: expected {expected}")]
    Field {
        /// The file.
        path: PathBuf,
        /// The field's name.
        field: &'static str,
        /// What its value should be.
        expected: String,
    },
    /// The zones and buckets make no layout.
    #[error("{path}: fields `zones` and `buckets_per_region`: {reason}")]
    Layout {
        /// The file.
        path: PathBuf,
        /// What is wrong with them.
        reason: LayoutError,
    },
}

/// The file as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct InstallationFile {
    dispatcher: String,
    zone: String,
    control: Vec<SocketAddr>,
    zones: Vec<ZoneEntry>,
    #[serde(default = "default_buckets_per_region")]
    buckets_per_region: u32,
    #[serde(default = "default_cache_destinations")]
    cache_destinations: usize,
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

fn default_cache_destinations() -> usize {
    DEFAULT_CACHE_DESTINATIONS
}

impl Installation {
    /// Reads a file and checks all of it.
    pub fn read(path: &Path) -> Result<Installation, InstallationError> {
        let text =
            std::fs::read_to_string(path).map_err(|source| InstallationError::Unreadable {
                path: path.to_path_buf(),
                source,
            })?;
        Installation::parse(path, &text)
    }

    /// Checks the text of the file at `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Installation, InstallationError> {
        let file: InstallationFile =
            toml::from_str(text).map_err(|reason| InstallationError::Malformed {
                path: path.to_path_buf(),
                reason: Box::new(reason),
            })?;
        file.check().map_err(|bad| bad.in_file(path))
    }
}

/// What is wrong with the text of a file, whose path is added by [`Invalid::in_file`].
enum Invalid {
    Field(&'static str, String),
    Layout(LayoutError),
}

impl Invalid {
    fn in_file(self, path: &Path) -> InstallationError {
        let path = path.to_path_buf();
        match self {
            Invalid::Field(field, expected) => InstallationError::Field {
                path,
                field,
                expected,
            },
            Invalid::Layout(reason) => InstallationError::Layout { path, reason },
        }
    }
}

impl InstallationFile {
    fn check(self) -> Result<Installation, Invalid> {
        expect(
            is_member_name(&self.dispatcher),
            "dispatcher",
            "the name by which POST /v2/members declares it: letters, digits and - _ . : alone",
        )?;
        let distinct: BTreeSet<&SocketAddr> = self.control.iter().collect();
        expect(
            (1..=MAX_CONTROL_PROCESSES).contains(&self.control.len()),
            "control",
            &format!(
                "1 to {MAX_CONTROL_PROCESSES} addresses of control processes, such as 10.0.0.1:7400"
            ),
        )?;
        expect(
            distinct.len() == self.control.len(),
            "control",
            "each address once",
        )?;
        expect(
            (1..=MAX_CACHED_DESTINATIONS).contains(&self.cache_destinations),
            "cache_destinations",
            &format!(
                "a whole number from 1 to {MAX_CACHED_DESTINATIONS}, as many as a control process tells"
            ),
        )?;
        expect(
            self.zones
                .iter()
                .all(|zone| is_member_name(&zone.name) && is_member_name(&zone.region)),
            "zones",
            "names of letters, digits and - _ . : alone",
        )?;
        let zones = self
            .zones
            .iter()
            .map(|zone| (ZoneName(zone.name.clone()), RegionName(zone.region.clone())));
        let layout = Layout::new(zones, self.buckets_per_region).map_err(Invalid::Layout)?;
        let zone = ZoneName(self.zone);
        expect(
            layout.region_of(&zone).is_some(),
            "zone",
            "one of the zones under `zones`: the one that this dispatcher runs in",
        )?;
        Ok(Installation {
            dispatcher: self.dispatcher,
            zone,
            control: self.control,
            layout: Arc::new(layout),
            cache_destinations: self.cache_destinations,
        })
    }
}

fn expect(holds: bool, field: &'static str, expected: &str) -> Result<(), Invalid> {
    if holds {
        Ok(())
    } else {
        Err(Invalid::Field(field, expected.to_string()))
    }
}
