//! Placement: which dispatchers hold the configuration of which destinations. No I/O, clock or threads.
//!
//! A destination hashes to a bucket of its region ([`Layout::bucket_of`]). An [`Assignment`] names two holders for each
//! bucket, in different zones of the region. [`Assignment::plan`] compares it with the members present and returns an
//! [`AssignmentChange`] that moves only what it must; [`Assignment::apply`] applies the change, at the process that
//! planned it and at those that follow it.

mod assignment;
mod candidate;
mod change;
mod error;
pub mod hash;
mod layout;
mod lower_bound;
mod member;
mod names;
mod place_missing;
mod plan;
mod region_plan;
mod region_state;
mod share;
mod table;
mod transfer;

use serde::{Deserialize, Serialize};

pub use assignment::Assignment;
pub use change::{AssignmentChange, BucketHolders, PlacementWarning, REPLICAS};
pub use error::PlacementError;
pub use hash::HASH_VERSION;
pub use layout::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionId, ZoneDeclaration};
pub use member::Member;
pub use names::{MemberName, RegionName, ZoneName};
pub use share::LOAD_TOLERANCE;
pub use table::{AssignmentTable, TableError};

/// A group of destinations of one region that are placed together. Numbered over all regions: region 0 has the buckets
/// `0..buckets_per_region`, region 1 the next ones, and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketId(
    /// The number over all regions.
    pub u32,
);

/// Counts the assignments of buckets to dispatchers, from 1 on.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(
    /// 0 before the first assignment.
    pub u64,
);
