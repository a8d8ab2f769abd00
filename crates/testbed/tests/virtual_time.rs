//! Tests of the model, the load generator and virtual time: equal seeds give equal runs, and the decision logic keeps the
//! rules under overlapping faults.

use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use bellsill_testbed::experiment;
use bellsill_testbed::load::{Arrivals, delivered_value};
use bellsill_testbed::spec::Spec;
use bellsill_testbed::virtual_time;
use bellsill_testbed::world::draw::draw;
use bellsill_testbed::world::plan::Plan;
use bellsill_testbed::world::time::{MS, S, START, secs};
use bellsill_testbed::world::{
    Answer, CallId, CallRequest, ConnId, ConnectResult, Effect, ListState, World,
};
use std::path::{Path, PathBuf};

fn experiments() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|f| f.unwrap().path())
        .collect();
    files.sort();
    files
}

fn spec(name: &str) -> Spec {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("experiments")
        .join(name);
    experiment::read(&path, false)
        .unwrap()
        .variants
        .remove(0)
        .spec
}

/// The specification of `calm.toml` with the given faults.
fn spec_with_faults(faults: &str) -> Spec {
    let calm = std::fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/calm.toml"),
    )
    .unwrap();
    // The faults have to precede the table of the long form.
    let (base, _) = calm.split_once("[long]").unwrap();
    experiment::parse(&format!("{base}\n{faults}"), "test")
        .unwrap()
        .variants
        .remove(0)
        .spec
}

#[test]
fn equal_seeds_give_equal_runs_byte_for_byte() {
    let run = |seed| {
        let outcome = virtual_time::run(Plan::new(&spec("worst.toml"), seed), &mut |_| {});
        serde_json::to_string(&(
            outcome.results,
            outcome.verdict,
            outcome.returns,
            outcome.steps,
        ))
        .unwrap()
    };
    assert_eq!(run(4), run(4));
    assert_ne!(run(4), run(5));
}

#[test]
fn all_experiments_can_be_read_in_both_forms() {
    assert!(experiments().len() > 20);
    for path in experiments() {
        for long in [false, true] {
            experiment::read(&path, long).unwrap_or_else(|e| panic!("{e}"));
        }
    }
}

#[test]
fn rules_hold_in_every_small_experiment() {
    for path in experiments() {
        let spec = experiment::read(&path, false)
            .unwrap()
            .variants
            .remove(0)
            .spec;
        // Large experiments are only for measurements.
        if spec.world.destinations > 100 {
            continue;
        }
        for seed in [1, 2, 11] {
            let outcome = virtual_time::run(Plan::new(&spec, seed), &mut |_| {});
            assert!(
                outcome.verdict.passed(),
                "{}, seed {seed}: {:?}",
                path.display(),
                outcome.verdict.samples
            );
            assert!(
                outcome.results.share > 0.5,
                "{}, seed {seed}: {}",
                path.display(),
                outcome.results.share
            );
        }
    }
}

#[test]
fn rules_hold_under_random_faults() {
    const KINDS: [&str; 12] = [
        "'down'",
        "'reset'",
        "'silent'",
        "'hung'",
        "'shut'",
        "'slow'\ntimes = 8",
        "'failing'\npart = 0.5",
        "'answers-lost'\npart = 0.2",
        "'answers-spoilt'\npart = 0.2",
        "'reaped'",
        "'limit-lowered'\npart = 0.4",
        "'replaced'",
    ];
    for seed in 100..112_u64 {
        let drawn = |n: u64, salt| draw(seed, n, 0, salt);
        let mut text = String::new();
        for n in 0..3 + seed % 3 {
            let what = KINDS[(drawn(n, 1) * KINDS.len() as f64) as usize];
            let (from, span) = (1.0 + 8.0 * drawn(n, 2), 0.5 + 5.0 * drawn(n, 3));
            let scope = match (drawn(n, 4) * 3.0) as u32 {
                0 => "zone = 'hall-b'".to_string(),
                1 => format!("destination = {}", (drawn(n, 5) * 12.0) as usize),
                _ => format!("share = {:.2}", 0.1 + 0.5 * drawn(n, 5)),
            };
            let to = from + span;
            text += &format!(
                "[[troubles]]\nwhat = {what}\n{scope}\nfrom_s = {from:.3}\nto_s = {to:.3}\n"
            );
        }
        if seed % 2 == 0 {
            text += "[[troubles]]\nwhat = 'killed'\nshare = 0.5\nfrom_s = 5\nto_s = 6.5\n";
        }
        if seed % 3 == 0 {
            text += "[[troubles]]\nwhat = 'list-frozen'\nfrom_s = 2\nto_s = 8\n";
        }
        let outcome = virtual_time::run(Plan::new(&spec_with_faults(&text), seed), &mut |_| {});
        assert!(
            outcome.verdict.passed(),
            "seed {seed}:\n{text}\n{:?}",
            outcome.verdict.samples
        );
    }
}

#[test]
fn arrivals_follow_the_rate_and_do_not_depend_on_faults() {
    let mut spec = spec("full-hold.toml");
    spec.load.burst_share = 0.3;
    let arrivals: Vec<_> = Arrivals::new(&Plan::new(&spec, 3)).collect();
    spec.faults.clear();
    let without_faults: Vec<_> = Arrivals::new(&Plan::new(&spec, 3)).collect();
    assert_eq!(arrivals, without_faults);
    assert!(
        arrivals
            .windows(2)
            .all(|p| p[0].at <= p[1].at && p[0].no + 1 == p[1].no)
    );
    let between = |from: u64, to: u64| {
        arrivals
            .iter()
            .filter(|a| (from * S..to * S).contains(&(a.at - START)))
            .count() as f64
            / (to - from) as f64
    };
    // 120 per second, then three times that; the tolerance is four standard deviations, bursts included.
    assert!((between(0, 2) - 120.0).abs() < 85.0, "{}", between(0, 2));
    assert!((between(3, 10) - 360.0).abs() < 75.0, "{}", between(3, 10));
    let together =
        arrivals.windows(2).filter(|p| p[0].at == p[1].at).count() as f64 / arrivals.len() as f64;
    assert!((0.2..0.4).contains(&together), "{together} came in bursts");
}

#[test]
fn delivered_value_decays_after_the_target_delay() {
    let class = &spec("calm.toml").classes[0];
    let value = |s: f64| delivered_value(class, secs(s));
    assert_eq!(
        (value(1.9), value(4.0), value(7.9), value(8.0)),
        (1.0, 0.5, 0.4, 0.0)
    );
}

/// A model with helpers to call an endpoint and to collect effects.
struct ModelHarness(World, u64);

impl ModelHarness {
    fn new(faults: &str) -> ModelHarness {
        ModelHarness(World::new(Plan::new(&spec_with_faults(faults), 1)), 0)
    }
    fn call(&mut self, at_ms: u64, endpoint: u32) -> Option<(ConnId, Option<CallId>)> {
        self.0.advance(START + at_ms * MS);
        let ConnectResult::Connected(conn) = self.0.open(0, EndpointId(endpoint)) else {
            return None;
        };
        self.1 += 1;
        let new = CallRequest {
            message: MessageId(self.1),
            class: 0,
            dispatcher: 0,
            idempotency_key: self.1,
        };
        Some((conn, self.0.call(conn, new)))
    }
    fn until(&mut self, at_ms: u64) -> Vec<Effect> {
        self.0.advance(START + at_ms * MS);
        std::iter::from_fn(|| self.0.effect()).collect()
    }
}

fn answers(effects: &[Effect]) -> Vec<Answer> {
    effects
        .iter()
        .filter_map(|e| {
            if let Effect::Answer { answer, .. } = e {
                Some(*answer)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn endpoints_follow_scripted_down_silent_hung_and_shut_faults() {
    let fault =
        |what: &str| format!("[[troubles]]\nwhat = '{what}'\nendpoint = 0\nfrom_s = 1\nto_s = 3\n");
    let mut healthy = ModelHarness::new("");
    healthy.call(0, 0).unwrap();
    let effects = healthy.until(1_000);
    assert!(matches!(
        effects[..],
        [
            Effect::Applied { .. },
            Effect::Answer {
                answer: Answer::Delivered,
                ..
            }
        ]
    ));

    let mut down = ModelHarness::new(&fault("down"));
    down.call(990, 0).unwrap();
    assert!(
        down.until(1_010)
            .iter()
            .any(|e| matches!(e, Effect::ConnectionBroken { .. })),
        "calls in progress must be lost"
    );
    assert!(down.call(2_000, 0).is_none());
    assert!(down.call(3_001, 0).is_some());

    let mut silent = ModelHarness::new(&fault("silent"));
    let (conn, _) = silent.call(999, 0).unwrap();
    let effects = silent.until(2_900);
    assert!(
        answers(&effects).is_empty() && effects.iter().any(|e| matches!(e, Effect::Applied { .. }))
    );
    assert!(matches!(
        silent.0.open(0, EndpointId(0)),
        ConnectResult::NoResponse
    ));
    let broken = |e: &Effect| *e == Effect::ConnectionBroken { conn };
    assert!(
        silent.until(3_001).iter().any(broken),
        "the connection must be reset on recovery"
    );

    let mut hung = ModelHarness::new(&fault("hung"));
    hung.call(1_500, 0).unwrap();
    assert!(
        hung.until(2_900)
            .iter()
            .all(|e| !matches!(e, Effect::Answer { .. } | Effect::Applied { .. }))
    );
    assert_eq!(answers(&hung.until(4_000)), [Answer::Delivered]);

    let mut shut = ModelHarness::new(&(fault("shut")));
    for n in 0..20 {
        shut.call(2_000 + n, 0).unwrap();
    }
    let rejections = answers(&shut.until(2_100));
    assert_eq!(rejections.len(), 20);
    let waits: Vec<Nanos> = rejections
        .iter()
        .filter_map(|a| {
            if let Answer::RateLimited(wait) = a {
                *wait
            } else {
                None
            }
        })
        .collect();
    assert!(
        (3..18).contains(&waits.len()),
        "about half of the responses must carry Retry-After: {}",
        waits.len()
    );
    assert!(
        waits.iter().all(|w| (980 * MS..=1_000 * MS).contains(w)),
        "the delays must last until the fault ends: {waits:?}"
    );
}

#[test]
fn a_cold_endpoint_has_reduced_capacity_and_collapses_under_overload() {
    let mut w =
        ModelHarness::new("[[troubles]]\nwhat = 'down'\nendpoint = 0\nfrom_s = 1\nto_s = 3\n");
    let warm = w.0.capacity(EndpointId(0));
    w.call(2_000, 0);
    w.until(3_000);
    let cold = w.0.capacity(EndpointId(0));
    assert!((cold / warm - 0.2).abs() < 0.01, "{cold} of {warm}");
    w.until(8_000);
    assert!((w.0.capacity(EndpointId(0)) / warm - 0.6).abs() < 0.01);
    let mut w =
        ModelHarness::new("[[troubles]]\nwhat = 'down'\nendpoint = 0\nfrom_s = 1\nto_s = 3\n");
    w.call(2_000, 0);
    let mut overload = None;
    for n in 0..200 {
        w.call(3_010 + n, 0);
        overload = overload.or(w
            .until(3_010 + n)
            .into_iter()
            .find(|e| matches!(e, Effect::Overloaded { .. })));
    }
    let Some(Effect::Overloaded {
        informed_calls,
        all_calls,
        ..
    }) = overload
    else {
        panic!("the endpoint did not collapse")
    };
    assert_eq!(
        informed_calls, all_calls,
        "the only dispatcher had seen the outage"
    );
    assert!(w.call(13_000, 0).is_none(), "the endpoint must stay down");
}

#[test]
fn lowered_limits_reaped_connections_and_list_changes() {
    let mut w = ModelHarness::new(
        "[[troubles]]\nwhat = 'limit-lowered'\nendpoint = 0\npart = 0.1\nfrom_s = 1\nto_s = 3\n",
    );
    for n in 0..10 {
        w.call(2_000 + n, 0).unwrap();
    }
    let refused = answers(&w.until(2_020))
        .into_iter()
        .filter(|a| matches!(a, Answer::RateLimited(_)))
        .count();
    assert!(refused >= 8, "{refused} of 10");

    let mut w =
        ModelHarness::new("[[troubles]]\nwhat = 'reaped'\nendpoint = 0\nfrom_s = 0\nto_s = 3\n");
    let (conn, _) = w.call(10, 0).unwrap();
    w.until(700);
    let again = w.0.call(
        conn,
        CallRequest {
            message: MessageId(99),
            class: 0,
            dispatcher: 0,
            idempotency_key: 99,
        },
    );
    assert_eq!(
        again, None,
        "the idle connection must have been dropped silently"
    );

    let mut w =
        ModelHarness::new("[[troubles]]\nwhat = 'replaced'\nendpoint = 0\nfrom_s = 1\nto_s = 2\n");
    let publications = |effects: Vec<Effect>| {
        effects
            .iter()
            .filter(|e| matches!(e, Effect::ListPublished { .. }))
            .count()
    };
    assert_eq!(
        publications(w.until(4_500)),
        6,
        "two changes for each of three dispatchers"
    );
    let list = w.0.listing(w.0.versions());
    assert!(!list.contains_key(&EndpointId(0)) && list[&EndpointId(36)] == ListState::Up);
    assert_eq!(
        w.0.endpoint(EndpointId(36)).destination,
        w.0.endpoint(EndpointId(0)).destination
    );
}
