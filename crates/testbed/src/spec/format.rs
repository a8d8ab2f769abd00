//! The schema of experiment files. The suffixes `_ms`, `_us` and `_s` give the unit of a time; shares are from 0 to 1.

use super::defaults;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The whole file as written. The fields of a run only validate it: each variant parses its own `Spec`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// The title, for reports.
    pub title: String,
    /// The seeds that every variant is run with.
    #[serde(default = "defaults::one_seed")]
    pub seeds: Vec<u64>,
    /// What varies between the variants.
    pub vary: Option<Vary>,
    /// The values that the long form of the experiment changes.
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
    /// The varied field, such as `load.rate`.
    pub field: Option<String>,
    /// The values of the field, one for each variant.
    #[serde(default)]
    pub values: Vec<toml::Value>,
    /// Dispatcher executables by variant name; sockets only.
    #[serde(default)]
    pub programs: BTreeMap<String, PathBuf>,
}

/// The specification of a run, without its seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// How and for how long it runs.
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
    /// The parameters of the rules.
    #[serde(default)]
    pub rules: Rules,
    /// The faults that are injected.
    #[serde(default)]
    #[serde(rename = "troubles")]
    pub faults: Vec<Fault>,
}

/// How the dispatchers of a run are executed.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Drive {
    /// The decision logic alone in virtual time, without sockets or sleeping.
    Virtual,
    /// Real `bellsill serve` processes on loopback.
    Sockets,
}

/// How and for how long a run is executed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Virtual time or sockets.
    pub drive: Drive,
    /// How long messages are submitted; the run then continues until the queue lifetime of the last message is over.
    pub seconds: f64,
    /// The CPU time of dispatchers is counted from this second to the end of the load.
    #[serde(default)]
    pub cpu_from_s: f64,
    /// A run is not valid if the 99th percentile of the load generator's lateness exceeds this, or its maximum ten times this.
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
    /// The number of endpoints of each destination, assigned to the zones in turn.
    pub endpoints_each: usize,
    /// The exponent s of the Zipf distribution of messages: a destination of rank r has a share proportional to r^-s.
    #[serde(default)]
    pub popularity: f64,
    /// The minimum and maximum delay until a dispatcher learns of a change of the endpoint list.
    #[serde(default = "defaults::list_lag_ms")]
    pub list_lag_ms: [f64; 2],
}

/// How a limit counts calls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum LimitForm {
    /// There is no limit.
    None,
    /// Calls per second; a burst may have as many as a tenth of a second allows, at least one.
    Rate,
    /// A number of calls in each of consecutive fixed windows.
    Span,
}

/// A kind of destination.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name in the endpoint list.
    pub name: String,
    /// The share of the destinations.
    pub share: f64,
    /// Whether each endpoint is a separate route with its own limit.
    #[serde(default)]
    pub apart: bool,
    /// The capacity of an endpoint, as a multiple of its share of the load including popularity.
    #[serde(default = "defaults::headroom")]
    pub headroom: f64,
    /// The queue length of an endpoint, as a multiple of the calls that it executes concurrently.
    #[serde(default = "defaults::queue")]
    pub queue: f64,
    /// Whether there is a limit, and how it counts.
    #[serde(default = "no_limit")]
    pub limit: LimitForm,
    /// The limit, as a multiple of the destination's share of the load.
    #[serde(default = "defaults::headroom")]
    pub limit_headroom: f64,
    /// The length of a window, for the limit form `span`.
    #[serde(default = "defaults::span_ms")]
    pub span_ms: f64,
    /// Whether rejected calls count against the limit.
    #[serde(default)]
    pub refusals_count: bool,
    /// The share of rejections that have a Retry-After.
    #[serde(default = "defaults::half")]
    pub told_share: f64,
    /// The minimum and maximum Retry-After, for the limit form `rate`.
    #[serde(default = "defaults::told_ms")]
    pub told_ms: [f64; 2],
    /// The maximum number of connections of an endpoint.
    #[serde(default = "defaults::connections")]
    pub connections: usize,
    /// The additional time of the first call on a connection.
    #[serde(default = "defaults::handshake_ms")]
    pub handshake_ms: f64,
    /// The minimum and maximum of the factor on service times, which is drawn for each destination.
    #[serde(default = "defaults::pace")]
    pub pace: [f64; 2],
}

/// Whether a message may be sent again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may, because it is idempotent.
    Redeliverable,
    /// It may within a window in which endpoints discard duplicates by its idempotency key.
    Tagged,
    /// It may not once an attempt may have taken effect.
    OnceOnly,
}

/// A queue class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name in submissions.
    pub name: String,
    /// The share of the messages.
    pub share: f64,
    /// Its priority weight.
    #[serde(default = "defaults::one")]
    pub importance: f64,
    /// Its latency objective.
    pub target_ms: f64,
    /// The queue lifetime of a message.
    pub lifetime_ms: f64,
    /// The share of the importance that remains just before the queue lifetime ends.
    #[serde(default = "defaults::late_share")]
    pub late_share: f64,
    /// Whether a message may be sent again.
    pub repeat: Repeat,
    /// Tagged: how long endpoints discard duplicates.
    #[serde(default = "defaults::window_ms")]
    pub window_ms: f64,
    /// Tagged: whether endpoints recognize duplicates only within their zone.
    #[serde(default)]
    pub same_zone: bool,
    /// The number of ordering keys in use at a time; messages with the same key are delivered in order. 0: no keys.
    #[serde(default)]
    pub ordered_keys: usize,
    /// The minimum and maximum of the uniformly distributed service time at a destination of pace 1.
    pub service_ms: [f64; 2],
}

/// What clients submit.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Messages per second over all dispatchers.
    pub rate: f64,
    /// Changes of the rate to `times` its base value, linearly over `over_s` from `at_s` on.
    #[serde(default)]
    pub steps: Vec<Step>,
    /// The share of the messages that arrive in bursts for one destination.
    #[serde(default)]
    pub burst_share: f64,
    /// The number of messages of such a burst.
    #[serde(default = "defaults::burst_size")]
    pub burst_size: usize,
    /// Bursts for one destination in addition to the rate.
    #[serde(default)]
    #[serde(rename = "clumps")]
    pub bursts: Vec<Burst>,
    /// How often a client retries a rejected submission.
    #[serde(default = "defaults::retries")]
    pub retries: u32,
    /// The minimum and maximum delay of such a retry if the rejection has no Retry-After.
    #[serde(default = "defaults::retry_ms")]
    pub retry_ms: [f64; 2],
    /// How long a client waits for the reply to a submission.
    #[serde(default = "defaults::answer_ms")]
    pub answer_ms: f64,
    /// The size of a message body.
    #[serde(default = "defaults::body_bytes")]
    pub body_bytes: usize,
    /// Whether clients write head and body separately without TCP_NODELAY, so that Nagle's algorithm delays the body; sockets only.
    #[serde(default)]
    pub nagle: bool,
}

/// A change of the rate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The start of the change.
    pub at_s: f64,
    /// The rate after the change, as a multiple of the base rate.
    pub times: f64,
    /// The duration of the change.
    #[serde(default)]
    pub over_s: f64,
}

/// A burst of messages for one destination.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// The arrival of the first message.
    pub at_s: f64,
    /// The destination, counted from 0.
    pub destination: usize,
    /// The number of messages.
    #[serde(rename = "mails")]
    pub messages: usize,
    /// The time over which the arrivals are spread evenly.
    #[serde(default)]
    pub over_s: f64,
}

/// The dispatchers and their settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Dispatchers {
    /// The number of dispatchers.
    pub count: usize,
    /// The number of slots, as a multiple of those that the load keeps busy; at least two slots.
    pub slots_times: f64,
    /// The queue capacity, in seconds of the load; at least sixteen messages.
    pub hold_s: f64,
    /// The number of slots; overrides `slots_times`.
    pub slots: Option<usize>,
    /// The queue capacity in messages; overrides `hold_s`.
    pub hold: Option<usize>,
    /// The maximum number of attempts of a message.
    pub max_connects: u32,
    /// The timeout for establishing a connection.
    pub connect_timeout_ms: f64,
    /// The idle timeout of connections.
    pub keep_alive_ms: f64,
    /// The maximum Retry-After; 0 sets no maximum.
    pub max_come_back_ms: f64,
    /// The memory limit of a process.
    pub memory_mb: u64,
    /// The limit on sockets of a process.
    pub sockets: u64,
    /// The disk space limit of a process.
    pub disk_mb: u64,
}

/// The parameters of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a draining endpoint may still receive new calls.
    pub drain_grace_ms: f64,
    /// The share of its capacity that a cold endpoint starts with.
    pub cold_share: f64,
    /// The slow start period of a cold endpoint.
    pub ramp_ms: f64,
    /// The multiple of its capacity that overloads a cold endpoint.
    pub tip_multiple: f64,
    /// The window in which calls to a cold endpoint are counted.
    pub tip_window_ms: f64,
    /// The cooldown of an ordering key after an attempt without a response.
    pub key_rest_ms: f64,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// New connections are refused and existing ones break.
    Down,
    /// Connections break as soon as a call was received.
    Reset,
    /// No response and no reset; new connections are never established.
    Silent,
    /// Calls are accepted and make no progress.
    Hung,
    /// All calls are rejected, with a Retry-After until the end of the fault if the kind sends one.
    Shut,
    /// Calls take `times` as long.
    Slow,
    /// A share `part` of the calls fails with an error response; half of these took effect.
    Failing,
    /// A share `part` of the responses is lost although the calls took effect.
    AnswersLost,
    /// A share `part` of the responses is unreadable although the calls took effect.
    AnswersSpoilt,
    /// Connections idle for over 300 ms are dropped silently.
    Reaped,
    /// The limit, or the capacity if the kind has no limit, is reduced to `part` of its value.
    LimitLowered,
    /// The endpoint is listed as draining, and removed at the end.
    Drained,
    /// The endpoint is removed at the start and replaced by a cold one with a new name.
    Replaced,
    /// The endpoint list arrives `lag_s` later.
    ListLate,
    /// The endpoint list does not arrive.
    ListFrozen,
    /// Dispatchers are killed, and restarted at the end.
    Killed,
    /// Dispatchers are asked to shut down, killed after at most 3.7 s, and restarted at the end.
    Restarted,
    /// The affected dispatchers together receive a share `part` of all messages.
    Hot,
}

impl FaultKind {
    /// Whether it affects dispatchers.
    pub fn affects_dispatchers(self) -> bool {
        matches!(
            self,
            FaultKind::Killed | FaultKind::Restarted | FaultKind::Hot
        )
    }

    /// Whether it affects the endpoint list.
    pub fn affects_endpoint_list(self) -> bool {
        matches!(self, FaultKind::ListLate | FaultKind::ListFrozen)
    }

    /// Whether an endpoint is cold afterwards by default.
    pub fn cold_after(self) -> bool {
        matches!(
            self,
            FaultKind::Down | FaultKind::Silent | FaultKind::Hung | FaultKind::Shut
        )
    }
}

/// A fault to inject.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub what: FaultKind,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// All endpoints of this zone. The target of an endpoint fault is one of `zone`, `destination`, `endpoint` and `share`; that of
    /// a dispatcher fault is `dispatcher` or `share`.
    pub zone: Option<String>,
    /// All endpoints of this destination, counted from 0.
    pub destination: Option<usize>,
    /// This endpoint, counted from 0.
    pub endpoint: Option<usize>,
    /// This share of the endpoints or dispatchers, drawn from the seed.
    pub share: Option<f64>,
    /// This dispatcher, counted from 0.
    pub dispatcher: Option<usize>,
    /// The share of the calls, responses, messages or limit, for the kinds that have one.
    pub part: Option<f64>,
    /// The factor on the duration of calls, for `slow`.
    pub times: Option<f64>,
    /// The additional delay of the endpoint list, for `list-late`.
    pub lag_s: Option<f64>,
    /// Whether the affected endpoints return cold; by default, this depends on the kind.
    pub cold: Option<bool>,
}

fn no_limit() -> LimitForm {
    LimitForm::None
}
