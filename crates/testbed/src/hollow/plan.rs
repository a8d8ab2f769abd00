//! The planned fleet: regions, zones, dispatchers and the entries of destinations, all computed from a few numbers.

use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_discovery_client::BucketMap;
use bellsill_placement::{BucketId, Layout, LayoutError, RegionId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Six regions of three zones, and one of four.
const ZONES_OF_REGIONS: [usize; 7] = [3, 3, 3, 3, 3, 3, 4];
const KIND: &str = "shop";
/// The port that endpoints are listed with; nothing listens there.
const ENDPOINT_PORT: u16 = 9_000;

/// Index of a dispatcher in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DispatcherIndex(pub usize);

/// The numbers that a plan is computed from.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PlanOptions {
    pub dispatchers: usize,
    pub destinations: u64,
    pub buckets_per_region: u32,
}

/// A zone and the region it lies in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    pub name: String,
    pub region: usize,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub options: PlanOptions,
    pub zones: Vec<Zone>,
    layout: Layout,
}

/// In the order of the regions' names too, so that the layout numbers them alike.
pub fn region_name(region: usize) -> String {
    format!("region-{}", region + 1)
}

impl Plan {
    pub fn new(options: PlanOptions) -> Result<Self, LayoutError> {
        let zone = |region: usize, zone: usize| Zone {
            name: format!("r{}-z{}", region + 1, zone + 1),
            region,
        };
        let regions = ZONES_OF_REGIONS.iter().enumerate();
        let zones: Vec<Zone> = regions
            .flat_map(|(region, &count)| (0..count).map(move |z| zone(region, z)))
            .collect();
        let declared = |zone: &Zone| {
            (
                ZoneName(zone.name.clone()),
                RegionName(region_name(zone.region)),
            )
        };
        let layout = Layout::new(zones.iter().map(declared), options.buckets_per_region)?;
        Ok(Plan {
            options,
            zones,
            layout,
        })
    }

    pub fn dispatchers(&self) -> impl Iterator<Item = DispatcherIndex> + use<> {
        (0..self.options.dispatchers).map(DispatcherIndex)
    }

    pub fn dispatcher_name(&self, dispatcher: DispatcherIndex) -> String {
        format!("dispatcher-{:04}", dispatcher.0)
    }

    /// Dispatchers are dealt to the zones in turn.
    pub fn zone_of(&self, dispatcher: DispatcherIndex) -> &Zone {
        &self.zones[dispatcher.0 % self.zones.len()]
    }

    pub fn dispatchers_in_zone(&self, zone: &str) -> Vec<DispatcherIndex> {
        self.dispatchers()
            .filter(|&d| self.zone_of(d).name == zone)
            .collect()
    }

    pub fn region_of_destination(&self, destination: u64) -> usize {
        (destination % ZONES_OF_REGIONS.len() as u64) as usize
    }

    /// The bucket of a destination of the plan.
    pub fn bucket_of(&self, destination: u64) -> BucketId {
        let region = RegionId(self.region_of_destination(destination) as u32);
        self.layout.bucket_of(region, destination)
    }

    /// How many buckets all regions have.
    pub fn buckets(&self) -> u32 {
        self.layout.buckets()
    }

    /// The zone of a destination's one endpoint.
    pub fn zone_of_destination(&self, destination: u64) -> &Zone {
        let region = self.region_of_destination(destination);
        let zones = ZONES_OF_REGIONS[region] as u64;
        let nth = (destination / ZONES_OF_REGIONS.len() as u64 % zones) as usize;
        let first: usize = ZONES_OF_REGIONS[..region].iter().sum();
        &self.zones[first + nth]
    }

    /// The first entry of a destination.
    pub fn entry(&self, destination: u64) -> EndpointEntry {
        self.entry_at_port(destination, ENDPOINT_PORT)
    }

    /// A destination's entry once its endpoint has been replaced `replacements` times.
    pub fn replaced_entry(&self, destination: u64, replacements: u16) -> EndpointEntry {
        self.entry_at_port(destination, ENDPOINT_PORT + replacements)
    }

    fn entry_at_port(&self, destination: u64, port: u16) -> EndpointEntry {
        let [.., a, b, c] = destination.to_be_bytes();
        EndpointEntry {
            id: endpoint_name(destination),
            addr: Some(format!("10.{a}.{b}.{c}:{port}")),
            zone: self.zone_of_destination(destination).name.clone(),
            kind: KIND.to_string(),
            destination,
            state: EndpointState::Up,
            weight: None,
            version: Version::default(),
        }
    }
}

impl BucketMap for Plan {
    fn bucket_of(&self, zone: &str, destination: u64) -> Option<BucketId> {
        let region = self.layout.region_of(&ZoneName(zone.to_string()))?;
        Some(self.layout.bucket_of(region, destination))
    }
}

pub fn endpoint_name(destination: u64) -> String {
    format!("endpoint-{destination:07}")
}
