//! Admission of new messages and their hand-over to the decision logic.

use super::coordinator::Delivery;
use super::message::{DeliveryState, PendingMessage};
use crate::io::Io;
use crate::journal::{JournaledAttempt, JournaledMessage};
use bellsill_core::interface::{
    ClassId, DeliverySemantics, DestinationId, KeyId, MessageHistory, Nanos, NewMessage,
    PossibleRun, ZoneId,
};
use bellsill_discovery_client::{CacheFull, DestinationStatus};

/// Clients specify lifetimes in whole milliseconds, so rounding may exceed the lifetime of the class by up to 1 ms.
const LIFETIME_TOLERANCE: Nanos = 1_000_000;

/// The result of accepting a message. The client gets its reply before a new message goes to
/// [`Delivery::dispatch`].
#[must_use]
pub(crate) enum Admission {
    /// The message is new and was written to the journal.
    New(JournaledMessage),
    /// The message is already pending or ended recently. The client gets the same reply as for a new message.
    Duplicate,
}

/// The reason for rejecting a message at admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No configured queue class has this name.
    UnknownClass,
    /// No endpoint serves the destination.
    UnknownDestination,
    /// The queue class requires an idempotency key.
    MissingIdempotencyKey,
    /// The queue lifetime is longer than the class allows.
    LifetimeTooLong,
    /// The dispatcher has no capacity at present; the client may retry.
    NoCapacity,
    /// The shutdown has reached the phase in which no message is accepted; the client may retry elsewhere.
    Stopped,
    /// The destination has to be looked up, and every cache entry is in use; the client may retry.
    LookupsFull,
    /// The message could not be written to the journal; the client may retry.
    JournalFailed,
    /// The client has closed its side, so it may have submitted the message elsewhere.
    ClientGone,
}

impl Rejection {
    /// All reasons, in the order in which they are reported.
    pub const ALL: [Rejection; 9] = [
        Rejection::UnknownClass,
        Rejection::UnknownDestination,
        Rejection::MissingIdempotencyKey,
        Rejection::LifetimeTooLong,
        Rejection::NoCapacity,
        Rejection::Stopped,
        Rejection::LookupsFull,
        Rejection::JournalFailed,
        Rejection::ClientGone,
    ];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::UnknownClass => "unknown_class",
            Rejection::UnknownDestination => "unknown_destination",
            Rejection::MissingIdempotencyKey => "missing_idempotency_key",
            Rejection::LifetimeTooLong => "lifetime_too_long",
            Rejection::NoCapacity => "no_capacity",
            Rejection::Stopped => "stopped",
            Rejection::LookupsFull => "lookups_full",
            Rejection::JournalFailed => "journal_failed",
            Rejection::ClientGone => "client_gone",
        }
    }
}

impl Delivery {
    /// Validates a message and, if there is capacity, writes it to the journal and adds it to the pending messages.
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
        if message.deadline > self.runtime.now + settings.lifetime + LIFETIME_TOLERANCE {
            return Err(Rejection::LifetimeTooLong);
        }
        if !self.may_have_endpoints(message.destination) {
            return Err(Rejection::UnknownDestination);
        }
        if self.runtime.messages.is_known(message.id)
            || self.runtime.journal.is_known_elsewhere(message.id)
        {
            return Ok(Admission::Duplicate);
        }
        let admitted = self
            .dispatcher
            .admits(ClassId(class), DestinationId(message.destination));
        if self.stopped {
            return Err(Rejection::Stopped);
        }
        if !admitted {
            return Err(Rejection::NoCapacity);
        }
        self.look_up(message.destination)
            .map_err(|CacheFull| Rejection::LookupsFull)?;
        // The journal logs its errors itself.
        let recorded = self.runtime.journal.append_accepted(&message);
        recorded.map_err(|_logged| Rejection::JournalFailed)?;
        self.insert(message.clone());
        Ok(Admission::New(message))
    }

    /// Whether the destination has an endpoint, or may have one because its lookup is not complete.
    fn may_have_endpoints(&self, destination: u64) -> bool {
        let Some(list) = self.discovery.scoped_list() else {
            return self.runtime.endpoints.has_destination(destination);
        };
        list.status(destination) != DestinationStatus::Cached
            || list.entries_of(destination).next().is_some()
    }

    /// Adds a message that is already in the journal to the pending messages.
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

    /// Requests a lookup of a destination that is not cached. Without a scoped configuration, all destinations are
    /// known and none is looked up.
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
        let in_use = |destination: u64| messages.has_destination(destination);
        let evicted = self.discovery.lookup(&mut io, destination, &in_use)?;
        self.apply_changes(&evicted);
        Ok(())
    }

    /// Passes pending messages to the decision logic, with the attempts that earlier processes made. Their queue
    /// classes must be configured.
    pub(crate) fn dispatch(&mut self, messages: &[JournaledMessage]) {
        let zones = self.discovery.zones();
        let to_new_message = |message: &JournaledMessage| {
            // Skipped without its own class: under the rules of another one, the message could run twice.
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
        let new_messages: Vec<NewMessage> = messages.iter().filter_map(to_new_message).collect();
        self.dispatcher
            .accept(self.runtime.now, new_messages, &mut self.runtime);
    }
}

/// Summarizes earlier attempts for the decision logic. An attempt with an unknown outcome counts as possibly run.
fn history(attempts: &[JournaledAttempt], zones: &[String]) -> MessageHistory {
    let possible_run = attempts
        .iter()
        .find(|attempt| attempt.may_have_run != Some(false));
    let zone_index = |attempt: &JournaledAttempt| {
        zones
            .iter()
            .position(|zone| *zone == attempt.zone)
            .unwrap_or(usize::MAX)
    };
    MessageHistory {
        attempts: attempts.len() as u32,
        possible_run: possible_run.map(|attempt| PossibleRun {
            sent_at: attempt.sent_at,
            zone: ZoneId(zone_index(attempt)),
        }),
    }
}
