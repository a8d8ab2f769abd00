//! A point in the log of the configuration.

use crate::line::Version;
use serde::{Deserialize, Serialize};

/// Identifies a log of the configuration. Versions of different logs cannot be compared.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogId(
    /// A random value, assigned when the log is created.
    pub String,
);

/// The point in the log at which a snapshot was taken or a transfer began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RestorePoint {
    /// The log to which the versions belong.
    pub log: LogId,
    /// All records up to this version are included.
    pub version: Version,
    /// Endpoints that were removed up to this version may have been purged, and are then omitted.
    pub forgotten: Version,
}
