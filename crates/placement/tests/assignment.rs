//! Layouts, changes, tables, members and the warnings for operators.

mod common;

use bellsill_placement::{
    Assignment, AssignmentChange, AssignmentTable, BucketId, DEFAULT_BUCKETS_PER_REGION, Epoch,
    HASH_VERSION, Layout, LayoutError, Member, PlacementError, PlacementWarning, RegionId,
    RegionName, TableError, ZoneName,
};
use common::{layout, member, step, zone};

const BUCKETS: u32 = 64;

/// One region of three zones with four members each.
fn small() -> (Assignment, Vec<Member>) {
    let members = (0..12)
        .map(|number| member(number, zone(0, number % 3)))
        .collect();
    (Assignment::empty(layout(&[3], BUCKETS)), members)
}

#[test]
fn a_destination_stays_in_its_bucket() {
    // Fixed by HASH_VERSION 1: another result needs another version.
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
        "five deviations of 100"
    );
}

#[test]
fn a_layout_is_the_same_in_any_order_of_its_zones() {
    let zones =
        [("b1", "b"), ("a1", "a"), ("a2", "a")].map(|(zone, region)| (zone.into(), region.into()));
    let forwards = Layout::new(zones.clone(), 8).unwrap();
    let backwards = Layout::new(zones.into_iter().rev(), 8).unwrap();
    assert_eq!(forwards, backwards);
    assert_eq!(forwards.region_of(&"b1".into()), Some(RegionId(1)));
    assert_eq!(forwards.region_of(&"c1".into()), None);
    let written = serde_json::to_string(&forwards).unwrap();
    assert_eq!(serde_json::from_str::<Layout>(&written).unwrap(), forwards);
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
    let twice = Layout::new(zones(&[("z", "r"), ("z", "s")]), 8);
    let [zone, first, second] = ["z", "r", "s"];
    assert_eq!(
        twice,
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
    let (mut assignment, members) = small();
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
    assert!(assignment.apply(&first).is_err(), "once only");
    assert_eq!(assignment.epoch(), Epoch(1));
}

#[test]
fn a_damaged_change_is_rejected_as_a_whole() {
    let (mut assignment, members) = small();
    let complete = assignment.plan(&members).unwrap();
    let mut outside = complete.clone();
    outside.moved.last_mut().unwrap().bucket = BucketId(BUCKETS);
    let rejected = PlacementError::UnknownBucket {
        bucket: BucketId(BUCKETS),
        buckets: BUCKETS,
    };
    assert_eq!(assignment.apply(&outside), Err(rejected));
    let mut twice = complete;
    let last = twice.moved.last_mut().unwrap();
    last.holders[1] = last.holders[0].clone();
    assert!(matches!(
        assignment.apply(&twice),
        Err(PlacementError::SameHolderTwice { .. })
    ));
    assert_eq!(assignment.epoch(), Epoch(0));
    assert_eq!(assignment.members().count(), 0);
}

#[test]
fn a_follower_that_applies_the_changes_has_the_same_assignment() {
    let (mut writer, mut members) = small();
    let mut follower = writer.clone();
    for lost in 0..4 {
        members[lost].present = false;
        let change = step(&mut writer, &members);
        let written = serde_json::to_string(&change).unwrap();
        follower
            .apply(&serde_json::from_str(&written).unwrap())
            .unwrap();
        assert_eq!(follower, writer);
    }
}

#[test]
fn invalid_members_are_rejected() {
    let (assignment, members) = small();
    let with = |wrong: Member| {
        assignment
            .plan(&[&members[..], &[wrong]].concat())
            .unwrap_err()
    };
    let elsewhere = with(member(12, zone(5, 0)));
    assert!(matches!(elsewhere, PlacementError::UnknownZone { .. }));
    assert!(
        elsewhere.to_string().contains("declare the zone"),
        "{elsewhere}"
    );
    assert!(matches!(
        with(members[3].clone()),
        PlacementError::DuplicateMember { .. }
    ));
    for weight in [-1.0, f64::NAN, f64::INFINITY] {
        let rejected = with(Member {
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
    let (mut assignment, mut members) = small();
    members
        .iter_mut()
        .for_each(|member| member.present = member.zone == zone(0, 1));
    let change = step(&mut assignment, &members);
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
    assert!(step(&mut assignment, &members).warnings.is_empty());
}

#[test]
fn a_region_without_members_has_no_holders_and_a_warning() {
    let mut assignment = Assignment::empty(layout(&[2, 2], BUCKETS));
    let members: Vec<Member> = (0..4)
        .map(|number| member(number, zone(1, number % 2)))
        .collect();
    let change = step(&mut assignment, &members);
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
    let (mut assignment, mut members) = small();
    step(&mut assignment, &members);
    members[5].weight = 0.0;
    step(&mut assignment, &members);
    assert!(assignment.buckets_of(&members[5].name).is_empty());
}

#[test]
fn a_member_that_changes_its_zone_shares_no_bucket_with_its_new_neighbours() {
    let (mut assignment, mut members) = small();
    step(&mut assignment, &members);
    members[0].zone = zone(0, 1);
    step(&mut assignment, &members);
}

#[test]
fn a_table_restores_the_assignment() {
    let (mut assignment, members) = small();
    step(&mut assignment, &members);
    let written = serde_json::to_string(&assignment.to_table()).unwrap();
    let read: AssignmentTable = serde_json::from_str(&written).unwrap();
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
    let (mut assignment, members) = small();
    step(&mut assignment, &members);
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
    let other_hash = AssignmentTable {
        hash_version: 2,
        ..table.clone()
    };
    assert_eq!(
        rejected(&other_hash, &members),
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
        let mut damaged = table.clone();
        damaged.holders[7] = wrong;
        assert_eq!(
            rejected(&damaged, &members),
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
    step(&mut assignment, &members);
    let loads: Vec<usize> = members
        .iter()
        .map(|member| assignment.buckets_of(&member.name).len())
        .collect();
    assert_eq!(loads, [10; 40], "400 replicas on 40 members");
}
