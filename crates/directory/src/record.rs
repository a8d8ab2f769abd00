//! The records of the configuration log, and their encoding. Each record is one version.

use crate::entry::Endpoint;
use crate::line::Version;
use bellsill_placement::{AssignmentChange, Member};
use serde::{Deserialize, Serialize};

/// The maximum number of endpoints in one record; it ensures that a record of endpoints fits on one line of a watch.
pub const MAX_ENDPOINTS_IN_RECORD: usize = 100;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The new values of the changed endpoints; removed ones have the state `Removed`.
    EndpointsChanged(Vec<Endpoint>),
    /// The new values of the changed members.
    MembersChanged(Vec<Member>),
    /// Buckets have moved to other holders.
    AssignmentChanged(AssignmentChange),
}

/// A record with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// The version of the configuration after this record.
    pub version: Version,
    /// The change.
    pub record: Record,
}

/// Encodes a record, or a part of a snapshot.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serializing to memory fails only for maps with keys that are not strings, and records contain no maps.
    serde_json::to_vec(value).expect("records contain no maps")
}

/// Decodes the output of [`encode`]; trailing bytes are an error.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, InvalidRecord> {
    serde_json::from_slice(bytes).map_err(|error| InvalidRecord(error.to_string()))
}

/// The bytes are not a valid record.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRecord(
    /// The error of the JSON decoder.
    pub String,
);

impl std::fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a record that cannot be decoded: {}", self.0)
    }
}

impl std::error::Error for InvalidRecord {}
