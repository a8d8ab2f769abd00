//! Runs a dispatcher in a simulated environment that carries out its actions and checks the six
//! rules at each of them.

mod environment;
mod rules;
mod settings;

pub(crate) use environment::{Behavior, Environment, SentAttempt};
pub(crate) use settings::{LIFETIME, MS, SEC, settings};

use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, ClassId, DestinationId, EndpointEntry, EndpointId, EndpointUpdate,
    KeyId, KindId, MessageHistory, MessageId, Nanos, NewMessage, Outcome, PossibleRun, Settings,
    ZoneId,
};
use environment::{InFlight, MessageRecord, ScheduledEvent};

/// A dispatcher and its environment.
pub(crate) struct Simulation {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) env: Environment,
    accepted: u64,
}

impl Simulation {
    pub(crate) fn new(settings: Settings) -> Self {
        Self::with_endpoints(settings, 12)
    }

    /// Only endpoint 8 of destination 2, whose endpoints have separate limiters, is serving.
    pub(crate) fn with_single_endpoint(settings: Settings) -> Self {
        let mut sim = Self::new(settings);
        (9..12).for_each(|endpoint| sim.set_serving(endpoint, false, EndpointUpdate::Delta));
        sim
    }

    pub(crate) fn with_endpoints(settings: Settings, endpoints: u32) -> Self {
        let now = 1_000 * SEC;
        let entry = |number: u32| EndpointEntry {
            endpoint: EndpointId(number),
            destination: DestinationId(u64::from(number / 4)),
            zone: ZoneId((number % 2) as usize),
            kind: KindId(usize::from(number >= 8)),
            serving: true,
            rate_limit: None,
            name_hash: number.wrapping_mul(0x9e37_79b9),
            retry_after_until: None,
        };
        let entries = (0..endpoints).map(entry).collect();
        let mut sim = Simulation {
            dispatcher: Dispatcher::new(now, settings.clone()),
            env: Environment::new(now, settings, entries),
            accepted: 0,
        };
        sim.publish_endpoints(EndpointUpdate::Snapshot);
        sim
    }

    /// Sends the endpoint list to the dispatcher, as this kind of update.
    pub(crate) fn publish_endpoints(&mut self, update: EndpointUpdate) {
        let entries: Vec<EndpointEntry> = self
            .env
            .entries
            .iter()
            .filter(|entry| update == EndpointUpdate::Delta || entry.serving)
            .copied()
            .collect();
        self.dispatcher
            .update_endpoints(self.env.now, update, &entries, &mut self.env);
    }

    /// Makes an endpoint start or stop serving and publishes the list.
    pub(crate) fn set_serving(&mut self, endpoint: u32, serving: bool, update: EndpointUpdate) {
        self.env.entries[endpoint as usize].serving = serving;
        self.publish_endpoints(update);
    }

    /// Adds an answering endpoint to the list that has the same entry as `other` except for its ID.
    /// Does not publish the list.
    pub(crate) fn add_endpoint_like(&mut self, other: usize) {
        let added = EndpointEntry {
            endpoint: EndpointId(self.env.entries.len() as u32),
            serving: true,
            ..self.env.entries[other]
        };
        self.env.entries.push(added);
        self.env.behaviors.push(Behavior::AnswersAfter(100 * MS));
    }

    /// Submits a message with this class and destination.
    pub(crate) fn submit(&mut self, class: usize, destination: u64) -> MessageId {
        self.submit_with(class, destination, None, LIFETIME)
    }

    /// Submits a message with a lifetime and an ordering key, which is ignored in unordered
    /// classes.
    pub(crate) fn submit_with(
        &mut self,
        class: usize,
        destination: u64,
        key: Option<u64>,
        lifetime: Nanos,
    ) -> MessageId {
        let key = key
            .filter(|_| self.env.settings.classes[class].ordered)
            .map(KeyId);
        let deadline = self.env.now + lifetime;
        self.accepted += 1;
        let record = MessageRecord {
            key,
            ..MessageRecord::new(class, destination, deadline)
        };
        self.submit_record(MessageId(self.accepted), record)
    }

    /// Submits a message recovered from an earlier process of the dispatcher.
    pub(crate) fn submit_with_history(
        &mut self,
        class: usize,
        destination: u64,
        history: MessageHistory,
    ) -> MessageId {
        self.accepted += 1;
        let record = MessageRecord {
            attempts: history.attempts,
            possible_run: history.possible_run,
            ..MessageRecord::new(class, destination, self.env.now + LIFETIME)
        };
        self.submit_record(MessageId(self.accepted), record)
    }

    fn submit_record(&mut self, id: MessageId, record: MessageRecord) -> MessageId {
        let new = self.register(id, record);
        self.dispatcher.accept(self.env.now, [new], &mut self.env);
        id
    }

    /// Submits several messages of one class and destination in a single event.
    pub(crate) fn submit_many(&mut self, count: u64, class: usize, destination: u64) {
        let (deadline, first) = (self.env.now + LIFETIME, self.accepted + 1);
        let all: Vec<NewMessage> = (first..first + count)
            .map(|id| {
                let record = MessageRecord::new(class, destination, deadline);
                self.register(MessageId(id), record)
            })
            .collect();
        self.accepted += count;
        self.dispatcher.accept(self.env.now, all, &mut self.env);
    }

    fn register(&mut self, id: MessageId, record: MessageRecord) -> NewMessage {
        if let Some(key) = record.key {
            self.env.key_order.entry(key).or_default().push(id);
        }
        let new = NewMessage {
            id,
            class: ClassId(record.class),
            key: record.key,
            destination: DestinationId(record.destination),
            deadline: record.deadline,
            history: MessageHistory {
                attempts: record.attempts,
                possible_run: record.possible_run,
            },
        };
        self.env.messages.insert(id, record);
        new
    }

    /// Kills the dispatcher and starts it again with an empty state, apart from the endpoint list.
    pub(crate) fn restart_without_journal(&mut self) {
        self.env.clear_process_state();
        self.dispatcher = Dispatcher::new(self.env.now, self.env.settings.clone());
        self.publish_endpoints(EndpointUpdate::Snapshot);
    }

    /// Kills the dispatcher and starts it again with its journal: messages without a final answer
    /// are submitted again in the order of acceptance, and attempts that were in flight may have
    /// run.
    pub(crate) fn restart_with_journal(&mut self) {
        let messages = std::mem::take(&mut self.env.messages);
        self.restart_without_journal();
        for (id, mut record) in messages.into_iter().filter(|(_, record)| !record.ended) {
            if let Some(InFlight { endpoint, sent_at }) = record.in_flight.take() {
                let zone = self.env.entries[endpoint as usize].zone;
                record
                    .possible_run
                    .get_or_insert(PossibleRun { sent_at, zone });
            }
            self.submit_record(id, record);
        }
    }

    /// Withdraws a message on behalf of the client.
    pub(crate) fn withdraw(&mut self, id: MessageId) {
        if self.env.messages.get(&id).is_some_and(|m| !m.ended) {
            self.env.record_final_answer(id);
        }
        self.dispatcher
            .message_withdrawn(self.env.now, id, &mut self.env);
    }

    /// Advances the time, handles all scheduled events and checks rule 1 after each of them.
    pub(crate) fn advance(&mut self, span: Nanos) {
        let until = self.env.now + span;
        while let Some((at, event)) = self.env.next_event(until) {
            self.env.now = at;
            match event {
                ScheduledEvent::Wakeup => self.dispatcher.wakeup(at, &mut self.env),
                ScheduledEvent::AttemptEnd(id, outcome) => self.end_attempt(id, outcome),
            }
            self.env.check_deadlines();
        }
        self.env.now = until;
        self.env.check_deadlines();
    }

    fn end_attempt(&mut self, id: MessageId, outcome: Outcome) {
        let now = self.env.now;
        let message = self
            .env
            .messages
            .get_mut(&id)
            .expect("the message of a finished attempt was accepted");
        let InFlight { endpoint, sent_at } = message
            .in_flight
            .take()
            .expect("a finished attempt was in flight");
        let zone = self.env.entries[endpoint as usize].zone;
        if outcome.may_have_run() {
            message
                .possible_run
                .get_or_insert(PossibleRun { sent_at, zone });
        }
        let (key, ended_before) = (message.key, message.ended);
        let number = AttemptNumber(message.attempts - 1);
        if let (Outcome::TimedOut | Outcome::Cancelled | Outcome::ConnectionReset, Some(key)) =
            (outcome, key)
        {
            let until = now + self.env.settings.key_cooldown;
            self.env.key_cooldowns.insert(key, (until, id));
        }
        if let Outcome::RateLimited { retry_after } = outcome {
            let limiter = self.env.limiter(endpoint);
            let until = self.env.retry_after_until.entry(limiter).or_default();
            *until = (*until).max(now + retry_after.unwrap_or(0));
        }
        if outcome == Outcome::Delivered && !ended_before {
            self.env.record_final_answer(id);
            self.env.delivered.push(id);
        }
        let end = AttemptEnd {
            message: id,
            number,
            outcome,
            message_ended: ended_before || outcome == Outcome::Delivered,
            elapsed: now - sent_at,
            reported_rate_limit: self.env.reported_rate_limit,
        };
        self.dispatcher.attempt_ended(now, end, &mut self.env);
    }

    /// The number of attempts sent to an endpoint.
    pub(crate) fn attempts_to(&self, endpoint: u32) -> usize {
        let is_to_endpoint = |sent: &&SentAttempt| sent.endpoint == endpoint;
        self.env.sent.iter().filter(is_to_endpoint).count()
    }

    /// Whether a log line contains this text.
    pub(crate) fn has_logged(&self, text: &str) -> bool {
        self.env.log_lines.iter().any(|line| line.contains(text))
    }
}
