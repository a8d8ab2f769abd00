//! A versioned log with snapshots on disk, whatever it holds.
//!
//! A record is bytes with an index; indices rise. A snapshot is all that the records up to an index lead to, as a list of
//! byte strings. The directory of a log has
//! - `log.INDEX`: the records after that index, up to the next such file;
//! - `snapshot.INDEX`: the two latest snapshots, so that the earlier one with its logs serves where the later is damaged;
//! - `lock`, which keeps a second process out.
//!
//! [`ConfigLog::append`] writes, [`ConfigLog::sync`] makes durable: a caller announces a record after the sync. What was
//! written without a sync may be lost in a crash; what is left of it is cut off and counted. Damage to what was synced
//! refuses the log, see [`LogError::Corrupt`].
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

mod codec;
mod config_log;
mod directory;
mod error;
mod segment;
mod snapshot;

pub use codec::{FORMAT_VERSION, LONGEST_RECORD};
pub use config_log::{ConfigLog, Recovered, RecoveryReport};
pub use error::{Damage, LogError, RejectReason, Rejected};
pub use segment::Record;
pub use snapshot::Snapshot;
