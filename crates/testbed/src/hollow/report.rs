//! What came of scenarios: figures with their bounds, as Markdown tables.

use super::fleet::{DispatcherUsage, Window};
use super::measure::Usage;
use super::propagation::{IN_FORCE_WITHIN, Propagation};
use hdrhistogram::Histogram;
use std::fmt::Write;
use std::time::Duration;

const MEGABYTE: f64 = 1e6;
const KILOBYTE: f64 = 1e3;
/// Bounds of what a dispatcher's control may use.
const CORE_SHARE: f64 = 0.036;
const RESIDENT_MEGABYTES: f64 = 64.0;
const KILOBYTES_A_SECOND: f64 = 17.0;
/// The share of changes that are to be in force everywhere in time.
const IN_TIME_SHARE: f64 = 0.999;
const QUANTILES: [f64; 5] = [0.5, 0.9, 0.99, 0.999, 1.0];

/// One figure, and whether it keeps its bound where it has one.
#[derive(Clone, Debug)]
pub struct Figure {
    pub name: String,
    pub value: String,
    pub bound: Option<Bound>,
}

#[derive(Clone, Debug)]
pub struct Bound {
    pub text: String,
    pub held: bool,
}

/// What came of one scenario.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub scenario: String,
    pub figures: Vec<Figure>,
}

impl Outcome {
    pub fn new(scenario: &str) -> Self {
        Outcome {
            scenario: scenario.to_string(),
            figures: vec![],
        }
    }

    pub fn tell(&mut self, name: impl Into<String>, value: impl ToString) {
        self.figures.push(Figure {
            name: name.into(),
            value: value.to_string(),
            bound: None,
        });
    }

    /// A figure that has a bound.
    pub fn check(
        &mut self,
        name: impl Into<String>,
        value: impl ToString,
        bound: impl Into<String>,
        held: bool,
    ) {
        let bound = Some(Bound {
            text: bound.into(),
            held,
        });
        self.figures.push(Figure {
            name: name.into(),
            value: value.to_string(),
            bound,
        });
    }

    /// A count that is to be nought.
    pub fn none(&mut self, name: impl Into<String>, count: u64) {
        self.check(name, count, "0", count == 0);
    }

    pub fn held(&self) -> bool {
        self.figures
            .iter()
            .all(|figure| figure.bound.as_ref().is_none_or(|bound| bound.held))
    }

    pub fn markdown(&self) -> String {
        let mut text = format!(
            "### {}\n\n| figure | value | bound | held |\n| --- | --- | --- | --- |\n",
            self.scenario
        );
        for figure in &self.figures {
            let (bound, held) = match &figure.bound {
                Some(bound) => (
                    bound.text.as_str(),
                    if bound.held { "yes" } else { "**no**" },
                ),
                None => ("", ""),
            };
            // A string takes what is written to it.
            let value = figure.value.replace('|', "/");
            let _ = writeln!(text, "| {} | {value} | {bound} | {held} |", figure.name);
        }
        text
    }
}

pub fn seconds(span: Duration) -> String {
    format!("{:.2} s", span.as_secs_f64())
}

/// A time that may not have come.
pub fn seconds_or_never(span: Option<Duration>) -> String {
    span.map_or("not in time".to_string(), seconds)
}

pub fn megabytes(bytes: u64) -> String {
    format!("{:.1} MB", bytes as f64 / MEGABYTE)
}

pub fn kilobytes(bytes: u64) -> String {
    format!("{:.1} KB", bytes as f64 / KILOBYTE)
}

fn milliseconds(histogram: &Histogram<u64>) -> String {
    if histogram.is_empty() {
        return "none".to_string();
    }
    let at = |q: f64| format!("{:.1}", histogram.value_at_quantile(q) as f64 / 1e3);
    QUANTILES.map(at).join(" / ")
}

/// What a phase's changes came to.
pub fn tell_propagation(outcome: &mut Outcome, propagation: &Propagation) {
    let quantiles = "p50 / p90 / p99 / p99.9 / max, ms";
    outcome.tell("changes written", propagation.changes());
    outcome.none("writes refused", propagation.refused_writes.len() as u64);
    if let Some(what) = propagation.refused_writes.first() {
        outcome.tell("the first refusal", what);
    }
    outcome.tell(
        format!("write answered: {quantiles}"),
        milliseconds(&propagation.writes),
    );
    outcome.tell(
        format!("in force at each holder: {quantiles}"),
        milliseconds(&propagation.to_each),
    );
    outcome.tell(
        format!("in force at the last holder: {quantiles}"),
        milliseconds(&propagation.to_last),
    );
    let share = propagation.share_in_time();
    let within = Duration::from_nanos(IN_FORCE_WITHIN).as_secs();
    outcome.check(
        format!("share in force everywhere within {within} s"),
        format!("{share:.4}"),
        format!(">= {IN_TIME_SHARE}"),
        share >= IN_TIME_SHARE,
    );
    outcome.none(
        "lost: not in force at some holder in the end",
        propagation.pending() as u64,
    );
    outcome.none("without a holder when written", propagation.without_holder);
    outcome.none(
        "told under another version than the write's",
        propagation.wrong_versions() as u64,
    );
}

/// What the processes of each role used.
pub fn tell_usage(outcome: &mut Outcome, window: &Window) {
    tell_dispatchers(outcome, window);
    tell_control(outcome, "writer", std::slice::from_ref(&window.writer));
    tell_control(outcome, "followers", &window.followers);
}

fn tell_dispatchers(outcome: &mut Outcome, window: &Window) {
    let all = &window.dispatchers;
    let count = all.len().max(1) as f64;
    let mean_cores = all.iter().map(|usage| usage.cores).sum::<f64>() / count;
    let most_cores = all.iter().map(|usage| usage.cores).fold(0.0, f64::max);
    outcome.check(
        "processor of a dispatcher: mean, mean of the busiest worker",
        format!(
            "{:.3}%, {:.3}% of a core",
            mean_cores * 100.0,
            most_cores * 100.0
        ),
        format!("<= {:.1}%", CORE_SHARE * 100.0),
        most_cores <= CORE_SHARE,
    );
    let resident = |usage: &DispatcherUsage| usage.resident_bytes as f64 / MEGABYTE;
    let mean_resident = all.iter().map(resident).sum::<f64>() / count;
    let most_resident = all.iter().map(resident).fold(0.0, f64::max);
    outcome.check(
        "memory of a dispatcher beyond an empty process: mean, mean of the largest worker",
        format!("{mean_resident:.2} MB, {most_resident:.2} MB"),
        format!("<= {RESIDENT_MEGABYTES} MB"),
        most_resident <= RESIDENT_MEGABYTES,
    );
    let traffic = &window.traffic;
    outcome.check(
        "bytes to a dispatcher: mean",
        format!("{:.3} KB/s", traffic.mean() / KILOBYTE),
        format!("<= {KILOBYTES_A_SECOND} KB/s"),
        traffic.mean() / KILOBYTE <= KILOBYTES_A_SECOND,
    );
    let p99 = traffic.quantile(0.99) as f64 / KILOBYTE;
    outcome.tell(
        "bytes to a dispatcher in a second: p99",
        format!("{p99:.3} KB"),
    );
    let largest = traffic.largest_three_seconds as f64 / KILOBYTE;
    outcome.check(
        "bytes to a dispatcher: largest 3 s of any, and a second of it",
        format!("{largest:.1} KB, {:.2} KB/s", largest / 3.0),
        format!("<= {KILOBYTES_A_SECOND} KB/s"),
        largest / 3.0 <= KILOBYTES_A_SECOND,
    );
}

fn tell_control(outcome: &mut Outcome, role: &str, usages: &[Usage]) {
    if usages.is_empty() {
        return;
    }
    let mean = usages.iter().map(|usage| usage.cores).sum::<f64>() / usages.len() as f64;
    let most = usages.iter().map(|usage| usage.cores).fold(0.0, f64::max);
    let resident = usages
        .iter()
        .map(|usage| usage.largest_resident_bytes)
        .max()
        .unwrap_or(0);
    outcome.tell(
        format!("{role}: processor mean, most; memory of the largest"),
        format!(
            "{:.1}%, {:.1}% of a core; {}",
            mean * 100.0,
            most * 100.0,
            megabytes(resident)
        ),
    );
}
