//! What every program of the installation that speaks over sockets needs, itself without sockets, clock or decisions:
//! ring buffers, tables with generational ids, a timer queue and an HTTP/1.1 codec.

pub mod http;
pub mod ring_buffer;
pub mod slot_table;
pub mod timer_queue;

/// A time or a duration, in whole nanoseconds.
pub type Nanos = u64;
