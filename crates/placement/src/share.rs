//! Fair shares: how many replicas each member of a region should hold, and the load bounds within which replicas stay.

/// The maximum relative deviation of a member's load from its fair share at which no replicas move solely to balance
/// the load.
pub const LOAD_TOLERANCE: f64 = 0.1;

/// An upper bound of the rounding error of a share that is a whole number.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// The fair share of one member, in replicas, and the load bounds derived from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    exact: f64,
    /// The share rounded down: the load that a member is filled up to with replicas of other members.
    pub(crate) floor: usize,
    /// The share rounded up: the load up to which a member is preferred once all members have reached their floor.
    pub(crate) ceiling: usize,
    /// The maximum load: replicas above it are moved to other members.
    pub(crate) max_load: usize,
}

impl Share {
    fn new(exact: f64) -> Share {
        Share {
            exact,
            floor: (exact + ROUNDING_TOLERANCE).floor() as usize,
            ceiling: (exact - ROUNDING_TOLERANCE).ceil().max(0.0) as usize,
            max_load: (exact * (1.0 + LOAD_TOLERANCE) - ROUNDING_TOLERANCE)
                .ceil()
                .max(0.0) as usize,
        }
    }

    /// Whether a load is so low that the member is filled up to its floor even if other holders have to give up
    /// replicas.
    pub(crate) fn is_deficient(self, load: usize) -> bool {
        load < self.floor && (load as f64) < self.exact * (1.0 - LOAD_TOLERANCE)
    }

    /// The load minus the share; negative if the load is below the share.
    pub(crate) fn excess(self, load: usize) -> f64 {
        load as f64 - self.exact
    }
}

/// The weight of one member and the index of its zone within the region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightInZone {
    pub(crate) weight: f64,
    pub(crate) zone: usize,
}

/// The fair share of each member of a region, in proportion to the weights. Since a zone can hold only one replica of
/// each bucket, a zone whose proportional share exceeds that is capped and the excess goes to the other zones.
pub(crate) fn fair_shares(
    members: &[WeightInZone],
    zones: usize,
    buckets: u32,
    replicas: usize,
) -> Vec<Share> {
    let mut zone_weights = vec![0.0; zones];
    for member in members {
        zone_weights[member.zone] += member.weight;
    }
    let scales = zone_scales(&zone_weights, f64::from(buckets), replicas);
    members
        .iter()
        .map(|member| Share::new(member.weight * scales[member.zone]))
        .collect()
}

/// Replicas per unit of weight, by zone. The value is the same for all zones that are not capped at one replica per
/// bucket.
fn zone_scales(zone_weights: &[f64], buckets: f64, replicas: usize) -> Vec<f64> {
    let mut scales = vec![0.0; zone_weights.len()];
    let mut uncapped: Vec<usize> = (0..zone_weights.len())
        .filter(|zone| zone_weights[*zone] > 0.0)
        .collect();
    let mut remaining = buckets * replicas as f64;
    while !uncapped.is_empty() {
        let scale = remaining / uncapped.iter().map(|zone| zone_weights[*zone]).sum::<f64>();
        let (over_cap, within_cap): (Vec<usize>, Vec<usize>) = uncapped
            .into_iter()
            .partition(|zone| zone_weights[*zone] * scale > buckets);
        if over_cap.is_empty() {
            within_cap.iter().for_each(|zone| scales[*zone] = scale);
            break;
        }
        over_cap
            .iter()
            .for_each(|zone| scales[*zone] = buckets / zone_weights[*zone]);
        remaining -= buckets * over_cap.len() as f64;
        uncapped = within_cap;
    }
    scales
}
