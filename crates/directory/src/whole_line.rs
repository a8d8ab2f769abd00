//! The lines of a watch on the whole configuration, by which one control process follows another.

use crate::entry::{Endpoint, InvalidEntry};
use crate::line::{EndpointEntry, Version};
use crate::record::{LoggedRecord, Record};
use bellsill_placement::{AssignmentChange, AssignmentTable, Member};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest line among control processes. Only changes of the assignment come near it: those of endpoints keep to
/// [`LONGEST_LINE`](crate::line::LONGEST_LINE).
pub const LONGEST_WHOLE_LINE: usize = 4 * 1024 * 1024;

/// Where a line stands in the transfer of the whole configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TransferStep {
    /// All known before is replaced by what follows. Has the members and the assignment.
    Begin,
    /// Has endpoints as they are now, in any order.
    Piece,
    /// All has been transferred.
    End,
}

/// A member at a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberLine {
    #[serde(flatten)]
    pub member: Member,
    #[serde(rename = "v")]
    pub version: Version,
}

/// A change of the assignment at a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AssignmentLine {
    #[serde(flatten)]
    pub change: AssignmentChange,
    #[serde(rename = "v")]
    pub version: Version,
}

/// One line of a watch on the whole configuration. Without `transfer` it has changes; all of one version are in one line.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WholeLine {
    /// All changes up to this version have been told with this line.
    pub version: Version,
    /// Always false, as in a scoped watch.
    pub full: bool,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub log: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub transfer: Option<TransferStep>,
    /// At the beginning of a transfer: removals up to this version may be missing in it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forgotten: Option<Version>,
    /// At the beginning of a transfer: the assignment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<AssignmentTable>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberLine>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub assignment: Vec<AssignmentLine>,
    pub servers: Vec<EndpointEntry>,
}

/// Why the changes of a line are no records.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidChanges {
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

impl WholeLine {
    /// Adds a record's changes.
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

    /// The records that the line's changes are, in the order of their versions.
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
