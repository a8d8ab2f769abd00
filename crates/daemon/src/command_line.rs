//! The command line: what to do, and with which files.

use crate::event_loop::Daemon;
use crate::signals::Signals;
use crate::start;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

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
                  hold the part of the configuration that the control processes named there tell
                  (else BELLSILL_INSTALLATION, else everything that discovery tells)
  --log LEVEL     error, warn, info, debug or off (info)

Options of control: --config FILE (of a control process, see docs/configuration.md) and --log LEVEL.

On SIGHUP serve reads the configuration again, and takes a new `discovery` from it; the log says what else it would need
a restart for. Ends with 0 when it was told to leave, 1 when it could not go on, 2 on a bad command line or configuration.
";

#[derive(Debug, PartialEq)]
enum Command {
    Serve,
    Check,
    Control,
    Version,
    Help,
}

#[derive(Debug)]
struct Line {
    command: Command,
    file: Option<PathBuf>,
    state: Option<PathBuf>,
    installation: Option<PathBuf>,
    log: log::LevelFilter,
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Line, lexopt::Error> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_args(args);
    let mut command = None;
    let mut line = Line {
        command: Command::Help,
        file: None,
        state: None,
        installation: None,
        log: log::LevelFilter::Info,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("config") => line.file = Some(parser.value()?.into()),
            Long("state") => line.state = Some(parser.value()?.into()),
            Long("installation") => line.installation = Some(parser.value()?.into()),
            Long("log") => line.log = parser.value()?.parse()?,
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
    line.command = command.ok_or("a command is missing: serve, check, control, version or help")?;
    Ok(line)
}

/// Does what the command line says.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let line = match parse(args) {
        Ok(line) => line,
        Err(e) => {
            eprintln!("bellsill: {e}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    match line.command {
        Command::Help => print!("{HELP}"),
        Command::Version => println!("bellsill {}", env!("CARGO_PKG_VERSION")),
        Command::Control => return control(line),
        Command::Serve | Command::Check => {
            crate::logger::start(line.log);
            // Before anything is read: a signal that comes early is met later, and ends nothing by itself.
            let told = match Signals::install() {
                Ok(told) => told,
                Err(e) => {
                    eprintln!("bellsill: signals: {e}");
                    return ExitCode::from(1);
                }
            };
            let variable = |name: &str| std::env::var_os(name).map(PathBuf::from);
            let Some(file) = line.file.or_else(|| variable("RELAY_CONFIG")) else {
                eprintln!("bellsill: no configuration: give --config or RELAY_CONFIG");
                return ExitCode::from(2);
            };
            let state = line.state.or_else(|| variable("RELAY_STATE"));
            let installation = line
                .installation
                .or_else(|| variable("BELLSILL_INSTALLATION"));
            let start = match start::read_all(&file, state, installation.as_deref()) {
                Ok(start) => start,
                Err(e) => {
                    eprintln!("bellsill: {e}");
                    return ExitCode::from(2);
                }
            };
            if line.command == Command::Check {
                println!(
                    "{}: good, for {} on {}",
                    file.display(),
                    start.name,
                    start.listen
                );
            } else if let Err(e) = Daemon::start(start, told).and_then(|mut daemon| daemon.run()) {
                eprintln!("bellsill: {e}");
                return ExitCode::from(1);
            }
        }
    }
    ExitCode::SUCCESS
}

/// Runs a control process until a signal ends it.
fn control(line: Line) -> ExitCode {
    crate::logger::start(line.log);
    let Some(file) = line.file else {
        eprintln!("bellsill: no configuration: give --config");
        return ExitCode::from(2);
    };
    let config = match bellsill_control_plane::Config::read(&file) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("bellsill: configuration: {e}");
            return ExitCode::from(2);
        }
    };
    let run = |told: Signals| {
        let stop = bellsill_control_plane::Stop {
            wake: told.wake,
            requested: told.shutdown,
        };
        bellsill_control_plane::run(config, stop)
    };
    match Signals::install().map_err(Into::into).and_then(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bellsill: {e}");
            ExitCode::from(1)
        }
    }
}
