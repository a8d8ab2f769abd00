//! The load: messages as they are drawn ahead from the seed, and what clients do with an answer. Open loop: nothing here
//! waits for an answer before the next message, and times count from the intended moment.

use crate::spec::{Burst, Class};
use crate::world::draw::{draw, interpolate};
use crate::world::plan::Plan;
use crate::world::time::{MS, START, ms, secs};
use bellsill_core::interface::{MessageId, Nanos};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, weighted::WeightedIndex};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;

/// A message that a client means to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Counted from zero; also the idempotency key of its repeats.
    pub no: u64,
    /// When it is meant to be submitted first.
    pub at: Nanos,
    /// Its queue class.
    pub class: usize,
    /// The destination it is for.
    pub destination: usize,
    /// Messages of one key go in order.
    pub key: Option<u64>,
    /// To which dispatcher it is submitted first.
    pub dispatcher: usize,
}

/// Ids name the arrival and how often it had been submitted before.
const MAX_SUBMISSIONS: u64 = 16;

/// The id of an arrival that has been submitted this often before.
pub fn message_id(arrival: u64, attempts: u32) -> MessageId {
    MessageId((arrival + 1) * MAX_SUBMISSIONS + u64::from(attempts))
}
/// The arrival of a message, and how often it had been submitted before.
pub fn arrival_of(message: MessageId) -> (u64, u32) {
    (
        (message.0 / MAX_SUBMISSIONS).saturating_sub(1),
        (message.0 % MAX_SUBMISSIONS) as u32,
    )
}

/// When a message is to come, and for which destination.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Planned {
    at: Nanos,
    destination: usize,
}

/// Messages of a burst that are still to come, and where they go.
#[derive(Default)]
struct CurrentBurst {
    left: usize,
    destination: usize,
}

/// All arrivals of a run in order of time.
pub struct Arrivals {
    plan: Plan,
    rng: Pcg64Mcg,
    classes: WeightedIndex<f64>,
    destinations: WeightedIndex<f64>,
    /// The most that the rate is ever multiplied by.
    peak: f64,
    at: f64,
    /// The rest of the burst that is being drawn.
    current_burst: CurrentBurst,
    /// Drawn and not returned yet.
    ahead: Option<Planned>,
    /// What the experiment's bursts bring, the next one last.
    bursts: Vec<Planned>,
    next: u64,
}

impl Arrivals {
    /// The arrivals of a plan.
    pub fn new(plan: &Plan) -> Arrivals {
        let shares = plan.spec.classes.iter().map(|c| c.share);
        // The shares were checked: none is negative, not all are zero.
        let index = |w: Vec<f64>| WeightedIndex::new(w).expect("shares that are not all zero");
        let burst = |c: &Burst| {
            let space = c.over_s / c.messages.max(1) as f64;
            let (at, destination) = (c.at_s, c.destination);
            (0..c.messages)
                .map(move |i| Planned {
                    at: START + secs(at + space * i as f64),
                    destination,
                })
                .collect::<Vec<_>>()
        };
        let mut bursts: Vec<Planned> = plan.spec.load.bursts.iter().flat_map(burst).collect();
        bursts.retain(|planned| planned.at < plan.load_until);
        bursts.sort_by_key(|planned| Reverse(*planned));
        Arrivals {
            rng: Pcg64Mcg::seed_from_u64(plan.seed ^ 0x6c6f_6164),
            classes: index(shares.collect()),
            destinations: index(plan.load_shares.clone()),
            peak: plan
                .spec
                .load
                .steps
                .iter()
                .map(|s| s.times)
                .fold(1.0, f64::max),
            at: START as f64,
            current_burst: CurrentBurst::default(),
            ahead: None,
            bursts,
            next: 0,
            plan: plan.clone(),
        }
    }

    /// By how much the rate is multiplied at a moment.
    fn times(&self, at: f64) -> f64 {
        let s = (at - START as f64) / 1e9;
        self.plan
            .spec
            .load
            .steps
            .iter()
            .filter(|step| step.at_s <= s)
            .fold(1.0, |before, step| {
                let reached = if step.over_s > 0.0 {
                    ((s - step.at_s) / step.over_s).min(1.0)
                } else {
                    1.0
                };
                before + (step.times - before) * reached
            })
    }

    fn arrival(&mut self, planned: Planned) -> Arrival {
        let Planned { at, destination } = planned;
        let (plan, rng) = (&self.plan, &mut self.rng);
        let (no, class) = (self.next, self.classes.sample(rng));
        self.next += 1;
        let (keys, count) = (
            plan.spec.classes[class].ordered_keys,
            plan.spec.dispatchers.count,
        );
        let key = (keys > 0).then(|| 1 + ((class as u64) << 40) + rng.random_range(0..keys as u64));
        let hot = plan
            .hot
            .iter()
            .find(|span| (span.from..span.to).contains(&at));
        let drawn: f64 = rng.random();
        let any = rng.random_range(0..count);
        let dispatcher = match (key, hot) {
            // A key stays with its dispatcher.
            (Some(key), _) => key as usize % count,
            (None, Some(hot)) if drawn < hot.part => hot.dispatchers[any % hot.dispatchers.len()],
            _ => any,
        };
        Arrival {
            no,
            at,
            class,
            destination,
            key,
            dispatcher,
        }
    }

    /// The next message of the Poisson stream.
    fn draw(&mut self) -> Option<Planned> {
        if self.current_burst.left > 0 {
            self.current_burst.left -= 1;
            return Some(Planned {
                at: self.at as Nanos,
                destination: self.current_burst.destination,
            });
        }
        let (share, size) = (
            self.plan.spec.load.burst_share,
            self.plan.spec.load.burst_size,
        );
        let bursts = share / size as f64;
        let events = self.plan.spec.load.rate * (1.0 - share + bursts);
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at += gap / (events * self.peak) * 1e9;
            if self.at >= self.plan.load_until as f64 {
                return None;
            }
            if self.rng.random::<f64>() * self.peak < self.times(self.at) {
                break;
            }
        }
        let destination = self.destinations.sample(&mut self.rng);
        if self.rng.random::<f64>() < bursts / (1.0 - share + bursts) {
            self.current_burst = CurrentBurst {
                left: size - 1,
                destination,
            };
        }
        Some(Planned {
            at: self.at as Nanos,
            destination,
        })
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.ahead = self.ahead.take().or_else(|| self.draw());
        let first = match (self.ahead, self.bursts.last().copied()) {
            (Some(ahead), Some(burst)) if burst.at < ahead.at => self.bursts.pop(),
            (None, Some(_)) => self.bursts.pop(),
            _ => self.ahead.take(),
        };
        first.map(|planned| self.arrival(planned))
    }
}

/// Why a client may submit a message again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryReason {
    /// Rejected, at its submission or later; with the Retry-After wait if there was one.
    Rejected(Option<Nanos>),
    /// No connection, or no answer in time: another dispatcher is tried.
    NoAnswer,
}

impl RetryReason {
    /// After a notification that it was rejected; a wait of zero is none.
    pub fn rejected_after(wait: Nanos) -> RetryReason {
        RetryReason::Rejected(Some(wait).filter(|wait| *wait > 0))
    }
}

/// When the queue lifetime of an arrival is up.
pub fn deadline(plan: &Plan, arrival: &Arrival) -> Nanos {
    arrival.at + ms(plan.spec.classes[arrival.class].lifetime_ms)
}

/// When a client submits a message again and to which dispatcher, if it still may.
pub fn next_submission(
    plan: &Plan,
    arrival: &Arrival,
    attempts: u32,
    reason: RetryReason,
    now: Nanos,
) -> Option<(Nanos, usize)> {
    let load = &plan.spec.load;
    let drawn = draw(plan.seed, arrival.no, u64::from(attempts), 11);
    let pause = ms(interpolate(load.retry_ms, drawn));
    let (wait, dispatcher) = match reason {
        RetryReason::Rejected(wait) => (wait.unwrap_or(pause).max(MS), arrival.dispatcher),
        RetryReason::NoAnswer => (
            pause,
            (arrival.dispatcher + attempts as usize + 1) % plan.spec.dispatchers.count,
        ),
    };
    (attempts < load.retries && now + wait + 50 * MS < deadline(plan, arrival))
        .then_some((now + wait, dispatcher))
}

/// The value of a message that is delivered this long after its intended submission; 1 is in time.
pub fn delivered_value(class: &Class, delay: Nanos) -> f64 {
    let (late, target) = (delay as f64 / 1e6 - class.target_ms, class.target_ms);
    match () {
        () if delay as f64 / 1e6 >= class.lifetime_ms => 0.0,
        () if late <= 0.0 => 1.0,
        () => 0.5f64.powf(late / target).max(class.late_share),
    }
}
