//! The versioned configuration of destinations: its entries, the records that change them, and the lines in which a
//! watch sends them. This crate does no I/O, reads no clock and starts no threads. `docs/configuration.md` describes
//! the requests and lines.

mod bucket_fill;
pub mod complete_line;
mod complete_scope;
pub mod entries;
pub mod entry;
pub mod feed;
pub mod history;
pub mod line;
mod line_budget;
mod member_scope;
mod pending_changes;
pub mod rate_limiter;
pub mod record;
pub mod request;
pub mod snapshot;
pub mod state;
pub mod watchers;
