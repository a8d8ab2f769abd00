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

/// Like [`call_twice`], for a read that returns whether the stream has ended. A stream that ends after an error was broken,
/// and what came before may be incomplete.
pub(super) fn read_twice(mut read: impl FnMut() -> io::Result<bool>) -> io::Result<bool> {
    match read() {
        Err(e) if !is_transient(&e) => match read() {
            Ok(true) => Err(e),
            result => result,
        },
        result => result,
    }
}
