//! The measurements of a run: delivered importance over time, latency distributions and counts, taken from the same
//! [`Observation`]s as the auditor's. Latencies count from the intended time of the first submission.

use crate::load::{Arrival, arrival_of, delivered_value};
use crate::record::{CallNumber, Observation};
use crate::spec::Class;
use crate::world::Answer;
use crate::world::plan::Plan;
use crate::world::time::{MS, S, START, ms};
use bellsill_core::interface::{MessageId, Nanos};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// The interval that one point of the curves covers.
pub const BUCKET: Nanos = 500 * MS;

/// A latency distribution, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The number of values.
    pub count: u64,
    /// The mean.
    pub mean_us: f64,
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The maximum.
    pub max_us: u64,
    /// The histogram's non-empty steps, ascending: the upper bound of each and the number of values in it.
    pub steps: Vec<(u64, u64)>,
}

/// A histogram with two significant digits and values of up to one hour.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("valid histogram bounds")
}

fn record(h: &mut Histogram<u64>, span: Nanos) {
    h.saturating_record((span / 1_000).max(1));
}

impl Spread {
    /// The distribution of a histogram.
    pub fn of(h: &Histogram<u64>) -> Spread {
        Spread {
            count: h.len(),
            mean_us: if h.is_empty() { 0.0 } else { h.mean() },
            p50_us: h.value_at_quantile(0.5),
            p90_us: h.value_at_quantile(0.9),
            p99_us: h.value_at_quantile(0.99),
            p999_us: h.value_at_quantile(0.999),
            max_us: h.max(),
            steps: h
                .iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .collect(),
        }
    }
    /// The quantile at `share`, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut left = (self.count as f64 * share).ceil().max(1.0) as u64;
        for (value, count) in &self.steps {
            if *count >= left {
                return *value as f64 / 1e3;
            }
            left -= count;
        }
        self.max_us as f64 / 1e3
    }
}

/// The results of a queue class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// The name of the class.
    pub name: String,
    /// The total importance of its messages.
    pub asked: f64,
    /// The importance that was delivered, reduced for late deliveries.
    pub delivered: f64,
    /// From the intended submission to the endpoint's response.
    pub latency: Spread,
    /// Messages delivered after their latency objective.
    pub late: u64,
    /// Accepted messages that failed later.
    pub bounced: u64,
    /// Accepted messages that were rejected later.
    pub deferred: u64,
}

/// The fraction of the submitted importance that was delivered; 1 if there was none.
fn delivered_share(delivered: f64, asked: f64) -> f64 {
    if asked > 0.0 { delivered / asked } else { 1.0 }
}

impl ClassResult {
    /// The fraction of its importance that was delivered.
    pub fn share(&self) -> f64 {
        delivered_share(self.delivered, self.asked)
    }
}

/// One point of the curves. Counts are of events within the interval; importance is attributed to the intended submission
/// time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Messages whose intended first submission is in the interval.
    pub arrivals: u64,
    /// The total importance of these messages.
    pub asked: f64,
    /// The importance of these that was delivered.
    pub delivered: f64,
    /// Calls received by endpoints.
    pub calls: u64,
    /// Calls rejected because of a rate limit or a full queue.
    pub refused: u64,
    /// Calls with a server error or a malformed response.
    pub errors: u64,
    /// Calls whose connection was closed before a response.
    pub unanswered: u64,
    /// Connections opened to endpoints.
    pub opened: u64,
    /// Rejected submissions.
    pub turned_away: u64,
    /// Accepted messages that were rejected later.
    pub deferred: u64,
    /// Accepted messages that failed later.
    pub bounced: u64,
}

/// The results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Messages that were to be submitted by clients.
    pub arrivals: u64,
    /// Submissions, including repeated ones.
    pub handed_in: u64,
    /// The importance of all messages.
    pub asked: f64,
    /// The importance of these that was delivered.
    pub delivered: f64,
    /// The fraction of importance delivered, over the whole run.
    pub share: f64,
    /// The fraction of importance delivered in the worst 10 s.
    pub worst_span: f64,
    /// The fraction of importance delivered of the worst class.
    pub worst_class: f64,
    /// The results by queue class.
    pub classes: Vec<ClassResult>,
    /// From the intended submission to the dispatcher's reply.
    #[serde(rename = "hand_in")]
    pub submission_latency: Spread,
    /// The curves over time.
    pub points: Vec<Point>,
    /// Calls received by endpoints.
    pub calls: u64,
    /// Calls rejected because of a rate limit or a full queue.
    pub refused: u64,
    /// Connections opened to endpoints.
    pub opened: u64,
    /// Rejected submissions.
    pub turned_away: u64,
    /// Submissions without a reply to the client.
    pub no_answer: u64,
    /// The largest ratio of an endpoint's calls to the mean of its destination's endpoints; zero without calls.
    #[serde(default)]
    pub largest_over_mean: f64,
}

struct ArrivalState {
    at: Nanos,
    class: u16,
    delivered: bool,
}

/// Computes the results of a run from its observations.
pub struct Measure {
    classes: Vec<Class>,
    arrivals: Vec<ArrivalState>,
    calls: HashMap<CallNumber, MessageId>,
    abandoned: HashSet<MessageId>,
    /// The number of calls by endpoint; `destinations` holds the destination of each.
    calls_by_endpoint: Vec<u64>,
    destinations: Vec<usize>,
    latency: Vec<Histogram<u64>>,
    submission_latency: Histogram<u64>,
    results: Results,
}

impl Measure {
    /// Empty measurements for a run of `plan`.
    pub fn new(plan: &Plan) -> Measure {
        let classes = plan.spec.classes.clone();
        let points = ((plan.run_ends_at - START) / BUCKET + 2) as usize;
        let row = |c: &Class| ClassResult {
            name: c.name.clone(),
            ..Default::default()
        };
        Measure {
            latency: classes.iter().map(|_| histogram()).collect(),
            submission_latency: histogram(),
            arrivals: vec![],
            calls: HashMap::new(),
            abandoned: HashSet::new(),
            calls_by_endpoint: vec![0; plan.endpoints.len()],
            destinations: plan
                .endpoints
                .iter()
                .map(|endpoint| endpoint.destination)
                .collect(),
            results: Results {
                classes: classes.iter().map(row).collect(),
                points: vec![Point::default(); points],
                ..Default::default()
            },
            classes,
        }
    }

    fn point(&mut self, at: Nanos) -> &mut Point {
        let i = ((at.saturating_sub(START) / BUCKET) as usize).min(self.results.points.len() - 1);
        &mut self.results.points[i]
    }

    /// Records an arrival. Every arrival has to be passed exactly once, in order, whatever its outcome.
    pub fn arrived(&mut self, arrival: &Arrival) {
        let importance = self.classes[arrival.class].importance;
        self.arrivals.push(ArrivalState {
            at: arrival.at,
            class: arrival.class as u16,
            delivered: false,
        });
        self.results.arrivals += 1;
        self.results.classes[arrival.class].asked += importance;
        let point = self.point(arrival.at);
        point.arrivals += 1;
        point.asked += importance;
    }

    /// Records a new connection to an endpoint.
    pub fn opened(&mut self, at: Nanos) {
        self.results.opened += 1;
        self.point(at).opened += 1;
    }

    fn intended_submission(&self, message: MessageId) -> Option<(Nanos, usize)> {
        self.arrivals
            .get(arrival_of(message).0 as usize)
            .map(|a| (a.at, a.class as usize))
    }

    /// Records a dispatcher's reply to a submission, `span` after the intended submission time.
    pub fn submission_answered(&mut self, span: Nanos) {
        record(&mut self.submission_latency, span);
    }

    /// Records an observation.
    pub fn observe(&mut self, at: Nanos, observation: &Observation) {
        match observation {
            Observation::Submitted(_) => self.results.handed_in += 1,
            Observation::Rejected { .. } => {
                self.results.turned_away += 1;
                self.point(at).turned_away += 1;
            }
            Observation::Abandoned { message } => {
                self.results.no_answer += 1;
                self.abandoned.insert(*message);
            }
            Observation::Call {
                call,
                message,
                endpoint,
                ..
            } => {
                self.calls.insert(*call, *message);
                // Endpoints added during the run are excluded from the comparison: they had less time to receive calls.
                if let Some(calls) = self.calls_by_endpoint.get_mut(endpoint.0 as usize) {
                    *calls += 1;
                }
                self.results.calls += 1;
                self.point(at).calls += 1;
            }
            Observation::Answered { call, answer } => {
                let message = self.calls.remove(call);
                match answer {
                    Answer::RateLimited(_) => {
                        self.results.refused += 1;
                        self.point(at).refused += 1;
                    }
                    Answer::ServerError | Answer::Malformed => self.point(at).errors += 1,
                    Answer::Delivered => message
                        .into_iter()
                        .for_each(|message| self.record_delivery(at, message)),
                }
            }
            Observation::ConnectionClosed { call, .. } if self.calls.remove(call).is_some() => {
                self.point(at).unanswered += 1
            }
            Observation::Notified {
                message,
                retry_after,
            } => {
                let Some((_, class)) = self.intended_submission(*message) else {
                    return;
                };
                match retry_after {
                    Some(_) => {
                        self.results.classes[class].deferred += 1;
                        self.point(at).deferred += 1;
                    }
                    None => {
                        self.results.classes[class].bounced += 1;
                        self.point(at).bounced += 1;
                    }
                }
            }
            _ => {}
        }
    }

    fn record_delivery(&mut self, at: Nanos, message: MessageId) {
        let Some(state) = self.arrivals.get_mut(arrival_of(message).0 as usize) else {
            return;
        };
        if self.abandoned.contains(&message) || std::mem::replace(&mut state.delivered, true) {
            return;
        }
        let (intended_at, class) = (state.at, state.class as usize);
        let delay = at.saturating_sub(intended_at);
        let row = &self.classes[class];
        let value = row.importance * delivered_value(row, delay);
        let late = delay > ms(row.target_ms);
        record(&mut self.latency[class], delay);
        self.results.classes[class].delivered += value;
        self.results.classes[class].late += u64::from(late);
        self.point(intended_at).delivered += value;
    }

    /// The largest ratio of an endpoint's calls to the mean of its destination's endpoints.
    fn largest_over_mean(&self) -> f64 {
        let mut by_destination: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        for (&destination, &calls) in self.destinations.iter().zip(&self.calls_by_endpoint) {
            by_destination.entry(destination).or_default().push(calls);
        }
        let of = |calls: &Vec<u64>| {
            let mean = calls.iter().sum::<u64>() as f64 / calls.len() as f64;
            if mean > 0.0 {
                calls.iter().copied().max().unwrap_or(0) as f64 / mean
            } else {
                0.0
            }
        };
        by_destination.values().map(of).fold(0.0, f64::max)
    }

    /// Computes the results at the end of the run.
    pub fn finish(mut self) -> Results {
        self.results.largest_over_mean = self.largest_over_mean();
        let r = &mut self.results;
        for (row, h) in r.classes.iter_mut().zip(&self.latency) {
            row.latency = Spread::of(h);
        }
        r.submission_latency = Spread::of(&self.submission_latency);
        (r.asked, r.delivered) = r
            .points
            .iter()
            .fold((0.0, 0.0), |s, p| (s.0 + p.asked, s.1 + p.delivered));
        r.share = delivered_share(r.delivered, r.asked);
        let span = (10 * S / BUCKET) as usize;
        let loaded = r
            .points
            .iter()
            .rposition(|p| p.asked > 0.0)
            .map_or(0, |i| i + 1);
        let of = |points: &[Point]| {
            let sums = points
                .iter()
                .fold((0.0, 0.0), |s, p| (s.0 + p.asked, s.1 + p.delivered));
            delivered_share(sums.1, sums.0)
        };
        r.worst_span = r.points[..loaded]
            .windows(span.min(loaded.max(1)))
            .map(of)
            .fold(1.0, f64::min);
        r.worst_class = r.classes.iter().map(ClassResult::share).fold(1.0, f64::min);
        r.points.truncate(
            r.points
                .iter()
                .rposition(|p| *p != Point::default())
                .map_or(0, |i| i + 1),
        );
        self.results
    }
}
