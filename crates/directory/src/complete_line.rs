//! The lines of a watch on the complete configuration, which the leader sends to a follower.

use crate::entry::{Endpoint, InvalidEntry};
use crate::line::{EndpointEntry, Version};
use crate::record::{LoggedRecord, Record};
use bellsill_placement::{AssignmentChange, AssignmentTable, Member};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest line between control processes, in bytes. Only lines with members or the assignment come near it; lines
/// with endpoints alone are at most [`LONGEST_LINE`](crate::line::LONGEST_LINE) long.
pub const MAX_COMPLETE_LINE_BYTES: usize = 4 * 1024 * 1024;

/// The position of a line in the transfer of the complete configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TransferStep {
    /// The first line, with the members and the assignment. The transfer replaces all earlier state of the follower.
    Begin,
    /// A line with the current values of endpoints, in any order.
    Piece,
    /// The last line.
    End,
}

/// A member with the version of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberLine {
    /// The new value of the member.
    #[serde(flatten)]
    pub member: Member,
    /// The version of the change.
    #[serde(rename = "v")]
    pub version: Version,
}

/// A change of the assignment with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AssignmentLine {
    /// The change.
    #[serde(flatten)]
    pub change: AssignmentChange,
    /// The version of the change.
    #[serde(rename = "v")]
    pub version: Version,
}

/// One line of a watch on the complete configuration. A line without `transfer` contains changes; all changes of one
/// version are on the same line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompleteLine {
    /// After this line, all changes up to this version have been sent.
    pub version: Version,
    /// Always false, as in a scoped watch.
    pub full: bool,
    /// The log to which the versions belong; present only on the first line and at the beginning of a transfer.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    /// Present on the lines of a transfer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<TransferStep>,
    /// At the beginning of a transfer: the transfer may omit endpoints that were removed up to this version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forgotten: Option<Version>,
    /// At the beginning of a transfer: the assignment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<AssignmentTable>,
    /// Members that have changed; at the beginning of a transfer, all members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberLine>,
    /// Changes of the assignment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignment: Vec<AssignmentLine>,
    /// Endpoints that have changed or, on a piece of a transfer, the next endpoints.
    pub servers: Vec<EndpointEntry>,
}

/// Why the changes of a line cannot be converted to records.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidChanges {
    /// An endpoint is invalid.
    Entry(InvalidEntry),
    /// Changes of different kinds have the same version, or the assignment changes twice in one version.
    MixedVersion(Version),
}

impl std::fmt::Display for InvalidChanges {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            InvalidChanges::Entry(error) => write!(f, "invalid endpoint: {error}"),
            InvalidChanges::MixedVersion(version) => {
                write!(
                    f,
                    "version {} mixes changes of endpoints, members or the assignment",
                    version.0
                )
            }
        }
    }
}

impl std::error::Error for InvalidChanges {}

impl CompleteLine {
    /// Adds the changes of a record to the line.
    pub fn add(&mut self, logged: LoggedRecord) {
        let version = logged.version;
        match logged.record {
            Record::EndpointsChanged(endpoints) => {
                self.servers.extend(
                    endpoints
                        .into_iter()
                        .map(|endpoint| endpoint.into_entry(version)),
                );
            }
            Record::MembersChanged(members) => {
                self.members.extend(
                    members
                        .into_iter()
                        .map(|member| MemberLine { member, version }),
                );
            }
            Record::AssignmentChanged(change) => {
                self.assignment.push(AssignmentLine { change, version })
            }
        }
    }

    /// Converts the changes of the line to records, sorted by version.
    pub fn into_records(self) -> Result<Vec<LoggedRecord>, InvalidChanges> {
        let mut records: BTreeMap<Version, Record> = BTreeMap::new();
        for entry in self.servers {
            let version = entry.version;
            let endpoint = Endpoint::try_from(entry).map_err(InvalidChanges::Entry)?;
            match records
                .entry(version)
                .or_insert_with(|| Record::EndpointsChanged(Vec::new()))
            {
                Record::EndpointsChanged(endpoints) => endpoints.push(endpoint),
                _ => return Err(InvalidChanges::MixedVersion(version)),
            }
        }
        for MemberLine { member, version } in self.members {
            match records
                .entry(version)
                .or_insert_with(|| Record::MembersChanged(Vec::new()))
            {
                Record::MembersChanged(members) => members.push(member),
                _ => return Err(InvalidChanges::MixedVersion(version)),
            }
        }
        for AssignmentLine { change, version } in self.assignment {
            if records
                .insert(version, Record::AssignmentChanged(change))
                .is_some()
            {
                return Err(InvalidChanges::MixedVersion(version));
            }
        }
        Ok(records
            .into_iter()
            .map(|(version, record)| LoggedRecord { version, record })
            .collect())
    }
}
