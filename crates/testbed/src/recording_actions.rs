//! Implementation of [`Actions`] without sockets: records the actions that the testbed uses and ignores the others.

use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos};

/// Actions requested by the decision logic.
#[derive(Default)]
pub struct RecordingActions {
    /// Requested attempts, in order.
    pub attempts: Vec<(MessageId, EndpointId)>,
    /// Delay of the most recently requested wakeup.
    pub wake_after: Option<Nanos>,
    /// Endpoints removed from the state of the decision logic.
    pub removed_endpoints: Vec<EndpointId>,
}

impl Actions for RecordingActions {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, _: Nanos) {
        self.attempts.push((message, endpoint));
    }

    fn reject(&mut self, _: MessageId, _: Nanos) {}

    fn fail(&mut self, _: MessageId) {}

    fn cancel_attempt(&mut self, _: MessageId, _: AttemptNumber) {}

    fn close_idle_connections(&mut self, _: EndpointId) {}

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        self.removed_endpoints.push(endpoint);
    }

    fn request_watch(&mut self) {}

    fn schedule_wakeup(&mut self, after: Nanos) {
        self.wake_after = Some(after);
    }

    fn log(&mut self, _: &str) {}
}
