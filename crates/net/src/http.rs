//! HTTP/1.1 as endpoints and discovery speak it: requests out, answers in.

use crate::Nanos;
use crate::ring_buffer::RingBuffer;

/// The longest head of an answer, and the longest line of a chunked body, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The most headers of an answer.
const MAX_HEADERS: usize = 64;
/// A longer Retry-After is taken for this one.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// The peer does not speak HTTP/1.1 as it should.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MalformedResponse;

impl std::fmt::Display for MalformedResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "the answer is not well-formed HTTP/1.1")
    }
}

impl std::error::Error for MalformedResponse {}

/// What of a body is still to come.
#[derive(Debug, PartialEq)]
pub enum Body {
    /// This many bytes.
    Sized(u64),
    /// Inside a chunk (what is left of it), or before the line of the next one.
    Chunked(u64),
    /// After the last chunk: trailers up to an empty line.
    Trailers,
    /// Behind a chunk's data stands the end of its line.
    ChunkEnd,
    /// All up to the end of the connection.
    UntilClose,
    /// Nothing.
    Done,
}

/// The head of an answer.
#[derive(Debug, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The Retry-After, if there is one.
    pub retry_after: Option<Nanos>,
    /// The peer had no capacity for the call: `X-Over-Slots: 1`.
    pub no_capacity: bool,
    /// The calls a second that the limiter takes from all dispatchers, by the load report if there is one.
    pub load_report: Option<Result<f64, InvalidLoadReport>>,
    /// The peer closes the connection after this answer.
    pub closes_connection: bool,
    /// What of the body is still to come.
    pub body: Body,
}

/// A load report without a limit, or with one out of range.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidLoadReport;

/// The field of a load report that states a limit.
pub const LIMIT_FIELD: &str = "x1";
const MAX_LIMIT: f64 = 1e9;

/// Reads the limit from the names and values of a load report.
fn parse_limit(report: &str) -> Result<f64, InvalidLoadReport> {
    let value = report
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix(LIMIT_FIELD)?.strip_prefix('='));
    let limit = value.and_then(|v| v.trim().parse::<f64>().ok());
    limit
        .filter(|l| (0.0..=MAX_LIMIT).contains(l))
        .ok_or(InvalidLoadReport)
}

/// Whether the first line of an answer has come and says that the message was delivered. That line counts whatever
/// follows it.
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
    let plain = digits.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(digits, radix)
        .ok()
        .filter(|_| plain)
        .ok_or(MalformedResponse)
}

/// Takes the head of the next answer from the buffer, once all of it has come. Informational answers are skipped.
pub fn take_response_head(
    buffer: &mut RingBuffer,
) -> Result<Option<ResponseHead>, MalformedResponse> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        let length = match answer.parse(buffer.make_contiguous()) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() < MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(MalformedResponse),
        };
        let head = parse_head(&answer)?;
        buffer.consume(length);
        if head.status >= 200 {
            return Ok(Some(head));
        }
    }
}

/// How an answer says where its body ends.
#[derive(Default)]
struct Framing {
    chunked: bool,
    length: Option<u64>,
}

fn parse_head(answer: &httparse::Response) -> Result<ResponseHead, MalformedResponse> {
    let status = answer
        .code
        .filter(|code| (100..600).contains(code))
        .ok_or(MalformedResponse)?;
    let mut head = ResponseHead {
        status,
        retry_after: None,
        no_capacity: false,
        load_report: None,
        closes_connection: answer.version == Some(0),
        body: Body::UntilClose,
    };
    let mut framing = Framing::default();
    for header in answer.headers.iter() {
        apply_header(&mut head, &mut framing, header)?;
    }
    // An informational answer has no body, whatever it says.
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
    let is = |name: &str| header.name.eq_ignore_ascii_case(name);
    if is("content-length") {
        framing.set_length(value)?;
    } else if is("transfer-encoding") {
        framing.set_encoding(value)?;
    } else if is("connection") {
        let stays_open = value == "keep-alive";
        head.closes_connection =
            value.eq_ignore_ascii_case("close") || (head.closes_connection && !stays_open);
    } else if is("retry-after") {
        head.retry_after = parse_retry_after(value);
    } else if is("x-over-slots") {
        head.no_capacity = value == "1";
    } else if is("endpoint-load-metrics") {
        head.load_report = Some(parse_limit(value));
    }
    Ok(())
}

fn parse_retry_after(value: &str) -> Option<Nanos> {
    let seconds: f64 = value.parse().unwrap_or(0.0);
    let wait = (seconds.clamp(0.0, MAX_RETRY_AFTER_SECONDS) * 1e9) as Nanos;
    Some(wait).filter(|&wait| wait > 0)
}

impl Framing {
    fn set_length(&mut self, value: &str) -> Result<(), MalformedResponse> {
        let length = parse_number(value, 10)?;
        // With two lengths that differ nobody knows where the answer ends.
        if self
            .length
            .replace(length)
            .is_some_and(|other| other != length)
        {
            return Err(MalformedResponse);
        }
        Ok(())
    }

    fn set_encoding(&mut self, value: &str) -> Result<(), MalformedResponse> {
        if !value.eq_ignore_ascii_case("chunked") {
            return Err(MalformedResponse);
        }
        self.chunked = true;
        Ok(())
    }

    fn body(&self, status: u16) -> Result<Body, MalformedResponse> {
        Ok(match self.length {
            _ if matches!(status, 204 | 304) => Body::Done,
            // The same holds for a length beside chunks.
            Some(_) if self.chunked => return Err(MalformedResponse),
            Some(0) => Body::Done,
            Some(length) => Body::Sized(length),
            None if self.chunked => Body::Chunked(0),
            None => Body::UntilClose,
        })
    }
}

impl Body {
    /// Discards what has come of the body, `budget` bytes at the most. Returns whether all of the body has come.
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

    /// Takes what has come of the body from the buffer and hands it to the sink.
    pub fn take(
        &mut self,
        buffer: &mut RingBuffer,
        mut sink: impl FnMut(&[u8]),
    ) -> Result<(), MalformedResponse> {
        while *self != Body::Done {
            match self {
                Body::Sized(left) | Body::Chunked(left) if *left > 0 => {
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

    /// Takes bytes of a sized body or of a chunk.
    fn take_data(&mut self, buffer: &mut RingBuffer, sink: &mut impl FnMut(&[u8])) {
        let (Body::Sized(left) | Body::Chunked(left)) = self else {
            return;
        };
        let count = (*left).min(buffer.len() as u64);
        sink(&buffer.make_contiguous()[..count as usize]);
        buffer.consume(count as usize);
        *left -= count;
        if *left == 0 {
            *self = match self {
                Body::Sized(_) => Body::Done,
                _ => Body::ChunkEnd,
            };
        }
    }

    /// Takes a line of the chunked encoding. Returns whether all of it has come.
    fn take_line(&mut self, buffer: &mut RingBuffer) -> Result<bool, MalformedResponse> {
        let bytes = buffer.make_contiguous();
        let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
            return match buffer.len() < MAX_HEAD_BYTES {
                true => Ok(false),
                false => Err(MalformedResponse),
            };
        };
        let line = bytes[..end].trim_ascii();
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

/// The head of the request that delivers a message; its body follows.
pub fn delivery_request_head(
    id: u64,
    idempotency_key: &str,
    host: std::net::SocketAddr,
    wait: Nanos,
    length: usize,
) -> String {
    let key_header = if idempotency_key.is_empty() {
        String::new()
    } else {
        format!("Idempotency-Key: {idempotency_key}\r\n")
    };
    format!(
        "POST /events HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {id:016x}\r\n{key_header}X-Expires-In: {}u\r\n\
         Content-Length: {length}\r\n\r\n",
        wait / 1_000
    )
}

/// The request for a watch on the endpoint list.
pub fn watch_request(host: std::net::SocketAddr, since: u64) -> String {
    get_request(host, &format!("/api/targets?follow=1&since={since}"))
}

/// A GET request for a target, which is a path with its query.
pub fn get_request(host: std::net::SocketAddr, target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// A request that carries notifications.
pub fn notification_request(host: std::net::SocketAddr, lines: &str) -> String {
    format!(
        "POST /v2/finals HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
         Content-Length: {}\r\n\r\n{lines}",
        lines.len()
    )
}
