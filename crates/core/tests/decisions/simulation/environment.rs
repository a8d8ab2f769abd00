//! The simulated environment of a dispatcher: endpoints with configurable behavior, and a record of
//! the dispatcher's actions.

use super::settings::{LIFETIME, MS};
use bellsill_core::interface::{
    Actions, AttemptNumber, EndpointEntry, EndpointId, KeyId, MessageId, Nanos, Outcome,
    PossibleRun, Settings,
};
use std::collections::{BTreeMap, BTreeSet};

/// How an endpoint responds to attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    AnswersAfter(Nanos),
    Hangs,
    ReturnsErrors,
    /// Rate-limits every attempt, with this Retry-After.
    RateLimits(Option<Nanos>),
    /// Rate-limits every attempt after 100 ms, without a Retry-After.
    RateLimitsLate,
    /// Connections time out.
    Unreachable,
    /// Connections are refused immediately: the connection table is full, or nothing listens.
    RefusesConnections,
    ResetsConnections,
    /// The dispatcher's process has no capacity for a call to the endpoint.
    LacksLocalCapacity,
    /// Processes every message, but one answer in three is lost.
    LosesSomeAnswers,
    /// Processes the message, then resets the connection.
    ResetsAfterProcessing,
}

/// An attempt that the dispatcher sent.
pub(crate) struct SentAttempt {
    pub(crate) at: Nanos,
    pub(crate) message: MessageId,
    pub(crate) endpoint: u32,
    pub(crate) timeout: Nanos,
}

/// An attempt in flight.
pub(super) struct InFlight {
    pub(super) endpoint: u32,
    pub(super) sent_at: Nanos,
}

/// The environment's record of a message.
pub(super) struct MessageRecord {
    pub(super) class: usize,
    pub(super) key: Option<KeyId>,
    pub(super) destination: u64,
    pub(super) deadline: Nanos,
    pub(super) attempts: u32,
    pub(super) in_flight: Option<InFlight>,
    pub(super) possible_run: Option<PossibleRun>,
    pub(super) ended: bool,
    /// The call that its latest attempt is part of.
    pub(super) call: u64,
}

impl MessageRecord {
    pub(super) fn new(class: usize, destination: u64, deadline: Nanos) -> Self {
        MessageRecord {
            class,
            key: None,
            destination,
            deadline,
            attempts: 0,
            in_flight: None,
            possible_run: None,
            ended: false,
            call: 0,
        }
    }
}

/// The latest call, and how it will end.
#[derive(Clone, Copy)]
struct Call {
    number: u64,
    sent_at: Nanos,
    endpoint: u32,
    messages: usize,
    ends_after: Nanos,
    outcome: Outcome,
}

/// An event scheduled for a later time.
pub(super) enum ScheduledEvent {
    Wakeup,
    AttemptEnd(MessageId, Outcome),
}

/// The environment of one dispatcher.
pub(crate) struct Environment {
    pub(crate) now: Nanos,
    pub(crate) settings: Settings,
    pub(crate) entries: Vec<EndpointEntry>,
    pub(crate) behaviors: Vec<Behavior>,
    pub(crate) sent: Vec<SentAttempt>,
    /// The rejected messages, with their Retry-After.
    pub(crate) rejected: Vec<(MessageId, Nanos)>,
    pub(crate) failed: Vec<MessageId>,
    pub(crate) delivered: Vec<MessageId>,
    pub(crate) log_lines: Vec<String>,
    /// The endpoints whose idle connections were closed.
    pub(crate) closed_idle: Vec<u32>,
    pub(crate) removed: Vec<u32>,
    /// When a watch was requested.
    pub(crate) watch_requests: Vec<Nanos>,
    /// The rate limit reported in every answer, if any.
    pub(crate) reported_rate_limit: Option<f64>,
    pub(super) messages: BTreeMap<MessageId, MessageRecord>,
    pub(super) key_order: BTreeMap<KeyId, Vec<MessageId>>,
    /// The end of each key's cooldown, and the message whose attempt caused it.
    pub(super) key_cooldowns: BTreeMap<KeyId, (Nanos, MessageId)>,
    /// The end of the Retry-After of each limiter.
    pub(super) retry_after_until: BTreeMap<u64, Nanos>,
    scheduled: BTreeMap<(Nanos, u64), ScheduledEvent>,
    sequence: u64,
    latest_call: Option<Call>,
}

impl Environment {
    pub(super) fn new(now: Nanos, settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        Environment {
            now,
            settings,
            behaviors: vec![Behavior::AnswersAfter(100 * MS); entries.len()],
            entries,
            sent: vec![],
            rejected: vec![],
            failed: vec![],
            delivered: vec![],
            log_lines: vec![],
            closed_idle: vec![],
            removed: vec![],
            watch_requests: vec![],
            reported_rate_limit: None,
            messages: BTreeMap::new(),
            key_order: BTreeMap::new(),
            key_cooldowns: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            sequence: 0,
            latest_call: None,
        }
    }

    /// When a message with the default lifetime was accepted.
    pub(crate) fn accepted_at(&self, message: MessageId) -> Nanos {
        self.messages[&message].deadline - LIFETIME
    }

    /// The limiter that an endpoint is subject to.
    pub(super) fn limiter(&self, endpoint: u32) -> u64 {
        let entry = &self.entries[endpoint as usize];
        if self.settings.per_endpoint_limits[entry.kind.0] {
            100 + u64::from(endpoint)
        } else {
            entry.destination.0
        }
    }

    /// Clears the state that belongs to one process of the dispatcher.
    pub(super) fn clear_process_state(&mut self) {
        self.scheduled.clear();
        self.messages.clear();
        self.key_order.clear();
        self.key_cooldowns.clear();
        self.retry_after_until.clear();
    }

    fn schedule(&mut self, at: Nanos, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.insert((at, self.sequence), event);
    }

    /// Removes and returns the next event scheduled up to this time, with its time.
    pub(super) fn next_event(&mut self, until: Nanos) -> Option<(Nanos, ScheduledEvent)> {
        let first = self.scheduled.first_entry()?;
        let at = first.key().0;
        (at <= until).then(|| (at, first.remove()))
    }

    /// Checks and records the final answer of a message.
    pub(super) fn record_final_answer(&mut self, id: MessageId) {
        self.check_final_answer(id);
        let message = self.messages.get_mut(&id).expect("checked above");
        message.ended = true;
        if let Some(order) = message.key.and_then(|key| self.key_order.get_mut(&key)) {
            order.retain(|other| *other != id);
        }
    }

    /// The call that a further attempt to this endpoint joins, if any. Messages sent to an endpoint
    /// at the same time share one call with one outcome, up to the batch size of its kind.
    fn shared_call(&self, endpoint: u32) -> Option<Call> {
        let kind = self.entries[endpoint as usize].kind;
        let max_batch = self.settings.max_batch.get(kind.0).copied().unwrap_or(1);
        let calls: BTreeSet<u64> = self
            .messages
            .values()
            .filter(|message| message.in_flight.is_some())
            .map(|message| message.call)
            .collect();
        let shared = self.latest_call.filter(|call| {
            (call.sent_at, call.endpoint) == (self.now, endpoint)
                && call.messages < max_batch
                && calls.contains(&call.number)
        });
        assert!(
            shared.is_some() || calls.len() < self.settings.max_in_flight,
            "attempt sent beyond the in-flight capacity"
        );
        shared
    }

    /// The duration and the outcome of an attempt at this endpoint.
    fn simulate_attempt(&self, id: MessageId, endpoint: u32, timeout: Nanos) -> (Nanos, Outcome) {
        match self.behaviors[endpoint as usize] {
            Behavior::AnswersAfter(after) => (after, Outcome::Delivered),
            Behavior::Hangs => (timeout + 1, Outcome::TimedOut),
            Behavior::ReturnsErrors => (30 * MS, Outcome::ServerError),
            Behavior::RateLimitsLate => (100 * MS, Outcome::RateLimited { retry_after: None }),
            Behavior::RateLimits(retry_after) => (20 * MS, Outcome::RateLimited { retry_after }),
            Behavior::Unreachable => (self.settings.connect_timeout, Outcome::ConnectFailed),
            Behavior::RefusesConnections => (20 * MS, Outcome::ConnectFailed),
            Behavior::ResetsConnections => (50 * MS, Outcome::ConnectionReset),
            Behavior::LacksLocalCapacity => (1, Outcome::NotSent { no_capacity: true }),
            Behavior::LosesSomeAnswers if id.0.is_multiple_of(3) => {
                (timeout + 1, Outcome::TimedOut)
            }
            Behavior::LosesSomeAnswers => (100 * MS, Outcome::Delivered),
            Behavior::ResetsAfterProcessing => (100 * MS, Outcome::ConnectionReset),
        }
    }
}

impl Actions for Environment {
    fn send_attempt(&mut self, id: MessageId, endpoint: EndpointId, timeout: Nanos) {
        let (now, endpoint) = (self.now, endpoint.0);
        self.check_attempt(id, endpoint);
        let shared = self.shared_call(endpoint);
        let number = shared.map_or(self.sequence + 1, |call| call.number);
        let message = self.messages.get_mut(&id).expect("checked above");
        message.in_flight = Some(InFlight {
            endpoint,
            sent_at: now,
        });
        message.attempts += 1;
        message.call = number;
        assert!(
            message.attempts <= self.settings.max_attempts && now + timeout <= message.deadline
        );
        let (after, outcome) = self.simulate_attempt(id, endpoint, timeout);
        let (ends_after, outcome) =
            shared.map_or((after, outcome), |call| (call.ends_after, call.outcome));
        let messages = shared.map_or(0, |call| call.messages) + 1;
        self.latest_call = Some(Call {
            number,
            sent_at: now,
            endpoint,
            messages,
            ends_after,
            outcome,
        });
        // The answers to the messages of a call arrive one after another.
        let after = ends_after + (messages as u64 - 1) * 5 * MS;
        let (after, outcome) = if after > timeout {
            (timeout, Outcome::TimedOut)
        } else {
            (after, outcome)
        };
        self.sent.push(SentAttempt {
            at: now,
            message: id,
            endpoint,
            timeout,
        });
        self.schedule(now + after.max(1), ScheduledEvent::AttemptEnd(id, outcome));
    }

    fn reject(&mut self, id: MessageId, retry_after: Nanos) {
        self.check_rejection(id, retry_after);
        self.record_final_answer(id);
        self.rejected.push((id, retry_after));
    }

    fn fail(&mut self, id: MessageId) {
        self.record_final_answer(id);
        self.failed.push(id);
    }

    fn cancel_attempt(&mut self, id: MessageId, number: AttemptNumber) {
        assert_eq!(
            number.0 + 1,
            self.messages[&id].attempts,
            "cancelled an attempt that is not in flight"
        );
        self.scheduled
            .retain(|_, event| !matches!(event, ScheduledEvent::AttemptEnd(m, _) if *m == id));
        let end = ScheduledEvent::AttemptEnd(id, Outcome::Cancelled);
        self.schedule(self.now + 1, end);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.closed_idle.push(endpoint.0);
    }

    fn endpoint_removed(&mut self, endpoint: EndpointId) {
        assert!(
            !self.entries[endpoint.0 as usize].serving,
            "endpoint removed while it is serving"
        );
        let is_in_use = self
            .messages
            .values()
            .filter_map(|message| message.in_flight.as_ref())
            .any(|attempt| attempt.endpoint == endpoint.0);
        assert!(!is_in_use, "endpoint removed with an attempt in flight");
        self.removed.push(endpoint.0);
    }

    fn request_watch(&mut self) {
        self.watch_requests.push(self.now);
    }

    fn schedule_wakeup(&mut self, after: Nanos) {
        assert!(after > 0);
        // Fires slightly early, as the caller's timers may.
        self.schedule(self.now + after.max(100) - 99, ScheduledEvent::Wakeup);
    }

    fn log(&mut self, line: &str) {
        self.log_lines.push(line.to_string());
    }
}
