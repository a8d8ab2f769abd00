//! The command line: what to do, and with which files.

use crate::event_loop::Daemon;
use crate::logger;
use crate::signals::Signals;
use crate::start;
use bellsill_control_plane as control_plane;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use log::LevelFilter;
use std::ffi::OsString;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit status where a process could not start or had to stop.
const FAILURE: u8 = 1;
/// The exit status of a bad command line or configuration.
const BAD_USAGE: u8 = 2;

const HELP: &str = "\
bellsill delivers messages to other firms' systems.

Usage: bellsill COMMAND [OPTIONS]

Commands:
  serve      run a dispatcher in the foreground
  check      read the configuration, say what is wrong with it, and end
  control    run a control process in the foreground
  version    print the version
  help       print this

Options of serve and check:
  --config FILE   the configuration (else RELAY_CONFIG)
  --state DIR     the folder that lasts (else RELAY_STATE, else the configuration's `state`)
  --installation FILE
                  have the part of the configuration that the control processes named there send
                  (else BELLSILL_INSTALLATION, else everything that discovery sends)
  --log LEVEL     error, warn, info, debug or off (info)

Options of control: --config FILE (of a control process, see docs/configuration.md) and --log LEVEL.

On SIGHUP serve reads the configuration again and applies a new `discovery`; the log says which other changes need a
restart. Exit status: 0 after a shutdown by signal, 1 on a failure, 2 on a bad command line or configuration.
";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Command {
    Serve,
    Check,
    Control,
    Version,
    Help,
}

/// The command line, read.
#[derive(Debug)]
struct Arguments {
    command: Command,
    config: Option<PathBuf>,
    state: Option<PathBuf>,
    installation: Option<PathBuf>,
    log_level: LevelFilter,
}

/// Why a command ends without success: what is printed, and the exit status.
struct CommandError {
    message: String,
    status: u8,
}

impl CommandError {
    fn failure(error: impl Display) -> CommandError {
        CommandError {
            message: error.to_string(),
            status: FAILURE,
        }
    }

    fn bad_usage(error: impl Display) -> CommandError {
        CommandError {
            message: error.to_string(),
            status: BAD_USAGE,
        }
    }
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Arguments, lexopt::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut command = None;
    let mut arguments = Arguments {
        command: Command::Help,
        config: None,
        state: None,
        installation: None,
        log_level: LevelFilter::Info,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => arguments.config = Some(parser.value()?.into()),
            Long("state") => arguments.state = Some(parser.value()?.into()),
            Long("installation") => arguments.installation = Some(parser.value()?.into()),
            Long("log") => arguments.log_level = parser.value()?.parse()?,
            Long("help") | Short('h') => command = Some(Command::Help),
            Long("version") | Short('V') => command = Some(Command::Version),
            Value(word) if command.is_none() => {
                command = Some(match word.to_string_lossy().as_ref() {
                    "serve" => Command::Serve,
                    "check" => Command::Check,
                    "control" => Command::Control,
                    "version" => Command::Version,
                    "help" => Command::Help,
                    _ => return Err(Value(word).unexpected()),
                });
            }
            _ => return Err(arg.unexpected()),
        }
    }
    arguments.command =
        command.ok_or("a command is missing: serve, check, control, version or help")?;
    Ok(arguments)
}

/// Runs the command that the command line names, and returns the exit status.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let result = parse(args)
        .map_err(|e| CommandError::bad_usage(format!("{e}\n\n{HELP}")))
        .and_then(run_command);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError { message, status }) => {
            eprintln!("bellsill: {message}");
            ExitCode::from(status)
        }
    }
}

fn run_command(arguments: Arguments) -> Result<(), CommandError> {
    match arguments.command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("bellsill {}", env!("CARGO_PKG_VERSION")),
        Command::Control => run_control(arguments)?,
        Command::Serve | Command::Check => run_dispatcher(arguments)?,
    }
    Ok(())
}

fn environment_path(variable: &str) -> Option<PathBuf> {
    std::env::var_os(variable).map(PathBuf::from)
}

/// Reads a dispatcher's configuration, and runs it unless that was only to be checked.
fn run_dispatcher(arguments: Arguments) -> Result<(), CommandError> {
    logger::start(arguments.log_level);
    // Before anything is read: an early signal is handled once the dispatcher runs, and does not kill the process.
    let signals = Signals::install().map_err(|e| CommandError::failure(format!("signals: {e}")))?;
    let config = arguments
        .config
        .or_else(|| environment_path("RELAY_CONFIG"))
        .ok_or_else(|| {
            CommandError::bad_usage("no configuration: give --config or RELAY_CONFIG")
        })?;
    let state = arguments.state.or_else(|| environment_path("RELAY_STATE"));
    let installation = arguments
        .installation
        .or_else(|| environment_path("BELLSILL_INSTALLATION"));
    let start = start::read_all(&config, state, installation.as_deref())
        .map_err(CommandError::bad_usage)?;
    if arguments.command == Command::Check {
        println!(
            "{}: good, for {} on {}",
            config.display(),
            start.name,
            start.listen
        );
        return Ok(());
    }
    Daemon::start(start, signals)
        .and_then(|mut daemon| daemon.run())
        .map_err(CommandError::failure)
}

/// Runs a control process until a signal ends it.
fn run_control(arguments: Arguments) -> Result<(), CommandError> {
    logger::start(arguments.log_level);
    let file = arguments
        .config
        .ok_or_else(|| CommandError::bad_usage("no configuration: give --config"))?;
    let config = control_plane::Config::read(&file)
        .map_err(|e| CommandError::bad_usage(format!("configuration: {e}")))?;
    let signals = Signals::install().map_err(CommandError::failure)?;
    let stop = control_plane::Stop {
        wake: signals.wake,
        requested: signals.shutdown,
    };
    control_plane::run(config, stop).map_err(CommandError::failure)
}
