//! Building blocks for the network programs of an installation: ring buffers, slot tables with generational ids, a
//! timer queue, an HTTP/1.1 client codec and a classification of system call errors. Nothing in this crate opens sockets, reads the clock or makes decisions.

pub mod call_errors;
pub mod http;
pub mod ring_buffer;
pub mod slot_table;
pub mod timer_queue;

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
