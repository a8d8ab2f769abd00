//! The change from one assignment to the next, which a plan produces.

use crate::ids::{BucketId, Epoch};
use crate::names::{MemberName, RegionName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of replicas of each bucket. They are in different zones.
pub const REPLICAS: usize = 2;

/// The holders of one bucket. `None` stands for a replica without a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketHolders {
    /// The bucket.
    pub bucket: BucketId,
    /// The holders of both replicas, in no particular order.
    pub holders: [Option<MemberName>; REPLICAS],
}

/// A change from one assignment to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentChange {
    /// The epoch of the assignment that the change leads to.
    pub epoch: Epoch,
    /// The buckets whose holders change, in ascending order, with all of their new holders.
    pub moved: Vec<BucketHolders>,
    /// The number of replicas that move to a member that did not hold the bucket before.
    pub moved_replicas: usize,
    /// A lower bound of `moved_replicas`: no plan with the same load bounds moves fewer replicas.
    pub least_possible: usize,
    /// Problems that the operator should fix. The plan is valid nevertheless.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<PlacementWarning>,
}

impl AssignmentChange {
    /// Whether no holders change, so that the change need not be applied.
    pub fn is_empty(&self) -> bool {
        self.moved.is_empty()
    }
}

/// A region that has too few members to hold all replicas of its buckets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementWarning {
    /// All present members of the region are in one zone, so its buckets have only one replica.
    OneZone {
        /// The region that needs members in a second zone.
        region: RegionName,
    },
    /// No member of the region is present, so its buckets have no holders.
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
                "region {region} has present members in only one zone, so its buckets have only one replica: \
                 declare or start dispatchers in a second zone of the region"
            ),
            PlacementWarning::NoMembers { region } => write!(
                formatter,
                "region {region} has no present members, so its buckets have no holders: \
                 declare or start dispatchers in two zones of the region"
            ),
        }
    }
}
