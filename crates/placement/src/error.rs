//! Errors of planning and applying changes of the assignment.

use crate::ids::{BucketId, Epoch};
use crate::names::{MemberName, ZoneName};
use thiserror::Error;

/// Why planning fails or a change is rejected. The assignment stays unchanged.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlacementError {
    /// The zone of a member is not in the layout.
    #[error(
        "member {member} is in zone {zone}, which is not in the layout: declare the zone and its region"
    )]
    UnknownZone {
        /// The member in that zone.
        member: MemberName,
        /// The undeclared zone.
        zone: ZoneName,
    },
    /// Two members have the same name.
    #[error("member {member} is declared twice: declare it once")]
    DuplicateMember {
        /// The duplicate name.
        member: MemberName,
    },
    /// A weight is negative or not finite.
    #[error("member {member} has the weight {weight}: declare a finite number of 0 or more")]
    InvalidWeight {
        /// The member with that weight.
        member: MemberName,
        /// The declared weight.
        weight: f64,
    },
    /// A change does not lead to the next epoch.
    #[error(
        "the change leads to epoch {}, expected epoch {}: request the missing changes",
        .found.0,
        .expected.0
    )]
    EpochOutOfOrder {
        /// The epoch after the current one.
        expected: Epoch,
        /// The epoch that this change leads to.
        found: Epoch,
    },
    /// A change contains a bucket that is not in the layout.
    #[error(
        "the change contains bucket {}, but the layout has {buckets} buckets: \
         both processes need the same layout",
        .bucket.0
    )]
    UnknownBucket {
        /// The bucket in the change.
        bucket: BucketId,
        /// The number of buckets in the layout.
        buckets: u32,
    },
    /// A change places both replicas of a bucket on the same member.
    #[error(
        "the change places both replicas of bucket {} on member {member}: \
         the change is corrupt, request it again",
        .bucket.0
    )]
    SameHolderTwice {
        /// The bucket.
        bucket: BucketId,
        /// The member that would hold both replicas.
        member: MemberName,
    },
}
