//! HTTP/1.1 as a server speaks it: requests in, answers out.

use bellsill_net::ring_buffer::RingBuffer;
use serde::Serialize;

/// The most that the head of a request may take: a dispatcher names its buckets and destinations there.
pub const LONGEST_HEAD: usize = 160 * 1024;
/// The most that the body of a request may take.
pub const LONGEST_BODY: usize = 4 * 1024 * 1024;
/// The most header fields of a request.
const MOST_HEADERS: usize = 64;

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    Get,
    Post,
    Other,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub method: Method,
    pub path: String,
    /// What follows the question mark.
    pub query: String,
    pub body: Vec<u8>,
    /// The connection is kept for another one.
    pub keep_alive: bool,
}

/// What has come of a request.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// More has to come.
    Part,
    /// More has to come, and the input needs room for so much.
    NeedsRoom(usize),
    Whole(Request),
    /// It cannot be served, and nobody knows where the next one begins.
    Unreadable(Response),
}

/// Takes the next request from the input, once all of it has come.
pub fn receive(input: &mut RingBuffer) -> Received {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let bytes = input.contiguous();
    let length = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < LONGEST_HEAD => return Received::Part,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Received::Unreadable(Response::error(
                431,
                "the head of the request is too long",
            ));
        }
        Err(error) => {
            return Received::Unreadable(Response::error(
                400,
                &format!("no HTTP/1.1 request: {error}"),
            ));
        }
    };
    let body_length = match body_length(head.headers) {
        Ok(length) => length,
        Err(response) => return Received::Unreadable(response),
    };
    let whole = length + body_length;
    if bytes.len() < whole {
        return if whole > LONGEST_HEAD {
            Received::NeedsRoom(whole)
        } else {
            Received::Part
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
        body: bytes[length..whole].to_vec(),
        keep_alive: keeps_alive(&head),
    };
    input.consume(whole);
    Received::Whole(request)
}

fn body_length(headers: &[httparse::Header]) -> Result<usize, Response> {
    let mut told = None;
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
            if told.replace(length).is_some_and(|other| other != length) {
                return Err(Response::error(
                    400,
                    "Content-Length: told twice, differently",
                ));
            }
        }
    }
    let length = told.unwrap_or(0);
    if length > LONGEST_BODY {
        let why =
            format!("the body has more than {LONGEST_BODY} bytes: send it in several requests");
        return Err(Response::error(413, &why));
    }
    Ok(length)
}

fn keeps_alive(head: &httparse::Request) -> bool {
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

/// An answer with a body of JSON.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    pub status: u16,
    /// JSON.
    pub body: Vec<u8>,
    /// The connection ends after it.
    pub close: bool,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

impl Response {
    /// The status 200 with this body.
    pub fn json(body: &impl Serialize) -> Response {
        Response {
            status: 200,
            body: serde_json::to_vec(body).unwrap_or_default(),
            close: false,
        }
    }

    /// Says why a request is not served.
    pub fn error(status: u16, why: &str) -> Response {
        Response {
            status,
            ..Response::json(&ErrorBody { error: why })
        }
    }

    /// The answer's bytes.
    pub fn into_bytes(self) -> Vec<u8> {
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

/// The head of an answer whose body stays open.
pub const WATCH_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line as a chunk of a body that stays open.
pub fn chunk(line: &[u8]) -> Vec<u8> {
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
