//! The plan of a run, drawn from an experiment and a seed. Equal seeds give equal plans.

use super::draw::interpolate;
use super::time::{MS, S, START, ms, secs};
use crate::spec::{Class, Fault, FaultKind, LimitForm, Repeat, Spec};
use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, Nanos, Settings, ValueDecay,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The properties of an endpoint without faults.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its destination.
    pub destination: usize,
    /// Its zone, as an index into the experiment's zones.
    pub zone: usize,
    /// Its kind, as an index into the experiment's kinds.
    pub kind: usize,
    /// The number of calls that it processes concurrently.
    pub workers: u32,
    /// Calls per second that it can handle outside slow start.
    pub capacity: f64,
    /// The maximum number of queued calls.
    pub queue: usize,
    /// Its rate limit, as an index into [`Plan::rate_limits`].
    pub rate_limit: usize,
}

/// The rate limit of one route, or of all routes of a destination together.
#[derive(Clone, Debug)]
pub struct RateLimitPlan {
    /// Calls per second, if there is a limit.
    pub limit: Option<f64>,
    /// Calls per second that the routes can handle. Without a limit, a fault that lowers the limit is relative to this.
    pub capacity: f64,
}

/// A signal to a dispatcher's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatcherSignal {
    /// Ends the process at once.
    Kill,
    /// Requests a graceful shutdown.
    Terminate,
    /// Starts the process unless it is running.
    Start,
}

/// A scripted change.
#[derive(Clone, Debug)]
pub enum ScriptedChange {
    /// A fault begins.
    BeginFault {
        /// An index into the experiment's faults.
        fault: usize,
        /// The endpoints that it affects.
        endpoints: Vec<usize>,
    },
    /// A fault ends.
    EndFault {
        /// An index into the experiment's faults.
        fault: usize,
        /// The endpoints that it affected.
        endpoints: Vec<usize>,
    },
    /// Stops or resumes publication of the endpoint list.
    ListFrozen(bool),
    /// Adds this many nanoseconds to the delay of the endpoint list.
    ListLag(i64),
    /// A dispatcher's process is killed, terminated or started.
    Signal(usize, DispatcherSignal),
}

/// An interval in which some dispatchers together receive a given share of all messages.
#[derive(Clone, Debug)]
pub struct HotSpan {
    /// Its start.
    pub from: Nanos,
    /// Its end.
    pub to: Nanos,
    /// Their combined share of the messages.
    pub share: f64,
    /// The dispatchers.
    pub dispatchers: Vec<usize>,
}

/// The complete plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of all random draws.
    pub seed: u64,
    /// The experiment's specification, for this variant.
    pub spec: Spec,
    /// The endpoints, ordered by destination.
    pub endpoints: Vec<EndpointPlan>,
    /// The rate limits of the endpoints.
    pub rate_limits: Vec<RateLimitPlan>,
    /// Each destination's share of the load.
    pub load_shares: Vec<f64>,
    /// Each destination's factor on service times.
    pub service_time_factors: Vec<f64>,
    /// The scripted changes in order of time, from [`START`].
    pub script: Vec<(Nanos, ScriptedChange)>,
    /// Intervals in which some dispatchers receive more than their even share of the messages.
    pub hot: Vec<HotSpan>,
    /// From this time on, no new messages are submitted.
    pub load_until: Nanos,
    /// The end of the run; the lifetimes of all messages have passed by then.
    pub run_ends_at: Nanos,
}

fn pick(rng: &mut Pcg64Mcg, of: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(((of as f64 * share).round() as usize).max(1));
    all.sort_unstable();
    all
}

/// Assigns kinds to destinations in proportion to the shares, in random order so that each kind has destinations with high
/// and with low load.
fn assign_kinds(shares: &[f64], count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let total: f64 = shares.iter().sum();
    let mut kinds: Vec<usize> = (0..count)
        .map(|i| {
            let x = (i as f64 + 0.5) / count as f64 * total;
            let mut sum = 0.0;
            shares.iter().position(|s| {
                sum += s;
                x < sum
            })
        })
        .map(|k| k.unwrap_or(shares.len() - 1))
        .collect();
    kinds.shuffle(rng);
    kinds
}

/// The endpoints, ordered by destination and sized for their share of the load, and their rate limits.
fn endpoints_and_rate_limits(
    spec: &Spec,
    load_shares: &[f64],
    kind_of: &[usize],
    service_time_factors: &[f64],
) -> (Vec<EndpointPlan>, Vec<RateLimitPlan>) {
    let world = &spec.world;
    let class_total: f64 = spec.classes.iter().map(|c| c.share).sum();
    let mean_ms: f64 = spec
        .classes
        .iter()
        .map(|c| c.share * interpolate(c.service_ms, 0.5))
        .sum::<f64>()
        / class_total;
    let (mut endpoints, mut rate_limits) = (Vec::new(), Vec::new());
    for d in 0..world.destinations {
        let kind = &spec.kinds[kind_of[d]];
        let (load, routes) = (spec.load.rate * load_shares[d], world.endpoints_each as f64);
        let service = mean_ms * service_time_factors[d] / 1e3;
        let workers = (kind.headroom * load / routes * service).ceil().max(1.0);
        let capacity = workers / service;
        for n in 0..world.endpoints_each {
            if n == 0 || kind.apart {
                let shared = if kind.apart { 1.0 } else { routes };
                let limit = kind.limit_headroom * load / routes * shared;
                let limit = (kind.limit != LimitForm::None).then_some(limit.max(1.0));
                rate_limits.push(RateLimitPlan {
                    limit,
                    capacity: capacity * shared,
                });
            }
            endpoints.push(EndpointPlan {
                destination: d,
                zone: (d + n) % world.zones.len(),
                kind: kind_of[d],
                workers: workers as u32,
                capacity,
                queue: (workers * kind.queue).ceil() as usize,
                rate_limit: rate_limits.len() - 1,
            });
        }
    }
    (endpoints, rate_limits)
}

/// The scripted changes of all faults, and the intervals in which some dispatchers are hot.
fn script(
    spec: &Spec,
    endpoints: &[EndpointPlan],
    rng: &mut Pcg64Mcg,
) -> (Vec<(Nanos, ScriptedChange)>, Vec<HotSpan>) {
    let (mut script, mut hot) = (Vec::new(), Vec::new());
    for (i, fault) in spec.faults.iter().enumerate() {
        let (from, to) = (START + secs(fault.from_s), START + secs(fault.to_s));
        let (begin, end) = match fault.what {
            FaultKind::ListLate => {
                let lag = secs(fault.lag_s.unwrap_or(0.0)) as i64;
                (ScriptedChange::ListLag(lag), ScriptedChange::ListLag(-lag))
            }
            FaultKind::ListFrozen => (
                ScriptedChange::ListFrozen(true),
                ScriptedChange::ListFrozen(false),
            ),
            what if what.affects_dispatchers() => {
                let dispatchers = match fault.dispatcher {
                    Some(n) => vec![n],
                    None => pick(rng, spec.dispatchers.count, fault.share.unwrap_or(0.0)),
                };
                if what == FaultKind::Hot {
                    hot.push(HotSpan {
                        from,
                        to,
                        share: fault.part.unwrap_or(0.0),
                        dispatchers,
                    });
                    continue;
                }
                script.extend(signals(what, from, to, dispatchers));
                continue;
            }
            _ => {
                let affected = affected_endpoints(spec, fault, endpoints, rng);
                (
                    ScriptedChange::BeginFault {
                        fault: i,
                        endpoints: affected.clone(),
                    },
                    ScriptedChange::EndFault {
                        fault: i,
                        endpoints: affected,
                    },
                )
            }
        };
        script.extend([(from, begin), (to, end)]);
    }
    (script, hot)
}

/// Stops each dispatcher when the fault begins and starts it again when the fault ends.
fn signals(
    what: FaultKind,
    from: Nanos,
    to: Nanos,
    dispatchers: Vec<usize>,
) -> impl Iterator<Item = (Nanos, ScriptedChange)> {
    let signal = match what {
        FaultKind::Killed => DispatcherSignal::Kill,
        _ => DispatcherSignal::Terminate,
    };
    dispatchers.into_iter().flat_map(move |n| {
        [
            (from, ScriptedChange::Signal(n, signal)),
            (to, ScriptedChange::Signal(n, DispatcherSignal::Start)),
        ]
    })
}

fn affected_endpoints(
    spec: &Spec,
    fault: &Fault,
    endpoints: &[EndpointPlan],
    rng: &mut Pcg64Mcg,
) -> Vec<usize> {
    let zones = &spec.world.zones;
    let zone = fault
        .zone
        .as_ref()
        .and_then(|z| zones.iter().position(|w| w == z));
    let is_affected =
        |e: &EndpointPlan| zone == Some(e.zone) || fault.destination == Some(e.destination);
    match (fault.endpoint, fault.share) {
        (Some(e), _) => vec![e],
        (_, Some(share)) => pick(rng, endpoints.len(), share),
        _ => (0..endpoints.len())
            .filter(|&e| is_affected(&endpoints[e]))
            .collect(),
    }
}

impl Plan {
    /// Draws the plan of a run. The order of the draws is fixed, so that equal seeds give equal plans.
    pub fn new(spec: &Spec, seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let world = &spec.world;
        let raw: Vec<f64> = (0..world.destinations)
            .map(|r| (r as f64 + 1.0).powf(-world.popularity))
            .collect();
        let total: f64 = raw.iter().sum();
        let load_shares: Vec<f64> = raw.iter().map(|x| x / total).collect();
        let shares: Vec<f64> = spec.kinds.iter().map(|k| k.share).collect();
        let kind_of = assign_kinds(&shares, world.destinations, &mut rng);
        let service_time_factors: Vec<f64> = kind_of
            .iter()
            .map(|&k| interpolate(spec.kinds[k].pace, rng.random()))
            .collect();
        let (endpoints, rate_limits) =
            endpoints_and_rate_limits(spec, &load_shares, &kind_of, &service_time_factors);
        let (mut script, hot) = script(spec, &endpoints, &mut rng);
        script.sort_by_key(|(at, _)| *at);
        let load_until = START + secs(spec.run.seconds);
        let longest = spec
            .classes
            .iter()
            .map(|c| c.lifetime_ms)
            .fold(0.0, f64::max);
        let run_ends_at = load_until + ms(longest) + S;
        Plan {
            seed,
            spec: spec.clone(),
            endpoints,
            rate_limits,
            load_shares,
            service_time_factors,
            script,
            hot,
            load_until,
            run_ends_at,
        }
    }

    /// The maximum number of attempts in flight per dispatcher. Unless the experiment sets it, this is the dispatcher's share of
    /// the load's concurrency, times the experiment's factor.
    pub fn max_in_flight(&self) -> usize {
        let d = &self.spec.dispatchers;
        let busy: f64 = self
            .endpoints
            .iter()
            .map(|e| f64::from(e.workers) / self.spec.kinds[e.kind].headroom)
            .sum();
        d.slots
            .unwrap_or(((busy * d.slots_times / d.count as f64).ceil() as usize).max(2))
    }

    /// The maximum number of pending messages per dispatcher.
    pub fn queue_capacity(&self) -> usize {
        let d = &self.spec.dispatchers;
        d.hold
            .unwrap_or(((self.spec.load.rate * d.hold_s / d.count as f64).ceil() as usize).max(16))
    }

    /// The settings of a dispatcher's decision logic for its `start`-th start.
    pub fn dispatcher_settings(&self, dispatcher: usize, start: u32) -> Settings {
        let (d, r) = (&self.spec.dispatchers, &self.spec.rules);
        let class = |c: &Class| ClassSettings {
            priority_weight: c.importance,
            latency_objective: ms(c.target_ms),
            lifetime: ms(c.lifetime_ms),
            late_value_share: c.late_share,
            semantics: match c.repeat {
                Repeat::Redeliverable => DeliverySemantics::Idempotent,
                Repeat::Tagged => DeliverySemantics::IdempotencyKey {
                    window: ms(c.window_ms),
                    scope: match c.same_zone {
                        true => DeduplicationScope::Zone,
                        false => DeduplicationScope::Destination,
                    },
                },
                Repeat::OnceOnly => DeliverySemantics::AtMostOnce,
            },
            ordered: c.ordered_keys > 0,
        };
        Settings {
            seed: self.dispatcher_seed(dispatcher, start),
            dispatchers: d.count as u32,
            dispatcher_index: Some(dispatcher as u32),
            classes: self.spec.classes.iter().map(class).collect(),
            per_endpoint_limits: self.spec.kinds.iter().map(|k| k.apart).collect(),
            max_batch: vec![],
            value_decay: ValueDecay::Halving,
            max_in_flight: self.max_in_flight(),
            queue_capacity: self.queue_capacity(),
            caller_admission: false,
            max_attempts: d.max_connects,
            connect_timeout: ms(d.connect_timeout_ms),
            max_retry_after: Some(ms(d.max_come_back_ms)).filter(|&most| most > 0),
            cold_capacity_share: r.cold_share,
            slow_start: ms(r.ramp_ms),
            overload_multiple: r.tip_multiple,
            overload_window: ms(r.tip_window_ms),
            key_cooldown: ms(r.key_rest_ms),
            max_watch_request_delay: None,
            clock_resolution: 5 * MS,
        }
    }

    /// The seed of a dispatcher's decision logic for its `start`-th start.
    pub fn dispatcher_seed(&self, dispatcher: usize, start: u32) -> u64 {
        Pcg64Mcg::seed_from_u64(self.seed ^ ((dispatcher as u64 + 1) << 20) ^ u64::from(start))
            .random()
    }
}
