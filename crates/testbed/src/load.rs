//! The load generator: arrivals drawn from the seed, and the clients' retry policy. The load is open-loop: arrivals don't
//! wait for earlier replies, and latencies count from the intended submission time.

use crate::spec::{Burst, Class};
use crate::world::draw::{draw, interpolate};
use crate::world::plan::Plan;
use crate::world::time::{MS, START, ms, secs};
use bellsill_core::interface::{MessageId, Nanos};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, weighted::WeightedIndex};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;

/// A message to be submitted by a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The arrival's index, from zero; also the idempotency key of all its submissions.
    pub no: u64,
    /// The intended time of the first submission.
    pub at: Nanos,
    /// Its queue class.
    pub class: usize,
    /// Its destination.
    pub destination: usize,
    /// Messages with the same key are delivered in order.
    pub key: Option<u64>,
    /// The dispatcher that receives the first submission.
    pub dispatcher: usize,
}

/// A message id encodes the arrival and its number of earlier submissions, which is below this.
const MAX_SUBMISSIONS: u64 = 16;

/// The message id of an arrival that has been submitted `attempts` times before.
pub fn message_id(arrival: u64, attempts: u32) -> MessageId {
    MessageId((arrival + 1) * MAX_SUBMISSIONS + u64::from(attempts))
}
/// The arrival index of a message id, and the number of earlier submissions.
pub fn arrival_of(message: MessageId) -> (u64, u32) {
    (
        (message.0 / MAX_SUBMISSIONS).saturating_sub(1),
        (message.0 % MAX_SUBMISSIONS) as u32,
    )
}

/// The time and destination of a message that is not yet completely drawn.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Planned {
    at: Nanos,
    destination: usize,
}

/// The remaining messages of a burst, and their destination.
#[derive(Default)]
struct CurrentBurst {
    left: usize,
    destination: usize,
}

/// An iterator over all arrivals of a run in order of time.
pub struct Arrivals {
    plan: Plan,
    rng: Pcg64Mcg,
    classes: WeightedIndex<f64>,
    destinations: WeightedIndex<f64>,
    /// The largest factor on the rate during the run.
    peak: f64,
    at: f64,
    /// The burst that is being drawn from the random stream.
    current_burst: CurrentBurst,
    /// The next message of the random stream, if already drawn.
    ahead: Option<Planned>,
    /// The messages of the experiment's configured bursts, in reverse order of time.
    bursts: Vec<Planned>,
    next: u64,
}

impl Arrivals {
    /// The arrivals of a plan.
    pub fn new(plan: &Plan) -> Arrivals {
        let shares = plan.spec.classes.iter().map(|c| c.share);
        // The specification's checks ensure that no share is negative and not all are zero.
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

    /// The factor on the rate at a given time.
    fn rate_factor(&self, at: f64) -> f64 {
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
            // All messages with the same key go to the same dispatcher.
            (Some(key), _) => key as usize % count,
            (None, Some(hot)) if drawn < hot.share => hot.dispatchers[any % hot.dispatchers.len()],
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

    /// Draws the next message of the Poisson process, by thinning a process at the peak rate.
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
            if self.rng.random::<f64>() * self.peak < self.rate_factor(self.at) {
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
    /// Rejected on submission or later, with the Retry-After delay if there is one.
    Rejected(Option<Nanos>),
    /// No connection, or no reply in time; the client tries another dispatcher.
    NoAnswer,
}

impl RetryReason {
    /// The reason after a rejection notification; a delay of zero counts as none.
    pub fn rejected_after(wait: Nanos) -> RetryReason {
        RetryReason::Rejected(Some(wait).filter(|wait| *wait > 0))
    }
}

/// The time at which the queue lifetime of an arrival expires.
pub fn deadline(plan: &Plan, arrival: &Arrival) -> Nanos {
    arrival.at + ms(plan.spec.classes[arrival.class].lifetime_ms)
}

/// The time and dispatcher of a client's next submission, or `None` if retries or lifetime are exhausted.
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

/// The fraction of its value that a message keeps when delivered `delay` after its intended submission; 1 if on time.
pub fn delivered_value(class: &Class, delay: Nanos) -> f64 {
    let (late, target) = (delay as f64 / 1e6 - class.target_ms, class.target_ms);
    match () {
        () if delay as f64 / 1e6 >= class.lifetime_ms => 0.0,
        () if late <= 0.0 => 1.0,
        () => 0.5f64.powf(late / target).max(class.late_share),
    }
}
