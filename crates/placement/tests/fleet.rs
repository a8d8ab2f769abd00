//! The fleet of full size: what losses, returns, weights and joins move, against the least possible.

mod common;

use bellsill_placement::{
    Assignment, AssignmentChange, DEFAULT_BUCKETS_PER_REGION, Layout, Member, MemberName, ZoneName,
};
use common::{layout, member, step, zone};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeSet;
use std::time::Duration;

/// Zones of each region of the fleet of full size: 7 regions, 22 zones.
const FULL_ZONES: [usize; 7] = [3, 3, 3, 3, 3, 3, 4];
/// Dispatchers of the fleet of full size.
const FULL_MEMBERS: usize = 1900;

/// A change moves at most this much of the least possible.
const MOST_AGAINST_LEAST: f64 = 1.1;

/// The fleet of full size, its dispatchers spread over all zones.
fn full_fleet() -> (Layout, Vec<Member>) {
    let zones: Vec<ZoneName> = FULL_ZONES
        .iter()
        .enumerate()
        .flat_map(|(region, zones)| (0..*zones).map(move |number| zone(region, number)))
        .collect();
    let members = (0..FULL_MEMBERS)
        .map(|number| member(number, zones[number % zones.len()].clone()))
        .collect();
    (layout(&FULL_ZONES, DEFAULT_BUCKETS_PER_REGION), members)
}

/// How many replicas those members hold that are not present.
fn held_by_absent(assignment: &Assignment, members: &[Member]) -> usize {
    let absent = members.iter().filter(|member| !member.present);
    absent
        .map(|member| assignment.buckets_of(&member.name).len())
        .sum()
}

fn placed() -> (Assignment, Vec<Member>) {
    let (layout, members) = full_fleet();
    let mut assignment = Assignment::empty(layout);
    step(&mut assignment, &members);
    (assignment, members)
}

/// Plans and applies, and holds the moves against the least that any plan must move for this cause.
fn step_within(
    what: &str,
    assignment: &mut Assignment,
    members: &[Member],
    least: usize,
) -> AssignmentChange {
    let change = step(assignment, members);
    println!(
        "{what}: moved {}, least {least}, bound {}",
        change.moved_replicas, change.least_possible
    );
    assert!(
        change.least_possible >= least,
        "{what}: the plan's own bound covers the cause"
    );
    let most = least as f64 * MOST_AGAINST_LEAST;
    assert!(
        change.moved_replicas as f64 <= most,
        "{what}: moved {}, least {least}",
        change.moved_replicas
    );
    change
}

fn set_present(members: &mut [Member], present: bool, which: impl Fn(usize, &Member) -> bool) {
    members
        .iter_mut()
        .enumerate()
        .filter(|(number, member)| which(*number, member))
        .for_each(|(_, member)| member.present = present);
}

/// Replicas that members that hold none must be given: the whole number below the fair share of each region.
fn fair_shares_of_empty(assignment: &Assignment, members: &[Member]) -> usize {
    let layout = assignment.layout();
    let region = |member: &Member| layout.region_of(&member.zone).unwrap();
    let weight = |of| -> f64 {
        members
            .iter()
            .filter(|member| member.present && region(member) == of)
            .map(|member| member.weight)
            .sum()
    };
    let share = |member: &Member| {
        f64::from(2 * layout.buckets_per_region()) * member.weight / weight(region(member))
    };
    let empty = members
        .iter()
        .filter(|member| member.present && assignment.buckets_of(&member.name).is_empty());
    empty.map(|member| share(member).floor() as usize).sum()
}

fn assert_each_bucket_has_a_live_holder(assignment: &Assignment, members: &[Member]) {
    let live: BTreeSet<&MemberName> = members
        .iter()
        .filter(|member| member.present)
        .map(|member| &member.name)
        .collect();
    for bucket in assignment.buckets() {
        let holders = assignment.holders(bucket);
        assert!(
            holders
                .into_iter()
                .flatten()
                .any(|holder| live.contains(holder)),
            "{bucket:?}: {holders:?}"
        );
    }
}

#[test]
fn the_first_plan_is_even() {
    let (assignment, members) = placed();
    let loads: BTreeSet<usize> = members
        .iter()
        .map(|member| assignment.buckets_of(&member.name).len())
        .collect();
    println!("loads {loads:?}");
    // 4,096 replicas on 258 to 346 members of a region.
    assert!(
        loads.first() >= Some(&11) && loads.last() <= Some(&16),
        "{loads:?}"
    );
}

#[test]
fn one_member_lost_and_back_moves_near_the_least() {
    let (mut assignment, mut members) = placed();
    for number in [0, 777, 1899] {
        set_present(&mut members, false, |lost, _| lost == number);
        let least = held_by_absent(&assignment, &members);
        step_within("one lost", &mut assignment, &members, least);
        set_present(&mut members, true, |_, _| true);
        let least = fair_shares_of_empty(&assignment, &members);
        step_within("one back", &mut assignment, &members, least);
    }
}

#[test]
fn each_zone_lost_and_back_moves_near_the_least() {
    for (region, zones) in FULL_ZONES.into_iter().enumerate() {
        for number in 0..zones {
            let (mut assignment, mut members) = placed();
            let lost = zone(region, number);
            set_present(&mut members, false, |_, member| member.zone == lost);
            assert_each_bucket_has_a_live_holder(&assignment, &members);
            let least = held_by_absent(&assignment, &members);
            step_within("zone lost", &mut assignment, &members, least);
            set_present(&mut members, true, |_, _| true);
            let least = fair_shares_of_empty(&assignment, &members);
            step_within("zone back", &mut assignment, &members, least);
        }
    }
}

#[test]
fn a_tenth_absent_and_back_moves_near_the_least() {
    let (mut assignment, mut members) = placed();
    set_present(&mut members, false, |number, _| number % 10 == 3);
    let least = held_by_absent(&assignment, &members);
    let change = step_within("a tenth absent", &mut assignment, &members, least);
    assert_eq!(
        change.moved_replicas, least,
        "moved replicas are spread before anything else moves"
    );
    set_present(&mut members, true, |_, _| true);
    let least = fair_shares_of_empty(&assignment, &members);
    step_within("a tenth back", &mut assignment, &members, least);
}

#[test]
fn a_restart_within_the_grace_moves_nothing() {
    let (mut assignment, members) = placed();
    let change = step(&mut assignment, &members);
    assert!(change.is_empty());
    assert_eq!((change.moved_replicas, change.least_possible), (0, 0));
}

/// The processor time that this thread has taken.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap(),
        u32::try_from(time.tv_nsec).unwrap(),
    )
}

#[test]
fn plans_for_the_whole_fleet_are_fast() {
    /// The processor time that one plan may take; other programs may be busy.
    const BUDGET: Duration = Duration::from_millis(200);
    let (assignment, mut members) = placed();
    let empty = Assignment::empty(assignment.layout().clone());
    let plan_time = |from: &Assignment, members: &[Member]| {
        let begin = processor_time();
        from.plan(members).unwrap();
        processor_time() - begin
    };
    let first = plan_time(&empty, &members);
    let unchanged = plan_time(&assignment, &members);
    set_present(&mut members, false, |_, member| {
        member.zone.as_str().ends_with("zone-0")
    });
    let zones_lost = plan_time(&assignment, &members);
    let mut without_zones = assignment;
    step(&mut without_zones, &members);
    set_present(&mut members, true, |_, _| true);
    let zones_back = plan_time(&without_zones, &members);
    println!(
        "first {first:?}, unchanged {unchanged:?}, a zone of each region lost {zones_lost:?}, back {zones_back:?}"
    );
    assert!(
        [first, unchanged, zones_lost, zones_back]
            .into_iter()
            .all(|time| time < BUDGET)
    );
}

#[test]
fn a_returned_zone_gets_at_most_one_replica_of_a_bucket() {
    let (mut assignment, mut members) = placed();
    set_present(&mut members, false, |_, member| member.zone == zone(2, 1));
    step(&mut assignment, &members);
    set_present(&mut members, true, |_, _| true);
    let change = step(&mut assignment, &members);
    let buckets = change.moved.len();
    assert_eq!(buckets, change.moved_replicas, "the other holder stays");
}

#[test]
fn members_that_join_move_near_the_least() {
    let (mut assignment, mut members) = placed();
    for (joined, place) in [(1, zone(0, 0)), (30, zone(3, 2)), (86, zone(6, 3))] {
        let first = members.len();
        members.extend((first..first + joined).map(|number| member(number, place.clone())));
        let least = fair_shares_of_empty(&assignment, &members);
        step_within("joined", &mut assignment, &members, least);
    }
}

#[test]
fn weights_that_change_move_near_the_least() {
    let (mut assignment, mut members) = placed();
    let layout = assignment.layout().clone();
    let region_size = |members: &[Member], of: &Member| {
        members
            .iter()
            .filter(|m| layout.region_of(&m.zone) == layout.region_of(&of.zone))
            .count()
    };
    for (number, weight) in [(5, 2.0), (500, 0.5), (1000, 4.0)] {
        let others = (region_size(&members, &members[number]) - 1) as f64;
        members[number].weight = weight;
        let held = assignment.buckets_of(&members[number].name).len() as f64;
        let share = f64::from(2 * layout.buckets_per_region()) * weight / (others + weight);
        let least = if weight > 1.0 {
            share.floor() - held
        } else {
            held - (share * 1.1).ceil()
        };
        step_within("weight", &mut assignment, &members, least as usize);
    }
}

#[test]
fn a_long_sequence_of_changes_moves_near_the_least() {
    const CHANGES: usize = 150;
    let (mut assignment, mut members) = placed();
    let mut random = 42_u64;
    let mut next = |below: usize| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as usize % below
    };
    let (mut moved, mut least) = (0, 0);
    for _ in 0..CHANGES {
        for _ in 0..=next(20) {
            let number = next(members.len());
            match next(4) {
                0 => members[number].weight = [0.5, 1.0, 2.0][next(3)],
                _ => members[number].present = !members[number].present,
            }
        }
        let change = step(&mut assignment, &members);
        let most = (change.least_possible as f64 * MOST_AGAINST_LEAST).ceil();
        assert!(
            change.moved_replicas as f64 <= most,
            "{} of {}",
            change.moved_replicas,
            change.least_possible
        );
        moved += change.moved_replicas;
        least += change.least_possible;
    }
    println!("{CHANGES} changes: moved {moved}, least {least}");
}

#[test]
fn the_change_of_a_lost_zone_is_small() {
    let (mut assignment, mut members) = placed();
    set_present(&mut members, false, |_, member| member.zone == zone(0, 0));
    let change = serde_json::to_string(&step(&mut assignment, &members))
        .unwrap()
        .len();
    let table = serde_json::to_string(&assignment.to_table()).unwrap().len();
    println!("a change {change} bytes, a table {table} bytes");
    assert!(change < 150_000 && table < 300_000, "{change} {table}");
}
