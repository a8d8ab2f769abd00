//! Rule 2: at most one attempt of a message at a time, repeats only where the queue class allows them, and one effect.

use super::observing::{EarlierAttempts, ObservedCall};
use super::state::{Auditor, CallEnd, FreshEffect, PossibleEffect};
use super::suspicions::Suspicion;
use super::verdict::Rule;
use crate::record::CallNumber;
use crate::world::Answer;
use bellsill_core::interface::{DeduplicationScope, DeliverySemantics, MessageId, Nanos};

/// Text of an answer as stored in evidence; must stay unchanged to remain comparable with earlier results.
fn answer_evidence(answer: Option<Answer>) -> String {
    match answer {
        None => "None".into(),
        Some(Answer::Delivered) => "Some(Relayed)".into(),
        Some(Answer::ServerError) => "Some(Errored)".into(),
        Some(Answer::RateLimited(wait)) => format!("Some(Full({wait:?}))"),
        Some(Answer::Malformed) => "Some(Spoilt)".into(),
    }
}

fn call_end_evidence(end: &CallEnd) -> String {
    format!("({}, {:?})", answer_evidence(end.answer), end.closed_at)
}

impl Auditor {
    pub(super) fn check_single_attempt(&mut self, call: &ObservedCall, earlier: &EarlierAttempts) {
        if let Some(in_flight) = earlier.in_flight {
            let suspicion = Suspicion::StillInFlight {
                by: call.message,
                earlier: in_flight,
                rule: Rule::TwoAtOnce,
            };
            self.add_suspicion(call.at, suspicion);
        }
    }

    pub(super) fn check_repeat(&mut self, call: &ObservedCall, earlier: &EarlierAttempts) {
        let Some(first) = earlier.first else { return };
        let zone = self.endpoint(call.endpoint).zone;
        let semantics = self.settings.classes[earlier.class].semantics;
        let Some(why) = self.reason_against_repeat(semantics, &first, call.started_at, zone) else {
            return;
        };
        let ended = self
            .ended_calls
            .get(&first.call)
            .map_or("is out".into(), call_end_evidence);
        let evidence = format!(
            "sent again, to endpoint {}: {why}; that connect {ended}",
            call.endpoint.0
        );
        self.report_violation(call.at, Rule::Repeated, Some(call.message), evidence);
    }

    /// Returns why the delivery semantics forbid another attempt in this zone, or `None` if they allow it.
    fn reason_against_repeat(
        &self,
        semantics: DeliverySemantics,
        first: &PossibleEffect,
        started_at: Nanos,
        zone: usize,
    ) -> Option<String> {
        match semantics {
            DeliverySemantics::Idempotent => None,
            DeliverySemantics::AtMostOnce => {
                Some("it is once-only and an earlier connect may have run".to_string())
            }
            DeliverySemantics::IdempotencyKey { window, .. }
                if started_at >= first.sent_at + window + self.settings.slack.time =>
            {
                let age = (started_at - first.sent_at) as f64 / 1e9;
                Some(format!("its first connect was sent {age:.3} s before"))
            }
            DeliverySemantics::IdempotencyKey {
                scope: DeduplicationScope::Zone,
                ..
            } if zone != first.zone => Some(format!(
                "its first connect went to zone {}, this one to {zone}",
                first.zone
            )),
            DeliverySemantics::IdempotencyKey { .. } => None,
        }
    }

    pub(super) fn applied(&mut self, at: Nanos, call: CallNumber, fresh: bool) {
        self.verdict.applied += 1;
        let Some(known) = self.calls.get(&call) else {
            return;
        };
        let (id, endpoint) = (known.message, known.endpoint);
        if self.ended_calls.contains_key(&call) {
            self.verdict.applied_unanswered += 1;
        }
        let Some(message) = self.messages.get(&id) else {
            return;
        };
        let arrival = message.submission.arrival;
        let semantics = self.settings.classes[message.submission.class].semantics;
        if semantics == DeliverySemantics::Idempotent || !fresh {
            return;
        }
        let effect = FreshEffect {
            message: id,
            endpoint,
            at,
        };
        self.effects.entry(arrival).or_default().push(effect);
        self.check_single_effect(at, id, arrival);
    }

    fn check_single_effect(&mut self, at: Nanos, id: MessageId, arrival: u64) {
        // Effects of messages whose client stopped waiting for the reply are ignored.
        let counts = |m: MessageId| self.messages.get(&m).is_none_or(|m| !m.abandoned);
        let effects: Vec<FreshEffect> = self.effects[&arrival]
            .iter()
            .filter(|e| counts(e.message))
            .copied()
            .collect();
        if effects.len() < 2 || !counts(id) {
            return;
        }
        let descriptions: Vec<String> = effects
            .iter()
            .map(|e| {
                format!(
                    "as {:016x} at endpoint {} in zone {} at {:.3} s",
                    e.message.0,
                    e.endpoint.0,
                    self.endpoint(e.endpoint).zone,
                    e.at as f64 / 1e9
                )
            })
            .collect();
        let evidence = format!("took effect {}", descriptions.join(", and "));
        self.report_violation(at, Rule::EffectTwice, Some(id), evidence);
    }
}
