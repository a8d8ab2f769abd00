//! Layouts and members for placement tests, and checks of the invariants of every assignment.

use bellsill_placement::{
    Assignment, AssignmentChange, Layout, Member, MemberName, REPLICAS, RegionName, ZoneName,
};
use std::collections::BTreeMap;

pub(crate) fn zone(region: usize, zone: usize) -> ZoneName {
    ZoneName(format!("region-{region}-zone-{zone}"))
}

pub(crate) fn layout(zone_counts: &[usize], buckets_per_region: u32) -> Layout {
    let zones = zone_counts.iter().enumerate().flat_map(|(region, zones)| {
        (0..*zones)
            .map(move |number| (zone(region, number), RegionName(format!("region-{region}"))))
    });
    Layout::new(zones, buckets_per_region).unwrap()
}

pub(crate) fn member(number: usize, zone: ZoneName) -> Member {
    Member {
        name: MemberName(format!("dispatcher-{number:04}")),
        zone,
        weight: 1.0,
        present: true,
    }
}

/// Plans a change, applies it and checks the invariants of every plan.
pub(crate) fn plan_and_apply(assignment: &mut Assignment, members: &[Member]) -> AssignmentChange {
    let change = assignment.plan(members).unwrap();
    let before = assignment.clone();
    assignment.apply(&change).unwrap();
    assert_eq!(
        change.moved_replicas,
        count_moved_replicas(&before, assignment),
        "moved_replicas must equal the number of moved replicas"
    );
    assert!(
        change.moved_replicas >= change.least_possible,
        "least_possible must be a lower bound: {change:?}"
    );
    check_invariants(assignment, members);
    change
}

/// The number of replicas held by a member that did not hold the bucket before.
pub(crate) fn count_moved_replicas(before: &Assignment, after: &Assignment) -> usize {
    let new = |bucket| {
        let held = before.holders(bucket);
        after
            .holders(bucket)
            .into_iter()
            .flatten()
            .filter(|holder| !held.contains(&Some(*holder)))
            .count()
    };
    after.buckets().map(new).sum()
}

/// Checks that every bucket has as many holders as its region has zones with members, up to two, and that the holders
/// are present, in the region of the bucket, in different zones, and within their maximum load.
pub(crate) fn check_invariants(assignment: &Assignment, members: &[Member]) {
    let layout = assignment.layout();
    let by_name: BTreeMap<&MemberName, &Member> = members
        .iter()
        .map(|member| (&member.name, member))
        .collect();
    let mut weights: BTreeMap<(u32, &ZoneName), f64> = BTreeMap::new();
    for member in members
        .iter()
        .filter(|member| member.present && member.weight > 0.0)
    {
        *weights
            .entry((layout.region_of(&member.zone).unwrap().0, &member.zone))
            .or_default() += member.weight;
    }
    for bucket in assignment.buckets() {
        let region = layout.region_of_bucket(bucket).unwrap();
        let holders: Vec<&Member> = assignment
            .holders(bucket)
            .into_iter()
            .flatten()
            .map(|holder| by_name[holder])
            .collect();
        let zones = weights
            .keys()
            .filter(|(number, _)| *number == region.0)
            .count();
        assert_eq!(holders.len(), zones.min(REPLICAS), "holders of {bucket:?}");
        for holder in &holders {
            assert!(
                holder.present && holder.weight > 0.0,
                "{holder:?} holds {bucket:?}"
            );
            assert_eq!(layout.region_of(&holder.zone), Some(region));
            assert!(
                assignment
                    .buckets_of(&holder.name)
                    .binary_search(&bucket)
                    .is_ok(),
                "{bucket:?} is missing in the index of {holder:?}"
            );
        }
        assert!(
            holders.len() < REPLICAS || holders[0].zone != holders[1].zone,
            "both holders of {bucket:?} are in one zone"
        );
    }
    let indexed: usize = members
        .iter()
        .map(|member| assignment.buckets_of(&member.name).len())
        .sum();
    let held = |bucket| assignment.holders(bucket).into_iter().flatten().count();
    assert_eq!(
        indexed,
        assignment.buckets().map(held).sum::<usize>(),
        "the index must contain only held buckets"
    );
    check_max_loads(assignment, members, &weights);
}

fn check_max_loads(
    assignment: &Assignment,
    members: &[Member],
    weights: &BTreeMap<(u32, &ZoneName), f64>,
) {
    let layout = assignment.layout();
    for member in members.iter().filter(|member| member.present) {
        let region = layout.region_of(&member.zone).unwrap().0;
        let zones: Vec<f64> = weights
            .iter()
            .filter(|((number, _), _)| *number == region)
            .map(|(_, weight)| *weight)
            .collect();
        let Some(zone_weight) = weights.get(&(region, &member.zone)) else {
            continue;
        };
        let zone_share = zone_share(*zone_weight, &zones, f64::from(layout.buckets_per_region()));
        let max_load = (zone_share * member.weight / zone_weight * 1.1 - 1e-6).ceil();
        let load = assignment.buckets_of(&member.name).len() as f64;
        assert!(
            load <= max_load,
            "{member:?} holds {load} replicas, its maximum load is {max_load}"
        );
    }
}

/// The fair share of a zone in replicas, computed independently of the implementation. Bisection finds the scale at
/// which all zones, each capped at one replica per bucket, together hold all replicas.
fn zone_share(weight: f64, zones: &[f64], buckets: f64) -> f64 {
    let total = buckets * zones.len().min(REPLICAS) as f64;
    let replicas_at = |scale: f64| {
        zones
            .iter()
            .map(|zone| (zone * scale).min(buckets))
            .sum::<f64>()
    };
    let (mut low, mut high) = (
        0.0,
        total / zones.iter().copied().fold(f64::INFINITY, f64::min),
    );
    for _ in 0..200 {
        let middle = (low + high) / 2.0;
        if replicas_at(middle) < total {
            low = middle
        } else {
            high = middle
        }
    }
    (weight * high).min(buckets)
}
