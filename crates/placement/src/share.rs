//! Fair shares: how many replicas each member of a region should hold, and within what bounds it keeps those it has.

/// How far a member's load may be from its fair share before replicas move for that reason alone.
pub const LOAD_TOLERANCE: f64 = 0.1;

/// What rounding may add to a share that is a whole number.
const ROUNDING: f64 = 1e-9;

/// The fair share of one member, in replicas, and the bounds that follow from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Share {
    exact: f64,
    /// What a member is given where others have enough.
    pub(crate) floor: usize,
    /// What a member is given where all have their floor.
    pub(crate) ceiling: usize,
    /// The most that a member holds.
    pub(crate) most: usize,
}

impl Share {
    fn new(exact: f64) -> Share {
        Share {
            exact,
            floor: (exact + ROUNDING).floor() as usize,
            ceiling: (exact - ROUNDING).ceil().max(0.0) as usize,
            most: (exact * (1.0 + LOAD_TOLERANCE) - ROUNDING).ceil().max(0.0) as usize,
        }
    }

    /// Whether a load is so low that the member is given its floor, though others must give replicas away.
    pub(crate) fn is_deficient(self, load: usize) -> bool {
        load < self.floor && (load as f64) < self.exact * (1.0 - LOAD_TOLERANCE)
    }

    /// How far a load is above the share.
    pub(crate) fn excess(self, load: usize) -> f64 {
        load as f64 - self.exact
    }
}

/// The weight of one member and the number of its zone among those of the region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WeightInZone {
    pub(crate) weight: f64,
    pub(crate) zone: usize,
}

/// The fair share of each member of a region, in proportion to the weights, where no zone can hold
/// more than one replica of a bucket: what is above that goes to the other zones.
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

/// Replicas for each unit of weight, by zone: the same in all zones but those that would hold a bucket twice.
fn zone_scales(zone_weights: &[f64], buckets: f64, replicas: usize) -> Vec<f64> {
    let mut scales = vec![0.0; zone_weights.len()];
    let mut open: Vec<usize> = (0..zone_weights.len())
        .filter(|zone| zone_weights[*zone] > 0.0)
        .collect();
    let mut remaining = buckets * replicas as f64;
    while !open.is_empty() {
        let scale = remaining / open.iter().map(|zone| zone_weights[*zone]).sum::<f64>();
        let (full, rest): (Vec<usize>, Vec<usize>) = open
            .into_iter()
            .partition(|zone| zone_weights[*zone] * scale > buckets);
        if full.is_empty() {
            rest.iter().for_each(|zone| scales[*zone] = scale);
            break;
        }
        full.iter()
            .for_each(|zone| scales[*zone] = buckets / zone_weights[*zone]);
        remaining -= buckets * full.len() as f64;
        open = rest;
    }
    scales
}
