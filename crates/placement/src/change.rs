//! What a plan changes in an assignment.

use crate::ids::{BucketId, Epoch};
use crate::names::{MemberName, RegionName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Replicas of each bucket, in different zones.
pub const REPLICAS: usize = 2;

/// The holders of one bucket. A replica that has no holder is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketHolders {
    /// The bucket.
    pub bucket: BucketId,
    /// Both replicas, in no particular order.
    pub holders: [Option<MemberName>; REPLICAS],
}

/// The step from one assignment to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentChange {
    /// The epoch of the assignment that the change leads to.
    pub epoch: Epoch,
    /// The buckets whose holders change, in order, with all their holders from now on.
    pub moved: Vec<BucketHolders>,
    /// How many replicas move to a member that did not hold the bucket before.
    pub moved_replicas: usize,
    /// A lower bound of `moved_replicas`: no plan with the same bounds of load moves fewer.
    pub least_possible: usize,
    /// What operators should correct; the plan is valid nevertheless.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<PlacementWarning>,
}

impl AssignmentChange {
    /// Whether the assignment stays as it is, so that nothing need be applied.
    pub fn is_empty(&self) -> bool {
        self.moved.is_empty()
    }
}

/// A region whose buckets lack replicas for want of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementWarning {
    /// All present members of the region are in one zone: the second replica of each of its buckets is absent.
    OneZone {
        /// The region that needs members in a second zone.
        region: RegionName,
    },
    /// No member of the region is present: its buckets have no holder.
    NoMembers {
        /// The region that needs members.
        region: RegionName,
    },
}

impl fmt::Display for PlacementWarning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlacementWarning::OneZone { region } => write!(
                formatter,
                "region {region} has members in one zone only, so its buckets have one replica: \
                 declare dispatchers in a second zone of it"
            ),
            PlacementWarning::NoMembers { region } => write!(
                formatter,
                "region {region} has no member present, so its buckets have no holder: \
                 declare or start dispatchers in two zones of it"
            ),
        }
    }
}
