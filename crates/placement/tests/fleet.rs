//! Tests with a full-size fleet: the number of moves when members and zones are lost, return, change their weight or
//! join, compared with the minimum possible.

mod common;

use bellsill_placement::{
    Assignment, AssignmentChange, DEFAULT_BUCKETS_PER_REGION, Layout, Member, MemberName, ZoneName,
};
use common::{layout, member, plan_and_apply, zone};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of zones of each region of the full-size fleet: 7 regions, 22 zones.
const FULL_ZONES: [usize; 7] = [3, 3, 3, 3, 3, 3, 4];
/// The number of dispatchers of the full-size fleet.
const FULL_MEMBERS: usize = 1900;

/// The maximum ratio of the moves of a change to the minimum possible.
const MAX_MOVES_RATIO: f64 = 1.1;

/// The layout and members of the full-size fleet, with dispatchers distributed over all zones.
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

/// The number of replicas held by absent members.
fn held_by_absent(assignment: &Assignment, members: &[Member]) -> usize {
    let absent = members.iter().filter(|member| !member.present);
    absent
        .map(|member| assignment.buckets_of(&member.name).len())
        .sum()
}

fn placed_full_fleet() -> (Assignment, Vec<Member>) {
    let (layout, members) = full_fleet();
    let mut assignment = Assignment::empty(layout);
    plan_and_apply(&mut assignment, &members);
    (assignment, members)
}

/// Plans and applies a change and compares its moves with the minimum that any plan needs for this cause.
fn plan_and_apply_within(
    cause: &str,
    assignment: &mut Assignment,
    members: &[Member],
    min_moves: usize,
) -> AssignmentChange {
    let change = plan_and_apply(assignment, members);
    println!(
        "{cause}: moved {}, minimum {min_moves}, lower bound {}",
        change.moved_replicas, change.least_possible
    );
    assert!(
        change.least_possible >= min_moves,
        "{cause}: the lower bound of the plan is below the minimum"
    );
    let max_moves = min_moves as f64 * MAX_MOVES_RATIO;
    assert!(
        change.moved_replicas as f64 <= max_moves,
        "{cause}: moved {}, minimum {min_moves}",
        change.moved_replicas
    );
    change
}

fn set_presence(members: &mut [Member], present: bool, selects: impl Fn(usize, &Member) -> bool) {
    members
        .iter_mut()
        .enumerate()
        .filter(|(number, member)| selects(*number, member))
        .for_each(|(_, member)| member.present = present);
}

/// The number of replicas that members without any must receive: the sum of their fair shares, each rounded down.
fn replicas_to_fill_empty_members(assignment: &Assignment, members: &[Member]) -> usize {
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

fn assert_each_bucket_has_a_present_holder(assignment: &Assignment, members: &[Member]) {
    let present: BTreeSet<&MemberName> = members
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
                .any(|holder| present.contains(holder)),
            "{bucket:?}: {holders:?}"
        );
    }
}

#[test]
fn the_first_plan_balances_the_load() {
    let (assignment, members) = placed_full_fleet();
    let loads: BTreeSet<usize> = members
        .iter()
        .map(|member| assignment.buckets_of(&member.name).len())
        .collect();
    println!("loads {loads:?}");
    // Each region has 4,096 replicas on 258 to 346 members.
    assert!(
        loads.first() >= Some(&11) && loads.last() <= Some(&16),
        "{loads:?}"
    );
}

#[test]
fn losing_and_restoring_one_member_moves_close_to_the_minimum() {
    let (mut assignment, mut members) = placed_full_fleet();
    for number in [0, 777, 1899] {
        set_presence(&mut members, false, |lost, _| lost == number);
        let min_moves = held_by_absent(&assignment, &members);
        plan_and_apply_within("one lost", &mut assignment, &members, min_moves);
        set_presence(&mut members, true, |_, _| true);
        let min_moves = replicas_to_fill_empty_members(&assignment, &members);
        plan_and_apply_within("one back", &mut assignment, &members, min_moves);
    }
}

#[test]
fn losing_and_restoring_any_zone_moves_close_to_the_minimum() {
    for (region, zones) in FULL_ZONES.into_iter().enumerate() {
        for number in 0..zones {
            let (mut assignment, mut members) = placed_full_fleet();
            let lost = zone(region, number);
            set_presence(&mut members, false, |_, member| member.zone == lost);
            assert_each_bucket_has_a_present_holder(&assignment, &members);
            let min_moves = held_by_absent(&assignment, &members);
            plan_and_apply_within("zone lost", &mut assignment, &members, min_moves);
            set_presence(&mut members, true, |_, _| true);
            let min_moves = replicas_to_fill_empty_members(&assignment, &members);
            plan_and_apply_within("zone back", &mut assignment, &members, min_moves);
        }
    }
}

#[test]
fn losing_and_restoring_a_tenth_of_members_moves_close_to_the_minimum() {
    let (mut assignment, mut members) = placed_full_fleet();
    set_presence(&mut members, false, |number, _| number % 10 == 3);
    let min_moves = held_by_absent(&assignment, &members);
    let change = plan_and_apply_within("a tenth absent", &mut assignment, &members, min_moves);
    assert_eq!(
        change.moved_replicas, min_moves,
        "replicas of lost members must be balanced without further moves"
    );
    set_presence(&mut members, true, |_, _| true);
    let min_moves = replicas_to_fill_empty_members(&assignment, &members);
    plan_and_apply_within("a tenth back", &mut assignment, &members, min_moves);
}

/// A member that restarts within the grace period stays present, so its restart must move nothing.
#[test]
fn planning_again_without_changes_moves_nothing() {
    let (mut assignment, members) = placed_full_fleet();
    let change = plan_and_apply(&mut assignment, &members);
    assert!(change.is_empty());
    assert_eq!((change.moved_replicas, change.least_possible), (0, 0));
}

/// The CPU time used by this thread.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap(),
        u32::try_from(time.tv_nsec).unwrap(),
    )
}

#[test]
fn plans_for_the_whole_fleet_are_fast() {
    /// The maximum CPU time of one plan. CPU time, unlike wall time, does not count waiting for other processes.
    const BUDGET: Duration = Duration::from_millis(200);
    let (assignment, mut members) = placed_full_fleet();
    let empty = Assignment::empty(assignment.layout().clone());
    let plan_time = |from: &Assignment, members: &[Member]| {
        let begin = thread_cpu_time();
        from.plan(members).unwrap();
        thread_cpu_time() - begin
    };
    let first = plan_time(&empty, &members);
    let unchanged = plan_time(&assignment, &members);
    set_presence(&mut members, false, |_, member| {
        member.zone.as_str().ends_with("zone-0")
    });
    let zones_lost = plan_time(&assignment, &members);
    let mut without_zones = assignment;
    plan_and_apply(&mut without_zones, &members);
    set_presence(&mut members, true, |_, _| true);
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
fn a_restored_zone_gets_at_most_one_replica_of_a_bucket() {
    let (mut assignment, mut members) = placed_full_fleet();
    set_presence(&mut members, false, |_, member| member.zone == zone(2, 1));
    plan_and_apply(&mut assignment, &members);
    set_presence(&mut members, true, |_, _| true);
    let change = plan_and_apply(&mut assignment, &members);
    let buckets = change.moved.len();
    assert_eq!(
        buckets, change.moved_replicas,
        "the other holder of each bucket must stay"
    );
}

#[test]
fn joining_members_move_close_to_the_minimum() {
    let (mut assignment, mut members) = placed_full_fleet();
    for (joined, zone_of_joined) in [(1, zone(0, 0)), (30, zone(3, 2)), (86, zone(6, 3))] {
        let first = members.len();
        members
            .extend((first..first + joined).map(|number| member(number, zone_of_joined.clone())));
        let min_moves = replicas_to_fill_empty_members(&assignment, &members);
        plan_and_apply_within("joined", &mut assignment, &members, min_moves);
    }
}

#[test]
fn changing_weights_moves_close_to_the_minimum() {
    let (mut assignment, mut members) = placed_full_fleet();
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
        let min_moves = if weight > 1.0 {
            share.floor() - held
        } else {
            held - (share * 1.1).ceil()
        };
        plan_and_apply_within("weight", &mut assignment, &members, min_moves as usize);
    }
}

#[test]
fn a_long_sequence_of_changes_moves_close_to_the_minimum() {
    const CHANGES: usize = 150;
    let (mut assignment, mut members) = placed_full_fleet();
    let mut random = 42_u64;
    let mut next = |below: usize| {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as usize % below
    };
    let (mut moved, mut min_moves) = (0, 0);
    for _ in 0..CHANGES {
        for _ in 0..=next(20) {
            let number = next(members.len());
            match next(4) {
                0 => members[number].weight = [0.5, 1.0, 2.0][next(3)],
                _ => members[number].present = !members[number].present,
            }
        }
        let change = plan_and_apply(&mut assignment, &members);
        let max_moves = (change.least_possible as f64 * MAX_MOVES_RATIO).ceil();
        assert!(
            change.moved_replicas as f64 <= max_moves,
            "moved {}, lower bound {}",
            change.moved_replicas,
            change.least_possible
        );
        moved += change.moved_replicas;
        min_moves += change.least_possible;
    }
    println!("{CHANGES} changes: moved {moved}, lower bound {min_moves}");
}

#[test]
fn the_change_after_losing_a_zone_is_small() {
    let (mut assignment, mut members) = placed_full_fleet();
    set_presence(&mut members, false, |_, member| member.zone == zone(0, 0));
    let change = serde_json::to_string(&plan_and_apply(&mut assignment, &members))
        .unwrap()
        .len();
    let table = serde_json::to_string(&assignment.to_table()).unwrap().len();
    println!("change: {change} bytes, table: {table} bytes");
    assert!(change < 150_000 && table < 300_000, "{change} {table}");
}
