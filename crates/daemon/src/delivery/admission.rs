//! Admission: whether a message is accepted, and if not, why.

use crate::delivery::Runtime;
use crate::discovery::WatchIo;
use crate::event_loop::Daemon;
use crate::journal::{JournaledAttempt, JournaledMessage};
use bellsill_core::interface::{
    ClassId, DeliverySemantics, DestinationId, KeyId, MessageHistory, Nanos, NewMessage,
    PossibleRun, ZoneId,
};
use bellsill_discovery_client::{CacheFull, Knowledge};

/// Lifetimes are said in whole milliseconds.
const LIFETIME_SLACK: Nanos = 1_000_000;

/// Why a message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    UnknownClass,
    UnknownDestination,
    /// Its queue class is tagged, and it carries no tag.
    MissingIdempotencyKey,
    /// It says a longer queue lifetime than its class has.
    LifetimeTooLong,
    /// Handing it in again is harmless.
    NoCapacity,
}

impl Runtime {
    /// Holds a message that is new to the journal. False: there is no room.
    pub(crate) fn accept_journaled(&mut self, message: JournaledMessage) -> bool {
        if self.journal.append_accepted(&message).is_err() {
            return false;
        }
        self.insert(message);
        true
    }

    /// Whether messages for a destination are taken: an endpoint of it is known, or it can be looked up.
    pub(crate) fn accepts_destination(&self, destination: u64) -> bool {
        let Some(list) = self.discovery.scoped_list() else {
            return self.endpoints.has_destination(destination);
        };
        list.knowledge(destination) != Knowledge::Cached
            || list.entries_of(destination).next().is_some()
    }
}

impl Daemon {
    /// Accepts a message, by whatever front it came: it is written to the journal, then its client is answered, then the
    /// decisions begin. One that is held already, or has ended of late, is answered like one that was just taken.
    pub fn accept(
        &mut self,
        message: JournaledMessage,
        answer: impl FnOnce(&mut Runtime),
    ) -> Result<(), Rejection> {
        let takes = self.accepts_messages();
        let runtime = &mut self.runtime;
        let class = runtime
            .class_of(&message.class)
            .ok_or(Rejection::UnknownClass)?;
        let facts = &self.classes[class];
        if message.idempotency_key.is_empty()
            && matches!(facts.semantics, DeliverySemantics::IdempotencyKey { .. })
        {
            return Err(Rejection::MissingIdempotencyKey);
        }
        if message.deadline > runtime.now + facts.lifetime + LIFETIME_SLACK {
            return Err(Rejection::LifetimeTooLong);
        }
        if !runtime.accepts_destination(message.destination) {
            return Err(Rejection::UnknownDestination);
        }
        if runtime.by_id.contains_key(&message.id) || runtime.recently_ended.contains(message.id) {
            answer(runtime);
            return Ok(());
        }
        let admitted = self
            .dispatcher
            .admits(ClassId(class), DestinationId(message.destination));
        if !takes || !admitted || self.look_up(message.destination).is_err() {
            return Err(Rejection::NoCapacity);
        }
        let runtime = &mut self.runtime;
        if !runtime.accept_journaled(message.clone()) {
            return Err(Rejection::NoCapacity);
        }
        answer(runtime);
        self.decide_on(&[message]);
        Ok(())
    }

    /// Has a destination looked up that is not known; with no scoped configuration there is nothing to be done.
    pub fn look_up(&mut self, destination: u64) -> Result<(), CacheFull> {
        let runtime = &mut self.runtime;
        let Some(list) = runtime.discovery.scoped_list() else {
            return Ok(());
        };
        if list.knowledge(destination) != Knowledge::Unknown {
            runtime.discovery.touch(destination);
            return Ok(());
        }
        let mut io = WatchIo {
            now: runtime.now,
            connections: &mut runtime.connections,
            deadlines: &mut runtime.deadlines,
        };
        let pending_by_destination = &runtime.pending_by_destination;
        let in_use = |other: u64| pending_by_destination.contains_key(&other);
        let gave_way = runtime.discovery.lookup(&mut io, destination, &in_use)?;
        self.apply_changes(&gave_way);
        Ok(())
    }

    /// Takes messages that are held to the decisions, with what a former process did for them. Those of no class that is
    /// known are not among them: their end is given where they are found.
    pub fn decide_on(&mut self, messages: &[JournaledMessage]) {
        let runtime = &mut self.runtime;
        let new = |message: &JournaledMessage| {
            // By another class's rules it might run twice.
            let class = ClassId(runtime.class_of(&message.class)?);
            Some(NewMessage {
                id: message.id,
                class,
                key: Some(KeyId(message.key)).filter(|key| key.0 != 0),
                destination: DestinationId(message.destination),
                deadline: message.deadline,
                history: past(&message.attempts, runtime.discovery.zones()),
            })
        };
        let all: Vec<NewMessage> = messages.iter().filter_map(new).collect();
        self.dispatcher.accept(runtime.now, all, runtime);
    }
}

/// What the decisions are told of a message's past: an outcome that nobody knows may mean that it ran.
fn past(attempts: &[JournaledAttempt], zones: &[String]) -> MessageHistory {
    let ran = attempts.iter().find(|c| c.may_have_run != Some(false));
    let zone = |c: &JournaledAttempt| {
        zones
            .iter()
            .position(|z| *z == c.zone)
            .unwrap_or(usize::MAX)
    };
    MessageHistory {
        attempts: attempts.len() as u32,
        possible_run: ran.map(|c| PossibleRun {
            sent_at: c.sent_at,
            zone: ZoneId(zone(c)),
        }),
    }
}
