//! Clients: they submit messages and resubmit those that were rejected or got no reply.

use super::dispatcher::PendingMessage;
use super::simulation::{Event, Simulation};
use crate::load::{Arrival, RetryReason, arrival_of, deadline, message_id, next_submission};
use crate::record::{Observation, Submission};
use bellsill_core::interface::{MessageId, Nanos};

impl Simulation {
    pub(super) fn submit(&mut self, arrival: Arrival, attempts: u32, dispatcher: usize) {
        let (now, message) = (self.now, message_id(arrival.no, attempts));
        let deadline = deadline(&self.world.plan, &arrival);
        self.unresolved
            .entry(arrival.no)
            .or_insert_with(|| arrival.clone());
        let capacity = self.world.plan.queue_capacity();
        let state = &self.dispatchers[dispatcher];
        if !state.accepts(now) {
            return self.resubmit(arrival, attempts, RetryReason::NoAnswer);
        }
        let full = state.pending >= capacity;
        let submission = Submission::new(&arrival, attempts, dispatcher, deadline);
        self.observe(Observation::Submitted(submission));
        // Submission takes no time in the simulation.
        self.ledger.measure.submission_answered(0);
        if full {
            self.observe(Observation::Rejected {
                message,
                retry_after: None,
            });
            return self.resubmit(arrival, attempts, RetryReason::Rejected(None));
        }
        self.observe(Observation::Accepted { message });
        let state = &mut self.dispatchers[dispatcher];
        state.accepted += 1;
        state.pending += 1;
        let pending = PendingMessage::new(arrival, deadline, state.accepted);
        let new = pending.as_new_message(message);
        state.messages.insert(message, pending);
        self.decide(dispatcher, |d, now, out| d.accept(now, [new], out));
    }

    /// Schedules the client's next submission, if the message may be submitted again.
    fn resubmit(&mut self, arrival: Arrival, attempts: u32, reason: RetryReason) {
        match next_submission(&self.world.plan, &arrival, attempts, reason, self.now) {
            Some((at, dispatcher)) => self.schedule(
                at,
                Event::Resubmit {
                    arrival: arrival.no,
                    attempts: attempts + 1,
                    dispatcher,
                },
            ),
            None => drop(self.unresolved.remove(&arrival.no)),
        }
    }

    /// Ends an accepted message that the decision logic rejects (with a Retry-After delay) or fails, and notifies the platform.
    pub(super) fn end_undelivered(
        &mut self,
        dispatcher: usize,
        message: MessageId,
        retry_after: Option<Nanos>,
    ) {
        let state = &mut self.dispatchers[dispatcher];
        let Some(pending) = state.messages.get_mut(&message) else {
            return;
        };
        if std::mem::replace(&mut pending.ended, true) {
            return;
        }
        state.pending -= 1;
        let arrival = pending.arrival.clone();
        if pending.in_flight.is_none() {
            state.messages.remove(&message);
        }
        self.observe(Observation::Notified {
            message,
            retry_after,
        });
        let attempts = arrival_of(message).1;
        match retry_after {
            Some(wait) => self.resubmit(arrival, attempts, RetryReason::rejected_after(wait)),
            None => drop(self.unresolved.remove(&arrival.no)),
        }
    }
}
