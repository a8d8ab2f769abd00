//! Random regions and random changes: the rules that every plan keeps, and that nothing but the members decides it.

mod common;

use bellsill_placement::{Assignment, Layout, Member};
use common::{layout, member, step, zone};
use quickcheck::{QuickCheck, TestResult};

/// One random change of a member: which, and what happens to it.
type Step = (u8, u8);

/// Zones and members of two regions, some with few zones and uneven ones.
fn random_members(shape: (u8, u8), weights: &[u8]) -> (Layout, Vec<Member>) {
    let zones = [1 + usize::from(shape.0 % 4), 2 + usize::from(shape.1 % 3)];
    let buckets = [1, 3, 16, 100][usize::from(shape.0 / 4 % 4)];
    let place = |weight: u8| {
        let region = usize::from(weight % 2);
        let skewed = usize::from(weight / 2 % 16).saturating_sub(usize::from(shape.1 / 16));
        zone(region, skewed % zones[region])
    };
    let weighted = |(number, weight): (usize, &u8)| Member {
        weight: [1.0, 1.0, 0.5, 3.0, 0.01, 0.0][usize::from(weight % 6)],
        ..member(number, place(*weight))
    };
    (
        layout(&zones, buckets),
        weights.iter().enumerate().map(weighted).collect(),
    )
}

fn change_member(members: &mut [Member], (which, what): Step) {
    let number = usize::from(which) % members.len();
    let member = &mut members[number];
    match what % 4 {
        0 => member.weight = f64::from(what / 4) / 16.0,
        _ => member.present = !member.present,
    }
}

/// The checks of `step` hold after each change, and a plan with nothing changed moves nothing.
fn keeps_the_rules(shape: (u8, u8), weights: Vec<u8>, steps: Vec<Step>) -> TestResult {
    if weights.is_empty() {
        return TestResult::discard();
    }
    let (layout, mut members) = random_members(shape, &weights);
    let mut assignment = Assignment::empty(layout);
    step(&mut assignment, &members);
    for random in steps {
        change_member(&mut members, random);
        step(&mut assignment, &members);
        let again = assignment.plan(&members).unwrap();
        assert!(
            again.is_empty() && again.moved_replicas == 0,
            "a second plan moves: {again:?}"
        );
    }
    TestResult::passed()
}

fn is_the_same_in_any_order(shape: (u8, u8), weights: Vec<u8>, steps: Vec<Step>) -> bool {
    let (layout, mut members) = random_members(shape, &weights);
    let mut assignment = Assignment::empty(layout);
    steps.into_iter().all(|random| {
        if !members.is_empty() {
            change_member(&mut members, random);
            members.rotate_left(usize::from(random.0) % weights.len());
        }
        let mut backwards = members.clone();
        backwards.reverse();
        let change = step(&mut assignment.clone(), &members);
        let same = step(&mut assignment, &backwards) == change;
        members.sort_by(|a, b| a.name.cmp(&b.name));
        same
    })
}

#[test]
fn every_plan_keeps_the_rules() {
    QuickCheck::new()
        .tests(400)
        .quickcheck(keeps_the_rules as fn(_, _, _) -> _);
}

#[test]
fn the_order_of_members_makes_no_difference() {
    QuickCheck::new()
        .tests(100)
        .quickcheck(is_the_same_in_any_order as fn(_, _, _) -> _);
}
