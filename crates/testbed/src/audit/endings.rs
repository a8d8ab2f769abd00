//! Rule 1: an accepted message ends exactly once, within its queue lifetime, and is not sent afterwards.

use super::observing::{EarlierAttempts, ObservedCall};
use super::settings::MILLISECOND;
use super::state::{Auditor, Ending, OrderedKey, RETENTION};
use super::suspicions::Suspicion;
use super::verdict::Rule;
use bellsill_core::interface::{MessageId, Nanos};
use std::cmp::Reverse;

/// Interval for rechecking an overdue message while its dispatcher is not running.
const RECHECK_INTERVAL: Nanos = 500 * MILLISECOND;

impl Auditor {
    pub(super) fn check_deadline(&mut self, at: Nanos, id: MessageId) {
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let submission = message.submission;
        if at >= submission.deadline + RETENTION {
            return self.forget_message(at, id);
        }
        if self.is_overdue(id, at + 1) {
            let attempts = message.attempts;
            let state = self.dispatcher(submission.dispatcher);
            let ready = self.settings.slack.ready;
            match state.ready_since {
                // No message counts as lost while its dispatcher is down, nor for `ready` after its restart.
                None => {
                    return self
                        .deadline_checks
                        .push(Reverse((at + RECHECK_INTERVAL, id)));
                }
                Some(since) if state.stopped_at.is_some() && at < since + ready => {
                    return self.deadline_checks.push(Reverse((since + ready, id)));
                }
                Some(_) => {}
            }
            let evidence = format!(
                "taken by dispatcher {}, due at {:.3} s, {attempts} calls, no end",
                submission.dispatcher,
                submission.deadline as f64 / 1e9
            );
            self.report_violation(at, Rule::Lost, Some(id), evidence);
            // Prevents further reports for this message.
            if let Some(message) = self.messages.get_mut(&id) {
                message.abandoned = true;
            }
        }
        self.deadline_checks
            .push(Reverse((submission.deadline + RETENTION, id)));
    }

    fn forget_message(&mut self, at: Nanos, id: MessageId) {
        if self.is_overdue(id, at) {
            let evidence = "its dispatcher did not come back, and nobody ended it".into();
            self.report_violation(at, Rule::Lost, Some(id), evidence);
        }
        let Some(message) = self.messages.remove(&id) else {
            return;
        };
        self.effects.remove(&message.submission.arrival);
        if let Some(key) = OrderedKey::of(&message.submission)
            && let Some(queue) = self.keys.get_mut(&key)
        {
            queue.messages.retain(|m| m.0 != id);
            if queue.messages.is_empty() && queue.in_flight.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    pub(super) fn is_overdue(&self, message: MessageId, now: Nanos) -> bool {
        self.messages.get(&message).is_some_and(|m| {
            m.is_unresolved() && m.submission.deadline + self.settings.slack.ending < now
        })
    }

    pub(super) fn check_sent_in_time(&mut self, call: &ObservedCall, earlier: &EarlierAttempts) {
        let (started_at, slack) = (call.started_at, self.settings.slack);
        if started_at > earlier.deadline + slack.time {
            let late = (started_at - earlier.deadline) as f64 / 1e9;
            let evidence = format!("sent {late:.3} s after its queue lifetime");
            self.report_violation(call.at, Rule::AfterEnd, Some(call.message), evidence);
        }
        match earlier.ending {
            Some((Ending::Delivered, since)) if started_at > since + slack.reordering => {
                let stopped_at = self.dispatcher(earlier.dispatcher).stopped_at;
                let restarted = stopped_at.is_some_and(|stopped| stopped > since);
                if let (false, Some(last)) = (restarted, earlier.last) {
                    let suspicion = Suspicion::AfterDelivery {
                        by: call.message,
                        answered: last.call,
                    };
                    self.add_suspicion(call.at, suspicion);
                }
            }
            Some((ending @ (Ending::Rejected | Ending::Failed), since))
                if started_at > since + slack.time =>
            {
                let late = (started_at - since) as f64 / 1e9;
                let evidence = format!("sent {late:.3} s after it had been {ending}");
                self.report_violation(call.at, Rule::AfterEnd, Some(call.message), evidence);
            }
            _ => {}
        }
    }

    /// Handles a notification of an ending to the platform.
    pub(super) fn notified(&mut self, at: Nanos, id: MessageId, ending: Ending) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        match message.ending {
            Some((Ending::Delivered, _)) => {}
            Some((before, _)) => {
                if before != ending && !message.abandoned {
                    let evidence = format!("{before}, and then {ending}");
                    self.report_violation(at, Rule::EndedTwice, Some(id), evidence);
                }
            }
            None => {
                message.ending = Some((ending, at));
                self.leave_key_queue(id);
                self.check_held_back(at, id, ending);
            }
        }
    }
}
