//! Checks the ranges of an experiment's fields, with a function for each section of the file.

use super::format::{
    Burst, Class, Dispatchers, Drive, Fault, FaultKind, Kind, Load, Rules, Run, Spec, Step,
    WorldSpec,
};

/// Receives whether a field is valid, its name, and the allowed values.
type Require<'a> = &'a mut dyn FnMut(bool, String, &str);

/// Reports every invalid field and the values that are allowed for it.
pub fn check(spec: &Spec, report: &mut dyn FnMut(&str, &str)) {
    let require: Require = &mut |holds, field, expected| {
        if !holds {
            report(&field, expected)
        }
    };
    check_run(&spec.run, require);
    check_world(&spec.world, spec.run.drive, require);
    check_kinds(&spec.kinds, require);
    check_classes(&spec.classes, require);
    check_load(&spec.load, &spec.world, require);
    check_dispatchers(&spec.dispatchers, spec.run.drive, require);
    check_rules(&spec.rules, require);
    for (i, fault) in spec.faults.iter().enumerate() {
        check_fault_values(i, fault, spec, require);
        check_fault_target(i, fault, require);
        check_fault_parameters(i, fault, require);
    }
}

fn is_share(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn is_range(x: [f64; 2]) -> bool {
    x[0] >= 0.0 && x[1] >= x[0] && x[1].is_finite()
}

fn positive(x: f64) -> bool {
    x > 0.0 && x.is_finite()
}

fn endpoint_count(world: &WorldSpec) -> usize {
    world.destinations.saturating_mul(world.endpoints_each)
}

fn check_run(run: &Run, require: Require) {
    require(
        positive(run.seconds) && run.seconds <= 3_600.0,
        "run.seconds".into(),
        "seconds, over 0 and at most 3600",
    );
    require(
        (0.0..run.seconds).contains(&run.cpu_from_s),
        "run.cpu_from_s".into(),
        "seconds, 0 or more and under run.seconds",
    );
    require(
        positive(run.late_ms),
        "run.late_ms".into(),
        "milliseconds, over 0",
    );
}

fn check_world(world: &WorldSpec, drive: Drive, require: Require) {
    require(
        !world.zones.is_empty(),
        "world.zones".into(),
        "at least one zone",
    );
    require(
        (1..=200_000).contains(&world.destinations),
        "world.destinations".into(),
        "1 to 200000",
    );
    require(
        (1..=64).contains(&world.endpoints_each),
        "world.endpoints_each".into(),
        "1 to 64",
    );
    let most = if drive == Drive::Sockets {
        15_000
    } else {
        400_000
    };
    require(
        endpoint_count(world) <= most,
        "world.destinations".into(),
        "at most 15000 endpoints on sockets, 400000 in virtual time",
    );
    require(
        (0.0..=4.0).contains(&world.popularity),
        "world.popularity".into(),
        "0 to 4",
    );
    require(
        is_range(world.list_lag_ms),
        "world.list_lag_ms".into(),
        "two durations in milliseconds, the smaller first",
    );
}

fn check_kinds(kinds: &[Kind], require: Require) {
    require(
        !kinds.is_empty(),
        "kinds".into(),
        "at least one kind of destination",
    );
    for (i, kind) in kinds.iter().enumerate() {
        check_kind(i, kind, require);
    }
    require(
        kinds.iter().map(|k| k.share).sum::<f64>() > 0.0,
        "kinds".into(),
        "shares that are not all 0",
    );
}

fn check_kind(i: usize, k: &Kind, require: Require) {
    let f = |name: &str| format!("kinds[{i}].{name}");
    require(is_share(k.share), f("share"), "a share, 0 to 1");
    require(positive(k.headroom), f("headroom"), "a factor over 0");
    require(
        k.queue >= 0.0 && k.queue <= 1_000.0,
        f("queue"),
        "0 to 1000",
    );
    require(
        positive(k.limit_headroom),
        f("limit_headroom"),
        "a factor over 0",
    );
    require(positive(k.span_ms), f("span_ms"), "milliseconds, over 0");
    require(is_share(k.told_share), f("told_share"), "a share, 0 to 1");
    require(
        is_range(k.told_ms),
        f("told_ms"),
        "two durations in milliseconds, the smaller first",
    );
    require(k.connections > 0, f("connections"), "at least 1");
    require(
        k.handshake_ms >= 0.0 && k.handshake_ms <= 10_000.0,
        f("handshake_ms"),
        "0 to 10000 milliseconds",
    );
    require(
        is_range(k.pace) && k.pace[0] > 0.0,
        f("pace"),
        "two factors over 0, the smaller first",
    );
}

fn check_classes(classes: &[Class], require: Require) {
    require(
        !classes.is_empty(),
        "classes".into(),
        "at least one queue class",
    );
    for (i, class) in classes.iter().enumerate() {
        check_class(i, class, require);
    }
    require(
        classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
        "classes".into(),
        "shares that are not all 0",
    );
}

fn check_class(i: usize, c: &Class, require: Require) {
    let f = |name: &str| format!("classes[{i}].{name}");
    require(is_share(c.share), f("share"), "a share, 0 to 1");
    require(
        c.importance >= 0.0 && c.importance.is_finite(),
        f("importance"),
        "0 or more",
    );
    require(
        positive(c.target_ms),
        f("target_ms"),
        "milliseconds, over 0",
    );
    require(
        c.lifetime_ms > c.target_ms && c.lifetime_ms <= 3.6e6,
        f("lifetime_ms"),
        "milliseconds, over target_ms and at most 3600000",
    );
    require(is_share(c.late_share), f("late_share"), "a share, 0 to 1");
    require(
        positive(c.window_ms),
        f("window_ms"),
        "milliseconds, over 0",
    );
    require(
        is_range(c.service_ms) && c.service_ms[1] > 0.0,
        f("service_ms"),
        "two durations in milliseconds, the smaller first",
    );
    let plain = !c.name.is_empty()
        && c.name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b == b'-');
    require(plain, f("name"), "letters, digits and hyphens");
}

fn check_load(load: &Load, world: &WorldSpec, require: Require) {
    require(
        positive(load.rate) && load.rate <= 1e6,
        "load.rate".into(),
        "messages per second, over 0 and at most 1000000",
    );
    require(
        is_share(load.burst_share),
        "load.burst_share".into(),
        "a share, 0 to 1",
    );
    require(
        (1..=10_000).contains(&load.burst_size),
        "load.burst_size".into(),
        "1 to 10000",
    );
    require(load.retries <= 14, "load.retries".into(), "0 to 14");
    require(
        is_range(load.retry_ms),
        "load.retry_ms".into(),
        "two durations in milliseconds, the smaller first",
    );
    require(
        positive(load.answer_ms),
        "load.answer_ms".into(),
        "milliseconds, over 0",
    );
    require(
        load.body_bytes <= 60_000,
        "load.body_bytes".into(),
        "0 to 60000",
    );
    for (i, step) in load.steps.iter().enumerate() {
        check_step(i, step, require);
    }
    for (i, burst) in load.bursts.iter().enumerate() {
        check_burst(i, burst, world, require);
    }
}

fn check_step(i: usize, s: &Step, require: Require) {
    let f = |name: &str| format!("load.steps[{i}].{name}");
    require(
        s.at_s >= 0.0 && s.at_s.is_finite(),
        f("at_s"),
        "seconds, 0 or more",
    );
    require(
        s.times >= 0.0 && s.times <= 1_000.0,
        f("times"),
        "a factor, 0 to 1000",
    );
    require(
        s.over_s >= 0.0 && s.over_s.is_finite(),
        f("over_s"),
        "seconds, 0 or more",
    );
}

fn check_burst(i: usize, c: &Burst, world: &WorldSpec, require: Require) {
    let f = |name: &str| format!("load.clumps[{i}].{name}");
    require(
        c.at_s >= 0.0 && c.at_s.is_finite(),
        f("at_s"),
        "seconds, 0 or more",
    );
    require(
        c.over_s >= 0.0 && c.over_s.is_finite(),
        f("over_s"),
        "seconds, 0 or more",
    );
    require(
        c.destination < world.destinations,
        f("destination"),
        "a destination, counted from 0",
    );
    require(c.messages <= 1_000_000, f("mails"), "0 to 1000000");
}

fn check_dispatchers(d: &Dispatchers, drive: Drive, require: Require) {
    let most = if drive == Drive::Sockets { 64 } else { 5_000 };
    require(
        (1..=most).contains(&d.count),
        "dispatchers.count".into(),
        "1 to 64 on sockets, 1 to 5000 in virtual time",
    );
    require(
        positive(d.slots_times),
        "dispatchers.slots_times".into(),
        "a factor over 0",
    );
    require(
        positive(d.hold_s),
        "dispatchers.hold_s".into(),
        "seconds, over 0",
    );
    require(d.slots != Some(0), "dispatchers.slots".into(), "1 or more");
    require(d.hold != Some(0), "dispatchers.hold".into(), "1 or more");
    require(
        d.max_connects > 0,
        "dispatchers.max_connects".into(),
        "1 or more",
    );
    require(
        positive(d.connect_timeout_ms),
        "dispatchers.connect_timeout_ms".into(),
        "milliseconds, over 0",
    );
    require(
        positive(d.keep_alive_ms),
        "dispatchers.keep_alive_ms".into(),
        "milliseconds, over 0",
    );
    require(
        d.max_come_back_ms >= 0.0,
        "dispatchers.max_come_back_ms".into(),
        "milliseconds, 0 or more",
    );
}

fn check_rules(r: &Rules, require: Require) {
    require(
        positive(r.cold_share) && r.cold_share <= 1.0,
        "rules.cold_share".into(),
        "a share, over 0 and at most 1",
    );
    require(
        positive(r.tip_multiple),
        "rules.tip_multiple".into(),
        "a factor over 0",
    );
    require(
        positive(r.tip_window_ms),
        "rules.tip_window_ms".into(),
        "milliseconds, over 0",
    );
    for (name, x) in [
        ("drain_grace_ms", r.drain_grace_ms),
        ("ramp_ms", r.ramp_ms),
        ("key_rest_ms", r.key_rest_ms),
    ] {
        require(
            x >= 0.0 && x.is_finite(),
            format!("rules.{name}"),
            "milliseconds, 0 or more",
        );
    }
}

fn check_fault_values(i: usize, t: &Fault, spec: &Spec, require: Require) {
    let world = &spec.world;
    let f = |name: &str| format!("troubles[{i}].{name}");
    require(
        t.from_s >= 0.0 && t.from_s.is_finite(),
        f("from_s"),
        "seconds, 0 or more",
    );
    require(
        t.to_s > t.from_s && t.to_s.is_finite(),
        f("to_s"),
        "seconds, after from_s",
    );
    let known = t.zone.as_ref().is_none_or(|z| world.zones.contains(z));
    require(
        known,
        f("zone"),
        &format!("one of {}", world.zones.join(", ")),
    );
    let known = t.destination.is_none_or(|d| d < world.destinations);
    require(known, f("destination"), "a destination, counted from 0");
    require(
        t.endpoint.is_none_or(|e| e < endpoint_count(world)),
        f("endpoint"),
        "an endpoint, counted from 0",
    );
    require(
        t.dispatcher.is_none_or(|n| n < spec.dispatchers.count),
        f("dispatcher"),
        "a dispatcher, counted from 0",
    );
    require(t.share.is_none_or(is_share), f("share"), "a share, 0 to 1");
    require(t.part.is_none_or(is_share), f("part"), "a share, 0 to 1");
    require(
        t.times.is_none_or(|x| (0.01..=1e4).contains(&x)),
        f("times"),
        "a factor, 0.01 to 10000",
    );
    require(
        t.lag_s.is_none_or(|x| (0.0..=3_600.0).contains(&x)),
        f("lag_s"),
        "seconds, 0 to 3600",
    );
}

/// Checks that exactly one field names the target of a fault, and that the kind of fault allows it.
fn check_fault_target(i: usize, t: &Fault, require: Require) {
    let f = |name: &str| format!("troubles[{i}].{name}");
    let targets = [
        t.zone.is_some(),
        t.destination.is_some(),
        t.endpoint.is_some(),
        t.share.is_some(),
    ];
    let named = targets.iter().filter(|p| **p).count();
    if t.what.affects_dispatchers() {
        let dispatcher_targets =
            usize::from(t.dispatcher.is_some()) + usize::from(t.share.is_some());
        require(
            dispatcher_targets == 1 && named == usize::from(t.share.is_some()),
            f("what"),
            "either dispatcher or share as the target",
        );
    } else if !t.what.affects_endpoint_list() {
        require(
            named == 1 && t.dispatcher.is_none(),
            f("what"),
            "exactly one of zone, destination, endpoint or share as the target",
        );
    }
}

/// Checks that a fault has the parameters of its kind and no others.
fn check_fault_parameters(i: usize, t: &Fault, require: Require) {
    let f = |name: &str| format!("troubles[{i}].{name}");
    let part = matches!(
        t.what,
        FaultKind::Failing
            | FaultKind::AnswersLost
            | FaultKind::AnswersSpoilt
            | FaultKind::LimitLowered
            | FaultKind::Hot
    );
    require(
        part == t.part.is_some(),
        f("part"),
        "a share for failing, answers-lost, answers-spoilt, limit-lowered and hot, and absent for other faults",
    );
    require(
        (t.what == FaultKind::Slow) == t.times.is_some(),
        f("times"),
        "a factor for slow, and absent for other faults",
    );
    require(
        (t.what == FaultKind::ListLate) == t.lag_s.is_some(),
        f("lag_s"),
        "seconds for list-late, and absent for other faults",
    );
}
