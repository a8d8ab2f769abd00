//! A dispatcher's watch on its configuration: a state machine without sockets, clock or threads. It is told what happened to
//! its connections and timers, and answers with [`Command`]s for whoever has the sockets.
//!
//! [`Watch::plain`] follows one discovery and the whole list of endpoints. [`Watch::scoped`] follows one of several control
//! processes, and with it the buckets of one dispatcher, kept in a [`ScopedList`]; `docs/configuration.md` has the contract.
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
#![forbid(unsafe_code)]

pub mod backoff;
pub mod call;
pub mod cell_cache;
pub mod documents;
pub mod lookup;
pub mod scoped_list;
pub mod server_order;
pub mod state_file;
pub mod watch;

pub use call::CallId;
pub use scoped_list::{
    Applied, BucketMap, CacheFull, Knowledge, ListCounters, ScopedLineError, ScopedList,
};
pub use state_file::StateFileError;
pub use watch::{Command, Counters, Received, ScopedOptions, Timer, Watch};
