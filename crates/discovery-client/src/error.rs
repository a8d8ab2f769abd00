//! Why a line or a destination is rejected by a list.

use bellsill_directory::line::Version;
use std::error::Error;
use std::fmt;

/// Why a line of the watch cannot be applied. Nothing of it is.
#[derive(Debug)]
pub enum ScopedLineError {
    /// It is not the JSON of a line.
    Malformed(serde_json::Error),
    /// It claims to be a complete list, as that of a plain discovery server: what it does not name would be gone.
    FullList,
    /// Its version is before the one that was received already.
    VersionRegressed {
        /// The version that was received already.
        known: Version,
        /// The version of the line.
        found: Version,
    },
    /// The answer to a lookup is of another log than the watch.
    LogMismatch(String),
}

impl fmt::Display for ScopedLineError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScopedLineError::Malformed(error) => {
                write!(f, "it is not a line of a scoped watch: {error}")
            }
            ScopedLineError::FullList => write!(
                f,
                "it is a complete list: the address is that of a plain discovery server, not of a control process"
            ),
            ScopedLineError::VersionRegressed { known, found } => write!(
                f,
                "its version {} is before {}, which was received already",
                found.0, known.0
            ),
            ScopedLineError::LogMismatch(log) => {
                write!(f, "it is of log {log}, and the watch is of another one")
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

/// There is no capacity for one more destination outside of the buckets: all that are cached are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

impl fmt::Display for CacheFull {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "the cache of destinations is full, and all of them are in use"
        )
    }
}

impl Error for CacheFull {}
