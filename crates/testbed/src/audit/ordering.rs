//! Rule 6: messages of one key are sent one at a time, in order of acceptance, with a cooldown after an attempt without a
//! response.

use super::observing::ObservedCall;
use super::state::{Auditor, Cooldown, OrderedKey};
use super::suspicions::Suspicion;
use super::verdict::Rule;
use bellsill_core::interface::{MessageId, Nanos};

impl Auditor {
    pub(super) fn check_order(&mut self, call: &ObservedCall, key: OrderedKey) {
        let (id, started_at, slack) = (call.message, call.started_at, self.settings.slack);
        let Some(queue) = self.keys.get_mut(&key) else {
            return;
        };
        let mut suspicions = vec![];
        for &(earlier, message) in &queue.in_flight {
            if message != id {
                suspicions.push(Suspicion::StillInFlight {
                    by: id,
                    earlier,
                    rule: Rule::Order,
                });
            }
        }
        // The call may be observed before the reply to the client, so the message may not be queued yet.
        let own_accepted_at = queue
            .messages
            .iter()
            .find(|m| m.0 == id)
            .map_or(call.at, |m| m.1);
        for (earlier, accepted_at) in queue.messages.iter().take_while(|m| m.0 != id) {
            // If both were accepted at nearly the same time on two connections, their order is unknown.
            if accepted_at + slack.reordering <= own_accepted_at {
                suspicions.push(Suspicion::NotEnded {
                    by: id,
                    earlier: *earlier,
                });
            }
        }
        let cooldown = queue.cooldown;
        queue.in_flight.insert((call.call, id));
        for suspicion in suspicions {
            self.add_suspicion(call.at, suspicion);
        }
        if let Some(Cooldown { until, message }) = cooldown
            && message != id
            && started_at + slack.reordering / 3 < until
        {
            let left = (until - started_at) as f64 / 1e9;
            let evidence = format!("sent {left:.3} s before its key's rest was over");
            self.report_violation(call.at, Rule::Order, Some(id), evidence);
        }
    }

    pub(super) fn start_cooldown(&mut self, at: Nanos, dispatcher: usize, id: MessageId) {
        let until = at + self.settings.key_cooldown;
        if let Some(key) = self.messages.get(&id).and_then(|m| m.submission.key)
            && let Some(queue) = self.keys.get_mut(&OrderedKey { dispatcher, key })
        {
            queue.cooldown = Some(Cooldown { until, message: id });
        }
    }

    pub(super) fn leave_key_queue(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get(&id)
            && let Some(key) = OrderedKey::of(&message.submission)
            && let Some(queue) = self.keys.get_mut(&key)
        {
            queue.messages.retain(|m| m.0 != id);
        }
    }
}
