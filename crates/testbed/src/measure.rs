//! What a run comes to: delivered importance over time, latencies with their whole distribution, and counts. Fed with the
//! same [`Observation`] as the auditor. Times count from the moment at which a message was meant to be submitted first.

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

/// The span of one point of the curves.
pub const BUCKET: Nanos = 500 * MS;

/// A whole distribution: the value up to which each step counts, in microseconds, with how many there are in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// How many values there are.
    pub count: u64,
    /// Their mean.
    pub mean_us: f64,
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The 99.9th percentile.
    pub p999_us: u64,
    /// The largest.
    pub max_us: u64,
    /// The steps, the smallest value first.
    pub steps: Vec<(u64, u64)>,
}

/// Two significant digits, up to an hour.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 2).expect("bounds that hold")
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
    /// The value under which this share of all lies, in milliseconds.
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

/// What came of a queue class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassResult {
    /// The class.
    pub name: String,
    /// The importance of its messages.
    pub asked: f64,
    /// The importance that was delivered.
    pub delivered: f64,
    /// From the intended submission to the answer of the endpoint.
    pub latency: Spread,
    /// Messages that were delivered after their latency objective.
    pub late: u64,
    /// Messages that failed after they had been accepted.
    pub bounced: u64,
    /// Messages that were rejected after they had been accepted.
    pub deferred: u64,
}

/// The part of the importance asked for that was delivered; all of it where nothing was asked for.
fn part(delivered: f64, asked: f64) -> f64 {
    if asked > 0.0 { delivered / asked } else { 1.0 }
}

impl ClassResult {
    /// The part of its importance that was delivered.
    pub fn share(&self) -> f64 {
        part(self.delivered, self.asked)
    }
}

/// One point of the curves; counts of what happened in the span, importance by the moment of the intended submission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Messages that were meant to be submitted for the first time.
    pub arrivals: u64,
    /// Their importance.
    pub asked: f64,
    /// What of that was delivered.
    pub delivered: f64,
    /// Calls that came to endpoints.
    pub calls: u64,
    /// Calls that were rejected for a limit or a full queue.
    pub refused: u64,
    /// Calls with an error or an unreadable answer.
    pub errors: u64,
    /// Calls whose connection was closed before an answer.
    pub unanswered: u64,
    /// Connections to endpoints.
    pub opened: u64,
    /// Submissions that were rejected.
    pub turned_away: u64,
    /// Messages that were rejected after they had been accepted.
    pub deferred: u64,
    /// Messages that failed after they had been accepted.
    pub bounced: u64,
}

/// What a run comes to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Messages that clients meant to submit.
    pub arrivals: u64,
    /// Submissions, repeated ones too.
    pub handed_in: u64,
    /// The importance of all messages.
    pub asked: f64,
    /// What of that was delivered.
    pub delivered: f64,
    /// Delivered over asked, in the whole run, in its worst 10 s and of the worst class.
    pub share: f64,
    /// The same in the worst 10 s.
    pub worst_span: f64,
    /// The same of the worst class.
    pub worst_class: f64,
    /// By queue class.
    pub classes: Vec<ClassResult>,
    /// From the intended submission to the dispatcher's answer to it.
    #[serde(rename = "hand_in")]
    pub submission_latency: Spread,
    /// The curves over time.
    pub points: Vec<Point>,
    /// Calls that came to endpoints.
    pub calls: u64,
    /// Calls that were rejected for a limit or a full queue.
    pub refused: u64,
    /// Connections to endpoints.
    pub opened: u64,
    /// Submissions that were rejected.
    pub turned_away: u64,
    /// Submissions whose client did not get an answer.
    pub no_answer: u64,
    /// The largest number of calls of any endpoint, over the mean of its destination's endpoints; zero with no calls.
    #[serde(default)]
    pub largest_over_mean: f64,
}

struct State {
    at: Nanos,
    class: u16,
    relayed: bool,
}

/// Measures a run from what is observed of it.
pub struct Measure {
    classes: Vec<Class>,
    arrivals: Vec<State>,
    calls: HashMap<CallNumber, MessageId>,
    unheard: HashSet<MessageId>,
    /// Calls by endpoint, and the destination of each endpoint.
    calls_by_endpoint: Vec<u64>,
    destinations: Vec<usize>,
    latency: Vec<Histogram<u64>>,
    submission_latency: Histogram<u64>,
    results: Results,
}

impl Measure {
    /// The measurements of a run that has not begun.
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
            unheard: HashSet::new(),
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

    /// Arrivals come in their order, each once, whatever becomes of it.
    pub fn arrived(&mut self, arrival: &Arrival) {
        let importance = self.classes[arrival.class].importance;
        self.arrivals.push(State {
            at: arrival.at,
            class: arrival.class as u16,
            relayed: false,
        });
        self.results.arrivals += 1;
        self.results.classes[arrival.class].asked += importance;
        let point = self.point(arrival.at);
        point.arrivals += 1;
        point.asked += importance;
    }

    /// A connection to an endpoint was opened.
    pub fn opened(&mut self, at: Nanos) {
        self.results.opened += 1;
        self.point(at).opened += 1;
    }

    fn meant_at(&self, message: MessageId) -> Option<(Nanos, usize)> {
        self.arrivals
            .get(arrival_of(message).0 as usize)
            .map(|a| (a.at, a.class as usize))
    }

    /// The answer to a submission has come, this long after the submission was meant to be made.
    pub fn submission_answered(&mut self, span: Nanos) {
        record(&mut self.submission_latency, span);
    }

    /// Takes in an observation.
    pub fn observe(&mut self, at: Nanos, observation: &Observation) {
        match observation {
            Observation::Submitted(_) => self.results.handed_in += 1,
            Observation::Rejected { .. } => {
                self.results.turned_away += 1;
                self.point(at).turned_away += 1;
            }
            Observation::Abandoned { message } => {
                self.results.no_answer += 1;
                self.unheard.insert(*message);
            }
            Observation::Call {
                call,
                message,
                endpoint,
                ..
            } => {
                self.calls.insert(*call, *message);
                // Endpoints that come later in a run are not compared: they had less time.
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
                        .for_each(|message| self.relayed(at, message)),
                }
            }
            Observation::ConnectionClosed { call, .. } if self.calls.remove(call).is_some() => {
                self.point(at).unanswered += 1
            }
            Observation::Notified {
                message,
                retry_after: deferred,
            } => {
                let Some((_, class)) = self.meant_at(*message) else {
                    return;
                };
                match deferred {
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

    fn relayed(&mut self, at: Nanos, message: MessageId) {
        let Some(state) = self.arrivals.get_mut(arrival_of(message).0 as usize) else {
            return;
        };
        if self.unheard.contains(&message) || std::mem::replace(&mut state.relayed, true) {
            return;
        }
        let (meant, class) = (state.at, state.class as usize);
        let delay = at.saturating_sub(meant);
        let row = &self.classes[class];
        let worth = row.importance * delivered_value(row, delay);
        let late = delay > ms(row.target_ms);
        record(&mut self.latency[class], delay);
        self.results.classes[class].delivered += worth;
        self.results.classes[class].late += u64::from(late);
        self.point(meant).delivered += worth;
    }

    /// The largest share of an endpoint among those of its destination, where 1 is an even one.
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

    /// The results once the run is over.
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
        r.share = part(r.delivered, r.asked);
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
            part(sums.1, sums.0)
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
