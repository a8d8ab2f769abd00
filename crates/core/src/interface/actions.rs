//! What the decisions have their caller do.

use super::ids::{AttemptNumber, EndpointId, MessageId, Nanos};

/// The actions of the decisions. The caller carries each of them out at once.
pub trait Actions {
    /// Sends a message to an endpoint and waits this long for the answer.
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, timeout: Nanos);
    /// Final answer: the message is rejected, and its client may retry after this time.
    fn reject(&mut self, message: MessageId, retry_after: Nanos);
    /// Final answer: the message failed.
    fn fail(&mut self, message: MessageId);
    /// Cancels an attempt in flight.
    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber);
    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);
    /// An endpoint is gone and its state dropped: its number may be assigned to another one.
    fn endpoint_removed(&mut self, endpoint: EndpointId);
    /// Requests a watch on the endpoint list. An update answers it, or
    /// [`Dispatcher::watch_lost`](crate::control::Dispatcher::watch_lost).
    fn request_watch(&mut self);
    /// Requests [`Dispatcher::wakeup`](crate::control::Dispatcher::wakeup) after this time, in
    /// place of any request before.
    fn schedule_wakeup(&mut self, after: Nanos);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
