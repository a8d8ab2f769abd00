//! First attempts wasted on destinations that are down, as the same traffic is spread over more dispatchers. In virtual
//! time: the decisions are called directly. Each destination has the rate that it has at the full size.

use super::bench::Bench;
use super::decisions::{entry, fleet_settings, message};
use super::fit::Point;
use super::report::{Finding, Series, SeriesId};
use super::traffic::Traffic;
use crate::recording_actions::RecordingActions;
use anyhow::Result;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, EndpointEntry, EndpointUpdate, MessageId, Nanos, Outcome, Settings,
};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

const SECOND: Nanos = 1_000_000_000;
const START: Nanos = 1_000 * SECOND;
const ANSWER_AFTER: Nanos = SECOND / 50;
/// How long a message may wait.
const LIFETIME: Nanos = 20 * SECOND;

/// What became of the first attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wasted {
    /// First attempts of all messages, and those of them at destinations that are down.
    pub first_attempts: u64,
    pub at_down: u64,
    /// Messages for destinations that are down.
    pub messages_to_down: u64,
}

impl Wasted {
    /// Of all first attempts.
    pub fn share(&self) -> f64 {
        self.at_down as f64 / (self.first_attempts as f64).max(1.0)
    }

    /// Of the messages for destinations that are down.
    pub fn share_of_down(&self) -> f64 {
        self.at_down as f64 / (self.messages_to_down as f64).max(1.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Wake {
        dispatcher: usize,
    },
    Answer {
        dispatcher: usize,
        mail: MessageId,
        attempt: u32,
        relayed: bool,
    },
}

struct Fleet {
    traffic: Traffic,
    dispatchers: Vec<Dispatcher>,
    due: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    events: u64,
    now: Nanos,
    random: Pcg64Mcg,
    next_id: u64,
    /// Attempts made of messages that were tried and are not relayed.
    attempts: std::collections::HashMap<MessageId, u32>,
    /// Messages whose first attempt has been counted.
    tried: BTreeSet<MessageId>,
    wasted: Wasted,
}

/// Plays the traffic over this many dispatchers.
pub fn play(traffic: Traffic, dispatchers: u32) -> Result<Wasted> {
    let mut fleet = Fleet::new(traffic, dispatchers);
    let until = START + Nanos::from(traffic.seconds) * SECOND;
    let gaps = Exp::new(traffic.messages_per_second)?;
    fleet.later(START, Event::Arrival);
    while let Some(Reverse((at, _, event))) = fleet.due.pop() {
        if at > until {
            break;
        }
        fleet.now = at;
        if event == Event::Arrival {
            let gap: f64 = gaps.sample(&mut fleet.random);
            fleet.later(at + (gap * SECOND as f64) as Nanos, Event::Arrival);
        }
        fleet.handle(event);
    }
    Ok(fleet.wasted)
}

impl Fleet {
    fn new(traffic: Traffic, dispatchers: u32) -> Fleet {
        let entries: Vec<EndpointEntry> = (1..=traffic.destinations).map(entry).collect();
        let boot = |i: u32| {
            let settings = Settings {
                caller_admission: false,
                ..fleet_settings(traffic.seed + u64::from(i), dispatchers)
            };
            let mut dispatcher = Dispatcher::new(START, settings);
            dispatcher.update_endpoints(
                START,
                EndpointUpdate::Snapshot,
                &entries,
                &mut RecordingActions::default(),
            );
            dispatcher
        };
        Fleet {
            traffic,
            dispatchers: (0..dispatchers).map(boot).collect(),
            due: BinaryHeap::new(),
            events: 0,
            now: START,
            random: Pcg64Mcg::seed_from_u64(traffic.seed),
            next_id: 1,
            attempts: std::collections::HashMap::new(),
            tried: BTreeSet::new(),
            wasted: Wasted::default(),
        }
    }

    fn later(&mut self, at: Nanos, event: Event) {
        self.events += 1;
        self.due.push(Reverse((at, self.events, event)));
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival => {
                let dispatcher = self.random.random_range(0..self.dispatchers.len());
                let destination = self.random.random_range(1..=self.traffic.destinations);
                self.wasted.messages_to_down += u64::from(destination <= self.traffic.down);
                let new = message(self.next_id, destination, now + LIFETIME);
                self.next_id += 1;
                self.ask(dispatcher, |d, out| d.accept(now, [new], out));
            }
            Event::Wake { dispatcher } => self.ask(dispatcher, |d, out| d.wakeup(now, out)),
            Event::Answer {
                dispatcher,
                mail,
                attempt,
                relayed,
            } => {
                let (outcome, took) = match relayed {
                    true => (Outcome::Delivered, ANSWER_AFTER),
                    false => (Outcome::ConnectFailed, 0),
                };
                let end = AttemptEnd {
                    message: mail,
                    number: AttemptNumber(attempt),
                    outcome,
                    message_ended: relayed,
                    elapsed: took,
                    reported_rate_limit: None,
                };
                self.ask(dispatcher, |d, out| d.attempt_ended(now, end, out));
            }
        }
    }

    /// One call on a dispatcher's decisions, and what comes of their answers.
    fn ask(
        &mut self,
        dispatcher: usize,
        call: impl FnOnce(&mut Dispatcher, &mut RecordingActions),
    ) {
        let mut answers = RecordingActions::default();
        call(&mut self.dispatchers[dispatcher], &mut answers);
        for (mail, endpoint) in answers.attempts {
            let relayed = endpoint.0 > self.traffic.down;
            let attempts = self.attempts.entry(mail).or_default();
            let attempt = *attempts;
            *attempts += 1;
            if self.tried.insert(mail) {
                self.wasted.first_attempts += 1;
                self.wasted.at_down += u64::from(!relayed);
            }
            let at = if relayed {
                self.now + ANSWER_AFTER
            } else {
                self.now
            };
            self.later(
                at,
                Event::Answer {
                    dispatcher,
                    mail,
                    attempt,
                    relayed,
                },
            );
        }
        if let Some(after) = answers.wake_after {
            self.later(self.now + after, Event::Wake { dispatcher });
        }
    }
}

/// Plays the same traffic over each number of dispatchers.
pub fn measure(bench: &Bench) -> Result<(Series, Vec<Finding>)> {
    let (mut points, mut findings) = (vec![], vec![]);
    for dispatchers in &bench.sizes.dispatchers {
        let wasted = play(bench.sizes.traffic, *dispatchers)?;
        points.push(Point {
            size: f64::from(*dispatchers).log10(),
            value: wasted.share(),
        });
        findings.push(Finding::WastedOfDown {
            dispatchers: *dispatchers,
            share: wasted.share_of_down(),
        });
    }
    Ok((
        Series::fitted(SeriesId::WastedByDispatchers, points)?,
        findings,
    ))
}
