//! The mapping of destinations to buckets.

use bellsill_placement::{BucketId, Layout, ZoneName};

/// Maps destinations to buckets, as the layout of the installation does.
pub trait BucketMap: Send + Sync {
    /// The bucket of a destination in the region of this zone; `None` if the zone is not part of a region.
    fn bucket_of(&self, zone: &str, destination: u64) -> Option<BucketId>;
}

impl BucketMap for Layout {
    fn bucket_of(&self, zone: &str, destination: u64) -> Option<BucketId> {
        let region = self.region_of(&ZoneName::from(zone))?;
        Some(Layout::bucket_of(self, region, destination))
    }
}
