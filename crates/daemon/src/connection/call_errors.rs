//! Repeats calls on connections that fail.

use bellsill_net::call_errors::is_transient;
use std::io;

/// Makes a call, and makes it once more if it fails with an error that is not transient. A connection that is really
/// broken fails again or reports its end.
pub(super) fn call_twice<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    match call() {
        Err(e) if !is_transient(&e) => call(),
        result => result,
    }
}
