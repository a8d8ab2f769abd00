//! Locks on files that processes with the same state directory share.

use std::fs::{File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// The result of locking a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Lock {
    /// This process holds the lock until the file is closed.
    Acquired,
    /// Another process holds the lock, or the file is no longer the one at its path.
    HeldElsewhere,
}

/// Locks a file against other processes. On a file system without locks nothing keeps them apart. After an error it is
/// not known who holds the lock.
pub(crate) fn try_lock(file: &File) -> io::Result<Lock> {
    match file.try_lock() {
        Ok(()) => Ok(Lock::Acquired),
        Err(TryLockError::WouldBlock) => Ok(Lock::HeldElsewhere),
        Err(TryLockError::Error(e)) if has_no_locks(&e) => Ok(Lock::Acquired),
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// Whether this error of locking a file means that its file system has no locks.
fn has_no_locks(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::ENOSYS | libc::EOPNOTSUPP | libc::EINVAL)
    )
}

/// Locks an open file, and checks that it is still the one at its path.
pub(crate) fn try_lock_at(file: &File, path: &Path) -> io::Result<Lock> {
    match try_lock(file)? {
        Lock::Acquired if is_file_at(file, path) => Ok(Lock::Acquired),
        _ => Ok(Lock::HeldElsewhere),
    }
}

/// Whether the open file is still the one at that path. Another process may have replaced or removed it after it was
/// opened and before it was locked.
fn is_file_at(file: &File, path: &Path) -> bool {
    let at_path = std::fs::metadata(path).map(|metadata| metadata.ino());
    matches!((at_path, file.metadata()), (Ok(at_path), Ok(file)) if at_path == file.ino())
}
