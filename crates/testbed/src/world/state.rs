//! The state of the model, its timers and its clock.

use super::effects::{CallId, CallRequest, ConnId, Effect, ListChange, ListState, ReturnLoad};
use super::endpoint::Endpoint;
use super::plan::{EndpointPlan, Plan};
use super::rate_limit::RateLimit;
use super::time::{MS, START};
use bellsill_core::interface::{EndpointId, Nanos};
use slotmap::SlotMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// How often the load on endpoints in slow start is recorded.
pub(super) const SAMPLE_INTERVAL: Nanos = 500 * MS;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum CallState {
    Queued,
    Working,
    /// No response is sent.
    Unanswered,
}

pub(super) struct Call {
    pub(super) new: CallRequest,
    pub(super) conn: ConnId,
    pub(super) endpoint: usize,
    pub(super) state: CallState,
    pub(super) handshake: Nanos,
    pub(super) count: u64,
    pub(super) arrived_at: Nanos,
}

pub(super) struct Conn {
    pub(super) endpoint: usize,
    pub(super) dispatcher: usize,
    pub(super) call: Option<CallId>,
    pub(super) used: Nanos,
    pub(super) fresh: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Script(usize),
    Finish(CallId),
    PublishList(usize, usize),
    Sample,
}

/// The current state of the model: endpoints, connections, calls and the endpoint list.
pub struct World {
    /// The plan of the run; grows when endpoints are added.
    pub plan: Plan,
    pub(super) now: Nanos,
    pub(super) endpoints: Vec<Endpoint>,
    pub(super) rate_limits: Vec<RateLimit>,
    pub(super) conns: SlotMap<ConnId, Conn>,
    pub(super) calls: SlotMap<CallId, Call>,
    pub(super) timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    pub(super) seq: u64,
    pub(super) effects: VecDeque<Effect>,
    /// When each idempotency key first took effect, by key and deduplicating zone (`usize::MAX` for all zones).
    pub(super) applied: BTreeMap<(u64, usize), Nanos>,
    pub(super) expiring_effects: VecDeque<(Nanos, (u64, usize))>,
    pub(super) changes: Vec<ListChange>,
    /// The version of the endpoint list that all dispatchers have at the start.
    pub(super) listed_at_start: usize,
    pub(super) list_frozen: bool,
    pub(super) lag: i64,
    pub(super) cold: Vec<usize>,
    /// Samples of the load on endpoints in slow start.
    pub returns: Vec<ReturnLoad>,
    pub(super) calls_seen: u64,
}

impl World {
    /// The model at the start of a run.
    pub fn new(plan: Plan) -> World {
        let changes: Vec<ListChange> = (0..plan.endpoints.len())
            .map(|e| ListChange {
                endpoint: EndpointId(e as u32),
                listed: ListState::Up,
            })
            .collect();
        let mut world = World {
            now: START,
            endpoints: (0..plan.endpoints.len())
                .map(|_| Endpoint::new(None))
                .collect(),
            rate_limits: vec![RateLimit::default(); plan.rate_limits.len()],
            conns: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            timers: BinaryHeap::new(),
            seq: 0,
            effects: VecDeque::new(),
            applied: BTreeMap::new(),
            expiring_effects: VecDeque::new(),
            listed_at_start: changes.len(),
            changes,
            list_frozen: false,
            lag: 0,
            cold: vec![],
            returns: vec![],
            calls_seen: 0,
            plan,
        };
        for i in 0..world.plan.script.len() {
            world.schedule(world.plan.script[i].0, Timer::Script(i));
        }
        world.schedule(START + SAMPLE_INTERVAL, Timer::Sample);
        world
    }

    pub(super) fn schedule(&mut self, at: Nanos, what: Timer) {
        self.seq += 1;
        self.timers.push(Reverse((at, self.seq, what)));
    }

    /// The time of the next timer.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _, _))| *at)
    }

    /// Takes the next pending effect.
    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Advances the clock and runs all timers due by `now`.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(&Reverse((at, _, what))) =
            self.timers.peek().filter(|Reverse((at, _, _))| *at <= now)
        {
            self.timers.pop();
            self.now = self.now.max(at);
            match what {
                Timer::Script(i) => self.apply_change(i),
                Timer::Finish(call) => self.finish(call),
                Timer::PublishList(dispatcher, version) if !self.list_frozen => {
                    self.effects.push_back(Effect::ListPublished {
                        dispatcher,
                        version,
                    })
                }
                // The list is frozen; it is published when the freeze ends.
                Timer::PublishList(..) => {}
                Timer::Sample => self.sample(),
            }
        }
        self.now = self.now.max(now);
        while self
            .expiring_effects
            .front()
            .is_some_and(|(at, _)| *at <= self.now)
        {
            if let Some((_, key)) = self.expiring_effects.pop_front() {
                self.applied.remove(&key);
            }
        }
    }

    /// The plan of an endpoint.
    pub fn endpoint(&self, endpoint: EndpointId) -> &EndpointPlan {
        &self.plan.endpoints[endpoint.0 as usize]
    }

    /// The number of endpoints so far, including removed ones.
    pub fn endpoints(&self) -> usize {
        self.plan.endpoints.len()
    }
}
