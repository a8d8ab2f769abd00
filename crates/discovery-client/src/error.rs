//! Errors of applying a line to a list and of caching a destination.

use bellsill_directory::line::Version;
use std::error::Error;
use std::fmt;

/// The reason why a line of the watch was rejected. A rejected line is not applied in part.
#[derive(Debug)]
pub enum ScopedLineError {
    /// The line is not the JSON form of a [`ScopedLine`](bellsill_directory::line::ScopedLine).
    Malformed(serde_json::Error),
    /// The line is marked as a complete list, as a plain discovery server sends it. Applying it would remove every
    /// entry that it does not contain.
    FullList,
    /// The version of the line is lower than the version that is already applied.
    VersionRegressed {
        /// The version that is already applied.
        known: Version,
        /// The version of the line.
        found: Version,
    },
    /// The response to a lookup is from another log than the watch.
    LogMismatch(String),
}

impl fmt::Display for ScopedLineError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScopedLineError::Malformed(error) => {
                write!(f, "malformed line of a scoped watch: {error}")
            }
            ScopedLineError::FullList => write!(
                f,
                "received a complete list: the server is a plain discovery server, not a control process"
            ),
            ScopedLineError::VersionRegressed { known, found } => write!(
                f,
                "version {} is lower than version {}, which is already applied",
                found.0, known.0
            ),
            ScopedLineError::LogMismatch(log) => {
                write!(
                    f,
                    "the response is from log {log}, the watch from another one"
                )
            }
        }
    }
}

impl Error for ScopedLineError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            ScopedLineError::Malformed(error) => Some(error),
            _ => None,
        }
    }
}

/// The destination cache is at its maximum size, and all cached destinations are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

impl fmt::Display for CacheFull {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "the destination cache is full and every cached destination is in use"
        )
    }
}

impl Error for CacheFull {}
