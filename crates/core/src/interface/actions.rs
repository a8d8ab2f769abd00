//! The actions that the caller carries out for the decision logic.

use super::ids::{AttemptNumber, EndpointId, MessageId, Nanos};

/// The actions that result from decisions. The caller carries out each one immediately.
pub trait Actions {
    /// Sends a message to an endpoint and waits for the answer until the timeout.
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, timeout: Nanos);
    /// Final answer: the message is rejected, and its client may submit it again after this time.
    fn reject(&mut self, message: MessageId, retry_after: Nanos);
    /// Final answer: the message failed.
    fn fail(&mut self, message: MessageId);
    /// Cancels an attempt in flight.
    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber);
    /// Closes the idle connections to an endpoint.
    fn close_idle_connections(&mut self, endpoint: EndpointId);
    /// The state of an endpoint that left the list was dropped: its number may be assigned to
    /// another endpoint.
    fn endpoint_removed(&mut self, endpoint: EndpointId);
    /// Requests a watch on the endpoint list. The caller responds with an update, or with
    /// [`Dispatcher::watch_lost`](crate::control::Dispatcher::watch_lost).
    fn request_watch(&mut self);
    /// Requests a call of [`Dispatcher::wakeup`](crate::control::Dispatcher::wakeup) after this
    /// time, replacing any earlier request.
    fn schedule_wakeup(&mut self, after: Nanos);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
