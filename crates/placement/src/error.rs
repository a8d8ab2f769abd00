//! Why members can't be placed, or a change can't be applied.

use crate::{BucketId, Epoch, MemberName, ZoneName};
use thiserror::Error;

/// Why a plan or a change is refused; the assignment stays as it was.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlacementError {
    #[error(
        "member {member} is in zone {zone}, which the layout does not have: declare the zone with its region"
    )]
    UnknownZone { member: MemberName, zone: ZoneName },
    #[error("member {member} is declared twice: declare it once")]
    DuplicateMember { member: MemberName },
    #[error("member {member} has the weight {weight}: declare a finite one of nought or more")]
    InvalidWeight { member: MemberName, weight: f64 },
    #[error(
        "the change leads to epoch {found:?}, the next one is {expected:?}: ask for the changes in between"
    )]
    EpochOutOfOrder { expected: Epoch, found: Epoch },
    #[error(
        "the change names bucket {bucket:?}, the layout has {buckets}: both processes need the same layout"
    )]
    UnknownBucket { bucket: BucketId, buckets: u32 },
    #[error(
        "the change gives both replicas of bucket {bucket:?} to {member}: it is damaged, ask for it again"
    )]
    SameHolderTwice {
        bucket: BucketId,
        member: MemberName,
    },
}
