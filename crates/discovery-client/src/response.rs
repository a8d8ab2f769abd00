//! Reads the head of an HTTP response and gives access to the body that follows it.

use bellsill_net::http::{self, Body, MalformedResponse};
use bellsill_net::ring_buffer::RingBuffer;

const STATUS_OK: u16 = 200;

/// The reason why a response is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseError {
    /// The head is malformed, or the connection ended before it was complete.
    Malformed,
    /// The status is not 200.
    Status(u16),
}

/// A response that is being received.
#[derive(Default)]
pub(crate) struct Response {
    /// `None` until the head is complete.
    body: Option<Body>,
}

impl Response {
    /// The body, once the head is complete. `ended` is set if no more bytes will follow those in `input`.
    pub(crate) fn body(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<Option<&mut Body>, ResponseError> {
        if self.body.is_none() {
            self.body = read_head(input, ended)?;
        }
        Ok(self.body.as_mut())
    }
}

fn read_head(input: &mut RingBuffer, ended: bool) -> Result<Option<Body>, ResponseError> {
    match http::take_response_head(input) {
        Ok(Some(head)) if head.status != STATUS_OK => Err(ResponseError::Status(head.status)),
        Ok(Some(head)) => Ok(Some(head.body)),
        Ok(None) if !ended => Ok(None),
        Ok(None) | Err(MalformedResponse) => Err(ResponseError::Malformed),
    }
}
