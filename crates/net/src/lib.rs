//! What every program of the installation that speaks over sockets needs, itself without sockets, clock or decisions:
//! ring buffers, numbered slots, deadlines and the HTTP/1.1 that is spoken.
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

pub mod deadlines;
pub mod http;
pub mod ring;
pub mod slots;

/// Nanoseconds: since the start of the wall clock's count where a time is meant.
pub type Nanos = u64;
