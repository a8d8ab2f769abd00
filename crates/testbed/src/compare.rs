//! Compares variants, paired by seed: the mean difference, its 95% interval, and whether the difference is significant.

use crate::run::RunLine;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// A compared metric: its name, how it is read from a run, and whether a higher value is better.
pub type Figure = (&'static str, fn(&RunLine) -> f64, bool);

pub const FIGURES: [Figure; 11] = [
    ("delivered importance, share", |r| r.results.share, true),
    (
        "delivered importance in the worst 10 s, share",
        |r| r.results.worst_span,
        true,
    ),
    (
        "delivered importance of the worst class, share",
        |r| r.results.worst_class,
        true,
    ),
    (
        "calls per message",
        |r| r.results.calls as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    (
        "rejected calls per message",
        |r| r.results.refused as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    (
        "connections opened per message",
        |r| r.results.opened as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    ("CPU of dispatchers, us per message", cpu_us, false),
    ("messages held", mean_open_messages, false),
    (
        "submission latency, p50 ms",
        |r| r.results.submission_latency.p50_us as f64 / 1e3,
        false,
    ),
    (
        "submission latency, p99 ms",
        |r| r.results.submission_latency.p99_us as f64 / 1e3,
        false,
    ),
    (
        "peak memory of the largest dispatcher, MB",
        |r| r.cost.usage.iter().map(|u| u.peak_mb).fold(0.0, f64::max),
        false,
    ),
];

/// The CPU time of all dispatchers in microseconds per message, from `cpu_from_s` to the end of the load.
pub fn cpu_us(run: &RunLine) -> f64 {
    let within = |at: f64| at >= run.cost.cpu_from_s && at <= run.load_s;
    let mut cpu = 0.0;
    for usage in &run.cost.usage {
        // A sample holds the mean CPU use since the sample before it.
        let spans = usage.samples.windows(2).map(|p| (p[1].0 - p[0].0, &p[1]));
        cpu += spans
            .filter(|(_, s)| within(s.0))
            .map(|(span, s)| span * s.1)
            .sum::<f64>();
    }
    let bucket = crate::measure::BUCKET as f64 / 1e9;
    let points = run
        .results
        .points
        .iter()
        .enumerate()
        .filter(|(i, _)| within((*i as f64 + 0.5) * bucket));
    let messages: u64 = points.map(|(_, p)| p.arrivals).sum();
    cpu * 1e6 / (messages as f64).max(1.0)
}

/// The mean number of messages without an outcome, over the same span as `cpu_us`.
pub fn mean_open_messages(run: &RunLine) -> f64 {
    let open: Vec<f64> = run
        .cost
        .open
        .iter()
        .filter(|o| o.0 >= run.cost.cpu_from_s && o.0 <= run.load_s)
        .map(|o| o.1 as f64)
        .collect();
    open.iter().sum::<f64>() / (open.len() as f64).max(1.0)
}

/// Statistics of paired differences.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub pairs: usize,
    /// The mean of the baseline.
    pub baseline: f64,
    /// The mean difference from the baseline.
    pub mean: f64,
    /// Half the width of the 95% confidence interval of the mean; `None` for a single pair.
    pub half_width: Option<f64>,
}

impl Difference {
    pub fn of(pairs: &[(f64, f64)]) -> Difference {
        let n = pairs.len() as f64;
        let mean = pairs.iter().map(|p| p.1 - p.0).sum::<f64>() / n;
        let baseline = pairs.iter().map(|p| p.0).sum::<f64>() / n;
        let half_width = (pairs.len() > 1).then(|| {
            let variance = pairs
                .iter()
                .map(|p| (p.1 - p.0 - mean).powi(2))
                .sum::<f64>()
                / (n - 1.0);
            // Fails only without degrees of freedom; there are at least two pairs here.
            let t =
                StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
            t * (variance / n).sqrt()
        });
        Difference {
            pairs: pairs.len(),
            baseline,
            mean,
            half_width,
        }
    }

    /// Whether the difference is significant at the 5% level.
    pub fn is_significant(&self) -> bool {
        self.half_width
            .is_some_and(|w| self.mean.abs() > w && self.mean != 0.0)
    }

    pub fn judgement(&self, higher_is_better: bool) -> &'static str {
        match (
            self.half_width,
            self.is_significant(),
            (self.mean > 0.0) == higher_is_better,
        ) {
            (None, ..) if self.mean == 0.0 => "the same",
            (None, ..) => "one pair: significance unknown",
            (_, false, _) => "not significant",
            (_, true, true) => "better",
            (_, true, false) => "worse",
        }
    }
}

/// The valid runs by variant, in order of first appearance, and by seed.
pub fn groups(runs: &[RunLine]) -> Vec<(String, BTreeMap<u64, &RunLine>)> {
    let mut groups: Vec<(String, BTreeMap<u64, &RunLine>)> = vec![];
    for run in runs.iter().filter(|r| r.valid()) {
        match groups.iter_mut().find(|g| g.0 == run.variant) {
            Some(group) => drop(group.1.insert(run.seed, run)),
            None => groups.push((run.variant.clone(), BTreeMap::from([(run.seed, run)]))),
        }
    }
    groups
}

/// A variant compared with the first one: the name of the first, the name of the variant, and each metric.
pub type Comparison = (String, String, Vec<(Figure, Difference)>);

/// Compares each variant with the first one.
pub fn differences(runs: &[RunLine]) -> Vec<Comparison> {
    let groups = groups(runs);
    let Some((first, base)) = groups.first() else {
        return vec![];
    };
    let mut all = vec![];
    for (name, group) in &groups[1..] {
        let pairs: Vec<(&RunLine, &RunLine)> = base
            .iter()
            .filter_map(|(seed, run)| Some((*run, *group.get(seed)?)))
            .collect();
        if pairs.is_empty() {
            continue;
        }
        let figure = |f: &Figure| {
            let values: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| ((f.1)(a), (f.1)(b))).collect();
            (*f, Difference::of(&values))
        };
        all.push((
            first.clone(),
            name.clone(),
            FIGURES.iter().map(figure).collect(),
        ));
    }
    all
}

/// The comparison of each variant with the first one, as text.
pub fn table(runs: &[RunLine]) -> String {
    let mut text = String::new();
    for (first, name, figures) in differences(runs) {
        text += &format!("{name}, against {first}:\n");
        for ((name, _, higher_is_better), d) in figures
            .iter()
            .filter(|f| f.1.baseline != 0.0 || f.1.mean != 0.0)
        {
            let half_width = d
                .half_width
                .map_or(String::new(), |w| format!(" +- {w:.4}"));
            let judgement = d.judgement(*higher_is_better);
            text += &format!(
                "  {name}: {:.4} {:+.4}{half_width} over {} seeds: {judgement}\n",
                d.baseline, d.mean, d.pairs
            );
        }
    }
    let left_out = runs.iter().filter(|r| !r.valid()).count();
    if left_out > 0 {
        text += &format!("{left_out} runs are not valid and were left out\n");
    }
    text
}

/// The mean metrics of each variant, one line per variant, for a sweep.
pub fn sweep_lines(runs: &[RunLine]) -> String {
    let mut text = String::new();
    for (name, group) in groups(runs) {
        let mean =
            |f: fn(&RunLine) -> f64| group.values().map(|r| f(r)).sum::<f64>() / group.len() as f64;
        let row: Vec<String> = FIGURES
            .iter()
            .map(|f| (f.0, mean(f.1)))
            .filter(|(_, x)| *x != 0.0)
            .map(|(name, x)| format!("{name} {x:.4}"))
            .collect();
        text += &format!("{name}: {}\n", row.join("; "));
    }
    text
}
