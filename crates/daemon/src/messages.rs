//! The messages held and all that carries them: what the decisions answer is done here, by connections, deadlines and the
//! message journal. Nothing here decides; no answer of the decisions calls them again before it returns.

use crate::conns::{ConnectionId, ConnectionTable};
use crate::discovery::{Discovery, WatchIo, WatchTimer};
use crate::endpoints::Endpoints;
use crate::event_loop::Daemon;
use crate::journal::{JournaledAttempt, JournaledMessage, MessageJournal, Resolution};
use crate::notices::Notifications;
use crate::recent_ids::RecentIds;
use crate::slot_table::{SlotId, SlotTable};
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::*;
use bellsill_discovery_client::{CacheFull, Knowledge};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageSlot(u64);

impl SlotId for MessageSlot {
    fn from_raw(raw: u64) -> Self {
        MessageSlot(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}

/// Between two tries of a journal that cannot be written.
const JOURNAL_RETRY_INTERVAL: Nanos = 50_000_000;
/// Lifetimes are said in whole milliseconds.
const LIFETIME_SLACK: Nanos = 1_000_000;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The decisions asked to be woken.
    Wakeup,
    /// An attempt has had its time.
    Attempt(MessageSlot),
    /// A connection has stood so for too long: rising, idle, or without the answer to notifications.
    Connection(ConnectionId),
    /// Discovery is to be connected to again.
    WatchReconnect,
    /// Notifications that failed are to be sent again.
    NotificationRetry,
    /// Clients may be let in again.
    AcceptClients,
    /// A client has sent more than was its turn.
    ReadClient(ConnectionId),
    /// The next step of leaving.
    ShutdownPhase,
    /// A line on how things stand.
    StatusLog,
    /// The journal of a process that still ends beside this one is looked for.
    AdoptJournals,
    /// The list of endpoints held out may have been written by a process beside this one.
    DisabledEndpoints,
    /// What could not be written to the journal is to be written.
    JournalRetry,
    /// Destinations are to be looked up again.
    LookupRetry,
    /// What is kept of the scoped configuration is to be saved.
    SaveScope,
}

impl From<WatchTimer> for Timer {
    fn from(timer: WatchTimer) -> Timer {
        match timer {
            WatchTimer::Reconnect => Timer::WatchReconnect,
            WatchTimer::LookupRetry => Timer::LookupRetry,
            WatchTimer::Connection(conn) => Timer::Connection(conn),
        }
    }
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    Waiting,
    /// Its attempt waits for a connection to come up; nothing of it is written.
    Connecting,
    /// Its first byte may be written.
    InFlight,
    Delivered,
    Rejected {
        retry_after: Nanos,
    },
    Failed,
    /// Over, by what its destination said.
    Withdrawn,
}

impl DeliveryState {
    pub fn is_final(self) -> bool {
        !matches!(
            self,
            DeliveryState::Waiting | DeliveryState::Connecting | DeliveryState::InFlight
        )
    }
}

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInFlight {
    pub number: AttemptNumber,
    pub endpoint: EndpointId,
    pub connection: Option<ConnectionId>,
    pub started_at: Nanos,
    pub deadline: Nanos,
    /// Its first byte may be written, and the journal says so.
    pub request_started: bool,
    /// The limit that its answer reported.
    pub reported_limit: Option<f64>,
}

pub struct PendingMessage {
    pub id: MessageId,
    pub destination: u64,
    pub deadline: Nanos,
    /// Its row of the classes; none for one of no class known now.
    pub class: Option<usize>,
    pub idempotency_key: String,
    pub body: Vec<u8>,
    pub state: DeliveryState,
    pub attempts: u32,
    pub attempt: Option<AttemptInFlight>,
}

/// Everything but the decisions.
pub struct Runtime {
    pub now: Nanos,
    pub connections: ConnectionTable,
    pub deadlines: TimerQueue<Timer>,
    pub messages: SlotTable<MessageSlot, PendingMessage>,
    pub by_id: BTreeMap<MessageId, MessageSlot>,
    /// How many messages are held for each destination.
    pub pending_by_destination: BTreeMap<u64, usize>,
    pub endpoints: Endpoints,
    pub discovery: Discovery,
    pub notifications: Notifications,
    pub journal: MessageJournal,
    /// Outcomes that the decisions have not been told.
    pub attempt_ends: VecDeque<AttemptEnd>,
    pub class_names: Vec<String>,
    pub connect_timeout: Nanos,
    pub keep_alive: Nanos,
    /// Answers may tell limits, as the settings say.
    pub reports_limits: bool,
    /// A report that cannot be read has been said.
    pub invalid_report_logged: bool,
    /// What operators are shown.
    pub metrics: crate::mgmt::Metrics,
    /// The endpoints taken out by hand, by their ids in the list; kept in the folder that lasts.
    pub disabled: std::collections::BTreeSet<String>,
    /// Messages that have ended of late.
    pub recently_ended: RecentIds,
}

impl Runtime {
    /// The watch, and what it works with.
    pub fn watch(&mut self) -> (&mut Discovery, WatchIo<'_, Timer>) {
        let io = WatchIo {
            now: self.now,
            connections: &mut self.connections,
            deadlines: &mut self.deadlines,
        };
        (&mut self.discovery, io)
    }

    /// A deadline of the watch has come.
    pub fn watch_timer(&mut self, timer: WatchTimer) {
        let (discovery, mut io) = self.watch();
        discovery.timer_fired(&mut io, timer);
    }

    /// Holds a message that is new to the journal. False: there is no room.
    fn accept_journaled(&mut self, message: JournaledMessage) -> bool {
        if self.journal.append_accepted(&message).is_err() {
            return false;
        }
        self.insert(message);
        true
    }

    /// The row of a class by its name.
    pub fn class_of(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|c| c == name)
    }

    /// Holds a message that the journal knows.
    pub fn insert(&mut self, message: JournaledMessage) {
        let attempts = message.attempts.len() as u32;
        let class = self.class_of(&message.class);
        let slot = self.messages.insert(|_| PendingMessage {
            id: message.id,
            destination: message.destination,
            deadline: message.deadline,
            class,
            idempotency_key: message.idempotency_key,
            body: message.body,
            state: DeliveryState::Waiting,
            attempts,
            attempt: None,
        });
        self.by_id.insert(message.id, slot);
        *self
            .pending_by_destination
            .entry(message.destination)
            .or_default() += 1;
    }

    /// A message for a destination is held no longer.
    fn release(&mut self, destination: u64) {
        let Some(held) = self.pending_by_destination.get_mut(&destination) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.pending_by_destination.remove(&destination);
        }
    }

    /// Has the journal try again while it is behind.
    pub fn watch_journal(&mut self) {
        if self.journal.has_unwritten() {
            self.deadlines
                .set_if_unset(Timer::JournalRetry, self.now + JOURNAL_RETRY_INTERVAL);
        } else {
            self.notifications.recorded();
        }
    }

    /// The journal tries again.
    pub fn retry_journal(&mut self) {
        // Whether it went shows when it is looked at again.
        let _ = self.journal.write_pending();
    }

    /// The only place where a message changes its stage: keeps the journal, the notifications owed and the tables true.
    pub fn transition(&mut self, slot: MessageSlot, to: DeliveryState) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let (id, due, from) = (
            message.id,
            message.deadline,
            std::mem::replace(&mut message.state, to),
        );
        if to.is_final() && !from.is_final() {
            let ending = match to {
                DeliveryState::Rejected { retry_after } => {
                    Some(Resolution::Rejected { retry_after })
                }
                DeliveryState::Failed => Some(Resolution::Failed),
                _ => None,
            };
            let counted = match to {
                DeliveryState::Delivered => Some(crate::mgmt::COMPLETED),
                DeliveryState::Rejected { .. } => Some(crate::mgmt::REJECTED),
                DeliveryState::Failed => Some(crate::mgmt::FAILED),
                _ => None,
            };
            if let (Some(class), Some(end)) = (message.class, counted) {
                self.metrics.count(class, end);
            }
            message.body = Vec::new();
            // A notice that went ahead of its record would be forgotten by a kill, and the message sent after it.
            let recorded = self.journal.append_resolved(id, ending).is_ok();
            match ending {
                Some(ending) if recorded => self.notifications.enqueue(id, ending),
                Some(ending) => self.notifications.enqueue_once_recorded(id, ending, due),
                None => {}
            }
        }
        if to.is_final() && self.messages.get(slot).is_some_and(|m| m.attempt.is_none()) {
            self.messages
                .remove(slot)
                .into_iter()
                .for_each(|gone| self.release(gone.destination));
            self.by_id.remove(&id);
            self.recently_ended.note(self.now, id);
        }
    }

    /// Ends a message's attempt: the decisions are told once they are not at work. The connection is the caller's.
    pub fn end_attempt(&mut self, slot: MessageSlot, outcome: Outcome, over: bool) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let Some(call) = message.attempt.take() else {
            return;
        };
        if outcome == Outcome::NotStarted {
            message.attempts -= 1;
        }
        let (id, stage) = (message.id, message.state);
        log::debug!(
            "message {:016x}: attempt {} ended, request started: {}: {outcome:?}",
            id.0,
            call.number.0,
            call.request_started
        );
        self.deadlines.clear(Timer::Attempt(slot));
        let was_over = stage.is_final();
        if call.request_started && !was_over && outcome != Outcome::Delivered {
            // Until it is written the message counts as one that may have run.
            let _ = self.journal.append_outcome(id, outcome.may_have_run());
        }
        let over = over || was_over || outcome == Outcome::Delivered;
        self.transition(
            slot,
            match outcome {
                _ if was_over => stage,
                Outcome::Delivered => DeliveryState::Delivered,
                _ if over => DeliveryState::Withdrawn,
                _ => DeliveryState::Waiting,
            },
        );
        let took = self.now - call.started_at;
        self.attempt_ends.push_back(AttemptEnd {
            message: id,
            number: call.number,
            outcome,
            message_ended: over,
            elapsed: took,
            reported_limit: call.reported_limit,
        });
    }

    /// Breaks an attempt off: its connection is closed, which tells the endpoint. What has come until then is read first: an
    /// answer that arrived in the moment in which its time fell due, or in which it is called off, is an answer.
    pub fn abort_attempt(&mut self, slot: MessageSlot, outcome: Outcome) {
        let Some(call) = self.messages.get(slot).and_then(|m| m.attempt) else {
            return;
        };
        let in_time = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if let Some(conn) = call.connection.filter(|_| call.request_started && in_time) {
            // What cannot be read is as good as not come.
            let _ = self.connections.read(conn);
            if matches!(self.read_attempt_response(conn, slot), Ok(true)) {
                return;
            }
        }
        let written = call
            .connection
            .and_then(|c| self.connections.get(c))
            .is_some_and(|c| c.output.is_empty());
        let outcome = match outcome {
            Outcome::NotSent { .. } | Outcome::NotStarted => outcome,
            // Not all of it was written: it never ran.
            _ if !call.request_started || !written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        if let Some(conn) = call.connection {
            self.endpoints.attempts.remove(&conn);
            self.endpoints.responses.remove(&conn);
            self.deadlines.clear(Timer::Connection(conn));
            self.connections.close(conn);
        }
        self.end_attempt(slot, outcome, false);
    }

    /// Writes a message to a connection that is up, the journal first.
    pub fn write_request(&mut self, slot: MessageSlot, conn: ConnectionId) {
        let (now, Some(message)) = (self.now, self.messages.get_mut(slot)) else {
            return;
        };
        let Some(call) = &mut message.attempt else {
            return;
        };
        let endpoint = &self.endpoints[call.endpoint];
        let room = self.journal.append_attempt(message.id, now, &endpoint.zone);
        let head = crate::http::event_request(
            message.id.0,
            &message.idempotency_key,
            endpoint.addr,
            call.deadline.saturating_sub(now),
            message.body.len(),
        );
        call.connection = Some(conn);
        if room.is_err() {
            self.endpoints.attempts.remove(&conn);
            self.pool(conn);
            self.end_attempt(slot, Outcome::NotStarted, false);
            return;
        }
        call.request_started = true;
        log::debug!(
            "message {:016x}: attempt {} to {} started, {} ms after the decision",
            message.id.0,
            call.number.0,
            endpoint.addr,
            (now - call.started_at) / 1_000_000
        );
        self.metrics.attempts += 1;
        if let Some(to) = self.connections.get_mut(conn) {
            // The ring is made for the longest call and was empty.
            to.output.push(head.as_bytes());
            to.output.push(&message.body);
        }
        self.endpoints.attempts.insert(conn, slot);
        self.transition(slot, DeliveryState::InFlight);
        if self.connections.flush(conn).is_err() {
            self.abort_attempt(slot, Outcome::ConnectionReset);
        }
    }
}

/// Destinations, as far as they are known.
impl Runtime {
    /// Whether messages for a destination are taken: an endpoint of it is known, or it can be looked up.
    fn accepts_destination(&self, destination: u64) -> bool {
        let Some(list) = self.discovery.scoped_list() else {
            return self.endpoints.has_destination(destination);
        };
        list.knowledge(destination) != Knowledge::Cached
            || list.entries_of(destination).next().is_some()
    }
}

impl Actions for Runtime {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        let Some(held) = self.messages.get_mut(slot) else {
            return;
        };
        let (started_at, deadline) = (self.now, self.now + time_out);
        let number = AttemptNumber(held.attempts);
        held.attempts += 1;
        held.attempt = Some(AttemptInFlight {
            number,
            endpoint,
            connection: None,
            started_at,
            deadline,
            request_started: false,
            reported_limit: None,
        });
        self.deadlines.set(Timer::Attempt(slot), deadline);
        self.connect_attempt(slot, endpoint);
    }

    fn reject(&mut self, message: MessageId, retry_after: Nanos) {
        self.end_message(message, DeliveryState::Rejected { retry_after });
    }

    fn fail(&mut self, message: MessageId) {
        self.end_message(message, DeliveryState::Failed);
    }

    fn cancel_attempt(&mut self, message: MessageId, number: AttemptNumber) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        if self
            .messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| c.number == number)
        {
            self.abort_attempt(slot, Outcome::Cancelled);
        }
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        for conn in std::mem::take(&mut self.endpoints[endpoint].idle) {
            self.deadlines.clear(Timer::Connection(conn));
            self.connections.close(conn);
        }
    }

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        let of = |c: &crate::conns::Connection| c.role == crate::conns::Role::Endpoint(endpoint);
        // What the next one of that number finds is its own.
        let connections: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(id, _)| id)
            .collect();
        connections
            .into_iter()
            .for_each(|conn| self.close_idle(conn));
        self.endpoints.remove(endpoint);
    }

    // The watch is kept open here, whatever the settings say.
    fn request_watch(&mut self) {}
    fn schedule_wakeup(&mut self, after: Nanos) {
        self.deadlines.set(Timer::Wakeup, self.now + after);
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

impl Runtime {
    fn end_message(&mut self, message: MessageId, to: DeliveryState) {
        let Some(&slot) = self.by_id.get(&message) else {
            return;
        };
        self.transition(slot, to);
        // Once its end is told nothing of it may go out: an attempt that has not begun ends here.
        if self
            .messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| !c.request_started)
        {
            self.abort_attempt(slot, Outcome::ConnectFailed);
        }
    }
}

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
