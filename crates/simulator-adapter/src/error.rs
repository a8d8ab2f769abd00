//! Errors that end a session.

use std::fmt;
use std::io;

/// An input line that violates the simulator's protocol.
#[derive(Debug)]
pub(crate) enum LineError {
    /// A field has no value.
    MissingValue { line: String },
    /// A field is missing or malformed. An empty field name denotes the name of the line.
    InvalidField {
        line: String,
        field: String,
        expected: String,
    },
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            LineError::MissingValue { line } => {
                write!(f, "line {line:?}: expected name=value pairs")
            }
            LineError::InvalidField {
                line,
                field,
                expected,
            } => write!(f, "line {line:?}: field {field:?}: expected {expected}"),
        }
    }
}

impl std::error::Error for LineError {}

/// The reason why a session ended before the end of its input.
#[derive(Debug)]
pub(crate) enum SessionError {
    Read(io::Error),
    Write(io::Error),
    /// The input ended before the end of a batch.
    UnfinishedBatch,
    Line(LineError),
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            SessionError::Read(error) => write!(f, "cannot read input: {error}"),
            SessionError::Write(error) => write!(f, "cannot write output: {error}"),
            SessionError::UnfinishedBatch => write!(f, "unexpected end of input inside a batch"),
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
