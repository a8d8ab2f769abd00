//! bellsill delivers messages to other firms' systems. This library holds its decisions and nothing of any wire:
//! [`control`] decides, [`interface`] declares its inputs and its actions.
// Not finished yet: see docs/ROADMAP.md.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

pub mod control;
pub mod interface;
pub mod random;
mod state;
