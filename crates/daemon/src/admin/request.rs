//! Parser of admin requests.

use thiserror::Error;

/// Maximum length of an endpoint id.
pub const MAX_ENDPOINT_ID_BYTES: usize = 256;
/// Maximum length of a request line, line feed included.
pub(super) const MAX_LINE_BYTES: usize = 512;

/// An admin request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reports whether the dispatcher is ready.
    Ready,
    /// Reports the metrics.
    ShowStat,
    /// Reports the diagnostic counters.
    ShowDiagnostics,
    /// Disables the endpoint with this id: nothing is sent to it.
    Disable(String),
    /// Enables the endpoint with this id again.
    Enable(String),
    /// Starts draining: clients are told to go elsewhere.
    Drain,
    /// Stops draining.
    Resume,
}

/// The reason that a line is not a valid request; the text is part of the `FAILURE` line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The line is too long.
    #[error("a call is {MAX_LINE_BYTES} bytes at most")]
    TooLong,
    /// The line is not UTF-8.
    #[error("the call is not UTF-8")]
    NotUtf8,
    /// The line is blank.
    #[error("an empty call")]
    Empty,
    /// The command has an unexpected argument.
    #[error("`{command}` takes no word `{}`", argument.escape_debug())]
    UnexpectedArgument {
        /// The command.
        command: String,
        /// The argument.
        argument: String,
    },
    /// The endpoint id is missing.
    #[error("`{0}` needs an endpoint id")]
    MissingId(String),
    /// The endpoint id is too long.
    #[error("an endpoint id is {MAX_ENDPOINT_ID_BYTES} bytes at most")]
    IdTooLong,
    /// The command is unknown.
    #[error("unknown call `{}`", .0.escape_debug())]
    UnknownCommand(String),
}

/// Parses a request line without its line end.
pub fn parse(line: &[u8]) -> Result<Request, RequestError> {
    let text = std::str::from_utf8(line).or(Err(RequestError::NotUtf8))?;
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or(RequestError::Empty)?;
    let unexpected = |argument: &str| RequestError::UnexpectedArgument {
        command: name.to_string(),
        argument: argument.to_string(),
    };
    let id = words.next();
    if let Some(extra) = words.next() {
        return Err(unexpected(extra));
    }
    let with_id = |request: fn(String) -> Request| match id {
        None => Err(RequestError::MissingId(name.to_string())),
        Some(id) if id.len() > MAX_ENDPOINT_ID_BYTES => Err(RequestError::IdTooLong),
        Some(id) => Ok(request(id.to_string())),
    };
    let without_id = |request: Request| match id {
        Some(extra) => Err(unexpected(extra)),
        None => Ok(request),
    };
    match name {
        "ready" => without_id(Request::Ready),
        "show-stat" => without_id(Request::ShowStat),
        "show-diagnostics" => without_id(Request::ShowDiagnostics),
        "drain" => without_id(Request::Drain),
        "resume" => without_id(Request::Resume),
        "disable-server" => with_id(Request::Disable),
        "enable-server" => with_id(Request::Enable),
        _ => Err(RequestError::UnknownCommand(name.to_string())),
    }
}
