//! The layout: the zones of each region and the number of buckets per region.

use crate::hash;
use crate::ids::BucketId;
use crate::names::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// The default number of buckets per region.
///
/// Derived for 7 regions, 22 zones, 1,900 dispatchers (about 271 per region, 86 per zone) and 730,000 destinations:
/// - Load: 2,048 buckets with two replicas each are about 15 replicas per dispatcher. One replica is then 7 % of its
///   load, within [`LOAD_TOLERANCE`](crate::LOAD_TOLERANCE); with 512 buckets it would be 26 %. A bucket has about 51
///   destinations.
/// - Size of a change: losing a zone moves about a third of the 4,096 replicas of its region, 1,365. A change must
///   reach every dispatcher within 3 s at 17 KB/s, which allows 51 KB; at 18 bytes per moved replica it takes 24 KB.
///   With 8,192 buckets it would take 98 KB.
pub const DEFAULT_BUCKETS_PER_REGION: u32 = 2048;

/// The index of a region in the sorted list of region names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionId(
    /// Starts at 0.
    pub u32,
);

/// A zone and its region as declared by the operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDeclaration {
    /// Unique in the layout.
    pub zone: ZoneName,
    /// A region may have several zones.
    pub region: RegionName,
}

/// Why a layout is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LayoutError {
    /// No zone is declared.
    #[error("the layout has no zones: declare at least one zone and its region")]
    NoZones,
    /// A zone is declared in two different regions.
    #[error(
        "zone {zone} is declared in regions {first} and {second}: declare it in only one of them"
    )]
    ZoneInTwoRegions {
        /// The zone that is declared in both regions.
        zone: ZoneName,
        /// The region of its first declaration.
        first: RegionName,
        /// The region of its second declaration.
        second: RegionName,
    },
    /// The number of buckets per region is 0.
    #[error("buckets_per_region is 0: set it to {DEFAULT_BUCKETS_PER_REGION}, for example")]
    NoBuckets,
    /// Bucket numbers would not fit in 32 bits.
    #[error(
        "{regions} regions with {buckets_per_region} buckets each exceed the total limit of {limit} buckets: \
         reduce buckets_per_region",
        limit = u32::MAX
    )]
    TooManyBuckets {
        /// The number of regions.
        regions: usize,
        /// The number of buckets per region.
        buckets_per_region: u32,
    },
}

/// The zones, their regions and the buckets of each region. The numbering of regions and buckets does not depend on the
/// order in which zones are declared. Adding or removing a region may renumber them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "LayoutDeclaration", into = "LayoutDeclaration")]
pub struct Layout {
    region_by_zone: BTreeMap<ZoneName, RegionId>,
    regions: Vec<RegionName>,
    buckets_per_region: u32,
}

impl Layout {
    /// Creates a layout from the declared zones. A zone declared twice in the same region counts once.
    pub fn new(
        zones: impl IntoIterator<Item = (ZoneName, RegionName)>,
        buckets_per_region: u32,
    ) -> Result<Layout, LayoutError> {
        let declared = distinct_zones(zones)?;
        let regions: Vec<RegionName> = declared
            .values()
            .cloned()
            .collect::<BTreeSet<_>>()
            .into_iter()
            .collect();
        check_bucket_count(regions.len(), buckets_per_region)?;
        let region_by_zone = declared
            .into_iter()
            .map(|(zone, region)| (zone, region_id(&regions, &region)))
            .collect();
        Ok(Layout {
            region_by_zone,
            regions,
            buckets_per_region,
        })
    }

    /// The region of a zone, or `None` if the zone is not declared.
    pub fn region_of(&self, zone: &ZoneName) -> Option<RegionId> {
        self.region_by_zone.get(zone).copied()
    }

    /// The bucket of a destination in a region of this layout.
    pub fn bucket_of(&self, region: RegionId, destination: u64) -> BucketId {
        let within_region = hash::bucket_within_region(destination, self.buckets_per_region);
        BucketId(region.0 * self.buckets_per_region + within_region)
    }

    /// The number of buckets of all regions.
    pub fn buckets(&self) -> u32 {
        self.buckets_per_region * self.region_count()
    }

    /// The number of buckets per region.
    pub fn buckets_per_region(&self) -> u32 {
        self.buckets_per_region
    }

    /// The region of a bucket, or `None` if the bucket is not in this layout.
    pub fn region_of_bucket(&self, bucket: BucketId) -> Option<RegionId> {
        (bucket.0 < self.buckets()).then_some(RegionId(bucket.0 / self.buckets_per_region))
    }

    /// All regions, in ascending order.
    pub fn regions(&self) -> impl Iterator<Item = RegionId> + use<> {
        (0..self.region_count()).map(RegionId)
    }

    /// The name of a region, or `None` if the region is not in this layout.
    pub fn region_name(&self, region: RegionId) -> Option<&RegionName> {
        self.regions.get(region.0 as usize)
    }

    /// The first bucket of a region.
    pub(crate) fn first_bucket(&self, region: RegionId) -> BucketId {
        BucketId(region.0 * self.buckets_per_region)
    }

    fn region_count(&self) -> u32 {
        u32::try_from(self.regions.len())
            .expect("Layout::new checks that the bucket count fits in 32 bits")
    }
}

/// The serialized form of a layout.
#[derive(Serialize, Deserialize)]
struct LayoutDeclaration {
    buckets_per_region: u32,
    zones: Vec<ZoneDeclaration>,
}

impl TryFrom<LayoutDeclaration> for Layout {
    type Error = LayoutError;

    fn try_from(declaration: LayoutDeclaration) -> Result<Layout, LayoutError> {
        let zones = declaration
            .zones
            .into_iter()
            .map(|declared| (declared.zone, declared.region));
        Layout::new(zones, declaration.buckets_per_region)
    }
}

impl From<Layout> for LayoutDeclaration {
    fn from(layout: Layout) -> LayoutDeclaration {
        let to_declaration = |(zone, region): (ZoneName, RegionId)| ZoneDeclaration {
            zone,
            region: layout.regions[region.0 as usize].clone(),
        };
        LayoutDeclaration {
            buckets_per_region: layout.buckets_per_region,
            zones: layout
                .region_by_zone
                .into_iter()
                .map(to_declaration)
                .collect(),
        }
    }
}

fn distinct_zones(
    zones: impl IntoIterator<Item = (ZoneName, RegionName)>,
) -> Result<BTreeMap<ZoneName, RegionName>, LayoutError> {
    let mut declared: BTreeMap<ZoneName, RegionName> = BTreeMap::new();
    for (zone, region) in zones {
        match declared.get(&zone) {
            Some(first) if *first != region => {
                return Err(LayoutError::ZoneInTwoRegions {
                    first: first.clone(),
                    second: region,
                    zone,
                });
            }
            Some(_) => {}
            None => {
                declared.insert(zone, region);
            }
        }
    }
    if declared.is_empty() {
        Err(LayoutError::NoZones)
    } else {
        Ok(declared)
    }
}

fn check_bucket_count(regions: usize, buckets_per_region: u32) -> Result<(), LayoutError> {
    if buckets_per_region == 0 {
        return Err(LayoutError::NoBuckets);
    }
    let fits = u32::try_from(regions)
        .ok()
        .and_then(|regions| regions.checked_mul(buckets_per_region));
    fits.map(|_| ()).ok_or(LayoutError::TooManyBuckets {
        regions,
        buckets_per_region,
    })
}

fn region_id(regions: &[RegionName], region: &RegionName) -> RegionId {
    let index = regions
        .binary_search(region)
        .expect("the list contains every declared region");
    RegionId(
        u32::try_from(index).expect("Layout::new checks that the bucket count fits in 32 bits"),
    )
}
