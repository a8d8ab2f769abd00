//! Why a record is not in the journal's file.

use std::io;
use thiserror::Error;

/// Why the journal could not write.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The disk quota of the state folder leaves no capacity.
    #[error("all files together would exceed the disk quota")]
    DiskQuota,
    /// The disk or its file system failed.
    #[error("cannot write: {0}")]
    Io(#[from] io::Error),
    /// The file ends with an incomplete record, and neither truncation nor a new file got rid of it.
    #[error("the incomplete record at the end of the file cannot be removed: {0}")]
    Unrepaired(#[source] Box<JournalError>),
}

/// The start of a dispatcher decides by the kind of an I/O error whether it tries again.
impl From<JournalError> for io::Error {
    fn from(error: JournalError) -> io::Error {
        match error {
            JournalError::DiskQuota => io::Error::new(io::ErrorKind::StorageFull, error),
            JournalError::Io(source) => source,
            JournalError::Unrepaired(cause) => io::Error::from(*cause),
        }
    }
}
