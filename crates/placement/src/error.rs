//! Why members cannot be placed, or a change cannot be applied.

use crate::ids::{BucketId, Epoch};
use crate::names::{MemberName, ZoneName};
use thiserror::Error;

/// Why a plan or a change is rejected; the assignment stays as it was.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlacementError {
    /// The layout does not have the zone of a member.
    #[error(
        "member {member} is in zone {zone}, which the layout does not have: declare the zone with its region"
    )]
    UnknownZone {
        /// The member with that zone.
        member: MemberName,
        /// The zone that is not declared.
        zone: ZoneName,
    },
    /// Two members have the same name.
    #[error("member {member} is declared twice: declare it once")]
    DuplicateMember {
        /// The name of both.
        member: MemberName,
    },
    /// A weight is negative or not finite.
    #[error("member {member} has the weight {weight}: declare a finite one of nought or more")]
    InvalidWeight {
        /// The member with that weight.
        member: MemberName,
        /// The declared weight.
        weight: f64,
    },
    /// A change is not the next one.
    #[error(
        "the change leads to epoch {found:?}, the next one is {expected:?}: ask for the changes in between"
    )]
    EpochOutOfOrder {
        /// The epoch that the next change leads to.
        expected: Epoch,
        /// The epoch that this change leads to.
        found: Epoch,
    },
    /// A change names a bucket that the layout does not have.
    #[error(
        "the change names bucket {bucket:?}, the layout has {buckets}: both processes need the same layout"
    )]
    UnknownBucket {
        /// The bucket that the change names.
        bucket: BucketId,
        /// How many buckets the layout has.
        buckets: u32,
    },
    /// A change places both replicas of a bucket on one member.
    #[error(
        "the change gives both replicas of bucket {bucket:?} to {member}: it is damaged, ask for it again"
    )]
    SameHolderTwice {
        /// The bucket of both replicas.
        bucket: BucketId,
        /// The member that would hold both.
        member: MemberName,
    },
}
