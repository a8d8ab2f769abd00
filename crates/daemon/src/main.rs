//! The `bellsill` executable, which runs a dispatcher or a control process.

use std::process::ExitCode;

fn main() -> ExitCode {
    bellsill_daemon::command_line::run(std::env::args_os().skip(1))
}
