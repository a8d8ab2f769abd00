//! Retries of what fails temporarily at a start, in the state folder or for want of a socket, before clients are answered.

use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long a start retries: the platform counts a dispatcher that is not ready within 30 s as failed.
const RETRY_FOR: Duration = Duration::from_secs(25);
/// The pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Errors that only the operator can mend, such as a folder without permission or an address in use: they end the start at
/// once.
const PERMANENT_ERRORS: [ErrorKind; 9] = [
    ErrorKind::PermissionDenied,
    ErrorKind::NotADirectory,
    ErrorKind::IsADirectory,
    ErrorKind::NotFound,
    ErrorKind::ReadOnlyFilesystem,
    ErrorKind::ResourceBusy,
    ErrorKind::AddrInUse,
    ErrorKind::AddrNotAvailable,
    ErrorKind::InvalidInput,
];

/// Whether a call may succeed if it is made again: the disk is full or fails, or the system is out of a resource.
fn is_transient(e: &io::Error) -> bool {
    let is_of_the_system = e.raw_os_error().is_some() || e.kind() == ErrorKind::StorageFull;
    is_of_the_system && !PERMANENT_ERRORS.contains(&e.kind())
}

/// Makes a call again and again while it fails with a transient error, unless the process has to end.
pub fn wait_out<T>(
    shutdown_requested: &AtomicBool,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let give_up_at = Instant::now() + RETRY_FOR;
    let mut has_logged = false;
    loop {
        match attempt() {
            Err(e)
                if is_transient(&e)
                    && Instant::now() < give_up_at
                    && !shutdown_requested.load(Ordering::SeqCst) =>
            {
                if !std::mem::replace(&mut has_logged, true) {
                    log::error!("startup waits for a temporary failure to pass: {e}");
                }
                sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
