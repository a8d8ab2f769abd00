//! The charts of a report.

use super::curves::{a_second, by_dispatcher, curve, latency, nines, over_time, time};
use super::plot::{Chart, Line, Span};
use crate::cost::Usage;
use crate::measure::Point;
use crate::run::RunLine;
use crate::world::time::START;

/// What the charts over time have in common.
struct Frame<'a> {
    spans: &'a [Span],
    x_to: f64,
}

impl<'a> Frame<'a> {
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
            x_words: None,
        }
    }
}

/// All charts of the runs of an experiment, in the order of the report.
pub(super) fn charts<'a>(runs: &[&RunLine], spans: &'a [Span]) -> Vec<Chart<'a>> {
    let x_to = runs
        .iter()
        .map(|r| time(r.results.points.len()))
        .fold(0.0, f64::max);
    let frame = Frame { spans, x_to };
    let mut charts = rates(&frame, runs);
    charts.extend(cold_returns(&frame, runs));
    charts.extend(held(&frame, runs));
    charts.push(latencies(&frame, runs));
    if !runs[0].cost.usage.is_empty() {
        charts.extend(processes(&frame, &runs[0].cost.usage));
    }
    charts
}

fn rates<'a>(frame: &Frame<'a>, runs: &[&RunLine]) -> Vec<Chart<'a>> {
    let share = |p: &[Point]| {
        let (asked, got) = p
            .iter()
            .fold((0.0, 0.0), |s, p| (s.0 + p.asked, s.1 + p.delivered));
        got / asked
    };
    vec![
        frame.chart(
            "Delivered importance of what was asked for, by the moment of asking",
            "share",
            over_time(runs, |r| curve(&r.results.points, share)),
            1.0,
        ),
        frame.chart(
            "Calls",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.calls))),
            1.0,
        ),
        frame.chart(
            "Refused calls",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.refused))),
            1.0,
        ),
        frame.chart(
            "Calls broken off, errors and answers that cannot be read",
            "a second",
            over_time(runs, |r| {
                curve(&r.results.points, a_second(|p| p.unanswered + p.errors))
            }),
            1.0,
        ),
        frame.chart(
            "Mails turned away, deferred and bounced",
            "a second",
            over_time(runs, |r| {
                curve(
                    &r.results.points,
                    a_second(|p| p.turned_away + p.deferred + p.bounced),
                )
            }),
            1.0,
        ),
        frame.chart(
            "Connections opened",
            "a second",
            over_time(runs, |r| curve(&r.results.points, a_second(|p| p.opened))),
            1.0,
        ),
    ]
}

fn cold_returns<'a>(frame: &Frame<'a>, runs: &[&RunLine]) -> Option<Chart<'a>> {
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
        levels: vec![(1.0, "all that they can do")],
        ..frame.chart(
            "Load on all endpoints that have returned cold, against what they can do at the moment",
            "calls / capacity",
            over_time(runs, load),
            1.0,
        )
    })
}

fn held<'a>(frame: &Frame<'a>, runs: &[&RunLine]) -> Option<Chart<'a>> {
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
    Some(frame.chart("Mails held", "mails", over_time(runs, open), 1.0))
}

/// One line a class and seed of the first variant.
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
            let points = found.map_or(vec![], |c| latency(&c.latency));
            lines.push(Line {
                name,
                colour,
                thin: i > 0,
                points,
            });
        }
    }
    if first.results.submission_latency.max_us > 1 {
        let points = latency(&first.results.submission_latency);
        lines.push(Line {
            name: "answer to the hand-in".into(),
            colour: 7,
            thin: false,
            points,
        });
    }
    lines
}

fn latencies<'a>(frame: &Frame<'a>, runs: &[&RunLine]) -> Chart<'a> {
    let lines = latency_lines(runs);
    Chart {
        x: "share of the mails under it",
        x_to: 0.0,
        y_log: true,
        spans: &[],
        x_words: Some(nines),
        ..frame.chart(
            "Latency by queue class, from the intended hand-in (first variant)",
            "ms",
            lines,
            1.0,
        )
    }
}

fn processes<'a>(frame: &Frame<'a>, usage: &[Usage]) -> Vec<Chart<'a>> {
    vec![
        frame.chart(
            "Processor time of each dispatcher",
            "cores",
            by_dispatcher(usage, |s| s.1),
            0.05,
        ),
        frame.chart(
            "Memory of each dispatcher",
            "MB",
            by_dispatcher(usage, |s| s.2),
            1.0,
        ),
    ]
}
