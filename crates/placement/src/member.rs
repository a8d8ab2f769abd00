//! A member: a declared dispatcher.

use crate::names::{MemberName, ZoneName};
use serde::{Deserialize, Serialize};

/// One declared dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Unique among all members.
    pub name: MemberName,
    /// Determines its region. The two replicas of a bucket are never in the same zone.
    pub zone: ZoneName,
    /// Its load relative to the other members of its region. A member with weight 0 holds no buckets.
    pub weight: f64,
    /// Whether it can currently hold buckets.
    pub present: bool,
}
