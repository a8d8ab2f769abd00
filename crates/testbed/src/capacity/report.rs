//! What a capacity run measured: series of points with their fits, and findings; as JSON and as text.

use super::fit::{BadPoints, Fit, Point};
use serde::{Deserialize, Serialize};
use std::fmt::Write;

/// What a series measures. The name in JSON is the name here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SeriesId {
    MemoryByKnown,
    PeakMemoryByKnown,
    StartTimeByKnown,
    MessageTimeByKnown,
    MessageTimeByHeld,
    MessageTimeByDown,
    DecisionTimeByKnown,
    DecisionTimeByHeld,
    DecisionTimeByDown,
    WholeBytesByKnown,
    WholeTimeByKnown,
    ChangeBytesByKnown,
    ChangeTimeByKnown,
    MemoryByHeld,
    JournalByHeld,
    RestartTimeByHeld,
    RestartBytesByHeld,
    WastedByDispatchers,
}

/// The words and units of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SeriesText {
    pub title: &'static str,
    pub size: &'static str,
    pub value: &'static str,
}

impl SeriesId {
    /// How the series is named and what its units are.
    pub fn text(self) -> SeriesText {
        let (title, size, value) = match self {
            SeriesId::MemoryByKnown => (
                "memory of a process after its start",
                "destinations known",
                "bytes",
            ),
            SeriesId::PeakMemoryByKnown => (
                "largest memory during the start",
                "destinations known",
                "bytes",
            ),
            SeriesId::StartTimeByKnown => (
                "time from spawn to the first answer",
                "destinations known",
                "us",
            ),
            SeriesId::MessageTimeByKnown => {
                ("processor time a message", "destinations known", "us")
            }
            SeriesId::MessageTimeByHeld => (
                "processor time a message",
                "messages held for one destination",
                "us",
            ),
            SeriesId::MessageTimeByDown => (
                "processor time a message",
                "destinations down, a message held for each",
                "us",
            ),
            SeriesId::DecisionTimeByKnown => {
                ("decisions alone, a message", "destinations known", "us")
            }
            SeriesId::DecisionTimeByHeld => (
                "decisions alone, a message",
                "messages held for one destination",
                "us",
            ),
            SeriesId::DecisionTimeByDown => (
                "decisions alone, a message",
                "destinations down, a message held for each",
                "us",
            ),
            SeriesId::WholeBytesByKnown => {
                ("whole list on the wire", "destinations known", "bytes")
            }
            SeriesId::WholeTimeByKnown => (
                "processor time of a whole list that changes nothing",
                "destinations known",
                "us",
            ),
            SeriesId::ChangeBytesByKnown => (
                "change of one destination on the wire",
                "destinations known",
                "bytes",
            ),
            SeriesId::ChangeTimeByKnown => (
                "processor time of a change of one destination",
                "destinations known",
                "us",
            ),
            SeriesId::MemoryByHeld => ("memory of a process", "messages held", "bytes"),
            SeriesId::JournalByHeld => ("length of the journal", "messages held", "bytes"),
            SeriesId::RestartTimeByHeld => {
                ("time from spawn to the first answer", "messages held", "us")
            }
            SeriesId::RestartBytesByHeld => ("bytes read at a restart", "messages held", "bytes"),
            SeriesId::WastedByDispatchers => (
                "first attempts made at destinations that are down",
                "log10 of the dispatchers",
                "share",
            ),
        };
        SeriesText { title, size, value }
    }
}

/// One quantity at several sizes, and the line through it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub id: SeriesId,
    pub points: Vec<Point>,
    pub fit: Fit,
}

impl Series {
    /// A series with its line fitted.
    pub fn fitted(id: SeriesId, points: Vec<Point>) -> Result<Series, BadPoints> {
        let fit = Fit::through(&points)?;
        Ok(Series { id, points, fit })
    }
}

/// Under what conditions a run was made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Conditions {
    pub cores: usize,
    pub machine_memory_bytes: u64,
    /// Runnable tasks on the machine on average over a minute, before and after: other work shows here.
    pub load_before: f64,
    pub load_after: f64,
    pub wall_seconds: f64,
    /// The largest memory of the laboratory's own process.
    pub own_peak_bytes: f64,
    pub body_bytes: usize,
    pub messages_per_second: f64,
}

/// Something seen at one size, which is no slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Finding {
    /// A whole list came as one line over the watch; how many destinations the dispatcher then knew.
    WholeLine {
        sent: u32,
        bytes: u64,
        known_after: u64,
    },
    /// One start far beyond the fitted sizes, and what the fits say of it.
    LargeStart {
        known: u32,
        memory_bytes: f64,
        memory_fitted: f64,
        peak_bytes: f64,
        start_us: f64,
        start_fitted: f64,
    },
    /// Of the messages for destinations that are down, the share that an attempt was made for at once.
    WastedOfDown { dispatchers: u32, share: f64 },
}

/// All that a run measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    pub conditions: Conditions,
    pub series: Vec<Series>,
    pub findings: Vec<Finding>,
}

/// A series that a saved run does not have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MissingSeries(pub SeriesId);

impl std::fmt::Display for MissingSeries {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "the run has no series {:?}", self.0)
    }
}

impl std::error::Error for MissingSeries {}

impl Capacity {
    /// The line through a series.
    pub fn fit(&self, id: SeriesId) -> Result<Fit, MissingSeries> {
        self.series
            .iter()
            .find(|series| series.id == id)
            .map(|series| series.fit)
            .ok_or(MissingSeries(id))
    }

    /// The value measured at the largest size of a series.
    pub fn largest(&self, id: SeriesId) -> Result<Point, MissingSeries> {
        let series = self.series.iter().find(|series| series.id == id);
        let points = series.iter().flat_map(|series| &series.points);
        points
            .copied()
            .max_by(|a, b| a.size.total_cmp(&b.size))
            .ok_or(MissingSeries(id))
    }

    /// The measured series as a Markdown table.
    pub fn series_table(&self) -> String {
        let mut text = String::from("| measured | by | points | slope ± 95 % | at nought |\n");
        text.push_str("| --- | --- | --- | --- | --- |\n");
        for series in &self.series {
            let words = series.id.text();
            let points: Vec<String> = series.points.iter().map(point_text).collect();
            let _ = writeln!(
                text,
                "| {}, {} | {} | {} | {} ± {} | {} |",
                words.title,
                words.value,
                words.size,
                points.join("; "),
                figure(series.fit.slope),
                figure(series.fit.slope_error),
                figure(series.fit.intercept),
            );
        }
        text
    }
}

fn point_text(point: &Point) -> String {
    format!("{}: {}", count(point.size), figure(point.value))
}

/// A figure with three significant digits, thousands in groups.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    let places = 2 - value.abs().log10().floor() as i32;
    if !value.is_finite() {
        return value.to_string();
    }
    if places > 6 {
        return format!("{value:.2e}");
    }
    let rounded = if places < 0 {
        (value / 10f64.powi(-places)).round() * 10f64.powi(-places)
    } else {
        value
    };
    let text = format!("{rounded:.*}", places.max(0) as usize);
    grouped(&text)
}

/// A whole number with all its digits, others with three.
pub fn count(value: f64) -> String {
    match value.fract() == 0.0 {
        true => grouped(&format!("{value:.0}")),
        false => figure(value),
    }
}

fn grouped(text: &str) -> String {
    let (whole, rest) = text
        .split_once('.')
        .map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let (sign, digits) = whole
        .strip_prefix('-')
        .map_or(("", whole), |digits| ("-", digits));
    let groups: Vec<&str> = digits
        .as_bytes()
        .rchunks(3)
        .rev()
        .filter_map(|group| std::str::from_utf8(group).ok())
        .collect();
    let rest = rest.map_or(String::new(), |rest| format!(".{rest}"));
    format!("{sign}{}{rest}", groups.join(","))
}
