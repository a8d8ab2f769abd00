//! A dispatcher's watch on its configuration, as a state machine that performs no I/O, reads no clock and starts no
//! threads. The caller owns the sockets and timers: it reports their events to the watch and executes the [`Command`]s
//! that the watch returns.
//!
//! [`Watch::plain`] receives the complete list of endpoints from one discovery server. [`Watch::scoped`] connects to
//! one of several control processes and maintains the entries of one dispatcher's buckets in a [`ScopedList`]. The
//! protocol is specified in `docs/configuration.md`.
#![forbid(unsafe_code)]

mod applied;
pub mod backoff;
mod bucket_map;
mod bucket_set;
mod call;
mod call_table;
mod command;
mod counters;
mod destination_cache;
mod documents;
mod endpoint_table;
mod error;
mod lookup;
mod plain_source;
mod query;
mod response;
mod scope;
pub mod scoped_list;
mod scoped_source;
mod server_order;
mod source;
mod state_file;
mod tombstones;
pub mod watch;

pub use applied::Applied;
pub use bucket_map::BucketMap;
pub use call::CallId;
pub use command::{Command, LookupRequested, Received, Timer};
pub use counters::{Counters, ListCounters};
pub use error::{CacheFull, ScopedLineError};
pub use scoped_list::{DestinationStatus, ScopedList};
pub use scoped_source::ScopedOptions;
pub use state_file::StateFileError;
pub use watch::Watch;
