//! What a world is made of, drawn from an experiment and a seed: equal seeds give equal plans.

use super::draw::interpolate;
use super::time::{MS, S, START, ms, secs};
use crate::spec::{Class, Fault, FaultKind, LimitForm, Repeat, Spec};
use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, Nanos, Settings, ValueDecay,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// An endpoint as it is when it is well.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// The destination that it belongs to.
    pub destination: usize,
    /// Where it is: a row of the world's zones.
    pub zone: usize,
    /// A row of the experiment's kinds.
    pub kind: usize,
    /// Calls that it works on at once.
    pub workers: u32,
    /// Calls a second that it can do when it is warm.
    pub capacity: f64,
    /// Calls that wait in it at most.
    pub queue: usize,
    /// What its limit binds: a row of [`Plan::rate_limits`].
    pub rate_limit: usize,
}

/// The limit on one route, or on all routes of a destination together.
#[derive(Clone, Debug)]
pub struct RateLimitPlan {
    /// Calls a second, if there is a limit.
    pub limit: Option<f64>,
    /// Calls a second that are possible; a fault that lowers a limit starts from this where there is none.
    pub capacity: f64,
}

/// What is done to a dispatcher's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatcherSignal {
    /// It ends at once.
    Kill,
    /// It is asked to shut down gracefully.
    Terminate,
    /// It starts, unless it is running.
    Start,
}

/// What happens at a moment of the script.
#[derive(Clone, Debug)]
pub enum ScriptedChange {
    /// A fault begins.
    BeginFault {
        /// A row of the experiment's faults.
        fault: usize,
        /// The endpoints that it affects.
        endpoints: Vec<usize>,
    },
    /// A fault ends.
    EndFault {
        /// A row of the experiment's faults.
        fault: usize,
        /// The endpoints that it affected.
        endpoints: Vec<usize>,
    },
    /// Whether the endpoint list is held back altogether.
    ListFrozen(bool),
    /// The delay of the endpoint list grows by this, in nanoseconds.
    ListLag(i64),
    /// A dispatcher's process is killed, terminated or started.
    Signal(usize, DispatcherSignal),
}

/// A span in which these dispatchers together get a part of all messages.
#[derive(Clone, Debug)]
pub struct HotSpan {
    /// Its start.
    pub from: Nanos,
    /// Its end.
    pub to: Nanos,
    /// Their part of all messages.
    pub part: f64,
    /// The dispatchers.
    pub dispatchers: Vec<usize>,
}

/// All that a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What all draws start from.
    pub seed: u64,
    /// The experiment, as this variant has it.
    pub spec: Spec,
    /// The endpoints of all destinations, in their order.
    pub endpoints: Vec<EndpointPlan>,
    /// The limits on them.
    pub rate_limits: Vec<RateLimitPlan>,
    /// The part of the load of each destination.
    pub load_shares: Vec<f64>,
    /// What service times of each destination are multiplied by.
    pub service_time_factors: Vec<f64>,
    /// In order of time, from [`START`].
    pub script: Vec<(Nanos, ScriptedChange)>,
    /// When some dispatchers get more than their part of the messages.
    pub hot: Vec<HotSpan>,
    /// No message is submitted for the first time from then on.
    pub load_until: Nanos,
    /// All messages have had their time by then.
    pub run_ends_at: Nanos,
}

fn pick(rng: &mut Pcg64Mcg, of: usize, share: f64) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(((of as f64 * share).round() as usize).max(1));
    all.sort_unstable();
    all
}

/// As many of each kind as the shares say, dealt over the ranks so that each kind has busy and quiet ones.
fn deal_kinds(shares: &[f64], count: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
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

/// Endpoints in order of their destinations, each as strong as its part of the load asks for, and the limits on them.
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

/// What happens during the run, fault by fault, and the spans in which some dispatchers are hot.
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
            what if what.of_dispatchers() => {
                let dispatchers = match fault.dispatcher {
                    Some(n) => vec![n],
                    None => pick(rng, spec.dispatchers.count, fault.share.unwrap_or(0.0)),
                };
                if what == FaultKind::Hot {
                    hot.push(HotSpan {
                        from,
                        to,
                        part: fault.part.unwrap_or(0.0),
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

/// Each dispatcher is ended at the beginning of the fault and started again at its end.
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
    /// Draws the plan of a run, always in the same order.
    pub fn new(spec: &Spec, seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let world = &spec.world;
        let raw: Vec<f64> = (0..world.destinations)
            .map(|r| (r as f64 + 1.0).powf(-world.popularity))
            .collect();
        let total: f64 = raw.iter().sum();
        let load_shares: Vec<f64> = raw.iter().map(|x| x / total).collect();
        let shares: Vec<f64> = spec.kinds.iter().map(|k| k.share).collect();
        let kind_of = deal_kinds(&shares, world.destinations, &mut rng);
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

    /// Attempts that one dispatcher has in flight at most: what its part of the load needs, times the experiment's factor.
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

    /// Messages that one dispatcher holds at most.
    pub fn queue_capacity(&self) -> usize {
        let d = &self.spec.dispatchers;
        d.hold
            .unwrap_or(((self.spec.load.rate * d.hold_s / d.count as f64).ceil() as usize).max(16))
    }

    /// The settings of one dispatcher's decisions at one of its starts.
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

    /// What the draws of one dispatcher's decisions start from.
    pub fn dispatcher_seed(&self, dispatcher: usize, start: u32) -> u64 {
        Pcg64Mcg::seed_from_u64(self.seed ^ ((dispatcher as u64 + 1) << 20) ^ u64::from(start))
            .random()
    }
}
