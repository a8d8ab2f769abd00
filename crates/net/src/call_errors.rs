//! Classifies the errors of system calls.

use std::io;

/// Whether the same call may succeed later, because the system was interrupted or short of a resource. Such an error says
/// nothing about the peer of a connection.
pub fn is_transient(error: &io::Error) -> bool {
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
