//! Converts measurements of runs into curves for charts.

use super::plot::Line;
use crate::cost::Usage;
use crate::measure::{BUCKET, Point, Spread};
use crate::run::RunLine;

/// With more dispatchers than this, a chart shows only their minimum, median and maximum.
const MAX_DISPATCHER_LINES: usize = 8;
/// How many measured points make one point of a curve.
const POINTS_PER_SAMPLE: usize = 2;

pub(super) fn time(point: usize) -> f64 {
    point as f64 * BUCKET as f64 / 1e9
}

/// A curve over time; `of` is applied to `POINTS_PER_SAMPLE` points at a time.
pub(super) fn curve(points: &[Point], of: impl Fn(&[Point]) -> f64) -> Vec<(f64, f64)> {
    points
        .chunks(POINTS_PER_SAMPLE)
        .enumerate()
        .map(|(i, c)| (time(i * POINTS_PER_SAMPLE), of(c)))
        .collect()
}

pub(super) fn per_second(of: impl Fn(&Point) -> u64) -> impl Fn(&[Point]) -> f64 {
    move |points| {
        points.iter().map(&of).sum::<u64>() as f64 * 1e9 / (points.len() as f64 * BUCKET as f64)
    }
}

/// The mean of the curves of several seeds, up to the end of the longest one.
fn mean(curves: &[Vec<(f64, f64)>]) -> Vec<(f64, f64)> {
    let longest = curves.iter().max_by_key(|c| c.len());
    let Some(longest) = longest else {
        return vec![];
    };
    (0..longest.len())
        .map(|i| {
            let at: Vec<f64> = curves
                .iter()
                .filter_map(|c| c.get(i))
                .map(|p| p.1)
                .filter(|y| y.is_finite())
                .collect();
            (longest[i].0, at.iter().sum::<f64>() / at.len() as f64)
        })
        .collect()
}

/// The distinct names in order of first appearance.
pub(super) fn distinct<'a>(all: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names = vec![];
    all.for_each(|name| {
        if !names.contains(&name) {
            names.push(name)
        }
    });
    names
}

/// For each variant a thick line for the mean over its seeds and, with several seeds, a thin line for each.
pub(super) fn over_time(runs: &[&RunLine], of: impl Fn(&RunLine) -> Vec<(f64, f64)>) -> Vec<Line> {
    let names = distinct(runs.iter().map(|r| r.variant.as_str()));
    let mut lines = vec![];
    for (colour, name) in names.iter().enumerate() {
        let curves: Vec<_> = runs
            .iter()
            .filter(|r| r.variant == *name)
            .map(|r| of(r))
            .collect();
        let (thin, name) = (true, name.to_string());
        if curves.len() > 1 {
            let one = |points: &Vec<_>| Line {
                name: String::new(),
                colour,
                thin,
                points: points.clone(),
            };
            lines.extend(curves.iter().map(one));
        }
        lines.push(Line {
            name,
            colour,
            thin: false,
            points: mean(&curves),
        });
    }
    lines
}

pub(super) fn latency_curve(spread: &Spread) -> Vec<(f64, f64)> {
    if spread.count == 0 {
        return vec![];
    }
    // The x axis counts nines of the quantile: 0 is the minimum, 1 is 0.9, 2 is 0.99.
    let most = (spread.count as f64).log10().min(5.0);
    (0..=60)
        .map(|i| most * f64::from(i) / 60.0)
        .map(|n| (n, spread.quantile_ms(1.0 - 10f64.powf(-n))))
        .collect()
}

pub(super) fn percentile_label(nines: f64) -> String {
    let share = 100.0 * (1.0 - 10f64.powf(-nines));
    let text = format!("{share:.*}", (nines.floor() as usize).max(1));
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

/// A metric over time, one line per dispatcher, or their minimum, median and maximum if there are many.
pub(super) fn by_dispatcher(
    usage: &[Usage],
    of: impl Fn(&(f64, f64, f64, u64)) -> f64,
) -> Vec<Line> {
    let line = |u: &Usage| u.samples.iter().map(|s| (s.0, of(s))).collect::<Vec<_>>();
    if usage.len() <= MAX_DISPATCHER_LINES {
        let one = |(i, u): (usize, &Usage)| Line {
            name: format!("dispatcher {}", u.dispatcher),
            colour: i,
            thin: false,
            points: line(u),
        };
        return usage.iter().enumerate().map(one).collect();
    }
    let curves: Vec<_> = usage.iter().map(line).collect();
    let longest = curves.iter().map(Vec::len).max().unwrap_or(0);
    let mut lines: Vec<Line> = ["minimum", "median", "maximum"]
        .iter()
        .enumerate()
        .map(|(colour, name)| Line {
            name: name.to_string(),
            colour,
            thin: false,
            points: vec![],
        })
        .collect();
    for i in 0..longest {
        let mut at: Vec<(f64, f64)> = curves.iter().filter_map(|c| c.get(i).copied()).collect();
        at.sort_by(|a, b| a.1.total_cmp(&b.1));
        for (line, pick) in lines.iter_mut().zip([0, at.len() / 2, at.len() - 1]) {
            line.points.push((at[0].0, at[pick].1));
        }
    }
    lines
}
