//! Actions for decisions without sockets: it records what the testbed follows and drops the rest.

use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos};

/// What the decisions answered.
#[derive(Default)]
pub struct RecordingActions {
    /// The attempts that they ordered, in their order.
    pub attempts: Vec<(MessageId, EndpointId)>,
    /// How long until they want to be woken, as they said last.
    pub wake_after: Option<Nanos>,
    /// The endpoints that they know nothing of any more.
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
