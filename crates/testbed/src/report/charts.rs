//! The charts of a report.

use super::curves::{
    by_dispatcher, curve, latency_curve, over_time, per_second, percentile_label, time,
};
use super::plot::{Chart, Line, Span};
use crate::cost::Usage;
use crate::measure::Point;
use crate::run::RunLine;
use crate::world::time::START;

/// Settings that all charts over time share.
struct TimeAxis<'a> {
    spans: &'a [Span],
    x_to: f64,
}

impl<'a> TimeAxis<'a> {
    fn chart(&self, title: &'a str, y: &'a str, lines: Vec<Line>, y_top: f64) -> Chart<'a> {
        Chart {
            title,
            x: "seconds",
            y,
            lines,
            spans: self.spans,
            levels: vec![],
            y_log: false,
            y_top,
            x_to: self.x_to,
            x_formatter: None,
        }
    }
}

/// All charts of an experiment, in the order of the report.
pub(super) fn charts<'a>(runs: &[&RunLine], spans: &'a [Span]) -> Vec<Chart<'a>> {
    let x_to = runs
        .iter()
        .map(|r| time(r.results.points.len()))
        .fold(0.0, f64::max);
    let time_axis = TimeAxis { spans, x_to };
    let mut charts = rates(&time_axis, runs);
    charts.extend(cold_returns(&time_axis, runs));
    charts.extend(held_messages(&time_axis, runs));
    charts.push(latencies(&time_axis, runs));
    if !runs[0].cost.usage.is_empty() {
        charts.extend(processes(&time_axis, &runs[0].cost.usage));
    }
    charts
}

fn rates<'a>(time_axis: &TimeAxis<'a>, runs: &[&RunLine]) -> Vec<Chart<'a>> {
    let share = |p: &[Point]| {
        let (asked, got) = p
            .iter()
            .fold((0.0, 0.0), |s, p| (s.0 + p.asked, s.1 + p.delivered));
        got / asked
    };
    vec![
        time_axis.chart(
            "Delivered importance as a share of the requested importance, by submission time",
            "share",
            over_time(runs, |r| curve(&r.results.points, share)),
            1.0,
        ),
        time_axis.chart(
            "Calls",
            "per second",
            over_time(runs, |r| curve(&r.results.points, per_second(|p| p.calls))),
            1.0,
        ),
        time_axis.chart(
            "Rejected calls",
            "per second",
            over_time(runs, |r| {
                curve(&r.results.points, per_second(|p| p.refused))
            }),
            1.0,
        ),
        time_axis.chart(
            "Calls without a response, with an error or with an unreadable response",
            "per second",
            over_time(runs, |r| {
                curve(&r.results.points, per_second(|p| p.unanswered + p.errors))
            }),
            1.0,
        ),
        time_axis.chart(
            "Submissions rejected, messages deferred and bounced",
            "per second",
            over_time(runs, |r| {
                curve(
                    &r.results.points,
                    per_second(|p| p.turned_away + p.deferred + p.bounced),
                )
            }),
            1.0,
        ),
        time_axis.chart(
            "Connections opened",
            "per second",
            over_time(runs, |r| curve(&r.results.points, per_second(|p| p.opened))),
            1.0,
        ),
    ]
}

fn cold_returns<'a>(time_axis: &TimeAxis<'a>, runs: &[&RunLine]) -> Option<Chart<'a>> {
    if runs.iter().all(|r| r.returns.is_empty()) {
        return None;
    }
    let load = |r: &RunLine| {
        r.returns
            .iter()
            .map(|l| ((l.at - START) as f64 / 1e9, l.calls / l.capacity))
            .collect::<Vec<_>>()
    };
    Some(Chart {
        levels: vec![(1.0, "capacity")],
        ..time_axis.chart(
            "Load on all endpoints that returned cold, relative to their current capacity",
            "calls / capacity",
            over_time(runs, load),
            1.0,
        )
    })
}

fn held_messages<'a>(time_axis: &TimeAxis<'a>, runs: &[&RunLine]) -> Option<Chart<'a>> {
    if runs.iter().all(|r| r.cost.open.is_empty()) {
        return None;
    }
    let open = |r: &RunLine| {
        r.cost
            .open
            .iter()
            .map(|o| (o.0, o.1 as f64))
            .collect::<Vec<_>>()
    };
    Some(time_axis.chart("Messages held", "messages", over_time(runs, open), 1.0))
}

/// A line for each class and seed of the first variant, and one for the submission latency.
fn latency_lines(runs: &[&RunLine]) -> Vec<Line> {
    let first = runs[0];
    let mut lines = vec![];
    for (colour, class) in first.results.classes.iter().enumerate() {
        for (i, run) in runs
            .iter()
            .filter(|r| r.variant == first.variant)
            .enumerate()
        {
            let found = run.results.classes.iter().find(|c| c.name == class.name);
            let name = if i == 0 {
                class.name.clone()
            } else {
                String::new()
            };
            let points = found.map_or(vec![], |c| latency_curve(&c.latency));
            lines.push(Line {
                name,
                colour,
                thin: i > 0,
                points,
            });
        }
    }
    if first.results.submission_latency.max_us > 1 {
        let points = latency_curve(&first.results.submission_latency);
        lines.push(Line {
            name: "submission".into(),
            colour: 7,
            thin: false,
            points,
        });
    }
    lines
}

fn latencies<'a>(time_axis: &TimeAxis<'a>, runs: &[&RunLine]) -> Chart<'a> {
    let lines = latency_lines(runs);
    Chart {
        x: "share of messages with a lower latency",
        x_to: 0.0,
        y_log: true,
        spans: &[],
        x_formatter: Some(percentile_label),
        ..time_axis.chart(
            "Latency by queue class, from the intended submission time (first variant)",
            "ms",
            lines,
            1.0,
        )
    }
}

fn processes<'a>(time_axis: &TimeAxis<'a>, usage: &[Usage]) -> Vec<Chart<'a>> {
    vec![
        time_axis.chart(
            "CPU time of each dispatcher",
            "cores",
            by_dispatcher(usage, |s| s.1),
            0.05,
        ),
        time_axis.chart(
            "Memory of each dispatcher",
            "MB",
            by_dispatcher(usage, |s| s.2),
            1.0,
        ),
    ]
}
