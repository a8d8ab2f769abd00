//! The installation file: the name of this dispatcher, its control processes, and the layout of zones and buckets. With
//! an installation file, a dispatcher holds only its scope of the configuration (`docs/configuration.md`); without one,
//! it holds everything that discovery sends.

use bellsill_directory::entry::is_member_name;
use bellsill_discovery_client::scoped_list::{DEFAULT_CACHE_DESTINATIONS, MAX_CACHED_DESTINATIONS};
use bellsill_placement::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionName, ZoneName};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// The maximum number of control processes; a longer list is assumed to be a mistake.
const MAX_CONTROL_PROCESSES: usize = 64;

/// The validated contents of an installation file.
#[derive(Clone, Debug)]
pub struct Installation {
    /// The name that this dispatcher is registered under.
    pub dispatcher: String,
    /// The zone of this dispatcher.
    pub zone: ZoneName,
    /// The addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// The zones of each region, and the buckets that destinations are divided into.
    pub layout: Arc<Layout>,
    /// The maximum number of destinations outside its own buckets that this dispatcher caches.
    pub cache_destinations: usize,
}

/// An error in an installation file.
#[derive(Debug, Error)]
pub enum InstallationError {
    /// The installation file could not be read.
    #[error("{path}: cannot read the installation file: {source}")]
    Unreadable {
        /// The path of the installation file.
        path: PathBuf,
        /// The error of reading the file.
        source: std::io::Error,
    },
    /// The installation file is not valid TOML, or a field is missing, unknown or of the wrong type.
    #[error("{path}: invalid installation file: {reason}")]
    Malformed {
        /// The path of the installation file.
        path: PathBuf,
        /// The position and cause of the error.
        reason: Box<toml::de::Error>,
    },
    /// A field has an invalid value.
    #[error("{path}: field `{field}`: expected {expected}")]
    Field {
        /// The path of the installation file.
        path: PathBuf,
        /// The field's name.
        field: &'static str,
        /// A description of the valid values.
        expected: String,
    },
    /// The zones and buckets do not form a valid layout.
    #[error("{path}: fields `zones` and `buckets_per_region`: {reason}")]
    Layout {
        /// The path of the installation file.
        path: PathBuf,
        /// The reason that the layout is invalid.
        reason: LayoutError,
    },
}

/// The file as deserialized from TOML, before validation.
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
    /// Reads and validates a file.
    pub fn read(path: &Path) -> Result<Installation, InstallationError> {
        let text =
            std::fs::read_to_string(path).map_err(|source| InstallationError::Unreadable {
                path: path.to_path_buf(),
                source,
            })?;
        Installation::parse(path, &text)
    }

    /// Parses and validates the text of the file at `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Installation, InstallationError> {
        let file: InstallationFile =
            toml::from_str(text).map_err(|reason| InstallationError::Malformed {
                path: path.to_path_buf(),
                reason: Box::new(reason),
            })?;
        file.validate().map_err(|error| error.in_file(path))
    }
}

/// A validation error without the path of the file, which [`ValidationError::in_file`] adds.
enum ValidationError {
    Field(&'static str, String),
    Layout(LayoutError),
}

impl ValidationError {
    fn in_file(self, path: &Path) -> InstallationError {
        let path = path.to_path_buf();
        match self {
            ValidationError::Field(field, expected) => InstallationError::Field {
                path,
                field,
                expected,
            },
            ValidationError::Layout(reason) => InstallationError::Layout { path, reason },
        }
    }
}

impl InstallationFile {
    fn validate(self) -> Result<Installation, ValidationError> {
        require(
            is_member_name(&self.dispatcher),
            "dispatcher",
            "the name that POST /v2/members registers, made up of letters, digits and - _ . : only",
        )?;
        let unique_addresses: BTreeSet<&SocketAddr> = self.control.iter().collect();
        require(
            (1..=MAX_CONTROL_PROCESSES).contains(&self.control.len()),
            "control",
            &format!(
                "1 to {MAX_CONTROL_PROCESSES} addresses of control processes, such as 10.0.0.1:7400"
            ),
        )?;
        require(
            unique_addresses.len() == self.control.len(),
            "control",
            "each address once",
        )?;
        require(
            (1..=MAX_CACHED_DESTINATIONS).contains(&self.cache_destinations),
            "cache_destinations",
            &format!(
                "a whole number from 1 to {MAX_CACHED_DESTINATIONS}, the most that a control process sends"
            ),
        )?;
        require(
            self.zones
                .iter()
                .all(|zone| is_member_name(&zone.name) && is_member_name(&zone.region)),
            "zones",
            "names made up of letters, digits and - _ . : only",
        )?;
        let zones = self
            .zones
            .iter()
            .map(|zone| (ZoneName(zone.name.clone()), RegionName(zone.region.clone())));
        let layout =
            Layout::new(zones, self.buckets_per_region).map_err(ValidationError::Layout)?;
        let zone = ZoneName(self.zone);
        require(
            layout.region_of(&zone).is_some(),
            "zone",
            "one of the zones listed in `zones`: the one that this dispatcher runs in",
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

fn require(condition: bool, field: &'static str, expected: &str) -> Result<(), ValidationError> {
    if condition {
        Ok(())
    } else {
        Err(ValidationError::Field(field, expected.to_string()))
    }
}
