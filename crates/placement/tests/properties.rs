//! Property tests with random regions and changes: every plan keeps the invariants and does not depend on the order of
//! the members.

mod common;

use bellsill_placement::{Assignment, Layout, Member};
use common::{layout, member, plan_and_apply, zone};
use quickcheck::{QuickCheck, TestResult};

/// A random change of a member: a selector of the member and a selector of the change.
type MemberChange = (u8, u8);

/// A random layout of two regions and its members. Regions may have few zones, and zones may differ in size.
fn random_members(shape: (u8, u8), weights: &[u8]) -> (Layout, Vec<Member>) {
    let zones = [1 + usize::from(shape.0 % 4), 2 + usize::from(shape.1 % 3)];
    let buckets = [1, 3, 16, 100][usize::from(shape.0 / 4 % 4)];
    let zone_of = |weight: u8| {
        let region = usize::from(weight % 2);
        let skewed = usize::from(weight / 2 % 16).saturating_sub(usize::from(shape.1 / 16));
        zone(region, skewed % zones[region])
    };
    let weighted = |(number, weight): (usize, &u8)| Member {
        weight: [1.0, 1.0, 0.5, 3.0, 0.01, 0.0][usize::from(weight % 6)],
        ..member(number, zone_of(*weight))
    };
    (
        layout(&zones, buckets),
        weights.iter().enumerate().map(weighted).collect(),
    )
}

fn change_member(members: &mut [Member], (selector, action): MemberChange) {
    let number = usize::from(selector) % members.len();
    let member = &mut members[number];
    match action % 4 {
        0 => member.weight = f64::from(action / 4) / 16.0,
        _ => member.present = !member.present,
    }
}

/// Checks the invariants after each change, and that planning again without a change moves nothing.
fn plans_keep_invariants(
    shape: (u8, u8),
    weights: Vec<u8>,
    changes: Vec<MemberChange>,
) -> TestResult {
    if weights.is_empty() {
        return TestResult::discard();
    }
    let (layout, mut members) = random_members(shape, &weights);
    let mut assignment = Assignment::empty(layout);
    plan_and_apply(&mut assignment, &members);
    for member_change in changes {
        change_member(&mut members, member_change);
        plan_and_apply(&mut assignment, &members);
        let second = assignment.plan(&members).unwrap();
        assert!(
            second.is_empty() && second.moved_replicas == 0,
            "a second plan without changes moves replicas: {second:?}"
        );
    }
    TestResult::passed()
}

fn plans_ignore_member_order(
    shape: (u8, u8),
    weights: Vec<u8>,
    changes: Vec<MemberChange>,
) -> bool {
    let (layout, mut members) = random_members(shape, &weights);
    let mut assignment = Assignment::empty(layout);
    changes.into_iter().all(|member_change| {
        if !members.is_empty() {
            change_member(&mut members, member_change);
            members.rotate_left(usize::from(member_change.0) % weights.len());
        }
        let mut reversed = members.clone();
        reversed.reverse();
        let change = plan_and_apply(&mut assignment.clone(), &members);
        let same = plan_and_apply(&mut assignment, &reversed) == change;
        members.sort_by(|a, b| a.name.cmp(&b.name));
        same
    })
}

#[test]
fn every_plan_keeps_the_invariants() {
    QuickCheck::new()
        .tests(400)
        .quickcheck(plans_keep_invariants as fn(_, _, _) -> _);
}

#[test]
fn the_order_of_members_does_not_affect_the_plan() {
    QuickCheck::new()
        .tests(100)
        .quickcheck(plans_ignore_member_order as fn(_, _, _) -> _);
}
