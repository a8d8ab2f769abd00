//! Points in the log of the configuration.

use crate::line::Version;
use serde::{Deserialize, Serialize};

/// Identifies a log of the configuration. Versions of one log mean nothing in another one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogId(
    /// Random, assigned when the log begins.
    pub String,
);

/// The point in the log that a snapshot or transfer is of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RestorePoint {
    /// The log that the versions count.
    pub log: LogId,
    /// All records up to this version are contained.
    pub version: Version,
    /// Removals up to this version may be missing.
    pub forgotten: Version,
}
