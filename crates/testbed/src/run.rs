//! Executes the runs of an experiment and stores each as one line of JSON.

use crate::audit::Verdict;
use crate::cost::Cost;
use crate::experiment::{Experiment, Variant};
use crate::measure::Results;
use crate::spec::{Drive, FaultKind};
use crate::world::ReturnLoad;
use crate::world::plan::Plan;
use crate::{sockets, virtual_time};
use anyhow::{Context, Result};
use indicatif::{ProgressBar, ProgressStyle};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// An injected fault as it is stored with a run and marked in charts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// What it does.
    pub what: FaultKind,
    /// What it affects, as text for reports.
    pub whom: String,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
}

/// The stored form of a run: one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLine {
    /// The name of the experiment.
    pub experiment: String,
    /// Its title.
    pub title: String,
    /// The name of the variant.
    pub variant: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// Virtual time or real sockets.
    pub drive: Drive,
    /// Checksum of everything that determines the run except its seed; runs with different ones are not interchangeable.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Reasons why the run is not valid; empty for a valid run.
    pub not_valid: Vec<String>,
    /// Failures other than violations of the rules.
    pub faults: Vec<String>,
    /// Whether the run ended early on Ctrl-C; the other fields then cover the time until it.
    pub interrupted: bool,
    /// The number of dispatchers.
    pub dispatchers: usize,
    /// The number of endpoints at the start.
    pub endpoints: usize,
    /// How long messages were submitted, in seconds.
    pub load_s: f64,
    /// Messages per second.
    pub rate: f64,
    /// The faults that the experiment injected.
    #[serde(rename = "troubles")]
    pub injected_faults: Vec<FaultMark>,
    /// The measured results.
    pub results: Results,
    /// The findings of the auditor.
    pub verdict: Verdict,
    /// The load on endpoints that returned cold.
    pub returns: Vec<ReturnLoad>,
    /// Calls of the decision logic; virtual time only.
    pub steps: u64,
    /// CPU, memory and time that the run used on this machine.
    pub cost: Cost,
}

impl RunLine {
    /// Whether its measurements may be used.
    pub fn valid(&self) -> bool {
        self.not_valid.is_empty()
    }
}

/// Options of runs that are not part of the experiment.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Overrides the drive of the experiment.
    pub drive: Option<Drive>,
    /// Overrides the seeds of the experiment.
    pub seeds: Option<Vec<u64>>,
    /// The dispatcher executable, for runs on sockets whose variant names none.
    pub program: PathBuf,
    /// The directory for the logs and state directories of dispatchers.
    pub work: PathBuf,
    /// Hides the progress bars.
    pub quiet: bool,
}

fn fault_marks(variant: &Variant) -> Vec<FaultMark> {
    let mark = |t: &crate::spec::Fault| FaultMark {
        what: t.what,
        whom: match (&t.zone, t.destination, t.endpoint, t.dispatcher, t.share) {
            (Some(zone), ..) => zone.clone(),
            (_, Some(d), ..) => format!("destination {d}"),
            (_, _, Some(e), ..) => format!("endpoint {e}"),
            (_, _, _, Some(n), _) => format!("dispatcher {n}"),
            (.., Some(share)) => format!("{:.0}%", share * 100.0),
            _ => "all".into(),
        },
        from_s: t.from_s,
        to_s: t.to_s,
    };
    variant.spec.faults.iter().map(mark).collect()
}

/// The peak resident memory of this process, in megabytes.
pub fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// Executes one run and returns its stored form.
fn run_once(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    options: &RunOptions,
    fingerprint: String,
    report_progress: &mut dyn FnMut(f64),
) -> Result<RunLine> {
    let drive = options.drive.unwrap_or(variant.spec.run.drive);
    let plan = Plan::new(&variant.spec, seed);
    let mut line = RunLine {
        experiment: experiment.name.clone(),
        title: experiment.title.clone(),
        variant: variant.name.clone(),
        seed,
        drive,
        fingerprint,
        not_valid: vec![],
        faults: vec![],
        interrupted: false,
        dispatchers: variant.spec.dispatchers.count,
        endpoints: plan.endpoints.len(),
        load_s: variant.spec.run.seconds,
        rate: variant.spec.load.rate,
        injected_faults: fault_marks(variant),
        results: Results::default(),
        verdict: Verdict::default(),
        returns: vec![],
        steps: 0,
        cost: Cost::default(),
    };
    let from = Instant::now();
    match drive {
        Drive::Virtual => {
            let outcome = virtual_time::run(plan, report_progress);
            (line.results, line.verdict, line.returns) =
                (outcome.results, outcome.verdict, outcome.returns);
            line.steps = outcome.steps;
        }
        Drive::Sockets => {
            let program = variant.program.as_ref().unwrap_or(&options.program);
            let outcome = sockets::run(plan, program, &options.work, report_progress)?;
            (line.results, line.verdict, line.returns) =
                (outcome.results, outcome.verdict, outcome.returns);
            (line.not_valid, line.faults, line.cost) =
                (outcome.not_valid, outcome.faults, outcome.cost);
            line.interrupted = outcome.interrupted;
        }
    }
    line.cost.cpu_from_s = variant.spec.run.cpu_from_s;
    line.cost.wall_s = from.elapsed().as_secs_f64();
    line.cost.peak_mb = peak_mb();
    Ok(line)
}

/// The checksum of an executable, read in chunks; that of an empty file if it cannot be opened.
fn checksum(path: std::io::Result<PathBuf>) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    let mut chunk = vec![0; 1 << 16];
    if let Ok(mut file) = path.and_then(std::fs::File::open) {
        while let Ok(n @ 1..) = file.read(&mut chunk) {
            hash.update(&chunk[..n]);
        }
    }
    hash.finalize()
}

/// Identifies everything that determines the runs of a variant except their seeds. A different build of the dispatcher or of
/// the testbed (`own` is its checksum) changes it, so that stored runs of the old build are not reused.
fn fingerprint(variant: &Variant, options: &RunOptions, own: u32) -> String {
    let drive = options.drive.unwrap_or(variant.spec.run.drive);
    let program = match drive {
        Drive::Virtual => 0,
        Drive::Sockets => checksum(Ok(variant
            .program
            .as_ref()
            .unwrap_or(&options.program)
            .clone())),
    };
    let all = format!("{own:08x} {program:08x} {drive:?} {:?}", variant.spec);
    format!("{:08x}", crc32fast::hash(all.as_bytes()))
}

/// Reads a file of runs.
pub fn read_runs(path: &Path) -> Result<Vec<RunLine>> {
    let file = std::fs::File::open(path).with_context(|| path.display().to_string())?;
    let mut runs = vec![];
    for (i, line) in std::io::BufReader::new(file).lines().enumerate() {
        let line = line.with_context(|| path.display().to_string())?;
        match serde_json::from_str(&line) {
            Ok(run) => runs.push(run),
            // The testbed was killed while it wrote this line.
            Err(e) if e.is_eof() => {
                tracing::warn!(
                    "{}: line {} is truncated; skipping it",
                    path.display(),
                    i + 1
                )
            }
            Err(e) => anyhow::bail!("{}: line {}: {e}", path.display(), i + 1),
        }
    }
    Ok(runs)
}

fn progress_bar(label: &str, quiet: bool) -> ProgressBar {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(1_000)
    };
    let style = ProgressStyle::with_template("{msg} [{bar:32}] {percent:>3}% {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(label.to_string());
    bar
}

/// Executes the runs of an experiment that are not in the file yet, appends each to it, and returns all runs.
pub fn run_all(experiment: &Experiment, options: &RunOptions, file: &Path) -> Result<Vec<RunLine>> {
    let old = if file.exists() {
        read_runs(file)?
    } else {
        vec![]
    };
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    }
    let mut out = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)?;
    // Ends a truncated last line, so that the next run starts on a line of its own.
    if std::fs::read(file)?.last().is_some_and(|b| *b != b'\n') {
        out.write_all(b"\n")?;
    }
    let mut runs = vec![];
    let own = checksum(std::env::current_exe());
    for variant in &experiment.variants {
        let fingerprint = fingerprint(variant, options, own);
        for &seed in options.seeds.as_ref().unwrap_or(&experiment.seeds) {
            let same = |r: &&RunLine| {
                r.fingerprint == fingerprint
                    && r.seed == seed
                    && r.variant == variant.name
                    && r.valid()
            };
            if let Some(run) = old.iter().find(same) {
                runs.push(run.clone());
                continue;
            }
            let bar = progress_bar(
                &format!("{}, {}, seed {seed}", experiment.name, variant.name),
                options.quiet,
            );
            let mut report_progress = |part: f64| bar.set_position((part * 1_000.0) as u64);
            let run = run_once(
                experiment,
                variant,
                seed,
                options,
                fingerprint.clone(),
                &mut report_progress,
            )?;
            bar.finish_and_clear();
            // One write per line: only the last line of the file can be truncated.
            let mut line = serde_json::to_vec(&run)?;
            line.push(b'\n');
            out.write_all(&line)?;
            out.flush()?;
            let interrupted = run.interrupted;
            runs.push(run);
            anyhow::ensure!(
                !interrupted,
                "interrupted; the measurements until then are in {}",
                file.display()
            );
        }
    }
    Ok(runs)
}

/// A summary of a run for the terminal.
pub fn summary(run: &RunLine) -> String {
    let r = &run.results;
    let mut text = format!(
        "{}, {}, seed {} ({:?}): delivered {:.4} of the requested importance (worst 10 s {:.3}, worst class {:.3}); \
         {} messages, {} calls, {} rejected, {} connections opened, {} submissions rejected, {} unanswered; {:.1} s, {:.0} MB",
        run.experiment,
        run.variant,
        run.seed,
        run.drive,
        r.share,
        r.worst_span,
        r.worst_class,
        r.arrivals,
        r.calls,
        r.refused,
        r.opened,
        r.turned_away,
        r.no_answer,
        run.cost.wall_s,
        run.cost.peak_mb
    );
    for c in &r.classes {
        text += &format!(
            "\n  {}: {:.4}, p50 {:.0} ms, p99 {:.0} ms, {} late, {} bounced, {} deferred",
            c.name,
            c.share(),
            c.latency.p50_us as f64 / 1e3,
            c.latency.p99_us as f64 / 1e3,
            c.late,
            c.bounced,
            c.deferred
        );
    }
    if run.verdict.passed() {
        text += &format!(
            "\n  rules kept, {} effects in {} calls",
            run.verdict.applied, run.verdict.calls
        );
    }
    for (rule, count) in &run.verdict.violations {
        text += &format!("\n  RULE BROKEN {rule:?}: {count} times");
    }
    for words in run.verdict.samples.iter().take(5) {
        text += &format!("\n    {words}");
    }
    for fault in run.faults.iter().take(5) {
        text += &format!("\n  FAULT: {fault}");
    }
    for why in &run.not_valid {
        text += &format!("\n  NOT VALID: {why}");
    }
    text
}
