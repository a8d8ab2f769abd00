//! The client side of HTTP/1.1 for endpoints, discovery and notifications: formats requests and parses responses.

use crate::Nanos;
use crate::ring_buffer::RingBuffer;

/// The maximum size of a response head, and of a line in the chunked encoding, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// Longer Retry-After delays are reduced to this one.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// A response that is not well-formed HTTP/1.1, or that exceeds a size limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MalformedResponse;

impl std::fmt::Display for MalformedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "the response is not well-formed HTTP/1.1")
    }
}

impl std::error::Error for MalformedResponse {}

/// The decoding state of a response body: which part comes next.
#[derive(Debug, PartialEq)]
pub enum Body {
    /// The number of remaining bytes of a body with a Content-Length.
    Sized(u64),
    /// The remaining bytes of a chunk, or the size line of the next chunk where none remain.
    Chunked(u64),
    /// The trailers after the last chunk, up to an empty line.
    Trailers,
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// All bytes until the peer closes the connection.
    UntilClose,
    /// Nothing; the body is complete.
    Done,
}

/// The status and the evaluated headers of a response.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The delay from Retry-After, if it is a positive number of seconds.
    pub retry_after: Option<Nanos>,
    /// Whether the peer had no capacity for the call (`X-Over-Slots: 1`).
    pub no_capacity: bool,
    /// The limit from the load report, if there is one: the calls per second that the limiter accepts from all
    /// dispatchers together.
    pub load_report: Option<Result<f64, InvalidLoadReport>>,
    /// Whether the peer closes the connection after this response.
    pub closes_connection: bool,
    /// The decoding state of the body.
    pub body: Body,
}

/// A load report whose limit is missing, not a number or out of range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidLoadReport;

/// The field of a load report that holds the limit.
pub const LIMIT_FIELD: &str = "x1";
const MAX_LIMIT: f64 = 1e9;

/// Parses the limit from the comma-separated `name=value` pairs of a load report.
fn parse_limit(report: &str) -> Result<f64, InvalidLoadReport> {
    let value = report
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix(LIMIT_FIELD)?.strip_prefix('='));
    let limit = value.and_then(|v| v.trim().parse::<f64>().ok());
    limit
        .filter(|l| (0.0..=MAX_LIMIT).contains(l))
        .ok_or(InvalidLoadReport)
}

/// Whether the buffer starts with a complete status line with code 200. The status line alone confirms the delivery of
/// a message, even if the rest of the response is missing or malformed.
pub fn starts_with_success(bytes: &[u8]) -> bool {
    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
        return false;
    };
    let line = bytes[..end].trim_ascii_end();
    let status = line
        .strip_prefix(b"HTTP/1.1 200")
        .or(line.strip_prefix(b"HTTP/1.0 200"));
    status.is_some_and(|reason| reason.first().is_none_or(|b| *b == b' '))
}

fn parse_number(digits: &str, radix: u32) -> Result<u64, MalformedResponse> {
    // `from_str_radix` accepts a leading plus sign as well.
    let only_digits = digits.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(digits, radix)
        .ok()
        .filter(|_| only_digits)
        .ok_or(MalformedResponse)
}

/// Removes the next response head from the buffer and returns it; `None` while it is incomplete. Informational (1xx)
/// responses are skipped.
pub fn take_response_head(
    buffer: &mut RingBuffer,
) -> Result<Option<ResponseHead>, MalformedResponse> {
    loop {
        if !buffer.is_parse_due(MAX_HEAD_BYTES) {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(buffer.make_contiguous()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => {
                buffer.mark_incomplete();
                return Ok(None);
            }
            _ => return Err(MalformedResponse),
        };
        let head = parse_head(&response)?;
        buffer.consume(length);
        if head.status >= 200 {
            return Ok(Some(head));
        }
    }
}

/// The headers that determine where the body of a response ends.
#[derive(Default)]
struct Framing {
    chunked: bool,
    content_length: Option<u64>,
}

fn parse_head(response: &httparse::Response) -> Result<ResponseHead, MalformedResponse> {
    let status = response
        .code
        .filter(|code| (100..600).contains(code))
        .ok_or(MalformedResponse)?;
    let mut head = ResponseHead {
        status,
        retry_after: None,
        no_capacity: false,
        load_report: None,
        closes_connection: response.version == Some(0),
        body: Body::UntilClose,
    };
    let mut framing = Framing::default();
    for header in response.headers.iter() {
        apply_header(&mut head, &mut framing, header)?;
    }
    // An informational response has no body, whatever its headers say.
    if status >= 200 {
        head.body = framing.body(status)?;
        head.closes_connection |= head.body == Body::UntilClose;
    }
    Ok(head)
}

fn apply_header(
    head: &mut ResponseHead,
    framing: &mut Framing,
    header: &httparse::Header,
) -> Result<(), MalformedResponse> {
    let value = std::str::from_utf8(header.value).unwrap_or("").trim();
    let has_name = |name: &str| header.name.eq_ignore_ascii_case(name);
    if has_name("content-length") {
        framing.set_content_length(value)?;
    } else if has_name("transfer-encoding") {
        framing.set_transfer_encoding(value)?;
    } else if has_name("connection") {
        let keeps_alive = value == "keep-alive";
        head.closes_connection =
            value.eq_ignore_ascii_case("close") || (head.closes_connection && !keeps_alive);
    } else if has_name("retry-after") {
        head.retry_after = parse_retry_after(value);
    } else if has_name("x-over-slots") {
        head.no_capacity = value == "1";
    } else if has_name("endpoint-load-metrics") {
        head.load_report = Some(parse_limit(value));
    }
    Ok(())
}

fn parse_retry_after(value: &str) -> Option<Nanos> {
    let seconds: f64 = value.parse().unwrap_or(0.0);
    let delay = (seconds.clamp(0.0, MAX_RETRY_AFTER_SECONDS) * 1e9) as Nanos;
    Some(delay).filter(|&delay| delay > 0)
}

impl Framing {
    fn set_content_length(&mut self, value: &str) -> Result<(), MalformedResponse> {
        let length = parse_number(value, 10)?;
        // Content-Length headers that differ leave the end of the response ambiguous.
        if self
            .content_length
            .replace(length)
            .is_some_and(|other| other != length)
        {
            return Err(MalformedResponse);
        }
        Ok(())
    }

    fn set_transfer_encoding(&mut self, value: &str) -> Result<(), MalformedResponse> {
        if !value.eq_ignore_ascii_case("chunked") {
            return Err(MalformedResponse);
        }
        self.chunked = true;
        Ok(())
    }

    fn body(&self, status: u16) -> Result<Body, MalformedResponse> {
        Ok(match self.content_length {
            _ if matches!(status, 204 | 304) => Body::Done,
            // A Content-Length beside the chunked encoding is ambiguous as well.
            Some(_) if self.chunked => return Err(MalformedResponse),
            Some(0) => Body::Done,
            Some(length) => Body::Sized(length),
            None if self.chunked => Body::Chunked(0),
            None => Body::UntilClose,
        })
    }
}

impl Body {
    /// Discards the buffered part of the body and subtracts its size from `budget`. Fails if the declared or the
    /// received size exceeds the budget. Returns whether the body is complete.
    pub fn discard(
        &mut self,
        buffer: &mut RingBuffer,
        budget: &mut u64,
    ) -> Result<bool, MalformedResponse> {
        if matches!(self, Body::Sized(size) | Body::Chunked(size) if *size > *budget) {
            return Err(MalformedResponse);
        }
        let mut discarded = 0;
        self.take(buffer, |bytes| discarded += bytes.len() as u64)?;
        *budget = budget.checked_sub(discarded).ok_or(MalformedResponse)?;
        Ok(*self == Body::Done)
    }

    /// Removes the buffered part of the body from the buffer and passes its data to `sink`.
    pub fn take(
        &mut self,
        buffer: &mut RingBuffer,
        mut sink: impl FnMut(&[u8]),
    ) -> Result<(), MalformedResponse> {
        while *self != Body::Done {
            match self {
                Body::Sized(remaining) | Body::Chunked(remaining) if *remaining > 0 => {
                    if buffer.is_empty() {
                        return Ok(());
                    }
                    self.take_data(buffer, &mut sink);
                }
                Body::UntilClose => {
                    sink(buffer.make_contiguous());
                    buffer.consume(buffer.len());
                    return Ok(());
                }
                Body::Chunked(_) | Body::ChunkEnd | Body::Trailers => {
                    if !self.take_line(buffer)? {
                        return Ok(());
                    }
                }
                _ => *self = Body::Done,
            }
        }
        Ok(())
    }

    /// Removes data of a sized body or of a chunk from the buffer and passes it to `sink`.
    fn take_data(&mut self, buffer: &mut RingBuffer, sink: &mut impl FnMut(&[u8])) {
        let (Body::Sized(remaining) | Body::Chunked(remaining)) = self else {
            return;
        };
        let count = (*remaining).min(buffer.len() as u64);
        sink(&buffer.make_contiguous()[..count as usize]);
        buffer.consume(count as usize);
        *remaining -= count;
        if *remaining == 0 {
            *self = match self {
                Body::Sized(_) => Body::Done,
                _ => Body::ChunkEnd,
            };
        }
    }

    /// Removes a line of the chunked encoding from the buffer and evaluates it. Returns whether the line was complete.
    fn take_line(&mut self, buffer: &mut RingBuffer) -> Result<bool, MalformedResponse> {
        let Some(end) = buffer.find_line_end() else {
            return match buffer.len() < MAX_HEAD_BYTES {
                true => Ok(false),
                false => Err(MalformedResponse),
            };
        };
        let line = buffer.make_contiguous()[..end].trim_ascii();
        *self = match self {
            Body::ChunkEnd if line.is_empty() => Body::Chunked(0),
            Body::ChunkEnd => return Err(MalformedResponse),
            Body::Trailers if line.is_empty() => Body::Done,
            Body::Trailers => Body::Trailers,
            _ => match parse_chunk_size(line)? {
                0 => Body::Trailers,
                size => Body::Chunked(size),
            },
        };
        buffer.consume(end + 1);
        Ok(true)
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, MalformedResponse> {
    let size = line.split(|&b| b == b';').next().unwrap_or(b"");
    let size = std::str::from_utf8(size.trim_ascii()).or(Err(MalformedResponse))?;
    parse_number(size, 16)
}

/// Formats the head of the request that delivers a message; the caller appends the body. An empty idempotency key is
/// left out.
pub fn delivery_request_head(
    message_id: u64,
    idempotency_key: &str,
    host: std::net::SocketAddr,
    expires_in: Nanos,
    content_length: usize,
) -> String {
    let key_header = if idempotency_key.is_empty() {
        String::new()
    } else {
        format!("Idempotency-Key: {idempotency_key}\r\n")
    };
    format!(
        "POST /events HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {message_id:016x}\r\n{key_header}X-Expires-In: {}u\r\n\
         Content-Length: {content_length}\r\n\r\n",
        expires_in / 1_000
    )
}

/// Formats a request that watches the endpoint list for changes since a version.
pub fn watch_request(host: std::net::SocketAddr, since: u64) -> String {
    get_request(host, &format!("/api/targets?follow=1&since={since}"))
}

/// Formats a GET request; `target` is the path with its query.
pub fn get_request(host: std::net::SocketAddr, target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// Formats a request that carries notifications, one JSON object per line.
pub fn notification_request(host: std::net::SocketAddr, lines: &str) -> String {
    format!(
        "POST /v2/finals HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
         Content-Length: {}\r\n\r\n{lines}",
        lines.len()
    )
}
