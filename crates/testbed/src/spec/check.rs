//! The ranges of an experiment's fields: one function a section of the file.

use super::format::{
    Burst, Class, Dispatchers, Drive, Fault, FaultKind, Kind, Load, Rules, Run, Spec, Step,
    WorldSpec,
};

/// Takes whether a field is in its range, its name, and what is allowed there.
type Need<'a> = &'a mut dyn FnMut(bool, String, &str);

/// Reports every field that is out of its range, and what was expected there.
pub fn check(spec: &Spec, report: &mut dyn FnMut(&str, &str)) {
    let need: Need = &mut |holds, field, expected| {
        if !holds {
            report(&field, expected)
        }
    };
    check_run(&spec.run, need);
    check_world(&spec.world, spec.run.drive, need);
    check_kinds(&spec.kinds, need);
    check_classes(&spec.classes, need);
    check_load(&spec.load, &spec.world, need);
    check_dispatchers(&spec.dispatchers, spec.run.drive, need);
    check_rules(&spec.rules, need);
    for (i, fault) in spec.faults.iter().enumerate() {
        check_fault_values(i, fault, spec, need);
        check_fault_target(i, fault, need);
        check_fault_parameters(i, fault, need);
    }
}

fn share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn pair(x: [f64; 2]) -> bool {
    x[0] >= 0.0 && x[1] >= x[0] && x[1].is_finite()
}

fn over(x: f64) -> bool {
    x > 0.0 && x.is_finite()
}

fn endpoints(world: &WorldSpec) -> usize {
    world.destinations.saturating_mul(world.endpoints_each)
}

fn check_run(run: &Run, need: Need) {
    need(
        over(run.seconds) && run.seconds <= 3_600.0,
        "run.seconds".into(),
        "seconds, over 0 and at most 3600",
    );
    need(
        (0.0..run.seconds).contains(&run.cpu_from_s),
        "run.cpu_from_s".into(),
        "seconds, 0 or more, under seconds",
    );
    need(
        over(run.late_ms),
        "run.late_ms".into(),
        "milliseconds, over 0",
    );
}

fn check_world(world: &WorldSpec, drive: Drive, need: Need) {
    need(
        !world.zones.is_empty(),
        "world.zones".into(),
        "at least one zone",
    );
    need(
        (1..=200_000).contains(&world.destinations),
        "world.destinations".into(),
        "1 to 200000",
    );
    need(
        (1..=64).contains(&world.endpoints_each),
        "world.endpoints_each".into(),
        "1 to 64",
    );
    let most = if drive == Drive::Sockets {
        15_000
    } else {
        400_000
    };
    need(
        endpoints(world) <= most,
        "world.destinations".into(),
        "at most 15000 endpoints on sockets, 400000 in virtual time",
    );
    need(
        (0.0..=4.0).contains(&world.popularity),
        "world.popularity".into(),
        "0 to 4",
    );
    need(
        pair(world.list_lag_ms),
        "world.list_lag_ms".into(),
        "two times, the smaller first",
    );
}

fn check_kinds(kinds: &[Kind], need: Need) {
    need(
        !kinds.is_empty(),
        "kinds".into(),
        "at least one kind of destination",
    );
    for (i, kind) in kinds.iter().enumerate() {
        check_kind(i, kind, need);
    }
    need(
        kinds.iter().map(|k| k.share).sum::<f64>() > 0.0,
        "kinds".into(),
        "shares that are not all 0",
    );
}

fn check_kind(i: usize, k: &Kind, need: Need) {
    let f = |name: &str| format!("kinds[{i}].{name}");
    need(share(k.share), f("share"), "a share, 0 to 1");
    need(over(k.headroom), f("headroom"), "a multiple over 0");
    need(
        k.queue >= 0.0 && k.queue <= 1_000.0,
        f("queue"),
        "0 to 1000",
    );
    need(
        over(k.limit_headroom),
        f("limit_headroom"),
        "a multiple over 0",
    );
    need(over(k.span_ms), f("span_ms"), "milliseconds, over 0");
    need(share(k.told_share), f("told_share"), "a share, 0 to 1");
    need(
        pair(k.told_ms),
        f("told_ms"),
        "two times, the smaller first",
    );
    need(k.connections > 0, f("connections"), "at least 1");
    need(
        k.handshake_ms >= 0.0 && k.handshake_ms <= 10_000.0,
        f("handshake_ms"),
        "0 to 10000 milliseconds",
    );
    need(
        pair(k.pace) && k.pace[0] > 0.0,
        f("pace"),
        "two multiples over 0, the smaller first",
    );
}

fn check_classes(classes: &[Class], need: Need) {
    need(
        !classes.is_empty(),
        "classes".into(),
        "at least one queue class",
    );
    for (i, class) in classes.iter().enumerate() {
        check_class(i, class, need);
    }
    need(
        classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
        "classes".into(),
        "shares that are not all 0",
    );
}

fn check_class(i: usize, c: &Class, need: Need) {
    let f = |name: &str| format!("classes[{i}].{name}");
    need(share(c.share), f("share"), "a share, 0 to 1");
    need(
        c.importance >= 0.0 && c.importance.is_finite(),
        f("importance"),
        "0 or more",
    );
    need(over(c.target_ms), f("target_ms"), "milliseconds, over 0");
    need(
        c.lifetime_ms > c.target_ms && c.lifetime_ms <= 3.6e6,
        f("lifetime_ms"),
        "over target_ms, an hour at most",
    );
    need(share(c.late_share), f("late_share"), "a share, 0 to 1");
    need(over(c.window_ms), f("window_ms"), "milliseconds, over 0");
    need(
        pair(c.service_ms) && c.service_ms[1] > 0.0,
        f("service_ms"),
        "two times, the smaller first",
    );
    let plain = !c.name.is_empty()
        && c.name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-');
    need(plain, f("name"), "letters, digits and hyphens");
}

fn check_load(load: &Load, world: &WorldSpec, need: Need) {
    need(
        over(load.rate) && load.rate <= 1e6,
        "load.rate".into(),
        "mails a second, over 0 and at most 1000000",
    );
    need(
        share(load.burst_share),
        "load.burst_share".into(),
        "a share, 0 to 1",
    );
    need(
        (1..=10_000).contains(&load.burst_size),
        "load.burst_size".into(),
        "1 to 10000",
    );
    need(load.retries <= 14, "load.retries".into(), "0 to 14");
    need(
        pair(load.retry_ms),
        "load.retry_ms".into(),
        "two times, the smaller first",
    );
    need(
        over(load.answer_ms),
        "load.answer_ms".into(),
        "milliseconds, over 0",
    );
    need(
        load.body_bytes <= 60_000,
        "load.body_bytes".into(),
        "0 to 60000",
    );
    for (i, step) in load.steps.iter().enumerate() {
        check_step(i, step, need);
    }
    for (i, burst) in load.bursts.iter().enumerate() {
        check_burst(i, burst, world, need);
    }
}

fn check_step(i: usize, s: &Step, need: Need) {
    let f = |name: &str| format!("load.steps[{i}].{name}");
    need(
        s.at_s >= 0.0 && s.at_s.is_finite(),
        f("at_s"),
        "seconds, 0 or more",
    );
    need(
        s.times >= 0.0 && s.times <= 1_000.0,
        f("times"),
        "a multiple, 0 to 1000",
    );
    need(
        s.over_s >= 0.0 && s.over_s.is_finite(),
        f("over_s"),
        "seconds, 0 or more",
    );
}

fn check_burst(i: usize, c: &Burst, world: &WorldSpec, need: Need) {
    let f = |name: &str| format!("load.clumps[{i}].{name}");
    need(
        c.at_s >= 0.0 && c.at_s.is_finite(),
        f("at_s"),
        "seconds, 0 or more",
    );
    need(
        c.over_s >= 0.0 && c.over_s.is_finite(),
        f("over_s"),
        "seconds, 0 or more",
    );
    need(
        c.destination < world.destinations,
        f("destination"),
        "a destination, counted from 0",
    );
    need(c.messages <= 1_000_000, f("mails"), "0 to 1000000");
}

fn check_dispatchers(d: &Dispatchers, drive: Drive, need: Need) {
    let most = if drive == Drive::Sockets { 64 } else { 5_000 };
    need(
        (1..=most).contains(&d.count),
        "dispatchers.count".into(),
        "1 to 64 on sockets, to 5000 in virtual time",
    );
    need(
        over(d.slots_times),
        "dispatchers.slots_times".into(),
        "a multiple over 0",
    );
    need(
        over(d.hold_s),
        "dispatchers.hold_s".into(),
        "seconds, over 0",
    );
    need(d.slots != Some(0), "dispatchers.slots".into(), "1 or more");
    need(d.hold != Some(0), "dispatchers.hold".into(), "1 or more");
    need(
        d.max_connects > 0,
        "dispatchers.max_connects".into(),
        "1 or more",
    );
    need(
        over(d.connect_timeout_ms),
        "dispatchers.connect_timeout_ms".into(),
        "milliseconds, over 0",
    );
    need(
        over(d.keep_alive_ms),
        "dispatchers.keep_alive_ms".into(),
        "milliseconds, over 0",
    );
    need(
        d.max_come_back_ms >= 0.0,
        "dispatchers.max_come_back_ms".into(),
        "milliseconds, 0 or more",
    );
}

fn check_rules(r: &Rules, need: Need) {
    need(
        over(r.cold_share) && r.cold_share <= 1.0,
        "rules.cold_share".into(),
        "a share over 0",
    );
    need(
        over(r.tip_multiple),
        "rules.tip_multiple".into(),
        "a multiple over 0",
    );
    need(
        over(r.tip_window_ms),
        "rules.tip_window_ms".into(),
        "milliseconds, over 0",
    );
    for (name, x) in [
        ("drain_grace_ms", r.drain_grace_ms),
        ("ramp_ms", r.ramp_ms),
        ("key_rest_ms", r.key_rest_ms),
    ] {
        need(
            x >= 0.0 && x.is_finite(),
            format!("rules.{name}"),
            "milliseconds, 0 or more",
        );
    }
}

fn check_fault_values(i: usize, t: &Fault, spec: &Spec, need: Need) {
    let world = &spec.world;
    let f = |name: &str| format!("troubles[{i}].{name}");
    need(
        t.from_s >= 0.0 && t.from_s.is_finite(),
        f("from_s"),
        "seconds, 0 or more",
    );
    need(
        t.to_s > t.from_s && t.to_s.is_finite(),
        f("to_s"),
        "seconds, after from_s",
    );
    let known = t.zone.as_ref().is_none_or(|z| world.zones.contains(z));
    need(
        known,
        f("zone"),
        &format!("one of {}", world.zones.join(", ")),
    );
    let known = t.destination.is_none_or(|d| d < world.destinations);
    need(known, f("destination"), "a destination, counted from 0");
    need(
        t.endpoint.is_none_or(|e| e < endpoints(world)),
        f("endpoint"),
        "an endpoint, counted from 0",
    );
    need(
        t.dispatcher.is_none_or(|n| n < spec.dispatchers.count),
        f("dispatcher"),
        "a dispatcher, counted from 0",
    );
    need(t.share.is_none_or(share), f("share"), "a share, 0 to 1");
    need(t.part.is_none_or(share), f("part"), "a share, 0 to 1");
    need(
        t.times.is_none_or(|x| (0.01..=1e4).contains(&x)),
        f("times"),
        "a multiple, 0.01 to 10000",
    );
    need(
        t.lag_s.is_none_or(|x| (0.0..=3_600.0).contains(&x)),
        f("lag_s"),
        "seconds, 0 to 3600",
    );
}

/// What a fault affects: exactly one of the fields that say so.
fn check_fault_target(i: usize, t: &Fault, need: Need) {
    let f = |name: &str| format!("troubles[{i}].{name}");
    let places = [
        t.zone.is_some(),
        t.destination.is_some(),
        t.endpoint.is_some(),
        t.share.is_some(),
    ];
    let named = places.iter().filter(|p| **p).count();
    if t.what.of_dispatchers() {
        let whom = usize::from(t.dispatcher.is_some()) + usize::from(t.share.is_some());
        need(
            whom == 1 && named == usize::from(t.share.is_some()),
            f("what"),
            "either dispatcher or share beside it",
        );
    } else if !t.what.of_the_list() {
        need(
            named == 1 && t.dispatcher.is_none(),
            f("what"),
            "one of zone, destination, endpoint or share beside it",
        );
    }
}

/// The parameters that belong to the kind of fault.
fn check_fault_parameters(i: usize, t: &Fault, need: Need) {
    let f = |name: &str| format!("troubles[{i}].{name}");
    let part = matches!(
        t.what,
        FaultKind::Failing
            | FaultKind::AnswersLost
            | FaultKind::AnswersSpoilt
            | FaultKind::LimitLowered
            | FaultKind::Hot
    );
    need(
        part == t.part.is_some(),
        f("part"),
        "a share with failing, answers-lost, answers-spoilt, limit-lowered and hot, and with these alone",
    );
    need(
        (t.what == FaultKind::Slow) == t.times.is_some(),
        f("times"),
        "a multiple with slow, and with that alone",
    );
    need(
        (t.what == FaultKind::ListLate) == t.lag_s.is_some(),
        f("lag_s"),
        "seconds with list-late, and with that alone",
    );
}
