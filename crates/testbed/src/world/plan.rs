//! What a world is made of, drawn from an experiment and a seed: equal seeds give equal plans.

use crate::spec::*;
use bellsill_core::interface::{
    ClassSettings, DeduplicationScope, DeliverySemantics, Nanos, Settings, ValueDecay,
};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
/// The testbed's clock at the start of a run. Not zero, so that "long ago" can be said.
pub const START: Nanos = 1_000 * S;

pub fn ms(x: f64) -> Nanos {
    (x * MS as f64) as Nanos
}
pub fn secs(x: f64) -> Nanos {
    (x * S as f64) as Nanos
}

/// A number from 0 to 1 that hangs on these alone: what is drawn for one message is the same whatever else happens, so that
/// runs of two builds can be paired.
pub fn draw(seed: u64, what: u64, whom: u64, salt: u64) -> f64 {
    let mixed =
        seed ^ what.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ whom.rotate_left(32) ^ (salt << 56);
    Pcg64Mcg::seed_from_u64(mixed).random()
}

pub fn between(pair: [f64; 2], x: f64) -> f64 {
    pair[0] + (pair[1] - pair[0]) * x
}

#[derive(Clone, Debug)]
pub struct EndpointPlan {
    pub destination: usize,
    pub zone: usize,
    pub kind: usize,
    pub workers: u32,
    /// Calls a second that it can do when it is warm.
    pub capacity: f64,
    pub queue: usize,
    /// What its limit binds: a row of [`Plan::gates`].
    pub gate: usize,
}

#[derive(Clone, Debug)]
pub struct GatePlan {
    /// Calls a second, if there is a limit.
    pub limit: Option<f64>,
    /// What it takes where a fault limits what has none.
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatcherSignal {
    Kill,
    /// Told to end.
    Terminate,
    Start,
}

/// What happens at a moment of the script.
#[derive(Clone, Debug)]
pub enum ScriptedChange {
    /// A fault (a row of the experiment's) strikes these endpoints.
    BeginFault {
        fault: usize,
        endpoints: Vec<usize>,
    },
    EndFault {
        fault: usize,
        endpoints: Vec<usize>,
    },
    ListFrozen(bool),
    ListLag(i64),
    Signal(usize, DispatcherSignal),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub spec: Spec,
    pub endpoints: Vec<EndpointPlan>,
    pub gates: Vec<GatePlan>,
    /// The part of the load of each destination.
    pub parts: Vec<f64>,
    pub paces: Vec<f64>,
    /// In order of time, from [`START`].
    pub script: Vec<(Nanos, ScriptedChange)>,
    /// Spans in which these dispatchers together get a part of all messages.
    pub hot: Vec<(Nanos, Nanos, f64, Vec<usize>)>,
    /// No message is handed in from then on.
    pub load_until: Nanos,
    /// All messages have had their time by then.
    pub over_at: Nanos,
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

impl Plan {
    pub fn new(spec: &Spec, seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let world = &spec.world;
        let raw: Vec<f64> = (0..world.destinations)
            .map(|r| (r as f64 + 1.0).powf(-world.popularity))
            .collect();
        let total: f64 = raw.iter().sum();
        let parts: Vec<f64> = raw.iter().map(|x| x / total).collect();
        let shares: Vec<f64> = spec.kinds.iter().map(|k| k.share).collect();
        let kind_of = deal_kinds(&shares, world.destinations, &mut rng);
        let paces: Vec<f64> = kind_of
            .iter()
            .map(|&k| between(spec.kinds[k].pace, rng.random()))
            .collect();
        let class_total: f64 = spec.classes.iter().map(|c| c.share).sum();
        let mean_ms: f64 = spec
            .classes
            .iter()
            .map(|c| c.share * between(c.service_ms, 0.5))
            .sum::<f64>()
            / class_total;
        let (mut endpoints, mut gates) = (Vec::new(), Vec::new());
        for d in 0..world.destinations {
            let kind = &spec.kinds[kind_of[d]];
            let (load, routes) = (spec.load.rate * parts[d], world.endpoints_each as f64);
            let service = mean_ms * paces[d] / 1e3;
            let workers = (kind.headroom * load / routes * service).ceil().max(1.0);
            let capacity = workers / service;
            for n in 0..world.endpoints_each {
                if n == 0 || kind.apart {
                    let shared = if kind.apart { 1.0 } else { routes };
                    let limit = kind.limit_headroom * load / routes * shared;
                    let limit = (kind.limit != LimitForm::None).then_some(limit.max(1.0));
                    gates.push(GatePlan {
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
                    gate: gates.len() - 1,
                });
            }
        }
        let (mut script, mut hot) = (Vec::new(), Vec::new());
        for (i, t) in spec.faults.iter().enumerate() {
            let (from, to) = (START + secs(t.from_s), START + secs(t.to_s));
            match t.what {
                FaultKind::ListLate => {
                    let lag = secs(t.lag_s.unwrap_or(0.0)) as i64;
                    script.extend([
                        (from, ScriptedChange::ListLag(lag)),
                        (to, ScriptedChange::ListLag(-lag)),
                    ]);
                }
                FaultKind::ListFrozen => {
                    script.extend([
                        (from, ScriptedChange::ListFrozen(true)),
                        (to, ScriptedChange::ListFrozen(false)),
                    ]);
                }
                what if what.of_dispatchers() => {
                    let whom = match t.dispatcher {
                        Some(n) => vec![n],
                        None => pick(&mut rng, spec.dispatchers.count, t.share.unwrap_or(0.0)),
                    };
                    if what == FaultKind::Hot {
                        hot.push((from, to, t.part.unwrap_or(0.0), whom));
                        continue;
                    }
                    let signal = match what {
                        FaultKind::Killed => DispatcherSignal::Kill,
                        _ => DispatcherSignal::Terminate,
                    };
                    for n in whom {
                        script.push((from, ScriptedChange::Signal(n, signal)));
                        script.push((to, ScriptedChange::Signal(n, DispatcherSignal::Start)));
                    }
                }
                _ => {
                    let zone = t
                        .zone
                        .as_ref()
                        .and_then(|z| world.zones.iter().position(|w| w == z));
                    let of = |e: &EndpointPlan| {
                        zone == Some(e.zone) || t.destination == Some(e.destination)
                    };
                    let affected: Vec<usize> = match (t.endpoint, t.share) {
                        (Some(e), _) => vec![e],
                        (_, Some(share)) => pick(&mut rng, endpoints.len(), share),
                        _ => (0..endpoints.len())
                            .filter(|&e| of(&endpoints[e]))
                            .collect(),
                    };
                    script.push((
                        from,
                        ScriptedChange::BeginFault {
                            fault: i,
                            endpoints: affected.clone(),
                        },
                    ));
                    script.push((
                        to,
                        ScriptedChange::EndFault {
                            fault: i,
                            endpoints: affected,
                        },
                    ));
                }
            }
        }
        script.sort_by_key(|(at, _)| *at);
        let load_until = START + secs(spec.run.seconds);
        let longest = spec
            .classes
            .iter()
            .map(|c| c.lifetime_ms)
            .fold(0.0, f64::max);
        let over_at = load_until + ms(longest) + S;
        Plan {
            seed,
            spec: spec.clone(),
            endpoints,
            gates,
            parts,
            paces,
            script,
            hot,
            load_until,
            over_at,
        }
    }

    /// Slots of one dispatcher: what its part of the load keeps busy, times what the experiment says.
    pub fn slots(&self) -> usize {
        let d = &self.spec.dispatchers;
        let busy: f64 = self
            .endpoints
            .iter()
            .map(|e| f64::from(e.workers) / self.spec.kinds[e.kind].headroom)
            .sum();
        d.slots
            .unwrap_or(((busy * d.slots_times / d.count as f64).ceil() as usize).max(2))
    }

    pub fn hold(&self) -> usize {
        let d = &self.spec.dispatchers;
        d.hold
            .unwrap_or(((self.spec.load.rate * d.hold_s / d.count as f64).ceil() as usize).max(16))
    }

    /// What the decisions of one dispatcher are told at its start.
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
            max_in_flight: self.slots(),
            queue_capacity: self.hold(),
            caller_admission: false,
            max_attempts: d.max_connects,
            connect_timeout: ms(d.connect_timeout_ms),
            max_retry_after: Some(ms(d.max_come_back_ms)).filter(|&most| most > 0),
            cold_capacity_share: r.cold_share,
            slow_start: ms(r.ramp_ms),
            overload_multiple: r.tip_multiple,
            overload_window: ms(r.tip_window_ms),
            key_cooldown: ms(r.key_rest_ms),
            watch_request_limit: None,
            clock_resolution: 5 * MS,
        }
    }

    pub fn dispatcher_seed(&self, dispatcher: usize, start: u32) -> u64 {
        Pcg64Mcg::seed_from_u64(self.seed ^ ((dispatcher as u64 + 1) << 20) ^ u64::from(start))
            .random()
    }
}
