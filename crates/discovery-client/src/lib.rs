//! A dispatcher's watch on its configuration: a state machine without sockets, clock or threads. The owner of the sockets
//! reports what happened to connections and timers, and carries out the [`Command`]s that the watch answers with.
//!
//! [`Watch::plain`] follows one discovery server and the complete list of endpoints. [`Watch::scoped`] follows one of several
//! control processes, and with it the buckets of one dispatcher, in a [`ScopedList`]; `docs/configuration.md` has the
//! contract.
#![forbid(unsafe_code)]

mod answer;
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
mod removed_endpoints;
mod scope;
pub mod scoped_list;
mod scoped_source;
mod server_order;
mod source;
mod state_file;
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
