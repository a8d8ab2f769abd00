//! The messages held and all that carries them: what the decisions answer is done here, by connections, deadlines and the
//! message journal. Nothing here decides; no answer of the decisions calls them again before it returns.

use crate::conns::{ConnId, Conns};
use crate::discovery::{Discovery, WatchIo, WatchTimer};
use crate::endpoints::Endpoints;
use crate::event_loop::Daemon;
use crate::journal::{JournaledAttempt, JournaledMessage, MessageJournal, Resolution};
use crate::notices::Notices;
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
const JOURNAL_AGAIN: Nanos = 50_000_000;
/// Lifetimes are said in whole milliseconds.
const LIFETIME_SLACK: Nanos = 1_000_000;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The decisions asked to be woken.
    Wake,
    /// An attempt has had its time.
    Call(MessageSlot),
    /// A connection has stood so for too long: rising, idle, or without the answer to notices.
    Conn(ConnId),
    /// Discovery is to be connected to again.
    Watch,
    /// Notices that failed are to be sent again.
    Notices,
    /// Clients may be let in again.
    Accept,
    /// A client has sent more than was its turn.
    Read(ConnId),
    /// The next step of leaving.
    Leave,
    /// A line on how things stand.
    Standing,
    /// The journal of a process that still ends beside this one is looked for.
    Adopt,
    /// The list of endpoints held out may have been written by a process beside this one.
    HeldOut,
    /// What could not be written to the journal is to be written.
    Journal,
    /// Destinations are to be looked up again.
    LookUp,
    /// What is kept of the scoped configuration is to be saved.
    SaveScope,
}

impl From<WatchTimer> for Due {
    fn from(timer: WatchTimer) -> Due {
        match timer {
            WatchTimer::Reconnect => Due::Watch,
            WatchTimer::LookUp => Due::LookUp,
            WatchTimer::Conn(conn) => Due::Conn(conn),
        }
    }
}

/// Where a message stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Waiting,
    /// Its attempt waits for a connection to come up; nothing of it is written.
    Rising,
    /// Its first byte may be written.
    Out,
    Relayed,
    Deferred(Nanos),
    Bounced,
    /// Over, by what its destination said.
    Withdrawn,
}

impl Stage {
    pub fn ended(self) -> bool {
        !matches!(self, Stage::Waiting | Stage::Rising | Stage::Out)
    }
}

/// An attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub no: AttemptNumber,
    pub endpoint: EndpointId,
    pub conn: Option<ConnId>,
    pub at: Nanos,
    pub until: Nanos,
    /// Its first byte may be written, and the journal says so.
    pub begun: bool,
    /// The limit that its answer reported.
    pub limit: Option<f64>,
}

pub struct Held {
    pub id: MessageId,
    pub destination: u64,
    pub due: Nanos,
    /// Its row of the classes; none for one of no class known now.
    pub class: Option<usize>,
    pub tag: String,
    pub body: Vec<u8>,
    pub stage: Stage,
    pub attempts: u32,
    pub call: Option<Call>,
}

/// Everything but the decisions.
pub struct Runtime {
    pub now: Nanos,
    pub conns: Conns,
    pub deadlines: TimerQueue<Due>,
    pub messages: SlotTable<MessageSlot, Held>,
    pub slots: BTreeMap<MessageId, MessageSlot>,
    /// How many messages are held for each destination.
    pub held_for: BTreeMap<u64, usize>,
    pub endpoints: Endpoints,
    pub discovery: Discovery,
    pub notices: Notices,
    pub journal: MessageJournal,
    /// Outcomes that the decisions have not been told.
    pub ended: VecDeque<AttemptEnd>,
    pub class_names: Vec<String>,
    pub connect_timeout: Nanos,
    pub keep_alive: Nanos,
    /// Answers may tell limits, as the settings say.
    pub reports_limits: bool,
    /// A report that cannot be read has been said.
    pub bad_report_said: bool,
    /// What operators are shown.
    pub figures: crate::mgmt::Figures,
    /// The endpoints taken out by hand, by their ids in the list; kept in the folder that lasts.
    pub held_out: std::collections::BTreeSet<String>,
    /// Messages that have ended of late.
    pub recent: RecentIds,
}

impl Runtime {
    /// The watch, and what it works with.
    pub fn watch(&mut self) -> (&mut Discovery, WatchIo<'_, Due>) {
        let io = WatchIo {
            now: self.now,
            conns: &mut self.conns,
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
    fn take(&mut self, message: JournaledMessage) -> bool {
        if self.journal.append_accepted(&message).is_err() {
            return false;
        }
        self.hold(message);
        true
    }

    /// The row of a class by its name.
    pub fn class_of(&self, name: &str) -> Option<usize> {
        self.class_names.iter().position(|c| c == name)
    }

    /// Holds a message that the journal knows.
    pub fn hold(&mut self, message: JournaledMessage) {
        let attempts = message.attempts.len() as u32;
        let class = self.class_of(&message.class);
        let slot = self.messages.insert(|_| Held {
            id: message.id,
            destination: message.destination,
            due: message.deadline,
            class,
            tag: message.idempotency_key,
            body: message.body,
            stage: Stage::Waiting,
            attempts,
            call: None,
        });
        self.slots.insert(message.id, slot);
        *self.held_for.entry(message.destination).or_default() += 1;
    }

    /// A message for a destination is held no longer.
    fn release(&mut self, destination: u64) {
        let Some(held) = self.held_for.get_mut(&destination) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            self.held_for.remove(&destination);
        }
    }

    /// Has the journal try again while it is behind.
    pub fn watch_journal(&mut self) {
        if self.journal.has_unwritten() {
            self.deadlines
                .set_if_unset(Due::Journal, self.now + JOURNAL_AGAIN);
        } else {
            self.notices.recorded();
        }
    }

    /// The journal tries again.
    pub fn catch_up_journal(&mut self) {
        // Whether it went shows when it is looked at again.
        let _ = self.journal.write_pending();
    }

    /// The only place where a message changes its stage: keeps the journal, the notices owed and the tables true.
    pub fn shift(&mut self, slot: MessageSlot, to: Stage) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let (id, due, from) = (
            message.id,
            message.due,
            std::mem::replace(&mut message.stage, to),
        );
        if to.ended() && !from.ended() {
            let ending = match to {
                Stage::Deferred(come_back) => Some(Resolution::Rejected {
                    retry_after: come_back,
                }),
                Stage::Bounced => Some(Resolution::Failed),
                _ => None,
            };
            let counted = match to {
                Stage::Relayed => Some(crate::mgmt::COMPLETED),
                Stage::Deferred(_) => Some(crate::mgmt::REJECTED),
                Stage::Bounced => Some(crate::mgmt::FAILED),
                _ => None,
            };
            if let (Some(class), Some(end)) = (message.class, counted) {
                self.figures.count(class, end);
            }
            message.body = Vec::new();
            // A notice that went ahead of its record would be forgotten by a kill, and the message sent after it.
            let recorded = self.journal.append_resolved(id, ending).is_ok();
            match ending {
                Some(ending) if recorded => self.notices.owe(id, ending),
                Some(ending) => self.notices.owe_once_recorded(id, ending, due),
                None => {}
            }
        }
        if to.ended() && self.messages.get(slot).is_some_and(|m| m.call.is_none()) {
            self.messages
                .remove(slot)
                .into_iter()
                .for_each(|gone| self.release(gone.destination));
            self.slots.remove(&id);
            self.recent.note(self.now, id);
        }
    }

    /// Ends a message's attempt: the decisions are told once they are not at work. The connection is the caller's.
    pub fn end_call(&mut self, slot: MessageSlot, outcome: Outcome, over: bool) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let Some(call) = message.call.take() else {
            return;
        };
        if outcome == Outcome::NotStarted {
            message.attempts -= 1;
        }
        let (id, stage) = (message.id, message.stage);
        log::debug!(
            "message {:016x}: attempt {} ended, begun {}: {outcome:?}",
            id.0,
            call.no.0,
            call.begun
        );
        self.deadlines.clear(Due::Call(slot));
        let was_over = stage.ended();
        if call.begun && !was_over && outcome != Outcome::Delivered {
            // Until it is written the message counts as one that may have run.
            let _ = self.journal.append_outcome(id, outcome.may_have_run());
        }
        let over = over || was_over || outcome == Outcome::Delivered;
        self.shift(
            slot,
            match outcome {
                _ if was_over => stage,
                Outcome::Delivered => Stage::Relayed,
                _ if over => Stage::Withdrawn,
                _ => Stage::Waiting,
            },
        );
        let took = self.now - call.at;
        self.ended.push_back(AttemptEnd {
            message: id,
            number: call.no,
            outcome,
            message_ended: over,
            elapsed: took,
            reported_limit: call.limit,
        });
    }

    /// Breaks an attempt off: its connection is closed, which tells the endpoint. What has come until then is read first: an
    /// answer that arrived in the moment in which its time fell due, or in which it is called off, is an answer.
    pub fn break_call(&mut self, slot: MessageSlot, outcome: Outcome) {
        let Some(call) = self.messages.get(slot).and_then(|m| m.call) else {
            return;
        };
        let in_time = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        if let Some(conn) = call.conn.filter(|_| call.begun && in_time) {
            // What cannot be read is as good as not come.
            let _ = self.conns.fill(conn);
            if matches!(self.answer(conn, slot), Ok(true)) {
                return;
            }
        }
        let written = call
            .conn
            .and_then(|c| self.conns.get(c))
            .is_some_and(|c| c.output.is_empty());
        let outcome = match outcome {
            Outcome::NotSent { .. } | Outcome::NotStarted => outcome,
            // Not all of it was written: it never ran.
            _ if !call.begun || !written => Outcome::ConnectFailed,
            outcome => outcome,
        };
        if let Some(conn) = call.conn {
            self.endpoints.calls.remove(&conn);
            self.endpoints.answers.remove(&conn);
            self.deadlines.clear(Due::Conn(conn));
            self.conns.close(conn);
        }
        self.end_call(slot, outcome, false);
    }

    /// Writes a message to a connection that is up, the journal first.
    pub fn write_call(&mut self, slot: MessageSlot, conn: ConnId) {
        let (now, Some(message)) = (self.now, self.messages.get_mut(slot)) else {
            return;
        };
        let Some(call) = &mut message.call else {
            return;
        };
        let endpoint = &self.endpoints[call.endpoint];
        let room = self.journal.append_attempt(message.id, now, &endpoint.zone);
        let head = crate::http::event_request(
            message.id.0,
            &message.tag,
            endpoint.addr,
            call.until.saturating_sub(now),
            message.body.len(),
        );
        call.conn = Some(conn);
        if room.is_err() {
            self.endpoints.calls.remove(&conn);
            self.pool(conn);
            self.end_call(slot, Outcome::NotStarted, false);
            return;
        }
        call.begun = true;
        log::debug!(
            "message {:016x}: attempt {} to {}, {} ms after it was decided",
            message.id.0,
            call.no.0,
            endpoint.addr,
            (now - call.at) / 1_000_000
        );
        self.figures.upstream += 1;
        if let Some(to) = self.conns.get_mut(conn) {
            // The ring is made for the longest call and was empty.
            to.output.push(head.as_bytes());
            to.output.push(&message.body);
        }
        self.endpoints.calls.insert(conn, slot);
        self.shift(slot, Stage::Out);
        if self.conns.flush(conn).is_err() {
            self.break_call(slot, Outcome::ConnectionReset);
        }
    }
}

/// Destinations, as far as they are known.
impl Runtime {
    /// Whether messages for a destination are taken: an endpoint of it is known, or it can be looked up.
    fn may_serve(&self, destination: u64) -> bool {
        let Some(list) = self.discovery.scoped_list() else {
            return self.endpoints.serve(destination);
        };
        list.knowledge(destination) != Knowledge::Cached
            || list.entries_of(destination).next().is_some()
    }
}

impl Actions for Runtime {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let Some(&slot) = self.slots.get(&message) else {
            return;
        };
        let Some(held) = self.messages.get_mut(slot) else {
            return;
        };
        let (at, until) = (self.now, self.now + time_out);
        let no = AttemptNumber(held.attempts);
        held.attempts += 1;
        held.call = Some(Call {
            no,
            endpoint,
            conn: None,
            at,
            until,
            begun: false,
            limit: None,
        });
        self.deadlines.set(Due::Call(slot), until);
        self.place(slot, endpoint);
    }

    fn reject(&mut self, message: MessageId, come_back: Nanos) {
        self.give_up(message, Stage::Deferred(come_back));
    }

    fn fail(&mut self, message: MessageId) {
        self.give_up(message, Stage::Bounced);
    }

    fn cancel_attempt(&mut self, message: MessageId, no: AttemptNumber) {
        let Some(&slot) = self.slots.get(&message) else {
            return;
        };
        if self
            .messages
            .get(slot)
            .and_then(|m| m.call)
            .is_some_and(|c| c.no == no)
        {
            self.break_call(slot, Outcome::Cancelled);
        }
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        for conn in std::mem::take(&mut self.endpoints[endpoint].idle) {
            self.deadlines.clear(Due::Conn(conn));
            self.conns.close(conn);
        }
    }

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        let of = |c: &crate::conns::Conn| c.role == crate::conns::Role::Endpoint(endpoint);
        // What the next one of that number finds is its own.
        let conns: Vec<ConnId> = self
            .conns
            .iter()
            .filter(|(_, c)| of(c))
            .map(|(id, _)| id)
            .collect();
        conns.into_iter().for_each(|conn| self.drop_idle(conn));
        self.endpoints.forget(endpoint);
    }

    // The watch is kept open here, whatever the settings say.
    fn request_watch(&mut self) {}
    fn schedule_wakeup(&mut self, after: Nanos) {
        self.deadlines.set(Due::Wake, self.now + after);
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}

impl Runtime {
    fn give_up(&mut self, message: MessageId, to: Stage) {
        let Some(&slot) = self.slots.get(&message) else {
            return;
        };
        self.shift(slot, to);
        // Once its end is told nothing of it may go out: an attempt that has not begun ends here.
        if self
            .messages
            .get(slot)
            .and_then(|m| m.call)
            .is_some_and(|c| !c.begun)
        {
            self.break_call(slot, Outcome::ConnectFailed);
        }
    }
}

/// Why a message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    UnknownClass,
    UnknownDestination,
    /// Its queue class is tagged, and it carries no tag.
    Untagged,
    /// It says a longer queue lifetime than its class has.
    TooLong,
    /// Handing it in again is harmless.
    NoRoom,
}

impl Daemon {
    /// Accepts a message, by whatever front it came: it is written to the journal, then its client is answered, then the
    /// decisions begin. One that is held already, or has ended of late, is answered like one that was just taken.
    pub fn accept(
        &mut self,
        message: JournaledMessage,
        answer: impl FnOnce(&mut Runtime),
    ) -> Result<(), Refusal> {
        let takes = self.accepts_messages();
        let runtime = &mut self.runtime;
        let class = runtime
            .class_of(&message.class)
            .ok_or(Refusal::UnknownClass)?;
        let facts = &self.classes[class];
        if message.idempotency_key.is_empty()
            && matches!(facts.semantics, DeliverySemantics::IdempotencyKey { .. })
        {
            return Err(Refusal::Untagged);
        }
        if message.deadline > runtime.now + facts.lifetime + LIFETIME_SLACK {
            return Err(Refusal::TooLong);
        }
        if !runtime.may_serve(message.destination) {
            return Err(Refusal::UnknownDestination);
        }
        if runtime.slots.contains_key(&message.id) || runtime.recent.contains(message.id) {
            answer(runtime);
            return Ok(());
        }
        let admitted = self
            .dispatcher
            .admits(ClassId(class), DestinationId(message.destination));
        if !takes || !admitted || self.look_up(message.destination).is_err() {
            return Err(Refusal::NoRoom);
        }
        let runtime = &mut self.runtime;
        if !runtime.take(message.clone()) {
            return Err(Refusal::NoRoom);
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
            conns: &mut runtime.conns,
            deadlines: &mut runtime.deadlines,
        };
        let held_for = &runtime.held_for;
        let in_use = |other: u64| held_for.contains_key(&other);
        let gave_way = runtime.discovery.want(&mut io, destination, &in_use)?;
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
