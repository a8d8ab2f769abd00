//! The lines of a watch on the complete configuration, by which one control process follows another.

use crate::entry::{Endpoint, InvalidEntry};
use crate::line::{EndpointEntry, Version};
use crate::record::{LoggedRecord, Record};
use bellsill_placement::{AssignmentChange, AssignmentTable, Member};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest line among control processes, in bytes. Only changes of the assignment come near it: those of endpoints
/// keep to
/// [`LONGEST_LINE`](crate::line::LONGEST_LINE).
pub const MAX_COMPLETE_LINE_BYTES: usize = 4 * 1024 * 1024;

/// The position of a line in the transfer of the complete configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TransferStep {
    /// The first line, with the members and the assignment. What follows replaces everything known before.
    Begin,
    /// A line with endpoints as they are now, in any order.
    Piece,
    /// The last line.
    End,
}

/// A member with the version of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberLine {
    /// The member as it is now.
    #[serde(flatten)]
    pub member: Member,
    /// The version of the change.
    #[serde(rename = "v")]
    pub version: Version,
}

/// A change of the assignment with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AssignmentLine {
    /// What has changed.
    #[serde(flatten)]
    pub change: AssignmentChange,
    /// The version of the change.
    #[serde(rename = "v")]
    pub version: Version,
}

/// One line of a watch on the complete configuration. Without `transfer` it has changes; those of one version are on one
/// line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompleteLine {
    /// All changes up to this version have been sent with this line.
    pub version: Version,
    /// Always false, as in a scoped watch.
    pub full: bool,
    /// The log that versions count; absent except on the first line and at the beginning of a transfer.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    /// Present on the lines of a transfer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<TransferStep>,
    /// At the beginning of a transfer: removals up to this version may be missing in it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forgotten: Option<Version>,
    /// At the beginning of a transfer: the assignment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<AssignmentTable>,
    /// Members that have changed; at the beginning of a transfer all of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberLine>,
    /// Changes of the assignment.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignment: Vec<AssignmentLine>,
    /// Endpoints that have changed, or that a transfer has reached.
    pub servers: Vec<EndpointEntry>,
}

/// Why the changes of a line are not records.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidChanges {
    /// An endpoint is invalid.
    Entry(InvalidEntry),
    /// Changes of different kinds have the same version.
    MixedVersion(Version),
}

impl std::fmt::Display for InvalidChanges {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            InvalidChanges::Entry(error) => write!(f, "an endpoint cannot be read: {error}"),
            InvalidChanges::MixedVersion(version) => {
                write!(
                    f,
                    "version {} changes endpoints, members or the assignment at once",
                    version.0
                )
            }
        }
    }
}

impl std::error::Error for InvalidChanges {}

impl CompleteLine {
    /// Adds the changes of a record.
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

    /// The changes of the line as records, in the order of their versions.
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
