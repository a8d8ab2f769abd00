//! The scale test: what a dispatcher costs by what it knows, holds and meets, measured at several sizes with slopes and
//! their errors, and the figures of the full size worked out from them. `docs/CAPACITY.md` is written from it.

pub mod bench;
mod change;
mod client;
mod decisions;
pub mod fit;
mod held;
mod known;
mod listing;
mod message;
pub mod model;
pub mod page;
mod peers;
mod process;
pub mod report;
pub mod traffic;
pub mod wasted;

use anyhow::{Context, Result, ensure};
use bench::{BODY_BYTES, Bench, Sizes};
use clap::Args;
use peers::Peers;
use process::{Folder, Place};
use report::{Capacity, Conditions};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Messages a second at a process: what 1,900 dispatchers have each of 1.4 million.
const MESSAGES_PER_SECOND: f64 = 737.0;

/// The arguments of `bellsill-testbed capacity`.
#[derive(Args)]
pub struct CapacityArgs {
    /// Writes what was measured to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The dispatcher's program.
    #[arg(long, default_value = "target/release/bellsill")]
    program: PathBuf,
    /// Where files are written while it runs; removed at its end.
    #[arg(long, default_value = "target/lab/work")]
    work: PathBuf,
    /// Reads what was measured from this file instead of measuring.
    #[arg(long, conflicts_with = "json")]
    from: Option<PathBuf>,
    /// Prints the page docs/CAPACITY.md.
    #[arg(long)]
    page: bool,
}

/// Does what the command line asks for.
pub fn execute(args: &CapacityArgs) -> Result<()> {
    let capacity = match &args.from {
        Some(path) => read(path)?,
        None => run_full(args)?,
    };
    if let Some(path) = &args.json {
        write(path, &capacity)?;
    }
    match args.page {
        true => print!("{}", page::page(&capacity)?),
        false => print!("{}", capacity.series_table()),
    }
    Ok(())
}

fn run_full(args: &CapacityArgs) -> Result<Capacity> {
    let options = Options {
        program: args.program.clone(),
        work: args.work.clone(),
        sizes: Sizes::full(),
    };
    run(&options, &mut |what| eprintln!("measuring: {what}"))
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The dispatcher's program.
    pub program: PathBuf,
    /// Where configurations, journals and logs are written while it runs.
    pub work: PathBuf,
    pub sizes: Sizes,
}

/// Measures everything, one family after the other; `said` is told what comes next.
pub fn run(options: &Options, said: &mut dyn FnMut(&str)) -> Result<Capacity> {
    ensure!(
        options.program.is_file(),
        "{}: expected the dispatcher's program; build it with cargo build --release",
        options.program.display()
    );
    let started = Instant::now();
    let load_before = load()?;
    let folder = options
        .work
        .join(format!("capacity-{}", std::process::id()));
    let _folder = Folder::create(&folder)?;
    let place = Place {
        program: std::fs::canonicalize(&options.program)?,
        folder,
    };
    let bench = Bench {
        place,
        peers: Peers::start()?,
        sizes: options.sizes.clone(),
        rate: MESSAGES_PER_SECOND,
    };
    let mut capacity = measure(&bench, said)?;
    capacity.conditions = Conditions {
        cores: std::thread::available_parallelism()?.get(),
        machine_memory_bytes: machine_memory()?,
        load_before,
        load_after: load()?,
        wall_seconds: started.elapsed().as_secs_f64(),
        own_peak_bytes: process::own_peak_bytes()?,
        body_bytes: BODY_BYTES,
        messages_per_second: bench.rate,
    };
    Ok(capacity)
}

fn measure(bench: &Bench, said: &mut dyn FnMut(&str)) -> Result<Capacity> {
    let mut capacity = Capacity::default();
    said("starts by destinations known");
    capacity.series.extend(known::measure(bench)?);
    if let Some(size) = bench.sizes.large_start {
        capacity
            .findings
            .push(known::large_start(bench, size, &capacity.series)?);
    }
    said("processor time of messages");
    capacity.series.extend(message::measure(bench)?);
    said("the decisions alone");
    capacity.series.extend(decisions::measure(bench)?);
    said("changes of the list");
    capacity.series.extend(change::measure(bench)?);
    capacity.findings.extend(change::whole_lines(bench)?);
    said("messages held, and restarts");
    capacity.series.extend(held::measure(bench)?);
    said("first attempts wasted, in virtual time");
    let (wasted, findings) = wasted::measure(bench)?;
    capacity.series.push(wasted);
    capacity.findings.extend(findings);
    Ok(capacity)
}

/// Runnable tasks on the machine, on average over the last minute.
fn load() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    text.split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .context("the first word of /proc/loadavg")
}

fn machine_memory() -> Result<u64> {
    const FIELD: &str = "MemTotal:";
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let line = text.lines().find_map(|line| line.strip_prefix(FIELD));
    let kilobytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|word| word.parse::<u64>().ok());
    Ok(kilobytes.context("MemTotal in /proc/meminfo")? * 1024)
}

/// Reads a saved run.
pub fn read(path: &Path) -> Result<Capacity> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    serde_json::from_str(&text).with_context(|| path.display().to_string())
}

/// Saves a run as JSON.
pub fn write(path: &Path, capacity: &Capacity) -> Result<()> {
    let text = serde_json::to_string_pretty(capacity)? + "\n";
    std::fs::write(path, text).with_context(|| path.display().to_string())
}
