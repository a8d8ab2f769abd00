//! Identifiers of buckets and versions of the assignment.

use serde::{Deserialize, Serialize};

/// A group of destinations of one region that are placed together. The numbering spans all regions: region 0 has the
/// buckets `0..buckets_per_region`, region 1 the following ones, and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketId(
    /// Unique across all regions.
    pub u32,
);

/// The version of the assignment of buckets to dispatchers. Each change increments it by 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(
    /// 0 before the first assignment.
    pub u64,
);
