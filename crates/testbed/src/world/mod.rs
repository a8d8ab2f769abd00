//! The model of the world: endpoints, their faults over time, and what is listed of them. No sockets, no clock, no
//! threads: it is told what comes and when, and says what it answers. Both drives use it.
//!
//! Call [`World::advance`] up to a moment before telling it what comes then, and take each [`World::effect`] after a call.

pub mod gate;
pub mod plan;

use crate::spec::*;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use gate::Gate;
use plan::*;
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

new_key_type! {
    /// A connection to an endpoint.
    pub struct ConnId;
    /// A call that has come to an endpoint whole.
    pub struct CallId;
}

/// Under so many calls allowed, the slack of a cold endpoint's budget is larger.
const SMALL_ALLOWANCE: f64 = 30.0;
/// Reaped: for how long a connection may be idle.
const REAPED_IDLE_LIMIT: Nanos = 300 * MS;
/// How often the load on what has returned is written down.
const SAMPLE_INTERVAL: Nanos = 500 * MS;
/// A caller that breaks a call off sooner has not seen it fail: it had other reasons.
const MIN_WAIT_TO_NOTICE_FAULT: Nanos = 2 * S;
/// Effects are remembered for so long over the longest queue lifetime.
const EFFECT_RETENTION: Nanos = 30 * S;

/// What goes out of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        call: CallId,
        conn: ConnId,
        answer: Answer,
    },
    /// The endpoint breaks a connection, with the calls on it.
    ConnectionBroken { conn: ConnId },
    /// A call took effect; `fresh` is false where the endpoint dropped it as a repeat.
    Applied {
        call: CallId,
        message: MessageId,
        endpoint: EndpointId,
        fresh: bool,
    },
    /// Whether new connections come up there has changed.
    ReachabilityChanged {
        endpoint: EndpointId,
        reach: Reachability,
    },
    /// A new endpoint has come.
    EndpointAdded { endpoint: EndpointId },
    /// A dispatcher is told the list up to this version.
    ListPublished { dispatcher: usize, version: usize },
    DispatcherSignalled {
        dispatcher: usize,
        signal: DispatcherSignal,
    },
    /// A cold endpoint fell over: how many of the calls came from dispatchers that had seen its outage.
    Overloaded {
        endpoint: EndpointId,
        informed_calls: usize,
        all_calls: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Delivered,
    ServerError,
    /// With the wait that is told; none: no wait.
    RateLimited(Option<Nanos>),
    /// Cannot be read; the call took effect.
    Malformed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Open,
    Refusing,
    /// New connections never come up.
    Silent,
}

/// What comes of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectResult {
    Connected(ConnId),
    Refused,
    NoResponse,
}

/// A call as it comes in.
#[derive(Clone, Debug)]
pub struct CallRequest {
    pub message: MessageId,
    pub class: usize,
    pub dispatcher: usize,
    /// What its repeats are known by.
    pub idempotency_key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    pub endpoint: EndpointId,
    pub listed: ListState,
}

/// The load on all that has returned cold, in one sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReturnLoad {
    pub at: Nanos,
    pub endpoints: usize,
    /// Calls that came, and calls that could be done, in the span.
    pub calls: f64,
    pub capacity: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallState {
    Queued,
    Working,
    /// Nothing will be said of it.
    Unanswered,
}

struct Call {
    new: CallRequest,
    conn: ConnId,
    endpoint: usize,
    state: CallState,
    handshake: Nanos,
    count: u64,
    arrivals: Nanos,
}

struct Conn {
    endpoint: usize,
    dispatcher: usize,
    call: Option<CallId>,
    used: Nanos,
    fresh: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Condition {
    down: bool,
    reset: bool,
    silent: bool,
    hung: bool,
    shut_until: Option<Nanos>,
    slow: f64,
    failing: f64,
    lost: f64,
    malformed: f64,
    reaped: bool,
}

impl Condition {
    const HEALTHY: Condition = Condition {
        down: false,
        reset: false,
        silent: false,
        hung: false,
        shut_until: None,
        slow: 1.0,
        failing: 0.0,
        lost: 0.0,
        malformed: 0.0,
        reaped: false,
    };
}

struct Endpoint {
    /// Faults that strike it now.
    faults: Vec<usize>,
    condition: Condition,
    collapsed: bool,
    removed: bool,
    working: u32,
    queue: VecDeque<CallId>,
    /// Their work is done, but it stands still.
    stalled: Vec<CallId>,
    conns: BTreeSet<ConnId>,
    cold_since: Option<Nanos>,
    /// Dispatchers that saw a call or connection fail here in the outage.
    outage_seen_by: BTreeSet<usize>,
    /// Calls since it is back, while it is cold: when, and from one that saw the outage.
    arrivals: VecDeque<(Nanos, bool)>,
    arrivals_in_sample: u64,
}

impl Endpoint {
    fn new(cold_since: Option<Nanos>) -> Endpoint {
        Endpoint {
            faults: vec![],
            condition: Condition::HEALTHY,
            collapsed: false,
            removed: false,
            working: 0,
            queue: VecDeque::new(),
            stalled: vec![],
            conns: BTreeSet::new(),
            cold_since,
            outage_seen_by: BTreeSet::new(),
            arrivals: VecDeque::new(),
            arrivals_in_sample: 0,
        }
    }
    fn reach(&self) -> Reachability {
        match () {
            () if self.removed || self.collapsed || self.condition.down => Reachability::Refusing,
            () if self.condition.silent => Reachability::Silent,
            () => Reachability::Open,
        }
    }
    fn in_outage(&self) -> bool {
        let c = &self.condition;
        self.collapsed || c.down || c.silent || c.hung || c.shut_until.is_some()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Script(usize),
    Finish(CallId),
    PublishList(usize, usize),
    Sample,
}

pub struct World {
    pub plan: Plan,
    now: Nanos,
    endpoints: Vec<Endpoint>,
    gates: Vec<Gate>,
    conns: SlotMap<ConnId, Conn>,
    calls: SlotMap<CallId, Call>,
    timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    seq: u64,
    effects: VecDeque<Effect>,
    /// When a tag first took effect, by its tag and the zone that remembers it.
    applied: BTreeMap<(u64, usize), Nanos>,
    expiring_effects: VecDeque<(Nanos, (u64, usize))>,
    changes: Vec<ListChange>,
    /// Up to where all dispatchers were told at the start.
    listed_at_start: usize,
    list_frozen: bool,
    lag: i64,
    cold: Vec<usize>,
    pub returns: Vec<ReturnLoad>,
    calls_seen: u64,
}

/// How many calls a cold endpoint bears in the window, of which it could handle `allowed` in the mean: as the standing test
/// counts, with a slack for chance.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let slack = if allowed < SMALL_ALLOWANCE { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

impl World {
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
            gates: vec![Gate::default(); plan.gates.len()],
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

    fn schedule(&mut self, at: Nanos, what: Timer) {
        self.seq += 1;
        self.timers.push(Reverse((at, self.seq, what)));
    }

    /// When something happens here next without being told.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, _, _))| *at)
    }

    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Lets all happen that is due by now.
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
                // Told when the list moves again.
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

    // What is listed.

    /// The version that a dispatcher knows which starts first.
    pub fn first_version(&self) -> usize {
        self.listed_at_start
    }
    pub fn versions(&self) -> usize {
        self.changes.len()
    }
    /// The changes after a version up to another, one line an endpoint a change.
    pub fn changes(&self, after: usize, upto: usize) -> &[ListChange] {
        &self.changes[after.min(upto)..upto]
    }
    /// The list as it was at a version.
    pub fn listing(&self, upto: usize) -> BTreeMap<EndpointId, ListState> {
        let mut list = BTreeMap::new();
        for change in &self.changes[..upto] {
            match change.listed {
                ListState::Removed => list.remove(&change.endpoint),
                listed => list.insert(change.endpoint, listed),
            };
        }
        list
    }
    pub fn endpoint(&self, endpoint: EndpointId) -> &EndpointPlan {
        &self.plan.endpoints[endpoint.0 as usize]
    }
    pub fn endpoints(&self) -> usize {
        self.plan.endpoints.len()
    }

    fn record_change(&mut self, endpoint: usize, listed: ListState) {
        self.changes.push(ListChange {
            endpoint: EndpointId(endpoint as u32),
            listed,
        });
    }

    /// Tells all dispatchers what has been listed, each after its own lag.
    fn publish_list(&mut self) {
        let (upto, seed) = (self.changes.len(), self.plan.seed);
        for d in 0..self.plan.spec.dispatchers.count {
            let drawn = draw(seed, upto as u64, d as u64, 7);
            let lag = ms(between(self.plan.spec.world.list_lag_ms, drawn)) as i64 + self.lag;
            self.schedule(self.now + lag.max(0) as Nanos, Timer::PublishList(d, upto));
        }
    }

    // Connections and calls.

    pub fn reach(&self, endpoint: EndpointId) -> Reachability {
        self.endpoints
            .get(endpoint.0 as usize)
            .map_or(Reachability::Refusing, Endpoint::reach)
    }

    pub fn open(&mut self, dispatcher: usize, endpoint: EndpointId) -> ConnectResult {
        let e = endpoint.0 as usize;
        match self.reach(endpoint) {
            Reachability::Refusing => {
                self.note_outage_seen(e, dispatcher);
                ConnectResult::Refused
            }
            Reachability::Silent => ConnectResult::NoResponse,
            Reachability::Open => {
                if self.endpoints[e].conns.len()
                    >= self.plan.spec.kinds[self.plan.endpoints[e].kind].connections
                {
                    return ConnectResult::Refused;
                }
                let conn = self.conns.insert(Conn {
                    endpoint: e,
                    dispatcher,
                    call: None,
                    used: self.now,
                    fresh: true,
                });
                self.endpoints[e].conns.insert(conn);
                ConnectResult::Connected(conn)
            }
        }
    }

    /// A dispatcher has waited in vain for a connection to come up.
    pub fn connect_timed_out(&mut self, dispatcher: usize, endpoint: EndpointId) {
        self.note_outage_seen(endpoint.0 as usize, dispatcher);
    }

    /// A dispatcher has closed its side. A call that waits is dropped; one that is worked on runs on, unheard.
    pub fn close(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(conn) else {
            return;
        };
        let e = gone.endpoint;
        self.endpoints[e].conns.remove(&conn);
        let Some(id) = gone.call else { return };
        if self.now >= gone.used + MIN_WAIT_TO_NOTICE_FAULT {
            self.note_outage_seen(e, gone.dispatcher);
        }
        match self.calls.get(id).map(|c| c.state) {
            Some(CallState::Queued) => {
                self.endpoints[e].queue.retain(|q| *q != id);
                self.calls.remove(id);
            }
            Some(CallState::Unanswered) => drop(self.calls.remove(id)),
            _ => {}
        }
    }

    /// The last byte of a call has come. None: the connection breaks, and the call never ran.
    pub fn call(&mut self, conn: ConnId, new: CallRequest) -> Option<CallId> {
        let now = self.now;
        let at = self.conns.get_mut(conn)?;
        let (e, idle) = (at.endpoint, now - at.used);
        let fresh = std::mem::replace(&mut at.fresh, false);
        at.used = now;
        // On sockets nothing says whose a connection is before its first call.
        at.dispatcher = new.dispatcher;
        let condition = self.endpoints[e].condition;
        let keep_alive = ms(self.plan.spec.dispatchers.keep_alive_ms);
        if !fresh && (idle >= keep_alive || condition.reaped && idle >= REAPED_IDLE_LIMIT) {
            self.break_connection(conn);
            return None;
        }
        self.count_against_budget(e, new.dispatcher);
        if self.endpoints[e].reach() == Reachability::Refusing || condition.reset {
            self.note_outage_seen(e, new.dispatcher);
            self.break_connection(conn);
            return None;
        }
        self.calls_seen += 1;
        let kind = &self.plan.spec.kinds[self.plan.endpoints[e].kind];
        let handshake = if fresh { ms(kind.handshake_ms) } else { 0 };
        let call = Call {
            conn,
            endpoint: e,
            state: CallState::Unanswered,
            handshake,
            count: self.calls_seen,
            arrivals: now,
            new,
        };
        let (message, dispatcher, count) = (call.new.message, call.new.dispatcher, call.count);
        let id = self.calls.insert(call);
        if let Some(at) = self.conns.get_mut(conn) {
            at.call = Some(id);
        }
        if condition.silent {
            return Some(id);
        }
        let told = |seed| draw(seed, message.0, count, 1) < kind.told_share;
        if let Some(until) = condition.shut_until {
            let wait = told(self.plan.seed).then(|| until.saturating_sub(now).max(MS));
            self.note_outage_seen(e, dispatcher);
            self.answer(id, Answer::RateLimited(wait));
            return Some(id);
        }
        let gate = self.plan.endpoints[e].gate;
        let drawn = draw(self.plan.seed, message.0, count, 2);
        if let Some(wait) = self.gates[gate].call(now, &self.plan.gates[gate], kind, drawn) {
            let wait = told(self.plan.seed).then_some(wait.max(MS));
            self.answer(id, Answer::RateLimited(wait));
            return Some(id);
        }
        let workers = self.workers(e);
        if !condition.hung && self.endpoints[e].working < workers {
            self.work(id);
        } else if self.endpoints[e].queue.len() < self.plan.endpoints[e].queue || condition.hung {
            self.calls[id].state = CallState::Queued;
            self.endpoints[e].queue.push_back(id);
        } else {
            self.answer(id, Answer::RateLimited(None));
        }
        Some(id)
    }

    /// Whether a connection has not been closed by either side.
    pub fn is_open(&self, conn: ConnId) -> bool {
        self.conns.contains_key(conn)
    }

    // How much an endpoint can do.

    /// The part of its capacity that is back.
    fn warm_fraction(&self, e: usize) -> f64 {
        let (r, endpoint) = (&self.plan.spec.rules, &self.endpoints[e]);
        match endpoint.cold_since {
            None => 1.0,
            Some(since) => {
                let back = (self.now - since) as f64 / ms(r.ramp_ms).max(1) as f64;
                (r.cold_share + (1.0 - r.cold_share) * back).min(1.0)
            }
        }
    }
    fn workers(&self, e: usize) -> u32 {
        ((f64::from(self.plan.endpoints[e].workers) * self.warm_fraction(e)).ceil() as u32).max(1)
    }
    /// Calls a second that an endpoint can do now.
    pub fn capacity(&self, endpoint: EndpointId) -> f64 {
        let e = endpoint.0 as usize;
        if self.endpoints[e].in_outage() {
            0.0
        } else {
            self.plan.endpoints[e].capacity * self.warm_fraction(e)
        }
    }

    fn note_outage_seen(&mut self, e: usize, dispatcher: usize) {
        if self.endpoints[e].in_outage() {
            self.endpoints[e].outage_seen_by.insert(dispatcher);
        }
    }

    /// Counts a call against what a cold endpoint bears.
    fn count_against_budget(&mut self, e: usize, dispatcher: usize) {
        let Some(since) = self.endpoints[e].cold_since else {
            return;
        };
        if self.endpoints[e].in_outage() {
            return;
        }
        let r = &self.plan.spec.rules;
        if self.now >= since + ms(r.ramp_ms) {
            let endpoint = &mut self.endpoints[e];
            (endpoint.cold_since, endpoint.arrivals_in_sample) = (None, 0);
            endpoint.arrivals.clear();
            endpoint.outage_seen_by.clear();
            self.cold.retain(|c| *c != e);
            return;
        }
        let window = ms(r.tip_window_ms);
        let warm_capacity = self.plan.endpoints[e].capacity * self.warm_fraction(e);
        let bears = slow_start_budget(r.tip_multiple * warm_capacity * window as f64 / 1e9);
        let endpoint = &mut self.endpoints[e];
        let knowing = endpoint.outage_seen_by.contains(&dispatcher);
        endpoint.arrivals_in_sample += 1;
        endpoint.arrivals.push_back((self.now, knowing));
        while endpoint
            .arrivals
            .front()
            .is_some_and(|c| c.0 + window <= self.now)
        {
            endpoint.arrivals.pop_front();
        }
        let all_calls = endpoint.arrivals.len();
        if all_calls as f64 > bears {
            let informed_calls = endpoint.arrivals.iter().filter(|c| c.1).count();
            endpoint.collapsed = true;
            self.effects.push_back(Effect::Overloaded {
                endpoint: EndpointId(e as u32),
                informed_calls,
                all_calls,
            });
            self.collapse(e);
            self.report_reachability(e);
        }
    }

    fn sample(&mut self) {
        let at = self.now;
        if !self.cold.is_empty() {
            let mut load = ReturnLoad {
                at,
                endpoints: self.cold.len(),
                ..Default::default()
            };
            for e in self.cold.clone() {
                load.calls += std::mem::take(&mut self.endpoints[e].arrivals_in_sample) as f64;
                load.capacity += self.capacity(EndpointId(e as u32)) * SAMPLE_INTERVAL as f64 / 1e9;
            }
            self.returns.push(load);
            let ramp = ms(self.plan.spec.rules.ramp_ms);
            let endpoints = &self.endpoints;
            self.cold.retain(|&e| {
                endpoints[e]
                    .cold_since
                    .is_some_and(|since| at < since + ramp)
            });
        }
        if at < self.plan.over_at {
            self.schedule(at + SAMPLE_INTERVAL, Timer::Sample);
        }
    }

    // Work.

    fn work(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.state = CallState::Working;
        let (e, message, count, class, handshake) = (
            call.endpoint,
            call.new.message,
            call.count,
            call.new.class,
            call.handshake,
        );
        let plan = &self.plan.endpoints[e];
        let service = &self.plan.spec.classes[class].service_ms;
        let drawn = draw(self.plan.seed, message.0, count, 3);
        // Too few workers for the part that is back: each takes its time.
        let stretch =
            f64::from(self.workers(e)) / (f64::from(plan.workers) * self.warm_fraction(e));
        let slow = self.endpoints[e].condition.slow;
        let takes =
            between(*service, drawn) * self.plan.paces[plan.destination] * slow * stretch.max(1.0);
        self.endpoints[e].working += 1;
        self.schedule(self.now + handshake + ms(takes).max(1), Timer::Finish(id));
    }

    fn finish(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (e, message, count) = (call.endpoint, call.new.message, call.count);
        if self.endpoints[e].condition.hung {
            return self.endpoints[e].stalled.push(id);
        }
        self.endpoints[e].working -= 1;
        let condition = self.endpoints[e].condition;
        let seed = self.plan.seed;
        let drawn = |salt| draw(seed, message.0, count, salt);
        if drawn(4) < condition.failing {
            if drawn(5) < 0.5 {
                self.apply(id);
            }
            self.answer(id, Answer::ServerError);
        } else {
            self.apply(id);
            if condition.silent || drawn(6) < condition.lost {
                self.leave_unanswered(id);
            } else if drawn(6) < condition.lost + condition.malformed {
                self.answer(id, Answer::Malformed);
            } else {
                self.answer(id, Answer::Delivered);
            }
        }
        self.next_of(e);
    }

    fn next_of(&mut self, e: usize) {
        while !self.endpoints[e].condition.hung && self.endpoints[e].working < self.workers(e) {
            let Some(id) = self.endpoints[e].queue.pop_front() else {
                break;
            };
            self.work(id);
        }
    }

    /// The call takes effect, unless it is a repeat that is dropped.
    fn apply(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (e, class, message) = (
            call.endpoint,
            &self.plan.spec.classes[call.new.class],
            call.new.message,
        );
        // A repeat is known for one by when it came, however long the work takes.
        let arrivals = call.arrivals;
        let mut fresh = true;
        if class.repeat == Repeat::Tagged {
            let zone = if class.same_zone {
                self.plan.endpoints[e].zone
            } else {
                usize::MAX
            };
            let (key, window) = ((call.new.idempotency_key, zone), ms(class.window_ms));
            match self.applied.get(&key) {
                Some(first) if arrivals < first + window => fresh = false,
                _ => {
                    self.applied.insert(key, arrivals);
                    self.expiring_effects
                        .push_back((self.now + window + EFFECT_RETENTION, key));
                }
            }
        }
        self.effects.push_back(Effect::Applied {
            call: id,
            message,
            endpoint: EndpointId(e as u32),
            fresh,
        });
    }

    fn answer(&mut self, id: CallId, answer: Answer) {
        let Some(call) = self.calls.remove(id) else {
            return;
        };
        if let Some(conn) = self.conns.get_mut(call.conn).filter(|c| c.call == Some(id)) {
            conn.call = None;
            conn.used = self.now;
            self.effects.push_back(Effect::Answer {
                call: id,
                conn: call.conn,
                answer,
            });
        }
    }

    /// Nothing will be said of the call; its caller still waits, or has gone.
    fn leave_unanswered(&mut self, id: CallId) {
        let Some(conn) = self.calls.get(id).map(|c| c.conn) else {
            return;
        };
        if self.conns.get(conn).is_some_and(|c| c.call == Some(id)) {
            self.calls[id].state = CallState::Unanswered;
        } else {
            self.calls.remove(id);
        }
    }

    fn break_connection(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(conn) else {
            return;
        };
        self.endpoints[gone.endpoint].conns.remove(&conn);
        if let Some(call) = gone.call.filter(|c| {
            self.calls
                .get(*c)
                .is_some_and(|c| c.state != CallState::Working)
        }) {
            self.endpoints[gone.endpoint].queue.retain(|q| *q != call);
            self.calls.remove(call);
        }
        self.effects.push_back(Effect::ConnectionBroken { conn });
    }

    /// All that an endpoint has in hand is lost, and its connections break.
    fn collapse(&mut self, e: usize) {
        for conn in std::mem::take(&mut self.endpoints[e].conns) {
            if let Some(c) = self.conns.get(conn)
                && c.call.is_some()
            {
                let dispatcher = c.dispatcher;
                self.note_outage_seen(e, dispatcher);
            }
            self.conns.remove(conn);
            self.effects.push_back(Effect::ConnectionBroken { conn });
        }
        self.endpoints[e].queue.clear();
        self.endpoints[e].stalled.clear();
        self.endpoints[e].working = 0;
        self.calls.retain(|_, call| call.endpoint != e);
    }

    // The script.

    fn apply_change(&mut self, i: usize) {
        match self.plan.script[i].1.clone() {
            ScriptedChange::ListLag(lag) => self.lag += lag,
            ScriptedChange::ListFrozen(frozen) => {
                self.list_frozen = frozen;
                if !frozen {
                    self.publish_list();
                }
            }
            ScriptedChange::Signal(dispatcher, signal) => self
                .effects
                .push_back(Effect::DispatcherSignalled { dispatcher, signal }),
            ScriptedChange::BeginFault { fault, endpoints } => {
                self.apply_fault(fault, &endpoints, true)
            }
            ScriptedChange::EndFault { fault, endpoints } => {
                self.apply_fault(fault, &endpoints, false)
            }
        }
    }

    fn apply_fault(&mut self, t: usize, endpoints: &[usize], begins: bool) {
        let fault = self.plan.spec.faults[t].clone();
        match fault.what {
            FaultKind::LimitLowered => {
                let mut gates: Vec<usize> = endpoints
                    .iter()
                    .map(|&e| self.plan.endpoints[e].gate)
                    .collect();
                gates.dedup();
                for g in gates {
                    self.gates[g].lowered.retain(|l| l.0 != t);
                    if begins {
                        self.gates[g].lowered.push((t, fault.part.unwrap_or(1.0)));
                    }
                }
            }
            FaultKind::Drained => {
                for &e in endpoints {
                    if begins {
                        self.record_change(e, ListState::Draining);
                    } else {
                        self.remove(e);
                    }
                }
                self.publish_list();
            }
            FaultKind::Replaced => {
                for &e in endpoints {
                    if begins {
                        self.remove(e);
                    } else {
                        let plan = self.plan.endpoints[e].clone();
                        self.plan.endpoints.push(plan);
                        self.endpoints.push(Endpoint::new(Some(self.now)));
                        let new = self.endpoints.len() - 1;
                        self.cold.push(new);
                        self.effects.push_back(Effect::EndpointAdded {
                            endpoint: EndpointId(new as u32),
                        });
                        self.record_change(new, ListState::Up);
                    }
                }
                self.publish_list();
            }
            _ => {
                for &e in endpoints {
                    let before = self.endpoints[e].condition;
                    self.endpoints[e].faults.retain(|x| *x != t);
                    if begins {
                        self.endpoints[e].faults.push(t);
                    }
                    self.endpoints[e].condition = self.condition(e);
                    self.condition_changed(
                        e,
                        before,
                        fault.cold.unwrap_or(fault.what.cold_after()),
                    );
                }
            }
        }
    }

    fn remove(&mut self, e: usize) {
        self.endpoints[e].removed = true;
        self.collapse(e);
        self.cold.retain(|c| *c != e);
        self.record_change(e, ListState::Removed);
        self.report_reachability(e);
    }

    /// What all faults that strike an endpoint make of it together.
    fn condition(&self, e: usize) -> Condition {
        let mut c = Condition::HEALTHY;
        for &t in &self.endpoints[e].faults {
            let fault = &self.plan.spec.faults[t];
            let part = fault.part.unwrap_or(0.0);
            let or = |a: f64| 1.0 - (1.0 - a) * (1.0 - part);
            match fault.what {
                FaultKind::Down => c.down = true,
                FaultKind::Reset => c.reset = true,
                FaultKind::Silent => c.silent = true,
                FaultKind::Hung => c.hung = true,
                FaultKind::Shut => c.shut_until = c.shut_until.max(Some(START + secs(fault.to_s))),
                FaultKind::Slow => c.slow *= fault.times.unwrap_or(1.0),
                FaultKind::Failing => c.failing = or(c.failing),
                FaultKind::AnswersLost => c.lost = or(c.lost),
                FaultKind::AnswersSpoilt => c.malformed = or(c.malformed),
                FaultKind::Reaped => c.reaped = true,
                _ => {}
            }
        }
        c
    }

    fn condition_changed(&mut self, e: usize, before: Condition, cold_after: bool) {
        let is = self.endpoints[e].condition;
        let was_out = before.down || before.silent || before.hung || before.shut_until.is_some();
        if is.down && !before.down || before.silent && !is.silent {
            self.collapse(e);
        }
        if was_out && !self.endpoints[e].in_outage() && cold_after {
            let endpoint = &mut self.endpoints[e];
            endpoint.cold_since = Some(self.now);
            endpoint.arrivals.clear();
            endpoint.arrivals_in_sample = 0;
            if !self.cold.contains(&e) {
                self.cold.push(e);
            }
        }
        if before.hung && !is.hung {
            let frozen = std::mem::take(&mut self.endpoints[e].stalled);
            frozen.into_iter().for_each(|call| self.finish(call));
            self.next_of(e);
            // What is over its queue is turned away.
            while self.endpoints[e].queue.len() > self.plan.endpoints[e].queue {
                let Some(call) = self.endpoints[e].queue.pop_back() else {
                    break;
                };
                self.answer(call, Answer::RateLimited(None));
            }
        }
        self.report_reachability(e);
    }

    fn report_reachability(&mut self, e: usize) {
        let endpoint = EndpointId(e as u32);
        self.effects.push_back(Effect::ReachabilityChanged {
            endpoint,
            reach: self.endpoints[e].reach(),
        });
    }
}
