//! A call of a watch: one connection to a server, the request on it, and the lines of the response.

use crate::documents::DocumentReader;
use crate::response::{Response, ResponseError};
use bellsill_net::Nanos;
use bellsill_net::http::Body;
use bellsill_net::ring_buffer::RingBuffer;
use std::net::SocketAddr;

/// Identifies one call or lookup of a watch. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Assigns call ids.
#[derive(Default)]
pub(crate) struct CallIds {
    next: u64,
}

impl CallIds {
    pub(crate) fn assign(&mut self) -> CallId {
        let id = CallId(self.next);
        self.next += 1;
        id
    }
}

/// The handling of a line that exceeds the length limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OverlongLine {
    /// Discard the part that has been received. The rest of the line is then skipped because it is not JSON.
    Skip,
    /// Fail the call, because a skipped change would never be sent again.
    Fail,
}

/// The length limit of lines, and the handling of longer ones.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineLimit {
    pub(crate) bytes: usize,
    pub(crate) overlong: OverlongLine,
}

/// A watch request, and the settings for reading its response.
pub(crate) struct WatchRequest {
    pub(crate) address: SocketAddr,
    pub(crate) bytes: Vec<u8>,
    pub(crate) documents: DocumentReader,
    pub(crate) line_limit: LineLimit,
}

/// The reason why a call fails because of the bytes received on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    Response(ResponseError),
    OverlongLine,
}

impl From<ResponseError> for CallError {
    fn from(error: ResponseError) -> Self {
        CallError::Response(error)
    }
}

/// The data read from a call.
#[derive(Default)]
pub(crate) struct CallInput {
    pub(crate) documents: Vec<Vec<u8>>,
    /// At least one line is complete, possibly an empty one.
    pub(crate) has_line: bool,
    /// The response has ended.
    pub(crate) ended: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallState {
    Connecting,
    AwaitingFirstLine,
    /// The first line has timed out. The call stays open while another call is made.
    Late,
    /// A line has been received: the call serves the watch.
    Serving,
}

/// A call that has not failed.
pub(crate) struct Call {
    id: CallId,
    state: CallState,
    /// The time at which the call was made or its last line was completed. Bytes of an incomplete line do not count as
    /// activity: a server that never completes a line would otherwise keep the watch alive and withhold all changes.
    last_active_at: Nanos,
    documents: DocumentReader,
    line_limit: LineLimit,
    response: Response,
    /// The received part of an incomplete line.
    line: Vec<u8>,
}

impl Call {
    pub(crate) fn new(
        id: CallId,
        now: Nanos,
        documents: DocumentReader,
        line_limit: LineLimit,
    ) -> Call {
        Call {
            id,
            state: CallState::Connecting,
            last_active_at: now,
            documents,
            line_limit,
            response: Response::default(),
            line: Vec::new(),
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.id
    }

    pub(crate) fn last_active_at(&self) -> Nanos {
        self.last_active_at
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state == CallState::Serving
    }

    pub(crate) fn is_late(&self) -> bool {
        self.state == CallState::Late
    }

    pub(crate) fn is_awaiting_first_line(&self) -> bool {
        self.state == CallState::AwaitingFirstLine
    }

    pub(crate) fn connected(&mut self) {
        if self.state == CallState::Connecting {
            self.state = CallState::AwaitingFirstLine;
        }
    }

    pub(crate) fn mark_late(&mut self) {
        self.state = CallState::Late;
    }

    pub(crate) fn mark_serving(&mut self, now: Nanos) {
        self.state = CallState::Serving;
        self.last_active_at = now;
    }

    /// Consumes the bytes in `input`. `ended` is set if no more bytes will follow.
    pub(crate) fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<CallInput, CallError> {
        let limit = self.line_limit;
        let Some(body) = self.response.body(input, ended)? else {
            return Ok(CallInput::default());
        };
        let line = &mut self.line;
        let mut lines = Vec::new();
        let mut overlong = false;
        let taken = body.take(input, |mut bytes| {
            while let Some(end) = bytes.iter().position(|&b| b == b'\n') {
                line.extend(&bytes[..end]);
                lines.push(std::mem::take(line));
                bytes = &bytes[end + 1..];
            }
            line.extend(bytes);
            if line.len() > limit.bytes {
                line.clear();
                overlong = true;
            }
        });
        if limit.overlong == OverlongLine::Fail
            && (overlong || lines.iter().any(|line| line.len() > limit.bytes))
        {
            return Err(CallError::OverlongLine);
        }
        // Lines before the end are applied: the next request continues from the version of the last one.
        let ended = taken.is_err() || ended || *body == Body::Done;
        Ok(CallInput {
            has_line: !lines.is_empty(),
            documents: lines
                .iter()
                .filter_map(|line| self.documents.push_line(line))
                .collect(),
            ended,
        })
    }
}
