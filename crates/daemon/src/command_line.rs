//! The command line: commands, options and exit statuses.

use crate::event_loop::Daemon;
use crate::logger;
use crate::signals::Signals;
use crate::start::{self, ConfigError};
use crate::start_retry;
use bellsill_control_plane as control_plane;
use lexopt::Arg::{Long, Short, Value};
use lexopt::ValueExt;
use log::LevelFilter;
use std::ffi::OsString;
use std::fmt::Display;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;

/// The exit status of a process that could not start or stopped because of an error.
const FAILURE: u8 = 1;
/// The exit status for an invalid command line or configuration.
const USAGE_ERROR: u8 = 2;

const HELP: &str = "\
bellsill delivers messages to the systems of other companies.

Usage: bellsill COMMAND [OPTIONS]

Commands:
  serve      run a dispatcher in the foreground
  check      check the configuration, print any error, and exit
  control    run a control process in the foreground
  version    print the version
  help       print this help

Options of serve and check:
  --config FILE   the configuration file (default: RELAY_CONFIG)
  --state DIR     the state directory (default: RELAY_STATE, then the configuration's `state`)
  --installation FILE
                  the installation file: hold only the part of the configuration that its control processes send
                  (default: BELLSILL_INSTALLATION; without it, everything that discovery sends)
  --log LEVEL     error, warn, info, debug or off (default: info)

Options of control:
  --config FILE   the configuration file of a control process, see docs/configuration.md
  --log LEVEL     error, warn, info, debug or off (default: info)

On SIGHUP, serve reloads the configuration and applies a changed `discovery`; changes that need a restart are logged.
Exit status: 0 after a shutdown by signal, 1 on a failure, 2 on an invalid command line or configuration.
";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Command {
    Serve,
    Check,
    Control,
    Version,
    Help,
}

/// The parsed command line.
#[derive(Debug)]
struct Arguments {
    command: Command,
    config: Option<PathBuf>,
    state: Option<PathBuf>,
    installation: Option<PathBuf>,
    log_level: LevelFilter,
}

/// An error that ends a command: the message to print, and the exit status.
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

    fn usage_error(error: impl Display) -> CommandError {
        CommandError {
            message: error.to_string(),
            status: USAGE_ERROR,
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
        command.ok_or("missing command: expected serve, check, control, version or help")?;
    Ok(arguments)
}

/// Runs the command given on the command line, and returns the exit status.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let result = parse(args)
        .map_err(|e| CommandError::usage_error(format!("{e}\n\n{HELP}")))
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

/// Reads the configuration of a dispatcher, and for `serve` runs the dispatcher.
fn run_dispatcher(arguments: Arguments) -> Result<(), CommandError> {
    logger::start(arguments.log_level);
    // Signal handlers are installed before anything is read, so that an early signal does not kill the process but is
    // handled once the dispatcher runs.
    let signals = start_retry::retry_transient(
        &AtomicBool::new(false),
        "install the signal handlers",
        Signals::install,
    )
    .map_err(|e| CommandError::failure(format!("cannot install the signal handlers: {e}")))?;
    let config = arguments
        .config
        .or_else(|| environment_path("RELAY_CONFIG"))
        .ok_or_else(|| {
            CommandError::usage_error("no configuration file: set --config or RELAY_CONFIG")
        })?;
    let state = arguments.state.or_else(|| environment_path("RELAY_STATE"));
    let installation = arguments
        .installation
        .or_else(|| environment_path("BELLSILL_INSTALLATION"));
    let start = start_retry::retry_while(
        &signals.shutdown,
        "read the configuration",
        ConfigError::may_pass,
        || start::read_with_installation(&config, state.clone(), installation.as_deref()),
    )
    .map_err(CommandError::usage_error)?;
    if arguments.command == Command::Check {
        println!(
            "{}: valid configuration of dispatcher {}, listen address {}",
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

/// Runs a control process until a signal stops it.
fn run_control(arguments: Arguments) -> Result<(), CommandError> {
    logger::start(arguments.log_level);
    let file = arguments
        .config
        .ok_or_else(|| CommandError::usage_error("no configuration file: set --config"))?;
    let config = control_plane::Config::read(&file).map_err(|e| {
        CommandError::usage_error(format!(
            "cannot load the configuration of the control process from {}: {e}",
            file.display()
        ))
    })?;
    let signals = Signals::install()
        .map_err(|e| CommandError::failure(format!("cannot install the signal handlers: {e}")))?;
    let stop = control_plane::Stop {
        wake: signals.wake,
        requested: signals.shutdown,
    };
    control_plane::run(config, stop).map_err(CommandError::failure)
}
