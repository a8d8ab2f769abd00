//! The codec of admin requests.

use thiserror::Error;

/// The longest endpoint id accepted.
pub const MAX_ENDPOINT_ID_BYTES: usize = 256;
/// The longest request line, its end included.
pub(super) const MAX_LINE_BYTES: usize = 512;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Whether clients are accepted.
    Ready,
    /// The metrics.
    ShowStat,
    /// To send nothing to the endpoint of this id.
    Disable(String),
    /// To send to it again.
    Enable(String),
    /// To have clients go elsewhere.
    Drain,
    /// To accept clients again.
    Resume,
}

/// Why a line is not a request; the text goes into the `FAILURE` line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// It is too long.
    #[error("a call is {MAX_LINE_BYTES} bytes at most")]
    TooLong,
    /// It is not text.
    #[error("the call is not UTF-8")]
    NotUtf8,
    /// It has no word.
    #[error("an empty call")]
    Empty,
    /// There is a word more than its command takes.
    #[error("`{command}` takes no word `{}`", word.escape_debug())]
    UnexpectedWord {
        /// The command.
        command: String,
        /// The word.
        word: String,
    },
    /// The command needs the id of an endpoint.
    #[error("`{0}` needs an endpoint id")]
    MissingId(String),
    /// The id of the endpoint is too long.
    #[error("an endpoint id is {MAX_ENDPOINT_ID_BYTES} bytes at most")]
    IdTooLong,
    /// There is no such command.
    #[error("unknown call `{}`", .0.escape_debug())]
    UnknownCommand(String),
}

/// Reads one request line, without its end.
pub fn parse(line: &[u8]) -> Result<Request, RequestError> {
    let text = std::str::from_utf8(line).or(Err(RequestError::NotUtf8))?;
    let mut words = text.split_ascii_whitespace();
    let name = words.next().ok_or(RequestError::Empty)?;
    let unexpected = |word: &str| RequestError::UnexpectedWord {
        command: name.to_string(),
        word: word.to_string(),
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
        "drain" => without_id(Request::Drain),
        "resume" => without_id(Request::Resume),
        "disable-server" => with_id(Request::Disable),
        "enable-server" => with_id(Request::Enable),
        _ => Err(RequestError::UnknownCommand(name.to_string())),
    }
}
