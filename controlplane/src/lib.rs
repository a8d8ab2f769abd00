//! A control process: one thread that keeps the configuration as a versioned log on disk, and tells dispatchers and other
//! control processes what changes. `docs/configuration.md` is the protocol; [`config`] reads what a process is told at its
//! start, [`run`] runs it.
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
