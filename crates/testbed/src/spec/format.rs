//! The form of an experiment's file, with its units and ranges. Times end in `_ms`, `_us` or `_s`; shares lie in 0 to 1.

use super::defaults;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The whole file, as it is written; the run itself is read again from it once for each variant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// For reports.
    pub title: String,
    /// Every variant is run with each of these.
    #[serde(default = "defaults::one_seed")]
    pub seeds: Vec<u64>,
    /// What varies between runs.
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

/// What varies between the runs of an experiment: each value makes a variant, run with every seed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vary {
    /// A field of the file such as `load.rate`.
    pub field: Option<String>,
    /// What it is set to, one value a variant.
    #[serde(default)]
    pub values: Vec<toml::Value>,
    /// Builds of the program by a name of their own; sockets only.
    #[serde(default)]
    pub programs: BTreeMap<String, PathBuf>,
}

/// One run, all but its seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// How and for how long it goes.
    pub run: Run,
    /// The destinations and their endpoints.
    pub world: WorldSpec,
    /// The kinds of destinations.
    pub kinds: Vec<Kind>,
    /// The queue classes.
    pub classes: Vec<Class>,
    /// What clients submit.
    pub load: Load,
    /// The dispatchers and their settings.
    #[serde(default)]
    pub dispatchers: Dispatchers,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong, and when.
    #[serde(default)]
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// What the dispatchers of a run are.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Drive {
    /// The decisions alone, with no sockets and no sleeping.
    Virtual,
    /// Real `bellsill serve` processes on loopback.
    Sockets,
}

/// How and for how long a run goes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// What the dispatchers are.
    pub drive: Drive,
    /// For how long messages are submitted; the run then continues until each has had its queue lifetime.
    pub seconds: f64,
    /// The processor time of dispatchers counts from this second on, to the end of the load.
    #[serde(default)]
    pub cpu_from_s: f64,
    /// A generator later than this at its 99th percentile, or late by ten times as much once, makes a run not valid.
    #[serde(default = "defaults::late_ms")]
    pub late_ms: f64,
}

/// The destinations and their endpoints.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorldSpec {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// How many destinations there are.
    pub destinations: usize,
    /// Endpoints of each destination, dealt over the zones in turn.
    pub endpoints_each: usize,
    /// The part of a destination of rank r is as r to the power of minus this.
    #[serde(default)]
    pub popularity: f64,
    /// After each change of the list, when a dispatcher learns of it: between these.
    #[serde(default = "defaults::list_lag_ms")]
    pub list_lag_ms: [f64; 2],
}

/// How a limit counts calls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LimitForm {
    /// There is no limit.
    None,
    /// Calls a second, with a tenth of a second's worth (one at least) at once.
    Rate,
    /// A count in each span, spans laid end to end.
    Span,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name in the endpoint list.
    pub name: String,
    /// Of the destinations.
    pub share: f64,
    /// Are its endpoints separate routes, each with a limit of its own?
    #[serde(default)]
    pub apart: bool,
    /// What an endpoint can do, as a multiple of its part of the load with popularity reckoned in.
    #[serde(default = "defaults::headroom")]
    pub headroom: f64,
    /// Calls that wait in an endpoint for each that it works on.
    #[serde(default = "defaults::queue")]
    pub queue: f64,
    /// Whether there is a limit, and how it counts.
    #[serde(default = "no_limit")]
    pub limit: LimitForm,
    /// The limit as a multiple of the destination's part of the load.
    #[serde(default = "defaults::headroom")]
    pub limit_headroom: f64,
    /// The length of a span, where the limit counts in spans.
    #[serde(default = "defaults::span_ms")]
    pub span_ms: f64,
    /// Do rejected calls use the limit up?
    #[serde(default)]
    pub refusals_count: bool,
    /// The part of rejections that have a Retry-After.
    #[serde(default = "defaults::half")]
    pub told_share: f64,
    /// The Retry-After of a rate: between these.
    #[serde(default = "defaults::told_ms")]
    pub told_ms: [f64; 2],
    /// Connections that an endpoint holds.
    #[serde(default = "defaults::connections")]
    pub connections: usize,
    /// What the first call on a connection takes longer.
    #[serde(default = "defaults::handshake_ms")]
    pub handshake_ms: f64,
    /// Service times are multiplied by a figure drawn for each destination between these.
    #[serde(default = "defaults::pace")]
    pub pace: [f64; 2],
}

/// Whether a message may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may: it is idempotent.
    Redeliverable,
    /// It may, for a time: endpoints drop repeats by its idempotency key.
    Tagged,
    /// It may not, once an attempt may have taken effect.
    OnceOnly,
}

/// A queue class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in submissions.
    pub name: String,
    /// Of the messages.
    pub share: f64,
    /// Its priority weight.
    #[serde(default = "defaults::one")]
    pub importance: f64,
    /// Its latency objective.
    pub target_ms: f64,
    /// How long a message may wait in a queue.
    pub lifetime_ms: f64,
    /// Of the importance, just before the queue lifetime is up.
    #[serde(default = "defaults::late_share")]
    pub late_share: f64,
    /// Whether a message may be sent again.
    pub repeat: Repeat,
    /// Tagged: for how long endpoints drop a repeat.
    #[serde(default = "defaults::window_ms")]
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

/// What clients submit.
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
    /// The size of one of these bursts.
    #[serde(default = "defaults::burst_size")]
    pub burst_size: usize,
    /// Messages for one destination that come on top of all that.
    #[serde(default)]
    #[serde(rename = "clumps")]
    pub bursts: Vec<Burst>,
    /// How often a client submits a message again that was rejected.
    #[serde(default = "defaults::retries")]
    pub retries: u32,
    /// The wait before that where there is no Retry-After: between these.
    #[serde(default = "defaults::retry_ms")]
    pub retry_ms: [f64; 2],
    /// For how long a client waits for the answer to a submission.
    #[serde(default = "defaults::answer_ms")]
    pub answer_ms: f64,
    /// The size of a body.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
    /// Clients write head and body apart and leave the kernel to wait for more (no TCP_NODELAY); sockets only.
    #[serde(default)]
    pub nagle: bool,
}

/// A change of the rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it begins.
    pub at_s: f64,
    /// The rate afterwards, as a multiple.
    pub times: f64,
    /// How long the change takes.
    #[serde(default)]
    pub over_s: f64,
}

/// Messages for one destination that come together.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When the first comes.
    pub at_s: f64,
    /// Where they go.
    pub destination: usize,
    /// How many they are.
    #[serde(rename = "mails")]
    pub messages: usize,
    /// They come evenly in this span.
    #[serde(default)]
    pub over_s: f64,
}

/// The dispatchers and their settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dispatchers {
    /// How many there are.
    pub count: usize,
    /// As a multiple of what the load keeps busy; two at least.
    pub slots_times: f64,
    /// The queue capacity, in seconds of the load; sixteen messages at least.
    pub hold_s: f64,
    /// Given outright, these go before the two above.
    pub slots: Option<usize>,
    /// Messages held at most.
    pub hold: Option<usize>,
    /// Attempts of one message at most.
    pub max_connects: u32,
    /// How long a connection may take to come up.
    pub connect_timeout_ms: f64,
    /// How long an idle connection is kept.
    pub keep_alive_ms: f64,
    /// The longest Retry-After; 0 is no bound.
    pub max_come_back_ms: f64,
    /// The memory of a process.
    pub memory_mb: u64,
    /// The descriptors of a process.
    pub sockets: u64,
    /// The disk space of a process.
    pub disk_mb: u64,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// For how long a draining endpoint may still get something new.
    pub drain_grace_ms: f64,
    /// The share of its capacity that a cold endpoint starts with.
    pub cold_share: f64,
    /// How long a cold endpoint takes to warm up.
    pub ramp_ms: f64,
    /// The multiple of its capacity that overloads a cold endpoint.
    pub tip_multiple: f64,
    /// The window in which its calls are counted.
    pub tip_window_ms: f64,
    /// The cooldown of a key after an attempt without an answer.
    pub key_rest_ms: f64,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// New connections are refused, old ones break.
    Down,
    /// Connections break as soon as a call has come.
    Reset,
    /// No answer, no reset; new connections never come up.
    Silent,
    /// Calls are accepted and make no progress.
    Hung,
    /// Refuses all calls; with a Retry-After until it opens, where its kind has them.
    Shut,
    /// Takes `times` as long.
    Slow,
    /// `part` of the calls are answered with an error; half of these took effect.
    Failing,
    /// `part` of the answers never come, though the call took effect.
    AnswersLost,
    /// `part` of the answers cannot be read, though the call took effect.
    AnswersSpoilt,
    /// Connections idle for over 300 ms are dropped silently.
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
    /// Dispatchers are asked to shut down, killed 3.7 s later at the latest, and started again at the end.
    Restarted,
    /// Dispatchers together are given this `part` of all messages.
    Hot,
}

impl FaultKind {
    /// Whether it affects dispatchers.
    pub fn of_dispatchers(self) -> bool {
        matches!(
            self,
            FaultKind::Killed | FaultKind::Restarted | FaultKind::Hot
        )
    }
    /// Whether it affects the endpoint list.
    pub fn of_the_list(self) -> bool {
        matches!(self, FaultKind::ListLate | FaultKind::ListFrozen)
    }
    /// After these an endpoint is cold.
    pub fn cold_after(self) -> bool {
        matches!(
            self,
            FaultKind::Down | FaultKind::Silent | FaultKind::Hung | FaultKind::Shut
        )
    }
}

/// A fault of the script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it does.
    pub what: FaultKind,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// What it affects: one of these four. Of dispatchers, `share` counts them and `dispatcher` names one, from 0.
    pub zone: Option<String>,
    /// All endpoints of this destination.
    pub destination: Option<usize>,
    /// This endpoint.
    pub endpoint: Option<usize>,
    /// This share, drawn by the seed.
    pub share: Option<f64>,
    /// This dispatcher.
    pub dispatcher: Option<usize>,
    /// How much of the calls, answers, messages or limit; with the kinds that say so.
    pub part: Option<f64>,
    /// How many times as long calls take.
    pub times: Option<f64>,
    /// How much later the list comes.
    pub lag_s: Option<f64>,
    /// Whether what it affected comes back cold; else as its kind does.
    pub cold: Option<bool>,
}

fn no_limit() -> LimitForm {
    LimitForm::None
}
