//! Checks of the six rules that every run has to satisfy.

use super::environment::{Environment, MessageRecord};
use bellsill_core::interface::{
    DeduplicationScope, DeliverySemantics, KeyId, MessageId, Nanos, ZoneId,
};

impl Environment {
    /// Whether rule 2 allows another attempt in this zone, or a rejection, which has no zone.
    fn may_repeat(&self, message: &MessageRecord, zone: Option<ZoneId>) -> bool {
        let semantics = self.settings.classes[message.class].semantics;
        match (message.possible_run, semantics) {
            (None, _) | (_, DeliverySemantics::Idempotent) => true,
            (Some(_), DeliverySemantics::AtMostOnce) => false,
            (Some(run), DeliverySemantics::IdempotencyKey { window, scope }) => {
                let any_zone = scope == DeduplicationScope::Destination;
                self.now < run.sent_at + window && (any_zone || zone == Some(run.zone))
            }
        }
    }

    /// Checks the rules for an attempt that is about to be sent.
    pub(super) fn check_attempt(&self, id: MessageId, endpoint: u32) {
        let now = self.now;
        let entry = self.entries[endpoint as usize];
        let message = &self.messages[&id];
        assert!(
            !message.ended && now < message.deadline,
            "rule 1: {id:?} sent after its final answer or deadline"
        );
        assert!(
            message.in_flight.is_none(),
            "rule 2: two attempts of {id:?} in flight"
        );
        assert!(
            self.may_repeat(message, Some(entry.zone)),
            "rule 2: {id:?} may run twice"
        );
        assert!(
            entry.serving,
            "rule 3: {id:?} sent to an endpoint that is draining or removed"
        );
        assert_eq!(
            entry.destination.0, message.destination,
            "the endpoint belongs to another destination"
        );
        let limiter = self.limiter(endpoint);
        let retry_after_until = self.retry_after_until.get(&limiter).copied().unwrap_or(0);
        assert!(
            now >= retry_after_until,
            "rule 5: {id:?} sent {} ns before the end of a Retry-After",
            retry_after_until - now
        );
        if let Some(key) = message.key {
            self.check_key(id, key);
        }
    }

    /// Checks rule 6: the order of its key allows a message to be sent.
    fn check_key(&self, id: MessageId, key: KeyId) {
        assert_eq!(
            self.key_order[&key].first(),
            Some(&id),
            "rule 6: {id:?} sent out of order"
        );
        let mut others = self.messages.iter().filter(|(other, _)| **other != id);
        assert!(
            !others.any(|(_, other)| other.key == Some(key) && other.in_flight.is_some()),
            "rule 6: an earlier attempt has no outcome yet"
        );
        if let Some(&(until, cause)) = self.key_cooldowns.get(&key) {
            assert!(
                self.now >= until || cause == id,
                "rule 6: {id:?} sent during the cooldown of its key"
            );
        }
    }

    /// Checks a rejection that is about to be recorded.
    pub(super) fn check_rejection(&self, id: MessageId, retry_after: Nanos) {
        let message = &self.messages[&id];
        assert!(
            message.in_flight.is_none() || message.ended,
            "rule 2: {id:?} rejected with an attempt in flight"
        );
        let no_zone = message.possible_run.map(|_| ZoneId(usize::MAX));
        assert!(
            self.may_repeat(message, no_zone),
            "rule 2: {id:?} rejected although it may have run"
        );
        assert!(retry_after <= self.settings.max_retry_after.unwrap_or(0));
    }

    /// Checks a final answer that is about to be recorded.
    pub(super) fn check_final_answer(&self, id: MessageId) {
        let message = self
            .messages
            .get(&id)
            .expect("a message with a final answer was accepted");
        assert!(!message.ended, "rule 1: a second final answer for {id:?}");
        assert!(self.now <= message.deadline, "rule 1: {id:?} answered late");
    }

    /// Checks rule 1: every message whose deadline has passed has its final answer.
    pub(super) fn check_deadlines(&self) {
        let overdue = self
            .messages
            .iter()
            .find(|(_, message)| !message.ended && message.deadline < self.now);
        assert!(
            overdue.is_none(),
            "rule 1: {:?} has no final answer by its deadline",
            overdue.map(|(id, _)| id)
        );
    }
}
