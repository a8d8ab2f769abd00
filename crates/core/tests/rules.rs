//! Random runs: whatever happens, the six rules hold after every step.

mod world;

use bellsill_core::interface::*;
use quickcheck::{Gen, QuickCheck, TestResult};
use world::*;

/// One step of a random run: what happens, to whom, and how long nothing else does.
type Step = (u8, u8, u16);

fn way(n: u8) -> Way {
    match n % 12 {
        0 => Way::Hangs,
        1 => Way::Errs,
        2 => Way::Refuses(0),
        3 => Way::Refuses(u64::from(n) * 10 * MS),
        4 => Way::Down,
        5 => Way::TableFull,
        6 => Way::Answers(u64::from(n) * 20 * MS),
        7 => Way::Resets,
        8 => Way::NoSlot,
        9 => Way::LosesAnswers,
        10 => Way::RefusesLate,
        _ => Way::Answers(100 * MS),
    }
}

fn run(steps: Vec<Step>) -> TestResult {
    // Few slots, many endpoints, large fleets and sparse traffic too.
    let draw = steps.first().map_or(0, |s| usize::from(s.2));
    let (slots, dispatchers) = ([8, 2, 3][draw % 3], [1, 300][draw / 3 % 2]);
    let endpoints = [12, 60][draw / 6 % 2];
    let batch = [vec![], vec![4, 1], vec![3, 20]][draw / 12 % 3].clone();
    let mut w = World::sized(
        Settings {
            max_in_flight: slots,
            dispatchers,
            max_batch: batch,
            ..facts()
        },
        u32::from(endpoints),
    );
    for (what, whom, wait) in steps {
        let to = u32::from(whom % endpoints);
        match what % 32 {
            0 => w.o.ways[to as usize] = way((what / 32).wrapping_add(whom)),
            1 => w.serve(to, whom % 3 == 0, EndpointUpdate::Delta),
            2 => w.serve(to, true, EndpointUpdate::Snapshot),
            3 if whom % 8 == 0 => w.restart(),
            3 if whom % 8 == 1 => w.resume(),
            4 => w.withdraw(MessageId(w.o.sent.last().map_or(1, |s| s.mail.0))),
            5 => {
                w.o.ways
                    .iter_mut()
                    .skip(usize::from(whom % 3) * 4)
                    .take(4)
                    .for_each(|x| *x = way(whom))
            }
            6 => w.o.ways.fill(Way::Answers(100 * MS)),
            n => {
                let lifetime = if whom == 0 { 3 * MS } else { 12 * S };
                w.mail(
                    usize::from(n % 4),
                    u64::from(whom % (endpoints / 4)),
                    Some(u64::from(whom % 5)),
                    lifetime,
                );
            }
        }
        w.pass(u64::from(wait % 128) * MS);
    }
    w.pass(30 * S);
    TestResult::passed()
}

#[test]
fn rules_hold_in_random_runs() {
    let source = Gen::from_size_and_seed(600, 20_261_201);
    QuickCheck::new()
        .rng(source)
        .tests(120)
        .quickcheck(run as fn(Vec<Step>) -> TestResult);
}

/// Rule 4: after an outage seen here, no window holds more than the cold route bears.
fn returns_gently(way: Way) {
    let mut w = World::new(Settings {
        max_in_flight: 40,
        queue_capacity: 400,
        ..facts()
    });
    let ten_a_second = |w: &mut World, tenths: u32| {
        for _ in 0..tenths {
            w.mail(0, 2, None, 12 * S);
            w.pass(100 * MS);
        }
    };
    ten_a_second(&mut w, 200);
    w.o.ways.fill(way);
    ten_a_second(&mut w, 80);
    w.o.ways.fill(Way::Answers(100 * MS));
    let back = w.o.now;
    ten_a_second(&mut w, 120);
    let f = facts();
    for to in 8..12 {
        let times: Vec<Nanos> =
            w.o.sent
                .iter()
                .filter(|s| s.to == to && s.at >= back)
                .map(|s| s.at)
                .collect();
        assert!(
            times.len() > 5,
            "route {to} got only {} mails after its return",
            times.len()
        );
        for (i, &end) in times
            .iter()
            .enumerate()
            .filter(|(_, end)| **end < back + f.slow_start)
        {
            let warm = f.cold_capacity_share
                + (1.0 - f.cold_capacity_share) * ((end - back) as f64 / f.slow_start as f64);
            // The route took 2.5 a second and could take 3; two more in a window are slack for chance.
            let bears = 3.0 * f.overload_multiple * warm * (f.overload_window as f64 / 1e9) + 2.0;
            let window = times[..=i]
                .iter()
                .filter(|&&t| t + f.overload_window > end)
                .count();
            assert!(
                window as f64 <= bears,
                "route {to}: {window} sent in a window, {bears:.1} borne"
            );
        }
    }
}

#[test]
fn a_silent_route_returns_gently() {
    returns_gently(Way::Hangs);
}

#[test]
fn a_failing_route_returns_gently() {
    returns_gently(Way::Errs);
}

#[test]
fn a_shut_route_returns_gently() {
    returns_gently(Way::Refuses(0));
}
