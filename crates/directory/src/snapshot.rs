//! Snapshots of the configuration. A snapshot is a sequence of separately encoded parts, from a head to an end.

use crate::line::EndpointEntry;
use crate::record::{self, InvalidRecord};
use crate::state::{ApplyError, Directory, Restore, RestorePoint, Retention};
use bellsill_placement::{AssignmentTable, Layout, Member};
use serde::{Deserialize, Serialize};

/// The format version of the parts.
const FORMAT: u32 = 1;
/// The maximum number of endpoints in one part.
const MAX_ENDPOINTS_IN_PART: usize = 1000;

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SnapshotPart {
    /// The first part.
    Head {
        /// The format version of the parts.
        format: u32,
        /// The point in the log at which the snapshot was taken.
        point: RestorePoint,
        /// The layout to which bucket numbers refer.
        layout: Layout,
    },
    /// All members, and the assignment of buckets to them.
    Members {
        /// The declared dispatchers, present or not.
        members: Vec<Member>,
        /// The assignment.
        table: AssignmentTable,
    },
    /// Some endpoints, with the versions of their last changes.
    Endpoints(Vec<EndpointEntry>),
    /// The last part.
    End {
        /// The total number of endpoints in all parts.
        endpoints: usize,
    },
}

/// Why a snapshot is rejected. No part of a rejected snapshot is used.
#[derive(Clone, Debug, PartialEq)]
pub enum SnapshotError {
    /// A part cannot be decoded.
    Part(InvalidRecord),
    /// The snapshot has another format version.
    UnknownFormat(u32),
    /// The zones or buckets differ from those configured for this process.
    LayoutMismatch,
    /// Parts are missing or out of order.
    OutOfOrder,
    /// The last part is missing, or its count of endpoints differs from the number read.
    Incomplete,
    /// The content of a part is rejected.
    Apply(ApplyError),
}

impl std::fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            SnapshotError::Part(error) => write!(f, "invalid part: {error}"),
            SnapshotError::UnknownFormat(format) => {
                write!(
                    f,
                    "format version {format} is not supported, expected {FORMAT}; run the program version that \
                     wrote it"
                )
            }
            SnapshotError::LayoutMismatch => write!(
                f,
                "its zones or buckets_per_region differ from the configured ones; restore the earlier settings, \
                 or start with an empty state directory"
            ),
            SnapshotError::OutOfOrder => write!(f, "it is damaged: its parts are out of order"),
            SnapshotError::Incomplete => write!(
                f,
                "it is damaged: its end or some of its endpoints are missing"
            ),
            SnapshotError::Apply(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for SnapshotError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SnapshotError::Part(error) => Some(error),
            SnapshotError::Apply(error) => Some(error),
            _ => None,
        }
    }
}

/// The encoded parts of a snapshot, in order.
pub fn encoded_parts(directory: &Directory) -> impl Iterator<Item = Vec<u8>> {
    let head = SnapshotPart::Head {
        format: FORMAT,
        point: RestorePoint {
            log: directory.log().clone(),
            version: directory.version(),
            forgotten: directory.forgotten(),
        },
        layout: directory.layout().clone(),
    };
    let members = SnapshotPart::Members {
        members: directory.members().to_vec(),
        table: directory.assignment().to_table(),
    };
    let end = SnapshotPart::End {
        endpoints: directory.entries().len(),
    };
    let parts = [head, members]
        .into_iter()
        .chain(endpoint_parts(directory))
        .chain([end]);
    parts.map(|part| record::encode(&part))
}

fn endpoint_parts(directory: &Directory) -> impl Iterator<Item = SnapshotPart> {
    let entries = directory.entries();
    let mut indexes = entries.after(None);
    std::iter::from_fn(move || {
        let next = indexes.by_ref().take(MAX_ENDPOINTS_IN_PART);
        let part: Vec<EndpointEntry> = next.filter_map(|index| entries.entry(index)).collect();
        (!part.is_empty()).then_some(SnapshotPart::Endpoints(part))
    })
}

/// Restores a directory from the parts of a snapshot.
pub struct SnapshotReader {
    layout: Layout,
    retention: Retention,
    restore: Option<Restore>,
    has_members: bool,
    endpoints: usize,
    ended: bool,
}

impl SnapshotReader {
    /// Creates a reader that accepts snapshots with this layout.
    pub fn new(layout: Layout, retention: Retention) -> SnapshotReader {
        SnapshotReader {
            layout,
            retention,
            restore: None,
            has_members: false,
            endpoints: 0,
            ended: false,
        }
    }

    /// Reads the next part.
    pub fn read_part(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        let part: SnapshotPart = record::decode(bytes).map_err(SnapshotError::Part)?;
        if self.ended {
            return Err(SnapshotError::OutOfOrder);
        }
        match (part, &mut self.restore) {
            (
                SnapshotPart::Head {
                    format,
                    point,
                    layout,
                },
                None,
            ) => self.read_head(format, point, layout),
            (SnapshotPart::Members { members, table }, Some(restore)) if !self.has_members => {
                self.has_members = true;
                restore.add_members(members).map_err(SnapshotError::Apply)?;
                restore.set_assignment(&table).map_err(SnapshotError::Apply)
            }
            (SnapshotPart::Endpoints(entries), Some(restore)) if self.has_members => {
                self.endpoints += entries.len();
                entries
                    .into_iter()
                    .try_for_each(|entry| restore.add_endpoint(entry))
                    .map_err(SnapshotError::Apply)
            }
            (SnapshotPart::End { endpoints }, Some(_)) if self.has_members => {
                self.ended = true;
                if endpoints == self.endpoints {
                    Ok(())
                } else {
                    Err(SnapshotError::Incomplete)
                }
            }
            _ => Err(SnapshotError::OutOfOrder),
        }
    }

    fn read_head(
        &mut self,
        format: u32,
        point: RestorePoint,
        layout: Layout,
    ) -> Result<(), SnapshotError> {
        if format != FORMAT {
            return Err(SnapshotError::UnknownFormat(format));
        }
        if layout != self.layout {
            return Err(SnapshotError::LayoutMismatch);
        }
        self.restore = Some(Restore::begin(layout, point, self.retention));
        Ok(())
    }

    /// Returns the directory, or an error if the last part has not been read.
    pub fn finish(self) -> Result<Directory, SnapshotError> {
        let restore = self.restore.filter(|_| self.ended);
        restore
            .map(Restore::finish)
            .ok_or(SnapshotError::Incomplete)
    }
}
