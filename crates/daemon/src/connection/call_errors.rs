//! Classifies the errors of system calls.

use std::io;

/// Whether the same call may succeed later, because the system was interrupted or short of a resource. Such an error says
/// nothing about the peer of a connection.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EINTR
                | libc::EAGAIN
                | libc::ENOMEM
                | libc::ENOBUFS
                | libc::EMFILE
                | libc::ENFILE
                | libc::ENOSPC
                | libc::EADDRNOTAVAIL
                | libc::ENOLCK
                | libc::EBUSY
                | libc::EIO
        )
    )
}

/// Makes a call, and makes it once more if it fails with an error that is not transient. A connection that is really
/// broken fails again or reports its end.
pub(super) fn call_twice<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    match call() {
        Err(e) if !is_transient(&e) => call(),
        result => result,
    }
}
