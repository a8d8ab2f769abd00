//! A durable record log with snapshots, independent of what its records contain.
//!
//! A record is a byte string with an index; indices start at 1 and increase strictly, but may have gaps. A snapshot is
//! the complete state after all records up to an index, as a list of byte strings. The directory of a log contains
//! - `log.INDEX`: a segment, which holds the records after that index up to the start of the next segment;
//! - `snapshot.INDEX`: the two latest snapshots; if the later one is damaged, the earlier one and the segments after it
//!   are used;
//! - `lock`: a lock file, which prevents a second process from opening the log.
//!
//! [`ConfigLog::append`] writes a record and [`ConfigLog::sync`] makes it durable; a caller must not announce a record
//! before the sync. A crash may lose records that were not synced; on opening, an incomplete remainder of them is
//! truncated and its size reported. If synced data is damaged, opening the log fails with [`LogError::Corrupt`].

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
