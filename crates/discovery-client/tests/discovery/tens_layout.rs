//! A list with a layout of ten destinations a bucket.

use bellsill_discovery_client::{BucketMap, ScopedList};
use bellsill_placement::BucketId;
use std::sync::Arc;

/// Destination 17 is in bucket 1.
pub(crate) struct TensLayout;

impl BucketMap for TensLayout {
    fn bucket_of(&self, _zone: &str, destination: u64) -> Option<BucketId> {
        Some(BucketId(u32::try_from(destination / 10).ok()?))
    }
}

pub(crate) fn empty_list(cache_destinations: usize) -> ScopedList {
    ScopedList::new(Arc::new(TensLayout), cache_destinations)
}
