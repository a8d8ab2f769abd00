//! Admission: whether a message is accepted, and if not, why.

use super::coordinator::Delivery;
use super::message::{DeliveryState, PendingMessage};
use crate::io::Io;
use crate::journal::{JournaledAttempt, JournaledMessage};
use bellsill_core::interface::{
    ClassId, DeliverySemantics, DestinationId, KeyId, MessageHistory, Nanos, NewMessage,
    PossibleRun, ZoneId,
};
use bellsill_discovery_client::{CacheFull, DestinationStatus};

/// Lifetimes are given in whole milliseconds, so a message may exceed the lifetime of its class by one.
const LIFETIME_SLACK: Nanos = 1_000_000;

/// An accepted message. Its client is answered, then it is handed to [`Delivery::dispatch`].
#[must_use]
pub(crate) enum Admission {
    /// It is in the journal.
    New(JournaledMessage),
    /// It is pending already, or has ended recently: its client is answered as if it were new.
    Duplicate,
}

/// Why a message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// No class has this name.
    UnknownClass,
    /// No endpoint serves the destination.
    UnknownDestination,
    /// Messages of its class need an idempotency key.
    MissingIdempotencyKey,
    /// Its queue lifetime is longer than that of its class.
    LifetimeTooLong,
    /// Its client may send it again.
    NoCapacity,
}

impl Delivery {
    /// Accepts a message if there is capacity for it, and writes it to the journal.
    pub(crate) fn admit(&mut self, message: JournaledMessage) -> Result<Admission, Rejection> {
        let class = self
            .class_index(&message.class)
            .ok_or(Rejection::UnknownClass)?;
        let settings = &self.classes[class];
        if message.idempotency_key.is_empty()
            && matches!(settings.semantics, DeliverySemantics::IdempotencyKey { .. })
        {
            return Err(Rejection::MissingIdempotencyKey);
        }
        if message.deadline > self.runtime.now + settings.lifetime + LIFETIME_SLACK {
            return Err(Rejection::LifetimeTooLong);
        }
        if !self.may_have_endpoints(message.destination) {
            return Err(Rejection::UnknownDestination);
        }
        if self.runtime.messages.is_known(message.id) {
            return Ok(Admission::Duplicate);
        }
        let admitted = self
            .dispatcher
            .admits(ClassId(class), DestinationId(message.destination));
        if self.stopped || !admitted || self.look_up(message.destination).is_err() {
            return Err(Rejection::NoCapacity);
        }
        if self.runtime.journal.append_accepted(&message).is_err() {
            return Err(Rejection::NoCapacity);
        }
        self.insert(message.clone());
        Ok(Admission::New(message))
    }

    /// Whether the destination has an endpoint, or may have one that is not looked up yet.
    fn may_have_endpoints(&self, destination: u64) -> bool {
        let Some(list) = self.discovery.scoped_list() else {
            return self.runtime.endpoints.has_destination(destination);
        };
        list.status(destination) != DestinationStatus::Cached
            || list.entries_of(destination).next().is_some()
    }

    /// Adds a message that is in the journal to the pending ones.
    pub(super) fn insert(&mut self, message: JournaledMessage) {
        let class = self.class_index(&message.class);
        self.runtime.messages.insert(PendingMessage {
            id: message.id,
            destination: message.destination,
            deadline: message.deadline,
            class,
            idempotency_key: message.idempotency_key,
            body: message.body,
            state: DeliveryState::Waiting,
            attempts: message.attempts.len() as u32,
            attempt: None,
        });
    }

    /// Has a destination looked up that is not known. Without a scoped configuration all are known.
    pub(super) fn look_up(&mut self, destination: u64) -> Result<(), CacheFull> {
        let Some(list) = self.discovery.scoped_list() else {
            return Ok(());
        };
        if list.status(destination) != DestinationStatus::Unknown {
            self.discovery.touch(destination);
            return Ok(());
        }
        let mut io = Io {
            now: self.runtime.now,
            connections: &mut self.runtime.connections,
            timers: &mut self.runtime.timers,
        };
        let messages = &self.runtime.messages;
        let in_use = |other: u64| messages.has_destination(other);
        let evicted = self.discovery.lookup(&mut io, destination, &in_use)?;
        self.apply_changes(&evicted);
        Ok(())
    }

    /// Hands pending messages to the decisions, with what an earlier process did for them. Their classes are configured.
    pub(crate) fn dispatch(&mut self, messages: &[JournaledMessage]) {
        let zones = self.discovery.zones();
        let new = |message: &JournaledMessage| {
            // By the rules of another class it might run twice.
            let class = ClassId(self.class_index(&message.class)?);
            Some(NewMessage {
                id: message.id,
                class,
                key: Some(KeyId(message.key)).filter(|key| key.0 != 0),
                destination: DestinationId(message.destination),
                deadline: message.deadline,
                history: history(&message.attempts, zones),
            })
        };
        let all: Vec<NewMessage> = messages.iter().filter_map(new).collect();
        self.dispatcher
            .accept(self.runtime.now, all, &mut self.runtime);
    }
}

/// What the decisions know of a message's earlier attempts: one with an unknown outcome may have run.
fn history(attempts: &[JournaledAttempt], zones: &[String]) -> MessageHistory {
    let ran = attempts
        .iter()
        .find(|attempt| attempt.may_have_run != Some(false));
    let zone = |attempt: &JournaledAttempt| {
        zones
            .iter()
            .position(|zone| *zone == attempt.zone)
            .unwrap_or(usize::MAX)
    };
    MessageHistory {
        attempts: attempts.len() as u32,
        possible_run: ran.map(|attempt| PossibleRun {
            sent_at: attempt.sent_at,
            zone: ZoneId(zone(attempt)),
        }),
    }
}
