//! The records of the configuration log, and their encoding. Each record is one version.

use crate::entry::Endpoint;
use crate::line::Version;
use bellsill_placement::{AssignmentChange, Member};
use serde::{Deserialize, Serialize};

/// The most endpoints that one record holds, so that a record of endpoints fits on one line of a watch.
pub const MAX_ENDPOINTS_IN_RECORD: usize = 100;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The endpoints as they are now; a removed one has that state.
    EndpointsChanged(Vec<Endpoint>),
    /// The members as they are now.
    MembersChanged(Vec<Member>),
    /// Buckets have other holders.
    AssignmentChanged(AssignmentChange),
}

/// A record with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// The version of the configuration with this record.
    pub version: Version,
    /// What has changed.
    pub record: Record,
}

/// Encodes a record, or a part of a snapshot.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing to memory fails only for maps whose keys are not strings, and records have no maps.
    serde_json::to_vec(value).expect("records have no maps")
}

/// Decodes what [`encode`] returned; bytes after the end are an error.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, InvalidRecord> {
    serde_json::from_slice(bytes).map_err(|error| InvalidRecord(error.to_string()))
}

/// Why bytes are not a record.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRecord(
    /// What the JSON decoder reported.
    pub String,
);

impl std::fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a record that cannot be decoded: {}", self.0)
    }
}

impl std::error::Error for InvalidRecord {}
