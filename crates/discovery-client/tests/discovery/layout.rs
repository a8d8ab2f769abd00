//! A layout with ten destinations per bucket.

use bellsill_discovery_client::{BucketMap, ScopedList};
use bellsill_placement::BucketId;
use std::sync::Arc;

/// Bucket `n` contains destinations `10 * n` to `10 * n + 9`, in every zone.
pub(crate) struct TenPerBucketLayout;

impl BucketMap for TenPerBucketLayout {
    fn bucket_of(&self, _zone: &str, destination: u64) -> Option<BucketId> {
        Some(BucketId(u32::try_from(destination / 10).ok()?))
    }
}

pub(crate) fn empty_list(cache_destinations: usize) -> ScopedList {
    ScopedList::new(Arc::new(TenPerBucketLayout), cache_destinations)
}
