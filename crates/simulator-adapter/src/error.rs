//! What can go wrong in a session.

use std::fmt;
use std::io;

/// A line that is not of the simulator's protocol.
#[derive(Debug)]
pub(crate) enum LineError {
    /// The line has a field without a value.
    NotPairs { line: String },
    /// A field is missing or not of the expected form. An empty field name stands for the line's name.
    Field {
        line: String,
        field: String,
        expected: String,
    },
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LineError::NotPairs { line } => {
                write!(f, "line {line:?}: expected name=value pairs")
            }
            LineError::Field {
                line,
                field,
                expected,
            } => write!(f, "line {line:?}: field {field:?}: expected {expected}"),
        }
    }
}

impl std::error::Error for LineError {}

/// Why a session ended before its input did.
#[derive(Debug)]
pub(crate) enum SessionError {
    Read(io::Error),
    Write(io::Error),
    /// The input ended before the batch did.
    UnfinishedBatch,
    Line(LineError),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionError::Read(error) => write!(f, "cannot read input: {error}"),
            SessionError::Write(error) => write!(f, "{error}"),
            SessionError::UnfinishedBatch => write!(f, "input ended inside a batch"),
            SessionError::Line(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for SessionError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SessionError::Read(error) | SessionError::Write(error) => Some(error),
            SessionError::UnfinishedBatch => None,
            SessionError::Line(error) => Some(error),
        }
    }
}

impl From<LineError> for SessionError {
    fn from(error: LineError) -> Self {
        SessionError::Line(error)
    }
}
