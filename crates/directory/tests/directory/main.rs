//! Tests of the configuration, its records and snapshots, and the lines sent to watchers.

mod feed;
mod installation;
mod state;
