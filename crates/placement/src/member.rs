//! Members: the declared dispatchers.

use crate::{MemberName, ZoneName};
use serde::{Deserialize, Serialize};

/// One declared dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub name: MemberName,
    pub zone: ZoneName,
    /// Its share of the load against the other members of its region; nought holds nothing.
    pub weight: f64,
    /// Whether it takes part in the assignment now.
    pub present: bool,
}
