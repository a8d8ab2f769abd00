//! What every program of the installation that speaks over sockets needs, itself without sockets, clock or decisions:
//! ring buffers, numbered slots, deadlines and the HTTP/1.1 that is spoken.

pub mod deadlines;
pub mod http;
pub mod ring;
pub mod slots;

/// Nanoseconds: since the start of the wall clock's count where a time is meant.
pub type Nanos = u64;
