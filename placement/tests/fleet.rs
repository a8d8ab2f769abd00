//! The fleet of full size: what losses, returns, weights and joins move, against the least possible.

mod common;

use bellsill_placement::{Assignment, AssignmentChange, Member, MemberName};
use common::*;
use std::collections::BTreeSet;

/// A change moves at most this much of the least possible.
const MOST_AGAINST_LEAST: f64 = 1.1;

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
    println!("{what}: moved {}, least {least}, bound {}", change.moved_replicas, change.least_possible);
    assert!(change.least_possible >= least, "{what}: the plan's own bound knows of the cause");
    let most = least as f64 * MOST_AGAINST_LEAST;
    assert!(change.moved_replicas as f64 <= most, "{what}: moved {}, least {least}", change.moved_replicas);
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
    let share =
        |member: &Member| f64::from(2 * layout.buckets_per_region()) * member.weight / weight(region(member));
    let empty =
        members.iter().filter(|member| member.present && assignment.buckets_of(&member.name).is_empty());
    empty.map(|member| share(member).floor() as usize).sum()
}

fn assert_each_bucket_has_a_live_holder(assignment: &Assignment, members: &[Member]) {
    let live: BTreeSet<&MemberName> =
        members.iter().filter(|member| member.present).map(|member| &member.name).collect();
    for bucket in assignment.buckets() {
        let holders = assignment.holders(bucket);
        assert!(holders.into_iter().flatten().any(|holder| live.contains(holder)), "{bucket:?}: {holders:?}");
    }
}

#[test]
fn the_first_plan_is_even() {
    let (assignment, members) = placed();
    let loads: BTreeSet<usize> =
        members.iter().map(|member| assignment.buckets_of(&member.name).len()).collect();
    println!("loads {loads:?}");
    // 4,096 replicas on 258 to 346 members of a region.
    assert!(loads.first() >= Some(&11) && loads.last() <= Some(&16), "{loads:?}");
}

#[test]
fn one_member_lost_and_back() {
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
fn each_zone_lost_and_back() {
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
fn a_tenth_absent_and_back() {
    let (mut assignment, mut members) = placed();
    set_present(&mut members, false, |number, _| number % 10 == 3);
    let least = held_by_absent(&assignment, &members);
    step_within("a tenth absent", &mut assignment, &members, least);
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
