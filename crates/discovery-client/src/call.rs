//! One connection attempt to a server of the watch, and the lines of the answer on it.

use crate::documents::DocumentReader;
use bellsill_net::Nanos;
use bellsill_net::http::{self, Body};
use bellsill_net::ring_buffer::RingBuffer;

/// Names one connection attempt to a server of the watch; used once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What is done with a line that is longer than may be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverlongLine {
    /// What has come of it is thrown away; the rest of it is no JSON and skipped as such.
    Skip,
    /// The call has failed: a change that was passed over would never be told again.
    Refuse,
}

/// How long a line may be.
#[derive(Clone, Copy, Debug)]
pub struct LineLimit {
    pub bytes: usize,
    pub overlong: OverlongLine,
}

/// Why a call has failed by what came on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The head of the answer cannot be read, or the connection ended before it.
    NoAnswer,
    /// Another status than 200.
    Status(u16),
    OverlongLine,
}

/// What was read from a call.
pub struct Lines {
    /// The whole lines, empty ones too, without their ends.
    pub lines: Vec<Vec<u8>>,
    /// Nothing more will come.
    pub last: bool,
}

/// A call that has not failed yet.
pub struct Call {
    pub id: CallId,
    /// When it was made, or the last whole line came on it. Bytes alone do not show that the server is alive: one that says
    /// no whole line would hide changes for good, though its connection never ends.
    pub alive_at: Nanos,
    /// Its connection is up.
    pub connected: bool,
    /// A whole line has come on it.
    pub serves: bool,
    /// Its first line is late, and another call is made meanwhile.
    pub late: bool,
    pub documents: DocumentReader,
    body: Option<Body>,
    line: Vec<u8>,
}

impl Call {
    pub fn new(id: CallId, now: Nanos, documents: DocumentReader) -> Call {
        Call {
            id,
            alive_at: now,
            connected: false,
            serves: false,
            late: false,
            documents,
            body: None,
            line: Vec::new(),
        }
    }

    /// Takes what has come from `input`; `ended` says that nothing comes after it.
    pub fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
        limit: LineLimit,
    ) -> Result<Lines, CallFailure> {
        if self.body.is_none() {
            let Some(head) = http::take_head(input).map_err(|_| CallFailure::NoAnswer)? else {
                return match ended {
                    true => Err(CallFailure::NoAnswer),
                    false => Ok(Lines {
                        lines: Vec::new(),
                        last: false,
                    }),
                };
            };
            if head.status != 200 {
                return Err(CallFailure::Status(head.status));
            }
            self.body = Some(head.body);
        }
        self.read_lines(input, ended, limit)
    }

    fn read_lines(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
        limit: LineLimit,
    ) -> Result<Lines, CallFailure> {
        let (Some(body), line) = (&mut self.body, &mut self.line) else {
            return Err(CallFailure::NoAnswer);
        };
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
        if limit.overlong == OverlongLine::Refuse
            && (overlong || lines.iter().any(|line| line.len() > limit.bytes))
        {
            return Err(CallFailure::OverlongLine);
        }
        // What came before the end still counts: the rest is told again after the version of the last line.
        let last = taken.is_err() || ended || *body == Body::Done;
        Ok(Lines { lines, last })
    }
}
