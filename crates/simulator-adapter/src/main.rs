//! Adapts the decisions of `bellsill-core` to the simulator's line protocol on standard input and output.
//!
//! The adapter decides nothing: it decodes lines into events, hands them to the dispatcher they name, and encodes the
//! dispatcher's actions as lines.

mod actions;
mod endpoint_list;
mod error;
mod events;
mod instance;
mod line;
mod session;

use session::serve;
use std::io::{stdin, stdout};
use std::process::ExitCode;

/// Exit status after input that cannot be read.
const INVALID_INPUT: u8 = 2;

fn main() -> ExitCode {
    match serve(stdin().lock(), stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bellsill-simulator-adapter: {error}");
            ExitCode::from(INVALID_INPUT)
        }
    }
}
