//! The decisions alone, called in this process: processor time of a message's calls by what a dispatcher knows and holds.

use super::bench::Bench;
use super::fit::Point;
use super::report::{Series, SeriesId};
use crate::recording_actions::RecordingActions;
use anyhow::Result;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, ClassId, ClassSettings, DeliverySemantics, DestinationId,
    EndpointEntry, EndpointId, EndpointUpdate, MessageHistory, MessageId, Nanos, NewMessage,
    Outcome, Settings,
};
use rustix::time::{ClockId, clock_gettime};

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// The virtual time at which a dispatcher starts, and after which all messages held have been rejected once.
const START: Nanos = 1_000 * SECOND;
const LOADED: Nanos = START + SECOND;
/// Between two messages, and from a connect to its answer.
const SPACE: Nanos = MILLISECOND;
const ANSWER_AFTER: Nanos = MILLISECOND / 2;
const LIFETIME: Nanos = 3_600 * SECOND;
/// A destination that is down has a Retry-After over the whole measurement.
const DOWN_FOR: Nanos = 3_600 * SECOND;

/// The settings of a dispatcher of the full fleet, with one queue class.
pub fn fleet_settings(seed: u64, dispatchers: u32) -> Settings {
    let class = ClassSettings {
        priority_weight: 1.0,
        latency_objective: 2 * SECOND,
        lifetime: LIFETIME,
        late_value_share: 0.4,
        semantics: DeliverySemantics::Idempotent,
        ordered: false,
    };
    Settings {
        seed,
        dispatchers,
        classes: vec![class],
        per_endpoint_limits: vec![false],
        max_in_flight: 64,
        queue_capacity: 4_000_000,
        caller_admission: true,
        max_attempts: 1_000_000,
        connect_timeout: SECOND,
        max_retry_after: Some(LIFETIME),
        cold_capacity_share: 0.2,
        slow_start: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
        clock_resolution: 5 * MILLISECOND,
        ..Settings::default()
    }
}

/// An entry of the list for the one endpoint of a destination.
pub fn entry(destination: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(destination),
        destination: DestinationId(u64::from(destination)),
        serving: true,
        ..EndpointEntry::default()
    }
}

/// A message without attempts.
pub fn message(id: u64, destination: u32, due: Nanos) -> NewMessage {
    NewMessage {
        id: MessageId(id),
        class: ClassId(0),
        key: None,
        destination: DestinationId(u64::from(destination)),
        deadline: due,
        history: MessageHistory::default(),
    }
}

struct DecisionBench {
    dispatcher: Dispatcher,
    actions: RecordingActions,
    now: Nanos,
    next_id: u64,
}

impl DecisionBench {
    /// A dispatcher that knows `known` destinations, the last `down` of which are down.
    fn new(known: u32) -> DecisionBench {
        let mut actions = RecordingActions::default();
        let mut dispatcher = Dispatcher::new(START, fleet_settings(1, 1_900));
        let entries: Vec<EndpointEntry> = (1..=known).map(entry).collect();
        dispatcher.update_endpoints(START, EndpointUpdate::Snapshot, &entries, &mut actions);
        DecisionBench {
            dispatcher,
            actions,
            now: START,
            next_id: 1,
        }
    }

    fn accept(&mut self, destination: u32) {
        let new = message(self.next_id, destination, self.now + LIFETIME);
        self.next_id += 1;
        self.dispatcher.accept(self.now, [new], &mut self.actions);
    }

    /// Ends all attempts in flight.
    fn end_attempts(&mut self, outcome: Outcome, took: Nanos) {
        for (message, _) in std::mem::take(&mut self.actions.attempts) {
            let over = outcome == Outcome::Delivered;
            let end = AttemptEnd {
                message,
                number: AttemptNumber(0),
                outcome,
                message_ended: over,
                elapsed: took,
                reported_rate_limit: None,
            };
            self.dispatcher
                .attempt_ended(self.now, end, &mut self.actions);
        }
    }

    /// Holds messages for the last `down` of `known` destinations in turn; each is refused once.
    fn hold_messages(&mut self, known: u32, down: u32, held: u32) {
        for i in 0..held {
            self.accept(known - i % down);
            self.end_attempts(
                Outcome::RateLimited {
                    retry_after: Some(DOWN_FOR),
                },
                MILLISECOND,
            );
        }
        self.now = LOADED;
    }

    /// One message from its taking to its answer.
    fn deliver(&mut self, destination: u32) {
        self.now += SPACE;
        self.accept(destination);
        self.now += ANSWER_AFTER;
        self.end_attempts(Outcome::Delivered, ANSWER_AFTER);
    }
}

/// The processor time of this thread until now.
fn own_processor_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Microseconds of a message's calls where `down` of `known` destinations hold `held` messages.
fn message_us(known: u32, down: u32, held: u32, messages: u32) -> f64 {
    let mut decisions = DecisionBench::new(known);
    if held > 0 {
        decisions.hold_messages(known, down, held);
    }
    let serving = known - down;
    let before = own_processor_us();
    for i in 0..messages {
        decisions.deliver(1 + i % serving);
    }
    (own_processor_us() - before) / f64::from(messages)
}

/// Measures by destinations known, by messages held, and by destinations down.
pub fn measure(bench: &Bench) -> Result<Vec<Series>> {
    let sizes = &bench.sizes;
    let (serving, messages) = (sizes.serving, sizes.decisions);
    let series = |id: SeriesId, at: &[u32], measured: &dyn Fn(u32) -> f64| {
        let point = |size: &u32| Point {
            size: f64::from(*size),
            value: measured(*size),
        };
        Series::fitted(id, at.iter().map(point).collect())
    };
    Ok(vec![
        series(SeriesId::DecisionTimeByKnown, &sizes.known, &|known| {
            message_us(known, 0, 0, messages)
        })?,
        series(SeriesId::DecisionTimeByHeld, &sizes.message_held, &|held| {
            message_us(serving + 1, 1, held, messages)
        })?,
        series(SeriesId::DecisionTimeByDown, &sizes.message_down, &|down| {
            message_us(serving + down, down, down, messages)
        })?,
    ])
}
