//! The records of the configuration log, and their encoding. Each record is one version.

use crate::entry::Endpoint;
use crate::line::Version;
use bellsill_placement::{AssignmentChange, Member};
use serde::{Deserialize, Serialize};

/// The most endpoints that one record holds, so that a record of endpoints fits on one line of a watch.
pub const MOST_ENDPOINTS_IN_RECORD: usize = 100;

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// These endpoints are now so; a removed one is told with its state.
    EndpointsChanged(Vec<Endpoint>),
    /// These members are now so.
    MembersChanged(Vec<Member>),
    /// Buckets have other holders.
    AssignmentChanged(AssignmentChange),
}

/// A record with the version that it makes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedRecord {
    pub version: Version,
    pub record: Record,
}

/// Encodes a record, or a part of a snapshot.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Writing to memory fails only for maps whose keys are no strings; there are none in records.
    serde_json::to_vec(value).expect("records have no maps")
}

/// Decodes what [`encode`] made; bytes behind the end are refused.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, InvalidRecord> {
    serde_json::from_slice(bytes).map_err(|error| InvalidRecord(error.to_string()))
}

/// Why bytes are no record.
#[derive(Clone, Debug, PartialEq)]
pub struct InvalidRecord(pub String);

impl std::fmt::Display for InvalidRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "a record that cannot be decoded: {}", self.0)
    }
}

impl std::error::Error for InvalidRecord {}
