//! Why endpoints, members and records are not taken.

use super::MOST_MEMBERS;
use crate::entries::TableFull;
use crate::entry::HEAVIEST_WEIGHT;
use crate::line::Version;
use bellsill_placement::{PlacementError, TableError};

/// Why an endpoint is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointRefused {
    UnknownZone(String),
    /// A known endpoint is named with another destination, or in another region.
    Moved(String),
    Full(TableFull),
}

impl std::fmt::Display for EndpointRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            EndpointRefused::UnknownZone(zone) => {
                write!(
                    f,
                    "zone: {zone} is not one of this installation; the control processes' `zones` declare it"
                )
            }
            EndpointRefused::Moved(id) => {
                write!(
                    f,
                    "cell, zone: {id} keeps its destination and region; remove it and declare another id"
                )
            }
            EndpointRefused::Full(TableFull::Endpoints) => {
                write!(f, "there are too many endpoints")
            }
            EndpointRefused::Full(TableFull::Names) => {
                write!(f, "zone, kind: there are too many different ones")
            }
        }
    }
}

/// Why a member is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberRefused {
    Name(String),
    UnknownZone(String),
    Weight(f64),
    TooMany,
}

impl std::fmt::Display for MemberRefused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            MemberRefused::Name(name) => {
                write!(
                    f,
                    "name: expected letters, digits and - _ . : alone, not {name:?}"
                )
            }
            MemberRefused::UnknownZone(zone) => {
                write!(
                    f,
                    "zone: {zone} is not one of this installation; the control processes' `zones` declare it"
                )
            }
            MemberRefused::Weight(weight) => {
                write!(
                    f,
                    "weight: expected a number from 0 to {HEAVIEST_WEIGHT}, not {weight}"
                )
            }
            MemberRefused::TooMany => write!(f, "there would be more than {MOST_MEMBERS} members"),
        }
    }
}

/// Why a record is not applied; the directory stays as it was.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyError {
    VersionOutOfOrder {
        expected: Version,
        found: Version,
    },
    Endpoint(EndpointRefused),
    Member(MemberRefused),
    Placement(PlacementError),
    /// The table of a snapshot or transfer cannot be taken.
    Table(TableError),
    /// The zones or buckets are not those of this process.
    OtherLayout,
    /// An endpoint of a snapshot or transfer cannot be read.
    Entry(String),
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
            ApplyError::Endpoint(refused) => write!(f, "an endpoint is refused: {refused}"),
            ApplyError::Member(refused) => write!(f, "a member is refused: {refused}"),
            ApplyError::Placement(error) => write!(f, "the assignment: {error}"),
            ApplyError::Table(error) => write!(f, "the assignment: {error}"),
            ApplyError::OtherLayout => write!(
                f,
                "the zones or buckets_per_region are others than those configured here; \
                 all control processes of an installation need the same, from its first start on"
            ),
            ApplyError::Entry(error) => write!(f, "an endpoint cannot be read: {error}"),
        }
    }
}

impl std::error::Error for ApplyError {}
