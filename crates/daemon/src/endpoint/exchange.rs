//! One HTTP exchange with an endpoint: the response, as far as it has arrived, and the outcome that it means.

use crate::connection::Connection;
use crate::http::{self, Body, InvalidLoadReport, MalformedResponse, ResponseHead};
use bellsill_core::interface::{Nanos, Outcome};

/// The most that a response's body may have.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// How long a response may take from its first byte to its last. A response that does not end would otherwise occupy its
/// attempt until the attempt's deadline; a slower one counts as malformed.
pub(crate) const RESPONSE_TIMEOUT: Nanos = 1_000_000_000;

/// A response as far as it has arrived.
pub(crate) struct ResponseProgress {
    head: Option<ResponseHead>,
    body_bytes_left: u64,
}

/// How much of a response has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrived {
    Partly,
    Completely,
}

/// What is to become of a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// It is closed.
    Close,
    /// It is used again once the rest of the response has arrived.
    AfterRest,
    /// It is used again.
    Now,
}

/// What a response says of its attempt.
pub(crate) struct Response {
    /// The outcome of the attempt.
    pub(crate) outcome: Outcome,
    /// The message is over, whatever its outcome.
    pub(crate) ends_message: bool,
    /// The load report, if there was one.
    pub(crate) load_report: Option<Result<f64, InvalidLoadReport>>,
    /// What is to become of the connection.
    pub(crate) reuse: Reuse,
}

/// Whether the outcome of an attempt is known yet.
#[must_use]
pub(crate) enum Verdict {
    /// More of the response is needed.
    Incomplete,
    /// The outcome is known.
    Known(Response),
}

impl ResponseProgress {
    /// A response of which nothing has been read.
    pub(crate) fn new() -> ResponseProgress {
        ResponseProgress {
            head: None,
            body_bytes_left: MAX_BODY_BYTES,
        }
    }

    /// Reads on in the response.
    pub(super) fn read(&mut self, conn: &mut Connection) -> Result<Arrived, MalformedResponse> {
        if self.head.is_none() {
            self.head = http::take_response_head(&mut conn.input)?;
        }
        let Some(head) = &mut self.head else {
            return Ok(Arrived::Partly);
        };
        let whole = head
            .body
            .discard(&mut conn.input, &mut self.body_bytes_left)?;
        // A body without a length ends with its connection.
        if whole || (conn.peer_closed && head.body == Body::UntilClose) {
            Ok(Arrived::Completely)
        } else {
            Ok(Arrived::Partly)
        }
    }

    /// Whether the endpoint closes the connection after this response.
    pub(super) fn closes_connection(&self) -> bool {
        self.head
            .as_ref()
            .is_some_and(|head| head.closes_connection)
    }

    /// Reads on, and says what the response means once that is certain. Only a success is believed before the response
    /// is complete and well-formed: a malformed one may stand for a message that ran, which must not be sent again.
    pub(crate) fn advance(&mut self, conn: &mut Connection) -> Result<Verdict, MalformedResponse> {
        let request_written = conn.output.is_empty();
        let read = self.read(conn);
        let starts_with_success = http::starts_with_success(conn.input.make_contiguous());
        let delivered = match &self.head {
            Some(head) => head.status == 200,
            None => starts_with_success,
        };
        let outcome = if delivered {
            Outcome::Delivered
        } else if read? == Arrived::Partly {
            return Ok(Verdict::Incomplete);
        } else {
            self.failure()
        };
        let head = self.head.as_ref();
        Ok(Verdict::Known(Response {
            outcome,
            ends_message: head.is_some_and(|head| head.status == 410),
            load_report: head.and_then(|head| head.load_report),
            reuse: match read {
                Ok(arrived) if request_written && !self.closes_connection() => match arrived {
                    Arrived::Completely => Reuse::Now,
                    Arrived::Partly => Reuse::AfterRest,
                },
                _ => Reuse::Close,
            },
        }))
    }

    /// The outcome that a complete response other than a success stands for.
    fn failure(&self) -> Outcome {
        let Some(head) = &self.head else {
            return Outcome::ServerError;
        };
        match head.status {
            503 if head.retry_after.is_none() && head.no_capacity => {
                Outcome::NotSent { no_capacity: true }
            }
            // A server without capacity for one more connection accepts it, says so and closes it: no rate limit applies.
            // This also matches a server that closes after every rejection; only that route is then suspended.
            503 if head.retry_after.is_none() && head.closes_connection => Outcome::ConnectFailed,
            429 | 503 => Outcome::RateLimited {
                retry_after: head.retry_after,
            },
            504 | 410 => Outcome::NotSent { no_capacity: false },
            _ => Outcome::ServerError,
        }
    }
}
