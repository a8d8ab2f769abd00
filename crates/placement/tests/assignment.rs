//! Tests of layouts, changes, tables, member validation and warnings.

mod common;

use bellsill_placement::{
    Assignment, AssignmentChange, AssignmentTable, BucketId, DEFAULT_BUCKETS_PER_REGION, Epoch,
    HASH_VERSION, Layout, LayoutError, Member, PlacementError, PlacementWarning, RegionId,
    RegionName, TableError, ZoneName,
};
use common::{layout, member, plan_and_apply, zone};

const BUCKETS: u32 = 64;

/// An empty assignment for one region of three zones, and four members in each zone.
fn small_assignment() -> (Assignment, Vec<Member>) {
    let members = (0..12)
        .map(|number| member(number, zone(0, number % 3)))
        .collect();
    (Assignment::empty(layout(&[3], BUCKETS)), members)
}

#[test]
fn the_bucket_of_a_destination_is_stable() {
    // HASH_VERSION 1 determines these values. A change of the results requires a new version.
    let layout = layout(&[3, 3], DEFAULT_BUCKETS_PER_REGION);
    let buckets =
        [0, 1, 729_999, u64::MAX].map(|destination| layout.bucket_of(RegionId(1), destination).0);
    assert_eq!((HASH_VERSION, buckets), (1, [3643, 2429, 3891, 2696]));
    assert!(
        buckets
            .into_iter()
            .all(|bucket| layout.region_of_bucket(BucketId(bucket)) == Some(RegionId(1)))
    );
    assert_eq!(layout.region_of_bucket(BucketId(layout.buckets())), None);
}

#[test]
fn destinations_spread_over_the_buckets() {
    let layout = layout(&[3], DEFAULT_BUCKETS_PER_REGION);
    let mut counts = vec![0; layout.buckets() as usize];
    for destination in 0..100 * u64::from(layout.buckets()) {
        counts[layout.bucket_of(RegionId(0), destination).0 as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (50..=150).contains(count)),
        "every bucket is within five standard deviations of the mean of 100 destinations"
    );
}

#[test]
fn the_order_of_zones_does_not_affect_the_layout() {
    let zones =
        [("b1", "b"), ("a1", "a"), ("a2", "a")].map(|(zone, region)| (zone.into(), region.into()));
    let in_order = Layout::new(zones.clone(), 8).unwrap();
    let reversed = Layout::new(zones.into_iter().rev(), 8).unwrap();
    assert_eq!(in_order, reversed);
    assert_eq!(in_order.region_of(&"b1".into()), Some(RegionId(1)));
    assert_eq!(in_order.region_of(&"c1".into()), None);
    let json = serde_json::to_string(&in_order).unwrap();
    assert_eq!(serde_json::from_str::<Layout>(&json).unwrap(), in_order);
}

#[test]
fn an_invalid_layout_is_rejected() {
    let zones = |zones: &[(&str, &str)]| -> Vec<(ZoneName, RegionName)> {
        zones
            .iter()
            .map(|(zone, region)| ((*zone).into(), (*region).into()))
            .collect()
    };
    assert_eq!(Layout::new(zones(&[]), 8), Err(LayoutError::NoZones));
    assert_eq!(
        Layout::new(zones(&[("z", "r")]), 0),
        Err(LayoutError::NoBuckets)
    );
    let duplicate = Layout::new(zones(&[("z", "r"), ("z", "s")]), 8);
    let [zone, first, second] = ["z", "r", "s"];
    assert_eq!(
        duplicate,
        Err(LayoutError::ZoneInTwoRegions {
            zone: zone.into(),
            first: first.into(),
            second: second.into()
        })
    );
    let many = Layout::new(zones(&[("z", "r"), ("y", "s")]), u32::MAX);
    assert_eq!(
        many,
        Err(LayoutError::TooManyBuckets {
            regions: 2,
            buckets_per_region: u32::MAX
        })
    );
    assert!(serde_json::from_str::<Layout>(r#"{"buckets_per_region":0,"zones":[]}"#).is_err());
}

#[test]
fn an_epoch_out_of_order_is_rejected_and_changes_nothing() {
    let (mut assignment, members) = small_assignment();
    let first = assignment.plan(&members).unwrap();
    assert_eq!(first.epoch, Epoch(1));
    for wrong in [0, 2, 3] {
        let change = AssignmentChange {
            epoch: Epoch(wrong),
            ..first.clone()
        };
        let rejected = assignment.apply(&change);
        let expected = Epoch(1);
        assert_eq!(
            rejected,
            Err(PlacementError::EpochOutOfOrder {
                expected,
                found: Epoch(wrong)
            })
        );
    }
    assert_eq!(assignment, Assignment::empty(layout(&[3], BUCKETS)));
    assignment.apply(&first).unwrap();
    assert!(
        assignment.apply(&first).is_err(),
        "a change must be applied only once"
    );
    assert_eq!(assignment.epoch(), Epoch(1));
}

#[test]
fn an_invalid_change_is_rejected_without_partial_effect() {
    let (mut assignment, members) = small_assignment();
    let complete = assignment.plan(&members).unwrap();
    let mut out_of_range = complete.clone();
    out_of_range.moved.last_mut().unwrap().bucket = BucketId(BUCKETS);
    let rejected = PlacementError::UnknownBucket {
        bucket: BucketId(BUCKETS),
        buckets: BUCKETS,
    };
    assert_eq!(assignment.apply(&out_of_range), Err(rejected));
    let mut duplicate = complete;
    let last = duplicate.moved.last_mut().unwrap();
    last.holders[1] = last.holders[0].clone();
    assert!(matches!(
        assignment.apply(&duplicate),
        Err(PlacementError::SameHolderTwice { .. })
    ));
    assert_eq!(assignment.epoch(), Epoch(0));
    assert_eq!(assignment.members().count(), 0);
}

#[test]
fn a_follower_that_applies_the_changes_has_the_same_assignment() {
    let (mut leader, mut members) = small_assignment();
    let mut follower = leader.clone();
    for lost in 0..4 {
        members[lost].present = false;
        let change = plan_and_apply(&mut leader, &members);
        let json = serde_json::to_string(&change).unwrap();
        follower
            .apply(&serde_json::from_str(&json).unwrap())
            .unwrap();
        assert_eq!(follower, leader);
    }
}

#[test]
fn invalid_members_are_rejected() {
    let (assignment, members) = small_assignment();
    let rejection_with = |wrong: Member| {
        assignment
            .plan(&[&members[..], &[wrong]].concat())
            .unwrap_err()
    };
    let unknown_zone = rejection_with(member(12, zone(5, 0)));
    assert!(matches!(unknown_zone, PlacementError::UnknownZone { .. }));
    assert!(
        unknown_zone.to_string().contains("declare the zone"),
        "{unknown_zone}"
    );
    assert!(matches!(
        rejection_with(members[3].clone()),
        PlacementError::DuplicateMember { .. }
    ));
    for weight in [-1.0, f64::NAN, f64::INFINITY] {
        let rejected = rejection_with(Member {
            weight,
            ..member(12, zone(0, 0))
        });
        assert!(
            matches!(rejected, PlacementError::InvalidWeight { .. }),
            "{rejected}"
        );
    }
}

#[test]
fn a_region_with_one_zone_has_one_replica_and_a_warning() {
    let (mut assignment, mut members) = small_assignment();
    members
        .iter_mut()
        .for_each(|member| member.present = member.zone == zone(0, 1));
    let change = plan_and_apply(&mut assignment, &members);
    assert_eq!(
        change.warnings,
        [PlacementWarning::OneZone {
            region: "region-0".into()
        }]
    );
    assert!(change.warnings[0].to_string().contains("region-0"));
    assert!(
        change.warnings[0]
            .to_string()
            .contains("declare or start dispatchers in a second zone of the region")
    );
    members.iter_mut().for_each(|member| member.present = true);
    assert!(
        plan_and_apply(&mut assignment, &members)
            .warnings
            .is_empty()
    );
}

#[test]
fn a_region_without_members_has_no_holders_and_a_warning() {
    let mut assignment = Assignment::empty(layout(&[2, 2], BUCKETS));
    let members: Vec<Member> = (0..4)
        .map(|number| member(number, zone(1, number % 2)))
        .collect();
    let change = plan_and_apply(&mut assignment, &members);
    assert_eq!(
        change.warnings,
        [PlacementWarning::NoMembers {
            region: "region-0".into()
        }]
    );
    assert_eq!(assignment.holders(BucketId(0)), [None, None]);
}

#[test]
fn a_member_without_weight_holds_nothing() {
    let (mut assignment, mut members) = small_assignment();
    plan_and_apply(&mut assignment, &members);
    members[5].weight = 0.0;
    plan_and_apply(&mut assignment, &members);
    assert!(assignment.buckets_of(&members[5].name).is_empty());
}

#[test]
fn a_member_that_changes_its_zone_shares_no_bucket_with_members_of_its_new_zone() {
    let (mut assignment, mut members) = small_assignment();
    plan_and_apply(&mut assignment, &members);
    members[0].zone = zone(0, 1);
    plan_and_apply(&mut assignment, &members);
}

#[test]
fn a_table_restores_the_assignment() {
    let (mut assignment, members) = small_assignment();
    plan_and_apply(&mut assignment, &members);
    let json = serde_json::to_string(&assignment.to_table()).unwrap();
    let read: AssignmentTable = serde_json::from_str(&json).unwrap();
    let absent: Vec<Member> = members
        .iter()
        .cloned()
        .map(|m| Member {
            present: false,
            ..m
        })
        .collect();
    assert_eq!(Assignment::from_table(&read, &absent), Ok(assignment));
}

#[test]
fn an_invalid_table_is_rejected() {
    let (mut assignment, members) = small_assignment();
    plan_and_apply(&mut assignment, &members);
    let table = assignment.to_table();
    let rejected = |table: &AssignmentTable, members: &[Member]| {
        Assignment::from_table(table, members).unwrap_err()
    };
    let unknown = rejected(&table, &members[1..]);
    assert_eq!(
        unknown,
        TableError::UnknownMember {
            member: members[0].name.clone()
        }
    );
    let other_version = AssignmentTable {
        hash_version: 2,
        ..table.clone()
    };
    assert_eq!(
        rejected(&other_version, &members),
        TableError::HashVersion { found: 2 }
    );
    let mut short = table.clone();
    short.holders.pop();
    assert_eq!(
        rejected(&short, &members),
        TableError::BucketCount {
            expected: BUCKETS,
            found: 63
        }
    );
    for wrong in [[Some(12), None], [Some(1), Some(1)]] {
        let mut invalid = table.clone();
        invalid.holders[7] = wrong;
        assert_eq!(
            rejected(&invalid, &members),
            TableError::InvalidHolder {
                bucket: BucketId(7)
            }
        );
    }
}

#[test]
fn a_zone_with_half_of_the_members_has_half_of_the_replicas() {
    let mut assignment = Assignment::empty(layout(&[3], 200));
    let zone_of = |number: usize| zone(0, [0, 1, 0, 2][number % 4]);
    let members: Vec<Member> = (0..40)
        .map(|number| member(number, zone_of(number)))
        .collect();
    plan_and_apply(&mut assignment, &members);
    let loads: Vec<usize> = members
        .iter()
        .map(|member| assignment.buckets_of(&member.name).len())
        .collect();
    assert_eq!(loads, [10; 40], "400 replicas on 40 members");
}
