//! One connection attempt to a server of the watch, and the lines of the answer on it.

use crate::answer::{Answer, AnswerError};
use crate::documents::DocumentReader;
use bellsill_net::Nanos;
use bellsill_net::http::Body;
use bellsill_net::ring_buffer::RingBuffer;
use std::net::SocketAddr;

/// Identifies one connection attempt of a watch; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Assigns the ids of calls.
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

/// What happens to a line that is longer than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OverlongLine {
    /// What has been received of it is dropped. The rest is not JSON, and is skipped as such.
    Skip,
    /// The call fails: a change that was skipped would never be sent again.
    Fail,
}

/// How long a line may be.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineLimit {
    pub(crate) bytes: usize,
    pub(crate) overlong: OverlongLine,
}

/// A request for a watch, and how the answer to it is read.
pub(crate) struct WatchRequest {
    pub(crate) address: SocketAddr,
    pub(crate) bytes: Vec<u8>,
    pub(crate) documents: DocumentReader,
    pub(crate) line_limit: LineLimit,
}

/// Why a call has failed by what was received on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    Answer(AnswerError),
    OverlongLine,
}

impl From<AnswerError> for CallError {
    fn from(error: AnswerError) -> Self {
        CallError::Answer(error)
    }
}

/// What was read from a call.
#[derive(Default)]
pub(crate) struct CallInput {
    pub(crate) documents: Vec<Vec<u8>>,
    /// At least one line is complete, if only an empty one.
    pub(crate) has_line: bool,
    /// Nothing more will be received.
    pub(crate) ended: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallState {
    Connecting,
    AwaitingFirstLine,
    /// The first line is late, and another call is made meanwhile.
    Late,
    /// A line has been received.
    Serving,
}

/// A call that has not failed yet.
pub(crate) struct Call {
    id: CallId,
    state: CallState,
    /// When the call was made, or its last line was completed. Bytes alone do not count: a server that never completes a
    /// line would hide changes for good, though its connection never ends.
    alive_at: Nanos,
    documents: DocumentReader,
    line_limit: LineLimit,
    answer: Answer,
    /// What has been received of the next line.
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
            alive_at: now,
            documents,
            line_limit,
            answer: Answer::default(),
            line: Vec::new(),
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.id
    }

    pub(crate) fn alive_at(&self) -> Nanos {
        self.alive_at
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
        self.alive_at = now;
    }

    /// Takes what was received from `input`; `ended` says that nothing follows it.
    pub(crate) fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<CallInput, CallError> {
        let limit = self.line_limit;
        let Some(body) = self.answer.body(input, ended)? else {
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
        // Lines before the end count: the rest is sent again after the version of the last one.
        let ended = taken.is_err() || ended || *body == Body::Done;
        Ok(CallInput {
            has_line: !lines.is_empty(),
            documents: lines
                .iter()
                .filter_map(|line| self.documents.line(line))
                .collect(),
            ended,
        })
    }
}
