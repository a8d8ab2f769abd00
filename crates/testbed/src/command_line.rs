//! The program `bellsill-testbed`. Exit status 0: all runs are valid and kept the rules; 1: a rule was broken, or a run failed
//! or is not valid; 2: the command failed, for instance because an experiment is invalid.

use crate::experiment::{self, Experiment, ExperimentError};
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
    about = "Runs dispatchers against modelled endpoints and faults, and reports the results"
)]
struct Cli {
    /// The log level of the testbed itself.
    #[arg(long, global = true, default_value = "warn", env = "BELLSILL_LAB_LOG")]
    log: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum DriveArg {
    Virtual,
    Sockets,
}

#[derive(Args)]
struct RunArgs {
    /// Run the long form of the experiments.
    #[arg(long)]
    long: bool,
    /// Override the drive of the experiments.
    #[arg(long)]
    drive: Option<DriveArg>,
    /// Override the seeds of the experiments, for example 1,2,3.
    #[arg(long, value_delimiter = ',')]
    seeds: Option<Vec<u64>>,
    /// The directory for stored runs, one line of JSON each; runs already stored there are reused.
    #[arg(long, default_value = "target/lab")]
    out: PathBuf,
    /// The dispatcher executable, for runs on sockets.
    #[arg(long, default_value = "target/release/bellsill")]
    program: PathBuf,
    /// Hide the progress bar.
    #[arg(long)]
    quiet: bool,
}

#[derive(Subcommand)]
enum Command {
    /// Runs experiments and writes a report next to their stored runs.
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
    /// Runs an experiment with several values of one field.
    Sweep {
        file: PathBuf,
        /// The field, for example load.rate or troubles[0].part.
        #[arg(long)]
        field: String,
        #[arg(long, value_delimiter = ',', required = true)]
        values: Vec<String>,
        #[command(flatten)]
        args: RunArgs,
    },
    /// Writes an HTML report from files of runs.
    Report {
        #[arg(required = true)]
        files: Vec<PathBuf>,
        #[arg(short, long, default_value = "report.html")]
        output: PathBuf,
    },
    /// Measures the cost of a dispatcher by the destinations it knows and the messages it holds, and fits slopes.
    Capacity(crate::capacity::CapacityArgs),
    /// Runs and measures hollow dispatchers and control processes on loopback.
    Hollow(HollowOptions),
    /// Worker process of `hollow`, which starts it; runs some of the dispatchers.
    #[command(hide = true)]
    HollowWorker { options: String },
    /// Validates experiments without running them.
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// Parses the command line, executes the command and returns the exit status.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&cli.log);
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
    match execute(cli.command) {
        Ok(passed) => ExitCode::from(u8::from(!passed)),
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::from(2)
        }
    }
}

fn run_options(args: &RunArgs) -> RunOptions {
    RunOptions {
        drive: args.drive.map(|d| match d {
            DriveArg::Virtual => Drive::Virtual,
            DriveArg::Sockets => Drive::Sockets,
        }),
        seeds: args.seeds.clone(),
        program: args.program.clone(),
        work: args.out.join("work"),
        quiet: args.quiet,
    }
}

/// Reads all experiments before the first run, so that an invalid one starts nothing.
fn read(files: &[PathBuf], long: bool) -> Result<Vec<Experiment>, ExperimentError> {
    files
        .iter()
        .map(|file| experiment::read(file, long))
        .collect()
}

fn all_passed(runs: &[RunLine]) -> bool {
    runs.iter()
        .all(|r| r.valid() && r.verdict.passed() && r.faults.is_empty())
}

/// Runs an experiment, prints a summary of each run and writes the report.
fn run_experiment(experiment: &Experiment, args: &RunArgs) -> Result<(Vec<RunLine>, PathBuf)> {
    let directory = args.out.join(&experiment.name);
    let runs = run::run_all(
        experiment,
        &run_options(args),
        &directory.join("runs.jsonl"),
    )?;
    runs.iter()
        .for_each(|run| println!("{}", run::summary(run)));
    let report = directory.join("report.html");
    write_report(&runs, &report)?;
    Ok((runs, report))
}

fn write_report(runs: &[RunLine], to: &Path) -> Result<()> {
    std::fs::write(to, crate::report::html(runs)?).with_context(|| to.display().to_string())?;
    println!("report: {}", to.display());
    Ok(())
}

fn execute(command: Command) -> Result<bool> {
    match command {
        Command::Capacity(args) => crate::capacity::execute(&args).map(|()| true),
        Command::Hollow(options) => crate::hollow::scenario::play(options),
        Command::HollowWorker { options } => crate::hollow::worker::run(&options).map(|()| true),
        Command::Check { files } => {
            let mut passed = true;
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
                        passed = false;
                    }
                }
            }
            anyhow::ensure!(passed, "at least one experiment is invalid");
            Ok(true)
        }
        Command::Run { files, args } => {
            let mut passed = true;
            for experiment in read(&files, args.long)? {
                passed &= all_passed(&run_experiment(&experiment, &args)?.0);
            }
            Ok(passed)
        }
        Command::Compare { files, args } => {
            let jsonl = |f: &PathBuf| f.extension().is_some_and(|e| e == "jsonl");
            let (runs, names) = match &files[..] {
                [one, two] if jsonl(one) && jsonl(two) => {
                    let of = |path: &Path| -> Result<Vec<RunLine>> {
                        let name = path.display().to_string();
                        let named = |r: RunLine| RunLine {
                            variant: format!("{name}: {}", r.variant),
                            ..r
                        };
                        Ok(run::read_runs(path)?.into_iter().map(named).collect())
                    };
                    let (one, two) = (of(one)?, of(two)?);
                    (one.into_iter().chain(two).collect(), "files")
                }
                [one] if !jsonl(one) => {
                    let experiment = experiment::read(one, args.long)?;
                    (run_experiment(&experiment, &args)?.0, "variants")
                }
                _ => anyhow::bail!(
                    "compare expects one experiment, or two files of runs that end in .jsonl"
                ),
            };
            let table = crate::compare::table(&runs);
            anyhow::ensure!(!table.is_empty(), "no two {names} have a seed in common");
            print!("{table}");
            Ok(all_passed(&runs))
        }
        Command::Sweep {
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
            let (runs, _) = run_experiment(&experiment, &args)?;
            print!("{}", crate::compare::sweep_lines(&runs));
            Ok(all_passed(&runs))
        }
        Command::Report { files, output } => {
            let mut runs = vec![];
            for file in &files {
                runs.extend(run::read_runs(file)?);
            }
            write_report(&runs, &output)?;
            Ok(all_passed(&runs))
        }
    }
}
