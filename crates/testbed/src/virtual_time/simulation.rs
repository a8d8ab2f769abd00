//! The simulation: the model, its dispatchers, and a common order of their timers.

use super::actions::{Command, CommandRecorder};
use super::dispatcher::SimulatedDispatcher;
use crate::audit::Slack;
use crate::ledger::Ledger;
use crate::load::Arrival;
use crate::record::{CallNumber, Observation};
use crate::world::plan::Plan;
use crate::world::time::START;
use crate::world::{CallId, ConnId, World};
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{AttemptEnd, MessageId, Nanos, Outcome};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// A scheduled event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Resubmit {
        arrival: u64,
        attempts: u32,
        dispatcher: usize,
    },
    Wakeup {
        dispatcher: usize,
        count: u64,
    },
    AttemptTimeout {
        dispatcher: usize,
        message: MessageId,
        number: u32,
        unconnected: bool,
    },
    ShutdownTimeout {
        dispatcher: usize,
        starts: u32,
    },
}

pub(super) struct Simulation {
    pub(super) world: World,
    pub(super) ledger: Ledger,
    pub(super) dispatchers: Vec<SimulatedDispatcher>,
    events: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    events_scheduled: u64,
    pub(super) now: Nanos,
    /// The dispatcher and message whose attempt uses a connection.
    pub(super) busy: HashMap<ConnId, (usize, MessageId)>,
    pub(super) call_numbers: HashMap<CallId, CallNumber>,
    /// Arrivals that may be submitted again.
    pub(super) unresolved: BTreeMap<u64, Arrival>,
    /// Ends of attempts not yet passed to the decision logic.
    pub(super) ended: VecDeque<(usize, AttemptEnd)>,
    pub(super) steps: u64,
}

impl Simulation {
    pub(super) fn new(plan: Plan) -> Simulation {
        let count = plan.spec.dispatchers.count;
        let mut simulation = Simulation {
            ledger: Ledger::new(&plan, Slack::VIRTUAL),
            world: World::new(plan),
            dispatchers: (0..count).map(|_| SimulatedDispatcher::default()).collect(),
            events: BinaryHeap::new(),
            events_scheduled: 0,
            now: START,
            busy: HashMap::new(),
            call_numbers: HashMap::new(),
            unresolved: BTreeMap::new(),
            ended: VecDeque::new(),
            steps: 0,
        };
        for dispatcher in 0..count {
            simulation.dispatchers[dispatcher].version = simulation.world.first_version();
            simulation.start(dispatcher);
            simulation.dispatchers[dispatcher].accepts_from = START;
        }
        simulation
    }

    pub(super) fn schedule(&mut self, at: Nanos, event: Event) {
        self.events_scheduled += 1;
        self.events
            .push(Reverse((at, self.events_scheduled, event)));
    }

    pub(super) fn next_event(&self) -> Option<Nanos> {
        self.events.peek().map(|Reverse((at, _, _))| *at)
    }

    pub(super) fn observe(&mut self, observation: Observation) {
        self.ledger.observe(self.now, observation);
    }

    /// Handles the model's effects and passes ended attempts to the decision logic, until none of either are left.
    pub(super) fn settle(&mut self) {
        loop {
            if let Some(effect) = self.world.effect() {
                self.handle_effect(effect);
            } else if let Some((dispatcher, end)) = self.ended.pop_front() {
                self.decide(dispatcher, |d, now, out| d.attempt_ended(now, end, out));
            } else {
                return;
            }
        }
    }

    /// Calls a dispatcher's decision logic and executes the resulting commands at once.
    pub(super) fn decide(
        &mut self,
        dispatcher: usize,
        call: impl FnOnce(&mut Dispatcher, Nanos, &mut CommandRecorder),
    ) {
        let Some(decisions) = &mut self.dispatchers[dispatcher].decisions else {
            return;
        };
        self.steps += 1;
        let mut recorder = CommandRecorder::new(dispatcher, self.now);
        call(decisions, self.now, &mut recorder);
        for command in recorder.commands {
            match command {
                Command::SendAttempt {
                    message,
                    endpoint,
                    timeout,
                } => self.send_attempt(dispatcher, message, endpoint, timeout),
                Command::Reject {
                    message,
                    retry_after,
                } => self.end_undelivered(dispatcher, message, Some(retry_after)),
                Command::Fail(message) => self.end_undelivered(dispatcher, message, None),
                Command::CancelAttempt(message, number) => {
                    let attempt = self.dispatchers[dispatcher].in_flight(message);
                    if attempt.is_some_and(|attempt| attempt.number == number) {
                        self.close_attempt(dispatcher, message);
                        self.end_attempt(dispatcher, message, Outcome::Cancelled);
                    }
                }
                Command::CloseIdleConnections(endpoint) => self.close_idle(dispatcher, endpoint),
                Command::ScheduleWakeup(after) => {
                    self.dispatchers[dispatcher].wakeups += 1;
                    let count = self.dispatchers[dispatcher].wakeups;
                    self.schedule(self.now + after, Event::Wakeup { dispatcher, count });
                }
            }
        }
    }

    pub(super) fn run_next_event(&mut self) {
        let Some(Reverse((_, _, event))) = self.events.pop() else {
            return;
        };
        match event {
            Event::Resubmit {
                arrival,
                attempts,
                dispatcher,
            } => {
                if let Some(arrival) = self.unresolved.get(&arrival).cloned() {
                    self.submit(arrival, attempts, dispatcher);
                }
            }
            Event::Wakeup { dispatcher, count } => {
                if self.dispatchers[dispatcher].wakeups == count {
                    self.decide(dispatcher, |d, now, out| d.wakeup(now, out));
                }
            }
            Event::AttemptTimeout {
                dispatcher,
                message,
                number,
                unconnected,
            } => self.attempt_timed_out(dispatcher, message, number, unconnected),
            Event::ShutdownTimeout { dispatcher, starts } => {
                if self.dispatchers[dispatcher].starts == starts {
                    self.kill(dispatcher);
                }
            }
        }
    }
}
