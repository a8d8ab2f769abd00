//! Errors of writing to the journal.

use std::io;
use thiserror::Error;

/// The reason that the journal could not be written.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The write would exceed the disk quota of the state directory.
    #[error("the files of the state directory would exceed the disk quota")]
    DiskQuota,
    /// An operation on the journal file failed.
    #[error("operation on the journal file failed: {0}")]
    Io(#[from] io::Error),
    /// The file ends with an incomplete record, and neither truncating nor replacing the file succeeded.
    #[error("the incomplete record at the end of the journal file cannot be removed: {0}")]
    Unrepaired(#[source] Box<JournalError>),
}

/// The kind of the I/O error decides whether the start of a dispatcher is retried.
impl From<JournalError> for io::Error {
    fn from(error: JournalError) -> io::Error {
        match error {
            JournalError::DiskQuota => io::Error::new(io::ErrorKind::StorageFull, error),
            JournalError::Io(source) => source,
            JournalError::Unrepaired(cause) => io::Error::from(*cause),
        }
    }
}
