//! Runs of an experiment and the line that each leaves on disk.

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

/// A fault as a report marks it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// What it does.
    pub what: FaultKind,
    /// What it affects, in words.
    pub whom: String,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
}

/// One run: one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunLine {
    /// The name of the experiment.
    pub experiment: String,
    /// Its title.
    pub title: String,
    /// The name of the variant.
    pub variant: String,
    /// What all draws started from.
    pub seed: u64,
    /// How it was run.
    pub drive: Drive,
    /// Of all that the run is made of; a run with another is another run.
    #[serde(rename = "print")]
    pub fingerprint: String,
    /// Why the run is not valid; empty where it is.
    pub not_valid: Vec<String>,
    /// What went wrong beside the rules.
    pub faults: Vec<String>,
    /// Ctrl-C came; all else that is here was measured until then.
    pub interrupted: bool,
    /// How many there were.
    pub dispatchers: usize,
    /// How many there were at the start.
    pub endpoints: usize,
    /// For how long messages were submitted.
    pub load_s: f64,
    /// Messages a second.
    pub rate: f64,
    /// What went wrong by the script.
    #[serde(rename = "troubles")]
    pub injected_faults: Vec<FaultMark>,
    /// What it came to.
    pub results: Results,
    /// What the auditor found.
    pub verdict: Verdict,
    /// The load on endpoints that had returned cold.
    pub returns: Vec<ReturnLoad>,
    /// Calls on the decisions; virtual time only.
    pub steps: u64,
    /// What it cost this machine.
    pub cost: Cost,
}

impl RunLine {
    /// Whether its figures count.
    pub fn valid(&self) -> bool {
        self.not_valid.is_empty()
    }
}

/// How runs are done, beside what the experiment settles.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Another drive than the experiment's.
    pub drive: Option<Drive>,
    /// Other seeds than the experiment's.
    pub seeds: Option<Vec<u64>>,
    /// The dispatcher's program, for runs on sockets whose variant names none.
    pub program: PathBuf,
    /// Logs and state folders of dispatchers.
    pub work: PathBuf,
    /// Without progress bars.
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

/// The most memory that this process ever held, in megabytes.
pub fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1024.0
}

/// One run, from its plan to its line.
fn run_once(
    experiment: &Experiment,
    variant: &Variant,
    seed: u64,
    options: &RunOptions,
    fingerprint: String,
    tick: &mut dyn FnMut(f64),
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
            let outcome = virtual_time::run(plan, tick);
            (line.results, line.verdict, line.returns) =
                (outcome.results, outcome.verdict, outcome.returns);
            line.steps = outcome.steps;
        }
        Drive::Sockets => {
            let program = variant.program.as_ref().unwrap_or(&options.program);
            let outcome = sockets::run(plan, program, &options.work, tick)?;
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

/// The checksum of a program's file, read in pieces; zero where there is none.
fn checksum(path: std::io::Result<PathBuf>) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    let mut piece = vec![0; 1 << 16];
    if let Ok(mut file) = path.and_then(std::fs::File::open) {
        while let Ok(n @ 1..) = file.read(&mut piece) {
            hash.update(&piece[..n]);
        }
    }
    hash.finalize()
}

/// Names all that the runs of a variant are made of but their seeds. Another build, of the dispatcher or of the testbed
/// (`own` is its checksum), makes another run.
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

/// Reads the lines of a file of runs.
pub fn lines(path: &Path) -> Result<Vec<RunLine>> {
    let file = std::fs::File::open(path).with_context(|| path.display().to_string())?;
    let mut runs = vec![];
    for (i, line) in std::io::BufReader::new(file).lines().enumerate() {
        let line = line.with_context(|| path.display().to_string())?;
        match serde_json::from_str(&line) {
            Ok(run) => runs.push(run),
            // A line that was being written when the testbed was killed.
            Err(e) if e.is_eof() => {
                tracing::warn!("{}: line {} is cut off and skipped", path.display(), i + 1)
            }
            Err(e) => anyhow::bail!("{}: line {}: {e}", path.display(), i + 1),
        }
    }
    Ok(runs)
}

fn bar(what: &str, quiet: bool) -> ProgressBar {
    let bar = if quiet {
        ProgressBar::hidden()
    } else {
        ProgressBar::new(1_000)
    };
    let style = ProgressStyle::with_template("{msg} [{bar:32}] {percent:>3}% {elapsed}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(what.to_string());
    bar
}

/// Plays what of an experiment is not in the file yet, a line a run, and hands back all of its lines.
pub fn run_all(experiment: &Experiment, options: &RunOptions, file: &Path) -> Result<Vec<RunLine>> {
    let old = if file.exists() { lines(file)? } else { vec![] };
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    }
    let mut out = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)?;
    // A line that was cut off must not swallow the next one.
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
            let bar = bar(
                &format!("{}, {}, seed {seed}", experiment.name, variant.name),
                options.quiet,
            );
            let mut tick = |part: f64| bar.set_position((part * 1_000.0) as u64);
            let run = run_once(
                experiment,
                variant,
                seed,
                options,
                fingerprint.clone(),
                &mut tick,
            )?;
            bar.finish_and_clear();
            // In one write, so that a line is whole or the last.
            let mut line = serde_json::to_vec(&run)?;
            line.push(b'\n');
            out.write_all(&line)?;
            out.flush()?;
            let interrupted = run.interrupted;
            runs.push(run);
            anyhow::ensure!(
                !interrupted,
                "interrupted; what was measured is in {}",
                file.display()
            );
        }
    }
    Ok(runs)
}

/// A run in a few lines.
pub fn summary(run: &RunLine) -> String {
    let r = &run.results;
    let mut text = format!(
        "{}, {}, seed {} ({:?}): delivered {:.4} of the importance asked for (worst 10 s {:.3}, worst class {:.3}); \
         {} mails, {} calls, {} refused, {} connections opened, {} turned away, {} unheard; {:.1} s, {:.0} MB",
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
