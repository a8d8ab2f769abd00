//! The form of an experiment's file, with its units and ranges. Times end in `_ms`, `_us` or `_s`; shares lie in 0 to 1.

use crate::experiment::Vary;
use serde::{Deserialize, Serialize};

/// The whole file, as it is written; the run itself is read again from it once for each variant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    pub title: String,
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    pub vary: Option<Vary>,
    /// What the longer form changes, in the same places.
    #[allow(dead_code)]
    pub long: Option<toml::Table>,
    #[allow(dead_code)]
    run: Run,
    #[allow(dead_code)]
    world: WorldSpec,
    #[allow(dead_code)]
    kinds: Vec<Kind>,
    #[allow(dead_code)]
    classes: Vec<Class>,
    #[allow(dead_code)]
    load: Load,
    #[serde(default)]
    #[allow(dead_code)]
    dispatchers: Dispatchers,
    #[serde(default)]
    #[allow(dead_code)]
    rules: Rules,
    #[serde(default)]
    #[allow(dead_code)]
    #[serde(rename = "troubles")]
    faults: Vec<Fault>,
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

/// One run, all but its seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    pub run: Run,
    pub world: WorldSpec,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
    pub load: Load,
    #[serde(default)]
    pub dispatchers: Dispatchers,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Drive {
    /// The decisions alone, with no sockets and no sleeping.
    Virtual,
    /// Real `bellsill serve` processes on loopback.
    Sockets,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub drive: Drive,
    /// For how long messages are handed in; the run goes on until each has had its queue lifetime.
    pub seconds: f64,
    /// The processor time of dispatchers is reckoned from this second on, to the end of the load.
    #[serde(default)]
    pub cpu_from_s: f64,
    /// A generator later than this at its 99th percentile, or late by ten times as much once, makes a run not valid.
    #[serde(default = "late_ms")]
    pub late_ms: f64,
}

fn late_ms() -> f64 {
    20.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldSpec {
    pub zones: Vec<String>,
    pub destinations: usize,
    /// Endpoints of each destination, dealt over the zones in turn.
    pub endpoints_each: usize,
    /// The part of a destination of rank r is as r to the power of minus this.
    #[serde(default)]
    pub popularity: f64,
    /// After each change of the list, when a dispatcher is told: between these.
    #[serde(default = "list_lag_ms")]
    pub list_lag_ms: [f64; 2],
}

fn list_lag_ms() -> [f64; 2] {
    [500.0, 2_000.0]
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LimitForm {
    None,
    /// Calls a second, with a tenth of a second's worth (one at least) at once.
    Rate,
    /// A count in each span, spans laid end to end.
    Span,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    /// Of the destinations.
    pub share: f64,
    /// Are its endpoints separate routes, each with a limit of its own?
    #[serde(default)]
    pub apart: bool,
    /// What an endpoint can do, as a multiple of its part of the load with popularity reckoned in.
    #[serde(default = "headroom")]
    pub headroom: f64,
    /// Calls that wait in an endpoint for each that it works on.
    #[serde(default = "queue")]
    pub queue: f64,
    #[serde(default = "no_limit")]
    pub limit: LimitForm,
    /// The limit as a multiple of the destination's part of the load.
    #[serde(default = "headroom")]
    pub limit_headroom: f64,
    #[serde(default = "span_ms")]
    pub span_ms: f64,
    /// Do refused calls use the limit up?
    #[serde(default)]
    pub refusals_count: bool,
    /// The part of refusals that tell a wait.
    #[serde(default = "half")]
    pub told_share: f64,
    /// Where a rate tells a wait: between these.
    #[serde(default = "told_ms")]
    pub told_ms: [f64; 2],
    /// Connections that an endpoint holds.
    #[serde(default = "connections")]
    pub connections: usize,
    /// What the first call on a connection takes longer.
    #[serde(default = "handshake_ms")]
    pub handshake_ms: f64,
    /// Service times are multiplied by a figure drawn for each destination between these.
    #[serde(default = "pace")]
    pub pace: [f64; 2],
}

fn headroom() -> f64 {
    2.0
}
fn queue() -> f64 {
    4.0
}
fn no_limit() -> LimitForm {
    LimitForm::None
}
fn span_ms() -> f64 {
    1_000.0
}
fn half() -> f64 {
    0.5
}
fn told_ms() -> [f64; 2] {
    [300.0, 900.0]
}
fn connections() -> usize {
    512
}
fn handshake_ms() -> f64 {
    3.0
}
fn pace() -> [f64; 2] {
    [0.8, 1.5]
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Redeliverable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Of the messages.
    pub share: f64,
    #[serde(default = "one")]
    pub importance: f64,
    pub target_ms: f64,
    pub lifetime_ms: f64,
    /// Of the importance, just before the queue lifetime is up.
    #[serde(default = "late_share")]
    pub late_share: f64,
    pub repeat: Repeat,
    /// Tagged: for how long endpoints drop a repeat.
    #[serde(default = "window_ms")]
    pub window_ms: f64,
    /// Tagged: do only endpoints of one zone know of one another?
    #[serde(default)]
    pub same_zone: bool,
    /// Messages of one key go in order; keys in use at a time.
    #[serde(default)]
    pub ordered_keys: usize,
    /// At a destination of pace 1: evenly between these.
    pub service_ms: [f64; 2],
}

fn one() -> f64 {
    1.0
}
fn late_share() -> f64 {
    0.4
}
fn window_ms() -> f64 {
    8_000.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages a second, all dispatchers together.
    pub rate: f64,
    /// From `at_s` on the rate is `times` as much, reached evenly over `over_s`.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// Of the messages, those that come in bursts for one destination, and how many come at once.
    #[serde(default)]
    pub burst_share: f64,
    #[serde(default = "burst_size")]
    pub burst_size: usize,
    /// Messages for one destination that come on top of all that.
    #[serde(default)]
    #[serde(rename = "clumps")]
    pub bursts: Vec<Burst>,
    /// How often a client hands a message in again that was turned away or deferred.
    #[serde(default = "retries")]
    pub retries: u32,
    /// The wait before that where none is told: between these.
    #[serde(default = "retry_ms")]
    pub retry_ms: [f64; 2],
    /// For how long a client waits for the answer to a hand-in.
    #[serde(default = "answer_ms")]
    pub answer_ms: f64,
    #[serde(default = "body_bytes")]
    pub body_bytes: usize,
    /// Clients write head and body apart and leave the kernel to wait for more (no TCP_NODELAY); sockets only.
    #[serde(default)]
    pub nagle: bool,
}

fn burst_size() -> usize {
    20
}
fn retries() -> u32 {
    2
}
fn retry_ms() -> [f64; 2] {
    [300.0, 900.0]
}
fn answer_ms() -> f64 {
    400.0
}
fn body_bytes() -> usize {
    120
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_s: f64,
    pub times: f64,
    #[serde(default)]
    pub over_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at_s: f64,
    pub destination: usize,
    #[serde(rename = "mails")]
    pub messages: usize,
    /// They come evenly in this span.
    #[serde(default)]
    pub over_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dispatchers {
    pub count: usize,
    /// As a multiple of what the load keeps busy; two at least.
    pub slots_times: f64,
    /// The holding room, in seconds of the load; sixteen messages at least.
    pub hold_s: f64,
    /// Given outright, these go before the two above.
    pub slots: Option<usize>,
    pub hold: Option<usize>,
    pub max_connects: u32,
    pub connect_timeout_ms: f64,
    pub keep_alive_ms: f64,
    pub max_come_back_ms: f64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub disk_mb: u64,
}

impl Default for Dispatchers {
    fn default() -> Self {
        Dispatchers {
            count: 3,
            slots_times: 3.0,
            hold_s: 10.0,
            slots: None,
            hold: None,
            max_connects: 8,
            connect_timeout_ms: 1_000.0,
            keep_alive_ms: 15_000.0,
            max_come_back_ms: 2_000.0,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 32,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub cold_share: f64,
    pub ramp_ms: f64,
    pub tip_multiple: f64,
    pub tip_window_ms: f64,
    pub key_rest_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 2_000.0,
            cold_share: 0.2,
            ramp_ms: 10_000.0,
            tip_multiple: 2.0,
            tip_window_ms: 2_000.0,
            key_rest_ms: 100.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// New connections are refused, old ones break.
    Down,
    /// Connections break as soon as a call has come.
    Reset,
    /// No answer, no reset; new connections never come up.
    Silent,
    /// Calls are taken in and stand still.
    Hung,
    /// Refuses all calls; tells when it opens where its kind tells.
    Shut,
    /// Takes `times` as long.
    Slow,
    /// `part` of the calls are answered with an error; half of these took effect.
    Failing,
    /// `part` of the answers never come, though the call took effect.
    AnswersLost,
    /// `part` of the answers cannot be read, though the call took effect.
    AnswersSpoilt,
    /// Connections idle for over 300 ms are dropped without a word.
    Reaped,
    /// The limit (where the kind has none: its capacity) is this `part` of what it was.
    LimitLowered,
    /// Listed as draining, and gone at the end.
    Drained,
    /// Gone from the start; others under new names come in their place, cold.
    Replaced,
    /// The list comes later by `lag_s`.
    ListLate,
    /// Nothing of the list comes.
    ListFrozen,
    /// Dispatchers are killed, and started again at the end.
    Killed,
    /// Dispatchers are told to end, killed 3.7 s later at the latest, and started again at the end.
    Restarted,
    /// Dispatchers together are handed this `part` of all messages.
    Hot,
}

impl FaultKind {
    pub fn of_dispatchers(self) -> bool {
        matches!(
            self,
            FaultKind::Killed | FaultKind::Restarted | FaultKind::Hot
        )
    }
    pub fn of_the_list(self) -> bool {
        matches!(self, FaultKind::ListLate | FaultKind::ListFrozen)
    }
    /// After these an endpoint is cold.
    pub fn cold_after(self) -> bool {
        use FaultKind::*;
        matches!(self, Down | Silent | Hung | Shut)
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub what: FaultKind,
    pub from_s: f64,
    pub to_s: f64,
    /// Whom it strikes: one of these four. Of dispatchers, `share` counts them and `dispatcher` names one, from 0.
    pub zone: Option<String>,
    pub destination: Option<usize>,
    pub endpoint: Option<usize>,
    pub share: Option<f64>,
    pub dispatcher: Option<usize>,
    pub part: Option<f64>,
    pub times: Option<f64>,
    pub lag_s: Option<f64>,
    /// Whether what it struck comes back cold; else as its kind does.
    pub cold: Option<bool>,
}

/// Says every field that is out of its range, and what was expected there.
pub fn check(spec: &Spec, fault: &mut dyn FnMut(&str, &str)) {
    let mut need = |holds: bool, field: String, expected: &str| {
        if !holds {
            fault(&field, expected)
        }
    };
    let share = |x: f64| (0.0..=1.0).contains(&x);
    let pair = |x: [f64; 2]| x[0] >= 0.0 && x[1] >= x[0] && x[1].is_finite();
    let over = |x: f64| x > 0.0 && x.is_finite();
    let (run, world) = (&spec.run, &spec.world);
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
    let endpoints = world.destinations.saturating_mul(world.endpoints_each);
    let most = if run.drive == Drive::Sockets {
        15_000
    } else {
        400_000
    };
    need(
        endpoints <= most,
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
    need(
        !spec.kinds.is_empty(),
        "kinds".into(),
        "at least one kind of destination",
    );
    for (i, k) in spec.kinds.iter().enumerate() {
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
    need(
        spec.kinds.iter().map(|k| k.share).sum::<f64>() > 0.0,
        "kinds".into(),
        "shares that are not all 0",
    );
    need(
        !spec.classes.is_empty(),
        "classes".into(),
        "at least one queue class",
    );
    for (i, c) in spec.classes.iter().enumerate() {
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
    need(
        spec.classes.iter().map(|c| c.share).sum::<f64>() > 0.0,
        "classes".into(),
        "shares that are not all 0",
    );
    let load = &spec.load;
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
    for (i, s) in load.steps.iter().enumerate() {
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
    for (i, c) in load.bursts.iter().enumerate() {
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
    let d = &spec.dispatchers;
    let most = if run.drive == Drive::Sockets {
        64
    } else {
        5_000
    };
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
    let r = &spec.rules;
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
    for (i, t) in spec.faults.iter().enumerate() {
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
            t.endpoint.is_none_or(|e| e < endpoints),
            f("endpoint"),
            "an endpoint, counted from 0",
        );
        need(
            t.dispatcher.is_none_or(|n| n < d.count),
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
        use FaultKind::*;
        let part = matches!(
            t.what,
            Failing | AnswersLost | AnswersSpoilt | LimitLowered | Hot
        );
        need(
            part == t.part.is_some(),
            f("part"),
            "a share with failing, answers-lost, answers-spoilt, limit-lowered and hot, and with these alone",
        );
        need(
            (t.what == Slow) == t.times.is_some(),
            f("times"),
            "a multiple with slow, and with that alone",
        );
        need(
            (t.what == ListLate) == t.lag_s.is_some(),
            f("lag_s"),
            "seconds with list-late, and with that alone",
        );
    }
}
