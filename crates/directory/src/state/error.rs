//! Why endpoints, members and records are rejected.

use super::bounds::MAX_MEMBERS;
use crate::entries::TableFull;
use crate::entry::{InvalidEntry, MAX_WEIGHT};
use crate::line::Version;
use bellsill_placement::{PlacementError, TableError};

/// Why an endpoint is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointError {
    /// The layout does not contain this zone.
    UnknownZone(String),
    /// An existing endpoint is declared with another destination, or in another region.
    Moved(String),
    /// The table has no capacity left.
    Full(TableFull),
}

impl std::fmt::Display for EndpointError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            EndpointError::UnknownZone(zone) => {
                write!(
                    f,
                    "zone: {zone} is not one of this installation; the control processes' `zones` declare it"
                )
            }
            EndpointError::Moved(id) => {
                write!(
                    f,
                    "cell, zone: {id} keeps its destination and region; remove it and declare another id"
                )
            }
            EndpointError::Full(TableFull::Endpoints) => {
                write!(f, "there are too many endpoints")
            }
            EndpointError::Full(TableFull::Names) => {
                write!(f, "zone, kind: there are too many different ones")
            }
        }
    }
}

impl std::error::Error for EndpointError {}

/// Why a member is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberError {
    /// The name contains characters that are not allowed, is empty or is too long.
    Name(String),
    /// The layout does not contain this zone.
    UnknownZone(String),
    /// The weight is out of range.
    Weight(f64),
    /// There would be more than [`MAX_MEMBERS`] members.
    TooMany,
}

impl std::fmt::Display for MemberError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            MemberError::Name(name) => {
                write!(
                    f,
                    "name: expected letters, digits and - _ . : alone, not {name:?}"
                )
            }
            MemberError::UnknownZone(zone) => {
                write!(
                    f,
                    "zone: {zone} is not one of this installation; the control processes' `zones` declare it"
                )
            }
            MemberError::Weight(weight) => {
                write!(
                    f,
                    "weight: expected a number from 0 to {MAX_WEIGHT}, not {weight}"
                )
            }
            MemberError::TooMany => write!(f, "there would be more than {MAX_MEMBERS} members"),
        }
    }
}

impl std::error::Error for MemberError {}

/// Why a record is not applied. The directory is unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyError {
    /// A record is not the next one, or an endpoint has a later version than its snapshot or transfer.
    VersionOutOfOrder {
        /// The expected version of a record, or the latest possible version of an endpoint.
        expected: Version,
        /// The version of the record or endpoint.
        found: Version,
    },
    /// An endpoint is rejected.
    Endpoint(EndpointError),
    /// A member is rejected.
    Member(MemberError),
    /// A change of the assignment is rejected.
    Placement(PlacementError),
    /// The assignment table of a snapshot or transfer is rejected.
    Table(TableError),
    /// The zones or buckets differ from those configured for this process.
    LayoutMismatch,
    /// An endpoint of a snapshot or transfer is invalid.
    Entry(InvalidEntry),
}

impl std::fmt::Display for ApplyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ApplyError::VersionOutOfOrder { expected, found } => {
                write!(
                    f,
                    "version {} came where {} was expected",
                    found.0, expected.0
                )
            }
            ApplyError::Endpoint(error) => write!(f, "an endpoint is refused: {error}"),
            ApplyError::Member(error) => write!(f, "a member is refused: {error}"),
            ApplyError::Placement(error) => write!(f, "the assignment: {error}"),
            ApplyError::Table(error) => write!(f, "the assignment: {error}"),
            ApplyError::LayoutMismatch => write!(
                f,
                "the zones or buckets_per_region are others than those configured here; \
                 all control processes of an installation need the same, from its first start on"
            ),
            ApplyError::Entry(error) => write!(f, "an endpoint cannot be read: {error}"),
        }
    }
}

impl std::error::Error for ApplyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ApplyError::VersionOutOfOrder { .. } | ApplyError::LayoutMismatch => None,
            ApplyError::Endpoint(error) => Some(error),
            ApplyError::Member(error) => Some(error),
            ApplyError::Placement(error) => Some(error),
            ApplyError::Table(error) => Some(error),
            ApplyError::Entry(error) => Some(error),
        }
    }
}
