//! Variants against one another, paired by seed: the mean difference, its spread, and whether it is more than noise.

use crate::run::RunLine;
use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeMap;

/// What is compared: a name, how it is read, and whether more is better.
pub type Figure = (&'static str, fn(&RunLine) -> f64, bool);

pub const FIGURES: [Figure; 11] = [
    ("delivered importance, share", |r| r.results.share, true),
    ("of the worst 10 s", |r| r.results.worst_span, true),
    ("of the worst class", |r| r.results.worst_class, true),
    (
        "calls a mail",
        |r| r.results.calls as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    (
        "refused calls a mail",
        |r| r.results.refused as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    (
        "connections opened a mail",
        |r| r.results.opened as f64 / (r.results.arrivals as f64).max(1.0),
        false,
    ),
    ("CPU of dispatchers, us a mail", cpu_us, false),
    ("mails held", open, false),
    (
        "hand-in answered, p50 ms",
        |r| r.results.submission_latency.p50_us as f64 / 1e3,
        false,
    ),
    (
        "hand-in answered, p99 ms",
        |r| r.results.submission_latency.p99_us as f64 / 1e3,
        false,
    ),
    (
        "memory of the largest dispatcher, MB",
        |r| r.cost.usage.iter().map(|u| u.peak_mb).fold(0.0, f64::max),
        false,
    ),
];

/// The processor time of all dispatchers, in microseconds a message: from where it counts to the end of the load.
pub fn cpu_us(run: &RunLine) -> f64 {
    let within = |at: f64| at >= run.cost.cpu_from_s && at <= run.load_s;
    let mut cpu = 0.0;
    for usage in &run.cost.usage {
        // Each sample speaks of the span since the one before.
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

/// Messages owed their end, on average over the same span.
pub fn open(run: &RunLine) -> f64 {
    let open: Vec<f64> = run
        .cost
        .open
        .iter()
        .filter(|o| o.0 >= run.cost.cpu_from_s && o.0 <= run.load_s)
        .map(|o| o.1 as f64)
        .collect();
    open.iter().sum::<f64>() / (open.len() as f64).max(1.0)
}

/// The differences of pairs.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub pairs: usize,
    pub before: f64,
    pub mean: f64,
    /// Half the width of the 95% interval around the mean; none for a single pair.
    pub within: Option<f64>,
}

impl Difference {
    pub fn of(pairs: &[(f64, f64)]) -> Difference {
        let n = pairs.len() as f64;
        let mean = pairs.iter().map(|p| p.1 - p.0).sum::<f64>() / n;
        let before = pairs.iter().map(|p| p.0).sum::<f64>() / n;
        let within = (pairs.len() > 1).then(|| {
            let variance = pairs
                .iter()
                .map(|p| (p.1 - p.0 - mean).powi(2))
                .sum::<f64>()
                / (n - 1.0);
            // More than zero degrees of freedom.
            let t =
                StudentsT::new(0.0, 1.0, n - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
            t * (variance / n).sqrt()
        });
        Difference {
            pairs: pairs.len(),
            before,
            mean,
            within,
        }
    }

    /// More than what chance alone gives in 19 of 20 cases.
    pub fn real(&self) -> bool {
        self.within
            .is_some_and(|w| self.mean.abs() > w && self.mean != 0.0)
    }

    pub fn words(&self, more_is_better: bool) -> &'static str {
        match (
            self.within,
            self.real(),
            (self.mean > 0.0) == more_is_better,
        ) {
            (None, ..) if self.mean == 0.0 => "the same",
            (None, ..) => "one pair: nothing to judge by",
            (_, false, _) => "within noise",
            (_, true, true) => "better",
            (_, true, false) => "worse",
        }
    }
}

/// By experiment and variant in the order in which they come, the runs by seed; runs that are not valid are left out.
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

/// A variant against the first one: their names, the first one's first, and each figure.
pub type Against = (String, String, Vec<(Figure, Difference)>);

/// Each variant against the first one.
pub fn differences(runs: &[RunLine]) -> Vec<Against> {
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

pub fn table(runs: &[RunLine]) -> String {
    let mut text = String::new();
    for (first, name, figures) in differences(runs) {
        text += &format!("{name}, against {first}:\n");
        for ((what, _, more), d) in figures
            .iter()
            .filter(|f| f.1.before != 0.0 || f.1.mean != 0.0)
        {
            let within = d.within.map_or(String::new(), |w| format!(" +- {w:.4}"));
            let words = d.words(*more);
            text += &format!(
                "  {what}: {:.4} {:+.4}{within} over {} seeds: {words}\n",
                d.before, d.mean, d.pairs
            );
        }
    }
    let left_out = runs.iter().filter(|r| !r.valid()).count();
    if left_out > 0 {
        text += &format!("{left_out} runs are not valid and left out\n");
    }
    text
}

/// The figures of each variant in a row, for a sweep.
pub fn curve(runs: &[RunLine]) -> String {
    let mut text = String::new();
    for (name, group) in groups(runs) {
        let mean =
            |f: fn(&RunLine) -> f64| group.values().map(|r| f(r)).sum::<f64>() / group.len() as f64;
        let row: Vec<String> = FIGURES
            .iter()
            .map(|f| (f.0, mean(f.1)))
            .filter(|(_, x)| *x != 0.0)
            .map(|(what, x)| format!("{what} {x:.4}"))
            .collect();
        text += &format!("{name}: {}\n", row.join("; "));
    }
    text
}
