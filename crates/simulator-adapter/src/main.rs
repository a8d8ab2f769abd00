//! Connects the decision logic of `bellsill-core` to the simulator's line protocol on standard input and output.
//!
//! The adapter makes no decisions: it decodes lines into events, passes them to the dispatcher instance that they name,
//! and encodes the resulting actions as lines.

mod actions;
mod endpoint_list;
mod error;
mod events;
mod instance;
mod line;
mod session;

use session::run_session;
use std::io::{stdin, stdout};
use std::process::ExitCode;

/// The exit status after a session error, such as an invalid input line.
const SESSION_ERROR_STATUS: u8 = 2;

fn main() -> ExitCode {
    match run_session(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bellsill-simulator-adapter: {error}");
            ExitCode::from(SESSION_ERROR_STATUS)
        }
    }
}
