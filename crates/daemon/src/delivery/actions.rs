//! Carries out the actions of the decision logic.

use super::message::{AttemptInFlight, DeliveryState};
use super::runtime::Runtime;
use crate::timer::Timer;
use bellsill_core::interface::{Actions, AttemptNumber, EndpointId, MessageId, Nanos, Outcome};

impl Actions for Runtime {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let Some(slot) = self.messages.slot_of(message) else {
            return;
        };
        let Some(pending) = self.messages.get_mut(slot) else {
            return;
        };
        let deadline = self.now + time_out;
        pending.attempt = Some(AttemptInFlight {
            number: AttemptNumber(pending.attempts),
            endpoint,
            connection: None,
            started_at: self.now,
            deadline,
            request_started: false,
            reported_limit: None,
        });
        pending.attempts += 1;
        self.timers.set(Timer::Attempt(slot), deadline);
        self.connect_attempt(slot, endpoint);
    }

    fn reject(&mut self, message: MessageId, retry_after: Nanos) {
        self.end_message(message, DeliveryState::Rejected { retry_after });
    }

    fn fail(&mut self, message: MessageId) {
        self.end_message(message, DeliveryState::Failed);
    }

    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber) {
        let Some(slot) = self.messages.slot_of(message) else {
            return;
        };
        if self
            .messages
            .attempt(slot)
            .is_some_and(|attempt| attempt.number == number)
        {
            self.abort_attempt(slot, Outcome::Cancelled);
        }
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        let (endpoints, mut io) = self.endpoints_and_io();
        endpoints.close_idle(&mut io, endpoint);
    }

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        let (endpoints, mut io) = self.endpoints_and_io();
        endpoints.remove_with_connections(&mut io, endpoint);
    }

    /// Does nothing: the watch is always open here, whatever the settings say.
    fn request_watch(&mut self) {}

    fn schedule_wakeup(&mut self, after: Nanos) {
        self.timers.set(Timer::Wakeup, self.now + after);
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
