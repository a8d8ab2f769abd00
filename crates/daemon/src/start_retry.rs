//! Retries startup steps that fail temporarily, such as reading the state directory or opening a listener, before
//! clients are served.

use std::fmt::Display;
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long startup retries: the platform treats a dispatcher that is not ready within 30 s as failed.
const RETRY_FOR: Duration = Duration::from_secs(25);
/// The delay between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Errors that only the operator can fix, such as a directory without permission or an address in use. Startup fails at
/// once on them.
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

/// Whether a retry may succeed: the disk is full or failing, or a system resource is exhausted.
pub(crate) fn is_transient(e: &io::Error) -> bool {
    let is_system_error = e.raw_os_error().is_some() || e.kind() == ErrorKind::StorageFull;
    is_system_error && !PERMANENT_ERRORS.contains(&e.kind())
}

/// Retries `attempt`, which log lines call `operation`, while it fails with a transient error, until `RETRY_FOR` has
/// passed or shutdown is requested.
pub fn retry_transient<T>(
    shutdown_requested: &AtomicBool,
    operation: &str,
    attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    retry_while(shutdown_requested, operation, is_transient, attempt)
}

/// Like [`retry_transient`], for errors of any type, of which `may_pass` tells the transient ones.
pub(crate) fn retry_while<T, E: Display>(
    shutdown_requested: &AtomicBool,
    operation: &str,
    may_pass: impl Fn(&E) -> bool,
    mut attempt: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let deadline = Instant::now() + RETRY_FOR;
    let mut has_logged = false;
    loop {
        match attempt() {
            Err(e)
                if may_pass(&e)
                    && Instant::now() < deadline
                    && !shutdown_requested.load(Ordering::SeqCst) =>
            {
                if !std::mem::replace(&mut has_logged, true) {
                    log::error!(
                        "startup: cannot {operation}, retrying for up to {} s: {e}",
                        RETRY_FOR.as_secs()
                    );
                }
                sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
