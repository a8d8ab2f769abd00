//! HTTP/1.1 as endpoints and discovery speak it: requests out, answers in. Its words end here.

use crate::Nanos;
use crate::ring::Ring;

/// The most that the head of an answer, or a line of a chunked body, may take.
pub const HEAD_MOST: usize = 16 * 1024;

/// The peer does not speak HTTP as it should.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Malformed;

/// What of a body is still to come.
#[derive(Debug, PartialEq)]
pub enum Body {
    Sized(u64),
    /// Inside a chunk (what is left of it), or before the line of the next one.
    Chunked(u64),
    /// After the last chunk: trailers up to an empty line.
    Trailers,
    /// Behind a chunk's data stands the end of its line.
    ChunkEnd,
    UntilEnd,
    Done,
}

/// The head of an answer.
#[derive(Debug, PartialEq)]
pub struct Head {
    pub status: u16,
    /// The wait told, nought where none is.
    pub wait: Nanos,
    pub over_slots: bool,
    /// The calls a second that the limit takes of all dispatchers, as its load report tells, if it has one.
    pub report: Option<Result<f64, BadReport>>,
    /// The connection ends after this answer.
    pub last: bool,
    pub body: Body,
}

/// A load report that tells no limit, or none that makes sense.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadReport;

/// The field of a load report that tells a limit.
pub const LIMIT: &str = "x1";
const LIMIT_MOST: f64 = 1e9;

/// Reads the limit from the names and values of a load report.
fn limit(report: &str) -> Result<f64, BadReport> {
    let value = report
        .split(',')
        .find_map(|pair| pair.trim().strip_prefix(LIMIT)?.strip_prefix('='));
    let limit = value.and_then(|v| v.trim().parse::<f64>().ok());
    limit
        .filter(|l| (0.0..=LIMIT_MOST).contains(l))
        .ok_or(BadReport)
}

/// Whether the first line of an answer has come and says that the mail is relayed. That line is true whatever spoils the
/// rest.
pub fn says_relayed(bytes: &[u8]) -> bool {
    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
        return false;
    };
    let line = bytes[..end].trim_ascii_end();
    let status = line
        .strip_prefix(b"HTTP/1.1 200")
        .or(line.strip_prefix(b"HTTP/1.0 200"));
    status.is_some_and(|reason| reason.first().is_none_or(|b| *b == b' '))
}

fn number(digits: &str, radix: u32) -> Result<u64, Malformed> {
    let plain = digits.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(digits, radix)
        .ok()
        .filter(|_| plain)
        .ok_or(Malformed)
}

/// Takes the head of the next answer from the ring, once all of it has come.
pub fn head(ring: &mut Ring) -> Result<Option<Head>, Malformed> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut answer = httparse::Response::new(&mut headers);
        let taken = match answer.parse(ring.bytes()) {
            Ok(httparse::Status::Complete(taken)) => taken,
            Ok(httparse::Status::Partial) if ring.len() < HEAD_MOST => return Ok(None),
            _ => return Err(Malformed),
        };
        let status = answer
            .code
            .filter(|code| (100..600).contains(code))
            .ok_or(Malformed)?;
        let mut head = Head {
            status,
            wait: 0,
            over_slots: false,
            report: None,
            last: answer.version == Some(0),
            body: Body::UntilEnd,
        };
        let (mut chunked, mut length) = (false, None);
        for header in answer.headers.iter() {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            let is = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is("content-length") {
                // Two lengths that differ, or a length beside chunks: nobody knows where the answer ends.
                let told = number(value, 10)?;
                if length.replace(told).is_some_and(|other| other != told) {
                    return Err(Malformed);
                }
            } else if is("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(Malformed);
                }
                chunked = true;
            } else if is("connection") {
                head.last =
                    value.eq_ignore_ascii_case("close") || (head.last && value != "keep-alive");
            } else if is("retry-after") {
                let seconds: f64 = value.parse().unwrap_or(0.0);
                head.wait = (seconds.clamp(0.0, 1e6) * 1e9) as Nanos;
            } else if is("x-over-slots") {
                head.over_slots = value == "1";
            } else if is("endpoint-load-metrics") {
                head.report = Some(limit(value));
            }
        }
        ring.consume(taken);
        if status < 200 {
            continue;
        }
        head.body = match length {
            _ if matches!(status, 204 | 304) => Body::Done,
            Some(_) if chunked => return Err(Malformed),
            Some(0) => Body::Done,
            Some(length) => Body::Sized(length),
            None if chunked => Body::Chunked(0),
            None => Body::UntilEnd,
        };
        head.last |= head.body == Body::UntilEnd;
        return Ok(Some(head));
    }
}

impl Body {
    /// Takes what has come and throws it away, `left` bytes at the most. True: that was all of it.
    pub fn empty(&mut self, ring: &mut Ring, left: &mut u64) -> Result<bool, Malformed> {
        if matches!(self, Body::Sized(size) | Body::Chunked(size) if *size > *left) {
            return Err(Malformed);
        }
        let mut taken = 0;
        self.take(ring, |bytes| taken += bytes.len() as u64)?;
        *left = left.checked_sub(taken).ok_or(Malformed)?;
        Ok(*self == Body::Done)
    }

    /// Takes what has come of the body from the ring and hands it to the sink, until it is done or more must come.
    pub fn take(&mut self, ring: &mut Ring, mut sink: impl FnMut(&[u8])) -> Result<(), Malformed> {
        while *self != Body::Done {
            match self {
                Body::Sized(left) | Body::Chunked(left) if *left > 0 => {
                    let n = (*left).min(ring.len() as u64);
                    if n == 0 {
                        return Ok(());
                    }
                    sink(&ring.bytes()[..n as usize]);
                    ring.consume(n as usize);
                    *left -= n;
                    if *left == 0 {
                        *self = if matches!(self, Body::Sized(_)) {
                            Body::Done
                        } else {
                            Body::ChunkEnd
                        };
                    }
                }
                Body::UntilEnd => {
                    sink(ring.bytes());
                    ring.consume(ring.len());
                    return Ok(());
                }
                Body::Chunked(_) | Body::ChunkEnd | Body::Trailers => {
                    let bytes = ring.bytes();
                    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                        return if ring.len() < HEAD_MOST {
                            Ok(())
                        } else {
                            Err(Malformed)
                        };
                    };
                    let line = bytes[..end].trim_ascii();
                    *self = match self {
                        Body::ChunkEnd if line.is_empty() => Body::Chunked(0),
                        Body::ChunkEnd => return Err(Malformed),
                        Body::Trailers if line.is_empty() => Body::Done,
                        Body::Trailers => Body::Trailers,
                        _ => {
                            let size = line
                                .split(|b| *b == b';')
                                .next()
                                .unwrap_or(b"")
                                .trim_ascii();
                            let size = std::str::from_utf8(size).map_err(|_| Malformed)?;
                            match number(size, 16)? {
                                0 => Body::Trailers,
                                size => Body::Chunked(size),
                            }
                        }
                    };
                    ring.consume(end + 1);
                }
                _ => *self = Body::Done,
            }
        }
        Ok(())
    }
}

/// The call that carries a mail: its head; the body follows.
pub fn call(id: u64, tag: &str, host: std::net::SocketAddr, wait: Nanos, length: usize) -> String {
    let tag = if tag.is_empty() {
        String::new()
    } else {
        format!("Idempotency-Key: {tag}\r\n")
    };
    format!(
        "POST /events HTTP/1.1\r\nHost: {host}\r\nX-Trace-Id: {id:016x}\r\n{tag}X-Expires-In: {}u\r\n\
         Content-Length: {length}\r\n\r\n",
        wait / 1_000
    )
}

/// The request for a watch on the list of endpoints.
pub fn watch(host: std::net::SocketAddr, since: u64) -> String {
    get(host, &format!("/api/targets?follow=1&since={since}"))
}

/// A request for a target, which is a path with its query.
pub fn get(host: std::net::SocketAddr, target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n")
}

/// A request that carries notices.
pub fn notices(host: std::net::SocketAddr, lines: &str) -> String {
    format!(
        "POST /v2/finals HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/x-ndjson\r\n\
         Content-Length: {}\r\n\r\n{lines}",
        lines.len()
    )
}
