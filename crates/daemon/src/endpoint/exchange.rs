//! Reads the HTTP response to an attempt and determines the outcome.

use crate::connection::Connection;
use crate::http::{self, Body, InvalidLoadReport, MalformedResponse, ResponseHead};
use bellsill_core::interface::{Nanos, Outcome};

/// The maximum size of a response body.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// The maximum time from the first byte of a response to its last. A slower response counts as malformed; without this
/// limit, a response that never ends would keep its attempt in flight until the deadline.
pub(crate) const RESPONSE_TIMEOUT: Nanos = 1_000_000_000;

/// Reads a response incrementally.
pub(crate) struct ResponseReader {
    head: Option<ResponseHead>,
    body_bytes_left: u64,
}

/// Whether a response has been received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    Partial,
    Complete,
}

/// Whether and when a connection can be reused after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionReuse {
    /// The connection cannot be reused and is closed.
    Close,
    /// The connection can be reused once the rest of the response has arrived.
    AfterResponse,
    /// The connection can be reused immediately.
    Immediate,
}

/// The meaning of a response for its attempt.
pub(crate) struct Response {
    /// The outcome of the attempt.
    pub(crate) outcome: Outcome,
    /// Whether the message ends, whatever the outcome.
    pub(crate) ends_message: bool,
    /// The load report, if the response has one.
    pub(crate) load_report: Option<Result<f64, InvalidLoadReport>>,
    /// Whether and when the connection can be reused.
    pub(crate) reuse: ConnectionReuse,
}

/// Whether the outcome of an attempt can be determined yet.
#[must_use]
pub(crate) enum Evaluation {
    /// More of the response is needed.
    Incomplete,
    /// The outcome is determined, though the response may still be incomplete.
    Decided(Response),
}

impl ResponseReader {
    /// Creates a reader that has read nothing.
    pub(crate) fn new() -> ResponseReader {
        ResponseReader {
            head: None,
            body_bytes_left: MAX_BODY_BYTES,
        }
    }

    /// Consumes the response data that has arrived.
    pub(super) fn read(
        &mut self,
        conn: &mut Connection,
    ) -> Result<ReadProgress, MalformedResponse> {
        if self.head.is_none() {
            self.head = http::take_response_head(&mut conn.input)?;
        }
        let Some(head) = &mut self.head else {
            return Ok(ReadProgress::Partial);
        };
        let complete = head
            .body
            .discard(&mut conn.input, &mut self.body_bytes_left)?;
        // A body without a declared length ends when the connection closes.
        if complete || (conn.peer_closed && head.body == Body::UntilClose) {
            Ok(ReadProgress::Complete)
        } else {
            Ok(ReadProgress::Partial)
        }
    }

    /// Whether the endpoint closes the connection after this response.
    pub(super) fn closes_connection(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.closes_connection)
    }

    /// Consumes the response data that has arrived, and determines the outcome once it is certain. A success counts
    /// before the response is complete. Any other status counts only in a complete and well-formed response: after a
    /// malformed one the message may have run and must not be sent again.
    pub(crate) fn evaluate(
        &mut self,
        conn: &mut Connection,
    ) -> Result<Evaluation, MalformedResponse> {
        let request_written = conn.output.is_empty();
        let read = self.read(conn);
        let starts_with_success = conn.input.find_line_end().is_some()
            && http::starts_with_success(conn.input.make_contiguous());
        let delivered = match &self.head {
            Some(head) => head.status == 200,
            None => starts_with_success,
        };
        let outcome = if delivered {
            Outcome::Delivered
        } else if read? == ReadProgress::Partial {
            return Ok(Evaluation::Incomplete);
        } else {
            self.failure()
        };
        let head = self.head.as_ref();
        Ok(Evaluation::Decided(Response {
            outcome,
            ends_message: head.is_some_and(|head| head.status == 410),
            load_report: head.and_then(|head| head.load_report),
            reuse: match read {
                Ok(arrived) if request_written && !self.closes_connection() => match arrived {
                    ReadProgress::Complete => ConnectionReuse::Immediate,
                    ReadProgress::Partial => ConnectionReuse::AfterResponse,
                },
                _ => ConnectionReuse::Close,
            },
        }))
    }

    /// The outcome of a complete response other than a success.
    fn failure(&self) -> Outcome {
        let Some(head) = &self.head else {
            return Outcome::ServerError;
        };
        match head.status {
            503 if head.retry_after.is_none() && head.no_capacity => {
                Outcome::NotSent { no_capacity: true }
            }
            // A server at its connection limit accepts the connection, responds with 503 and closes it; this is not a
            // rate limit. It also matches a server that closes the connection after every rejection; then only that
            // route is suspended.
            503 if head.retry_after.is_none() && head.closes_connection => Outcome::ConnectFailed,
            429 | 503 => Outcome::RateLimited {
                retry_after: head.retry_after,
            },
            504 | 410 => Outcome::NotSent { no_capacity: false },
            _ => Outcome::ServerError,
        }
    }
}
