//! The server side of HTTP/1.1: parses requests and encodes responses.

use bellsill_net::ring_buffer::RingBuffer;
use serde::Serialize;

/// The maximum length of a request head, in bytes. It is large because a dispatcher lists its buckets and destinations
/// in the query string.
pub(crate) const MAX_HEAD_BYTES: usize = 160 * 1024;
/// The maximum length of a request body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of header fields in a request.
const MAX_HEADERS: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Method {
    Get,
    Post,
    Other,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Request {
    pub(crate) method: Method,
    pub(crate) path: String,
    /// The part of the request target after the question mark.
    pub(crate) query: String,
    pub(crate) body: Vec<u8>,
    /// Whether the connection stays open for another request.
    pub(crate) keep_alive: bool,
}

/// The result of parsing the next request from the input.
#[derive(Debug, PartialEq)]
pub(crate) enum Received {
    /// The request is incomplete.
    Incomplete,
    /// The request is incomplete and needs an input capacity of this many bytes.
    NeedsCapacity(usize),
    Complete(Request),
    /// The request cannot be parsed, so the start of the next one is unknown. The response states the reason.
    Malformed(Response),
}

/// Parses the next request, and removes it from the input if it is complete.
pub(crate) fn receive(input: &mut RingBuffer) -> Received {
    if !input.is_parse_due(MAX_HEAD_BYTES) {
        return Received::Incomplete;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let bytes = input.make_contiguous();
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
            input.mark_incomplete();
            return Received::Incomplete;
        }
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Received::Malformed(Response::error(
                431,
                "the head of the request is too long",
            ));
        }
        Err(error) => {
            return Received::Malformed(Response::error(
                400,
                &format!("no HTTP/1.1 request: {error}"),
            ));
        }
    };
    let body_length = match body_length(head.headers) {
        Ok(length) => length,
        Err(response) => return Received::Malformed(response),
    };
    let total = length + body_length;
    if bytes.len() < total {
        input.mark_incomplete_until(total);
        return if total > MAX_HEAD_BYTES {
            Received::NeedsCapacity(total)
        } else {
            Received::Incomplete
        };
    }
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: match head.method {
            Some("GET") => Method::Get,
            Some("POST") => Method::Post,
            _ => Method::Other,
        },
        path: path.to_string(),
        query: query.to_string(),
        body: bytes[length..total].to_vec(),
        keep_alive: wants_keep_alive(&head),
    };
    input.consume(total);
    Received::Complete(request)
}

fn body_length(headers: &[httparse::Header]) -> Result<usize, Response> {
    let mut declared = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Response::error(411, "a body needs its Content-Length"));
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = std::str::from_utf8(header.value)
                .ok()
                .and_then(|text| text.trim().parse::<usize>().ok());
            let length = length
                .ok_or_else(|| Response::error(400, "Content-Length: expected a whole number"))?;
            if declared
                .replace(length)
                .is_some_and(|other| other != length)
            {
                return Err(Response::error(
                    400,
                    "Content-Length: told twice, differently",
                ));
            }
        }
    }
    let length = declared.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        let reason =
            format!("the body has more than {MAX_BODY_BYTES} bytes: send it in several requests");
        return Err(Response::error(413, &reason));
    }
    Ok(length)
}

fn wants_keep_alive(head: &httparse::Request) -> bool {
    let connection = head
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("connection"));
    match connection.map(|header| header.value.to_ascii_lowercase()) {
        Some(value) if value == b"close" => false,
        Some(value) if value == b"keep-alive" => true,
        _ => head.version == Some(1),
    }
}

/// A response with a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Response {
    pub(crate) status: u16,
    /// The encoded JSON.
    pub(crate) body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub(crate) close: bool,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// Creates a response with status 200.
    pub(crate) fn json(body: &impl Serialize) -> Response {
        Response {
            status: 200,
            body: serde_json::to_vec(body).unwrap_or_default(),
            close: false,
        }
    }

    /// Creates an error response that states the reason.
    pub(crate) fn error(status: u16, reason: &str) -> Response {
        Response {
            status,
            ..Response::json(&ErrorBody { error: reason })
        }
    }

    /// Encodes the head and the body, followed by a newline.
    pub(crate) fn into_bytes(self) -> Vec<u8> {
        let retry = if matches!(self.status, 429 | 503) {
            "Retry-After: 1\r\n"
        } else {
            ""
        };
        let close = if self.close {
            "Connection: close\r\n"
        } else {
            ""
        };
        let head = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{retry}{close}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len() + 1,
        );
        [head.into_bytes(), self.body, b"\n".to_vec()].concat()
    }
}

/// The response head of a watch, whose body is a chunked stream of JSON lines.
pub(crate) const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes a line as one chunk of a chunked body.
pub(crate) fn chunk(line: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", line.len());
    [size.as_bytes(), line, b"\r\n"].concat()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
