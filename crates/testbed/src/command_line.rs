//! The program `bellsill-testbed`. Status 0: done and valid, rules kept; 1: a rule was broken, or a run is not valid; 2: what was
//! asked for cannot be done, nothing was started.

use crate::experiment::{self, BadExperiment, Experiment};
use crate::hollow::options::HollowOptions;
use crate::run::{self, RunLine, RunOptions};
use crate::spec::{Drive, Vary};
use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "bellsill-testbed",
    version,
    about = "Plays dispatchers against a model of the world, and says what came of it"
)]
struct Line {
    /// What of its own doings is logged.
    #[arg(long, global = true, default_value = "warn", env = "BELLSILL_LAB_LOG")]
    log: String,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum DriveWord {
    Virtual,
    Sockets,
}

#[derive(Args)]
struct RunArgs {
    /// The longer form of the experiments.
    #[arg(long)]
    long: bool,
    /// Instead of what the experiments say.
    #[arg(long)]
    drive: Option<DriveWord>,
    /// Instead of what the experiments say, such as 1,2,3.
    #[arg(long, value_delimiter = ',')]
    seeds: Option<Vec<u64>>,
    /// Where runs are written, a line of JSON each; those that are there already are not played again.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
    /// The dispatcher, for runs on sockets.
    #[arg(long, default_value = "target/release/bellsill")]
    program: PathBuf,
    /// No progress bar.
    #[arg(long)]
    quiet: bool,
}

#[derive(Subcommand)]
enum What {
    /// Plays experiments and writes a report beside their runs.
    Run {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Compares the variants of an experiment, or two files of runs, seed by seed.
    Compare {
        /// One experiment, or two files of runs (`.jsonl`).
        #[arg(required = true, num_args = 1..=2)]
        files: Vec<PathBuf>,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Plays an experiment over values of one field.
    Sweep {
        file: PathBuf,
        /// Such as load.rate or troubles[0].part.
        #[arg(long)]
        field: String,
        #[arg(long, value_delimiter = ',', required = true)]
        values: Vec<String>,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Writes one HTML file from files of runs.
    Report {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(short, long, default_value = "report.html")]
        output: PathBuf,
    },
    /// Measures what a dispatcher costs by what it knows and holds, and fits slopes.
    Capacity(crate::capacity::CapacityArgs),
    /// Runs hollow dispatchers and control processes on loopback, and measures them.
    Hollow(HollowOptions),
    /// Carries dispatchers for `hollow`, which starts it.
    #[command(hide = true)]
    HollowWorker { options: String },
    /// Says what is wrong with experiments; starts nothing.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

pub fn main() -> ExitCode {
    let line = Line::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&line.log);
    let filter = match filter {
        Ok(filter) => filter,
        Err(e) => {
            eprintln!("--log: expected a level such as warn or info: {e}");
            return ExitCode::from(2);
        }
    };
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    match execute(line.what) {
        Ok(good) => ExitCode::from(u8::from(!good)),
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::from(2)
        }
    }
}

fn run_options(args: &RunArgs) -> RunOptions {
    RunOptions {
        drive: args.drive.map(|d| match d {
            DriveWord::Virtual => Drive::Virtual,
            DriveWord::Sockets => Drive::Sockets,
        }),
        seeds: args.seeds.clone(),
        program: args.program.clone(),
        work: args.out.join("work"),
        quiet: args.quiet,
    }
}

/// All experiments are read before the first is played.
fn read(files: &[PathBuf], long: bool) -> Result<Vec<Experiment>, BadExperiment> {
    files
        .iter()
        .map(|file| experiment::read(file, long))
        .collect()
}

fn good(runs: &[RunLine]) -> bool {
    runs.iter()
        .all(|r| r.valid() && r.verdict.passed() && r.faults.is_empty())
}

/// Plays an experiment, says what came of it and writes the report.
fn play(experiment: &Experiment, args: &RunArgs) -> Result<(Vec<RunLine>, PathBuf)> {
    let folder = args.out.join(&experiment.name);
    let runs = run::run_all(experiment, &run_options(args), &folder.join("runs.jsonl"))?;
    runs.iter()
        .for_each(|run| println!("{}", run::summary(run)));
    let report = folder.join("report.html");
    write_report(&runs, &report)?;
    Ok((runs, report))
}

fn write_report(runs: &[RunLine], to: &Path) -> Result<()> {
    std::fs::write(to, crate::report::html(runs)?).with_context(|| to.display().to_string())?;
    println!("report: {}", to.display());
    Ok(())
}

fn execute(what: What) -> Result<bool> {
    match what {
        What::Capacity(args) => crate::capacity::execute(&args).map(|()| true),
        What::Hollow(options) => crate::hollow::scenario::play(options),
        What::HollowWorker { options } => crate::hollow::worker::run(&options).map(|()| true),
        What::Check { files } => {
            let mut fine = true;
            for file in &files {
                match experiment::read(file, false).and_then(|_| experiment::read(file, true)) {
                    Ok(e) => {
                        println!(
                            "{}: {} variants, {} seeds",
                            file.display(),
                            e.variants.len(),
                            e.seeds.len()
                        )
                    }
                    Err(e) => {
                        eprintln!("{e}");
                        fine = false;
                    }
                }
            }
            anyhow::ensure!(fine, "nothing was started");
            Ok(true)
        }
        What::Run { files, args } => {
            let mut fine = true;
            for experiment in read(&files, args.long)? {
                fine &= good(&play(&experiment, &args)?.0);
            }
            Ok(fine)
        }
        What::Compare { files, args } => {
            let jsonl = |f: &PathBuf| f.extension().is_some_and(|e| e == "jsonl");
            let (runs, names) = match &files[..] {
                [one, two] if jsonl(one) && jsonl(two) => {
                    let of = |path: &Path| -> Result<Vec<RunLine>> {
                        let name = path.display().to_string();
                        let named = |r: RunLine| RunLine {
                            variant: format!("{name}: {}", r.variant),
                            ..r
                        };
                        Ok(run::lines(path)?.into_iter().map(named).collect())
                    };
                    let (one, two) = (of(one)?, of(two)?);
                    (one.into_iter().chain(two).collect(), "files")
                }
                [one] if !jsonl(one) => {
                    let experiment = experiment::read(one, args.long)?;
                    (play(&experiment, &args)?.0, "variants")
                }
                _ => anyhow::bail!(
                    "compare takes one experiment, or two files of runs that end in .jsonl"
                ),
            };
            let table = crate::compare::table(&runs);
            anyhow::ensure!(
                !table.is_empty(),
                "there are no two {names} with a seed in common"
            );
            print!("{table}");
            Ok(good(&runs))
        }
        What::Sweep {
            file,
            field,
            values,
            args,
        } => {
            let value = |v: &String| match toml::from_str::<toml::Table>(&format!("v = {v}")) {
                Ok(mut table) => table.remove("v").unwrap_or(toml::Value::String(v.clone())),
                Err(_) => toml::Value::String(v.clone()),
            };
            let vary = Vary {
                field: Some(field),
                values: values.iter().map(value).collect(),
                ..Default::default()
            };
            let experiment = experiment::read_varied(&file, args.long, Some(vary))?;
            let (runs, _) = play(&experiment, &args)?;
            print!("{}", crate::compare::curve(&runs));
            Ok(good(&runs))
        }
        What::Report { files, output } => {
            let mut runs = vec![];
            for file in &files {
                runs.extend(run::lines(file)?);
            }
            write_report(&runs, &output)?;
            Ok(good(&runs))
        }
    }
}
