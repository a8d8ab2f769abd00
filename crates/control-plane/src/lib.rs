//! A control process: one thread that keeps the configuration as a versioned log on disk, and tells dispatchers and other
//! control processes what changes. `docs/configuration.md` is the protocol; [`config`] reads what a process is told at its
//! start, [`run`] runs it.
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
#![deny(unsafe_code)]

pub mod config;
pub mod figures;
pub mod presence;
pub mod process;

mod connections;
mod disk;
mod follower;
mod http_server;
mod server;
mod writer;

pub use config::Config;
pub use process::{RunError, Stop, run};
