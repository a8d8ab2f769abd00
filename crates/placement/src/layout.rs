//! The layout: which zones make up which region, and how many buckets a region has.

use crate::hash;
use crate::ids::BucketId;
use crate::names::{RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Buckets of a region unless configured otherwise.
///
/// Reasoned for 7 regions, 22 zones, 1,900 dispatchers (about 271 a region, 86 a zone) and 730,000 destinations:
/// - Load: 2,048 buckets with two replicas are about 15 for each dispatcher, so one bucket more or less is 7 % of its load,
///   within [`LOAD_TOLERANCE`](crate::LOAD_TOLERANCE); with 512 it would be 26 %. A bucket has about 51 destinations.
/// - Change: a lost zone moves about a third of its region's 4,096 replicas, 1,365. A change must reach every dispatcher
///   within 3 s at 17 KB/s, 51 KB; at 18 bytes a moved replica it is 24 KB. With 8,192 buckets it would be 98 KB.
pub const DEFAULT_BUCKETS_PER_REGION: u32 = 2048;

/// The number of a region: its position among the names of all regions in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionId(
    /// The position, from 0 on.
    pub u32,
);

/// One zone and its region, as operators declare them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneDeclaration {
    /// Unique in the layout.
    pub zone: ZoneName,
    /// One region may have several zones.
    pub region: RegionName,
}

/// Why a layout is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LayoutError {
    /// No zone is declared.
    #[error("the layout has no zone: declare at least one zone with its region")]
    NoZones,
    /// A zone is declared twice, in different regions.
    #[error(
        "zone {zone} is declared in region {first} and in region {second}: declare it in one of them"
    )]
    ZoneInTwoRegions {
        /// The zone that is declared twice.
        zone: ZoneName,
        /// The region of its first declaration.
        first: RegionName,
        /// The region of its second declaration.
        second: RegionName,
    },
    /// The number of buckets of a region is 0.
    #[error(
        "a region has no buckets: set buckets_per_region to {DEFAULT_BUCKETS_PER_REGION}, for instance"
    )]
    NoBuckets,
    /// Bucket numbers would not fit into 32 bits.
    #[error("{regions} regions of {buckets_per_region} buckets are more than {most} in all: set fewer", most = u32::MAX)]
    TooManyBuckets {
        /// How many regions the zones are declared in.
        regions: usize,
        /// How many buckets each of them has.
        buckets_per_region: u32,
    },
}

/// The zones, their regions and the buckets of each region. Equal layouts number regions and buckets alike, in whatever
/// order their zones were declared; another region may renumber them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "LayoutDeclaration", into = "LayoutDeclaration")]
pub struct Layout {
    region_by_zone: BTreeMap<ZoneName, RegionId>,
    regions: Vec<RegionName>,
    buckets_per_region: u32,
}

impl Layout {
    /// A layout of the declared zones; a zone declared twice in the same region counts once.
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
            .map(|(zone, region)| (zone, region_number(&regions, &region)))
            .collect();
        Ok(Layout {
            region_by_zone,
            regions,
            buckets_per_region,
        })
    }

    /// The region of a zone, where it is declared.
    pub fn region_of(&self, zone: &ZoneName) -> Option<RegionId> {
        self.region_by_zone.get(zone).copied()
    }

    /// The bucket of a destination of a region of this layout.
    pub fn bucket_of(&self, region: RegionId, destination: u64) -> BucketId {
        let within_region = hash::bucket_within_region(destination, self.buckets_per_region);
        BucketId(region.0 * self.buckets_per_region + within_region)
    }

    /// How many buckets all regions have.
    pub fn buckets(&self) -> u32 {
        self.buckets_per_region * self.region_count()
    }

    /// How many buckets each region has.
    pub fn buckets_per_region(&self) -> u32 {
        self.buckets_per_region
    }

    /// The region of a bucket, where it is one of this layout.
    pub fn region_of_bucket(&self, bucket: BucketId) -> Option<RegionId> {
        (bucket.0 < self.buckets()).then_some(RegionId(bucket.0 / self.buckets_per_region))
    }

    /// The regions, by number.
    pub fn regions(&self) -> impl Iterator<Item = RegionId> + use<> {
        (0..self.region_count()).map(RegionId)
    }

    /// The name of a region, where it is one of this layout.
    pub fn region_name(&self, region: RegionId) -> Option<&RegionName> {
        self.regions.get(region.0 as usize)
    }

    /// The first bucket of a region.
    pub(crate) fn first_bucket(&self, region: RegionId) -> BucketId {
        BucketId(region.0 * self.buckets_per_region)
    }

    fn region_count(&self) -> u32 {
        u32::try_from(self.regions.len()).expect("the bucket count is checked to fit")
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
        let declare = |(zone, region): (ZoneName, RegionId)| ZoneDeclaration {
            zone,
            region: layout.regions[region.0 as usize].clone(),
        };
        LayoutDeclaration {
            buckets_per_region: layout.buckets_per_region,
            zones: layout.region_by_zone.into_iter().map(declare).collect(),
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

fn region_number(regions: &[RegionName], region: &RegionName) -> RegionId {
    let place = regions
        .binary_search(region)
        .expect("every declared region is listed");
    RegionId(u32::try_from(place).expect("the bucket count is checked to fit"))
}
