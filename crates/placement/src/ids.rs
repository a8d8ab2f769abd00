//! The numbers of buckets and assignments.

use serde::{Deserialize, Serialize};

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
