//! The configuration, its records and snapshots, and what its watchers are sent.

mod feed;
mod installation;
mod state;
