//! Members: the declared dispatchers.

use crate::names::{MemberName, ZoneName};
use serde::{Deserialize, Serialize};

/// One declared dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Unique among all members.
    pub name: MemberName,
    /// Decides its region; both replicas of a bucket are never in one zone.
    pub zone: ZoneName,
    /// Its share of the load against the other members of its region; a member with weight 0 holds nothing.
    pub weight: f64,
    /// Whether it takes part in the assignment now.
    pub present: bool,
}
