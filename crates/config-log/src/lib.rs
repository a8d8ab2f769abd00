//! A versioned log with snapshots on disk, independent of what its records contain.
//!
//! A record is bytes with an index; indices rise, starting at 1. A snapshot is the complete state that the records up to
//! an index lead to, as a list of byte strings. The directory of a log contains
//! - `log.INDEX`: a segment, the records after that index up to the next segment;
//! - `snapshot.INDEX`: the two latest snapshots, so that the earlier one with its segments can be used if the later one is
//!   damaged;
//! - `lock`, which keeps a second process out.
//!
//! [`ConfigLog::append`] writes and [`ConfigLog::sync`] makes durable: a caller announces a record after the sync. What was
//! written without a sync may be lost in a crash; what is left of it is cut off and counted. If synced data is damaged, the
//! log is not opened, see [`LogError::Corrupt`].

mod codec;
mod config_log;
mod directory;
mod error;
mod recovery;
mod segment;
mod segment_reader;
mod snapshot;

pub use codec::{FORMAT_VERSION, MAX_RECORD_BYTES};
pub use config_log::{ConfigLog, OpenedLog};
pub use error::{Damage, LogError, RejectReason, RejectedSnapshot};
pub use recovery::{Recovered, RecoveryReport};
pub use segment::NewRecord;
pub use segment_reader::Record;
pub use snapshot::Snapshot;
