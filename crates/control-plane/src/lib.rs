//! The control process: a single thread that stores the configuration as a versioned log on disk and streams changes to
//! dispatchers and other control processes. `docs/configuration.md` specifies the protocol. [`config`] reads the
//! settings of a process; [`run`] runs it.
#![deny(unsafe_code)]

pub mod config;
pub mod presence;
pub mod process;

mod clients;
mod connection;
mod connections;
mod context;
mod follower;
mod http_server;
mod leader;
mod metrics;
mod replica;
mod replication;
mod server;
mod storage;
mod time;
mod write_request;

pub use config::Config;
pub use process::{RunError, Stop, run};
pub use storage::StorageError;
