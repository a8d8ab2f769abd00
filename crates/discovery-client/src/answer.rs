//! The beginning of the answer to an HTTP request: its head, after which the body follows.

use bellsill_net::http::{self, Body, MalformedResponse};
use bellsill_net::ring_buffer::RingBuffer;

const STATUS_OK: u16 = 200;

/// Why an answer cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerError {
    /// The head is malformed, or the connection ended before it.
    Unreadable,
    /// Another status than 200.
    Status(u16),
}

/// An answer of which nothing, or some of the body, has been read.
#[derive(Default)]
pub(crate) struct Answer {
    body: Option<Body>,
}

impl Answer {
    /// The body, once the head has been received; `ended` says that nothing follows what is in `input`.
    pub(crate) fn body(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<Option<&mut Body>, AnswerError> {
        if self.body.is_none() {
            self.body = read_head(input, ended)?;
        }
        Ok(self.body.as_mut())
    }
}

fn read_head(input: &mut RingBuffer, ended: bool) -> Result<Option<Body>, AnswerError> {
    match http::take_response_head(input) {
        Ok(Some(head)) if head.status != STATUS_OK => Err(AnswerError::Status(head.status)),
        Ok(Some(head)) => Ok(Some(head.body)),
        Ok(None) if !ended => Ok(None),
        Ok(None) | Err(MalformedResponse) => Err(AnswerError::Unreadable),
    }
}
