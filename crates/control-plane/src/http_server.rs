//! The server side of HTTP/1.1: parsing requests and encoding responses.

use bellsill_net::ring_buffer::RingBuffer;
use serde::Serialize;

/// The longest head of a request, in bytes: a dispatcher names its buckets and destinations there.
pub(crate) const MAX_HEAD_BYTES: usize = 160 * 1024;
/// The longest body of a request, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// The most header fields of a request.
const MAX_HEADERS: usize = 64;

/// The method of a request.
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
    /// What follows the question mark.
    pub(crate) query: String,
    pub(crate) body: Vec<u8>,
    /// Whether the client wants to send another request on the connection.
    pub(crate) keep_alive: bool,
}

/// What the input contains of the next request.
#[derive(Debug, PartialEq)]
pub(crate) enum Received {
    /// More bytes have to arrive.
    Incomplete,
    /// More bytes have to arrive, and the input needs a capacity of this many.
    NeedsCapacity(usize),
    Complete(Request),
    /// It cannot be served, and where the next one would start is unknown.
    Malformed(Response),
}

/// Removes the next request from the input, once all of it has arrived.
pub(crate) fn receive(input: &mut RingBuffer) -> Received {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let bytes = input.make_contiguous();
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => {
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
    let mut stated = None;
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
            if stated.replace(length).is_some_and(|other| other != length) {
                return Err(Response::error(
                    400,
                    "Content-Length: told twice, differently",
                ));
            }
        }
    }
    let length = stated.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        let why =
            format!("the body has more than {MAX_BODY_BYTES} bytes: send it in several requests");
        return Err(Response::error(413, &why));
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
    /// JSON.
    pub(crate) body: Vec<u8>,
    /// Whether the connection is closed after it.
    pub(crate) close: bool,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// A response with status 200.
    pub(crate) fn json(body: &impl Serialize) -> Response {
        Response {
            status: 200,
            body: serde_json::to_vec(body).unwrap_or_default(),
            close: false,
        }
    }

    /// An error response that states the reason.
    pub(crate) fn error(status: u16, why: &str) -> Response {
        Response {
            status,
            ..Response::json(&ErrorBody { error: why })
        }
    }

    /// Encodes the response.
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
            reason(self.status),
            self.body.len() + 1,
        );
        [head.into_bytes(), self.body, b"\n".to_vec()].concat()
    }
}

/// The head of a response whose body is a stream of lines.
pub(crate) const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes a line as one chunk of a streamed body.
pub(crate) fn chunk(line: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", line.len());
    [size.as_bytes(), line, b"\r\n"].concat()
}

fn reason(status: u16) -> &'static str {
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
