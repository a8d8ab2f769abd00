//! The model of the world: endpoints, their troubles over time, and what is listed of them. No sockets, no clock, no
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
const REAPED_AFTER: Nanos = 300 * MS;
/// How often the load on what has returned is written down.
const SAMPLE: Nanos = 500 * MS;
/// A caller that breaks a call off sooner has not seen it fail: it had other reasons.
const SEEN_AFTER: Nanos = 2 * S;
/// Effects are remembered for so long over the longest queue lifetime.
const EFFECTS_KEPT: Nanos = 30 * S;

/// What goes out of the world.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer {
        call: CallId,
        conn: ConnId,
        answer: Answer,
    },
    /// The endpoint breaks a connection, with the calls on it.
    Break { conn: ConnId },
    /// A call took effect; `fresh` is false where the endpoint dropped it as a repeat.
    Applied {
        call: CallId,
        mail: MessageId,
        endpoint: EndpointId,
        fresh: bool,
    },
    /// Whether new connections come up there has changed.
    Reach { endpoint: EndpointId, reach: Reach },
    /// A new endpoint has come.
    Appeared { endpoint: EndpointId },
    /// A dispatcher is told the list up to this version.
    Tell { dispatcher: usize, upto: usize },
    Dispatcher {
        dispatcher: usize,
        news: DispatcherNews,
    },
    /// A cold endpoint fell over: how many of the calls came from dispatchers that had seen its outage.
    Tipped {
        endpoint: EndpointId,
        knowing: usize,
        all: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Relayed,
    Errored,
    /// With the wait that is told; none: no wait.
    Full(Option<Nanos>),
    /// Cannot be read; the call took effect.
    Spoilt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Open,
    Refusing,
    /// New connections never come up.
    Silent,
}

/// What comes of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Opening {
    Up(ConnId),
    Refused,
    Never,
}

/// A call as it comes in.
#[derive(Clone, Debug)]
pub struct NewCall {
    pub mail: MessageId,
    pub class: usize,
    pub dispatcher: usize,
    /// What its repeats are known by.
    pub tag: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub endpoint: EndpointId,
    pub listed: Listed,
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
    Swallowed,
}

struct Call {
    new: NewCall,
    conn: ConnId,
    endpoint: usize,
    state: CallState,
    handshake: Nanos,
    count: u64,
    came: Nanos,
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
    spoilt: f64,
    reaped: bool,
}

impl Condition {
    const SOUND: Condition = Condition {
        down: false,
        reset: false,
        silent: false,
        hung: false,
        shut_until: None,
        slow: 1.0,
        failing: 0.0,
        lost: 0.0,
        spoilt: 0.0,
        reaped: false,
    };
}

struct Endpoint {
    /// Troubles that strike it now.
    troubles: Vec<usize>,
    condition: Condition,
    tipped: bool,
    gone: bool,
    working: u32,
    queue: VecDeque<CallId>,
    /// Their work is done, but it stands still.
    frozen: Vec<CallId>,
    conns: BTreeSet<ConnId>,
    cold_since: Option<Nanos>,
    /// Dispatchers that saw a call or connection fail here in the outage.
    saw: BTreeSet<usize>,
    /// Calls since it is back, while it is cold: when, and from one that saw the outage.
    came: VecDeque<(Nanos, bool)>,
    came_in_sample: u64,
}

impl Endpoint {
    fn new(cold_since: Option<Nanos>) -> Endpoint {
        Endpoint {
            troubles: vec![],
            condition: Condition::SOUND,
            tipped: false,
            gone: false,
            working: 0,
            queue: VecDeque::new(),
            frozen: vec![],
            conns: BTreeSet::new(),
            cold_since,
            saw: BTreeSet::new(),
            came: VecDeque::new(),
            came_in_sample: 0,
        }
    }
    fn reach(&self) -> Reach {
        match () {
            () if self.gone || self.tipped || self.condition.down => Reach::Refusing,
            () if self.condition.silent => Reach::Silent,
            () => Reach::Open,
        }
    }
    fn in_outage(&self) -> bool {
        let c = &self.condition;
        self.tipped || c.down || c.silent || c.hung || c.shut_until.is_some()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Script(usize),
    Finish(CallId),
    Tell(usize, usize),
    Sample,
}

pub struct World {
    pub plan: Plan,
    now: Nanos,
    endpoints: Vec<Endpoint>,
    gates: Vec<Gate>,
    conns: SlotMap<ConnId, Conn>,
    calls: SlotMap<CallId, Call>,
    due: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    seq: u64,
    effects: VecDeque<Effect>,
    /// When a tag first took effect, by its tag and the zone that remembers it.
    applied: BTreeMap<(u64, usize), Nanos>,
    forget: VecDeque<(Nanos, (u64, usize))>,
    changes: Vec<Change>,
    /// Up to where all dispatchers were told at the start.
    listed_at_start: usize,
    frozen: bool,
    lag: i64,
    cold: Vec<usize>,
    pub returns: Vec<ReturnLoad>,
    drawn: u64,
}

/// How many calls a cold endpoint bears in the window, of which it could handle `allowed` in the mean: as the standing test
/// counts, with a slack for chance.
pub fn slow_start_budget(allowed: f64) -> f64 {
    let slack = if allowed < SMALL_ALLOWANCE { 3.0 } else { 2.0 };
    allowed + slack * allowed.sqrt() + slack
}

impl World {
    pub fn new(plan: Plan) -> World {
        let changes: Vec<Change> = (0..plan.endpoints.len())
            .map(|e| Change {
                endpoint: EndpointId(e as u32),
                listed: Listed::Up,
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
            due: BinaryHeap::new(),
            seq: 0,
            effects: VecDeque::new(),
            applied: BTreeMap::new(),
            forget: VecDeque::new(),
            listed_at_start: changes.len(),
            changes,
            frozen: false,
            lag: 0,
            cold: vec![],
            returns: vec![],
            drawn: 0,
            plan,
        };
        for i in 0..world.plan.script.len() {
            world.later(world.plan.script[i].0, Due::Script(i));
        }
        world.later(START + SAMPLE, Due::Sample);
        world
    }

    fn later(&mut self, at: Nanos, what: Due) {
        self.seq += 1;
        self.due.push(Reverse((at, self.seq, what)));
    }

    /// When something happens here next without being told.
    pub fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, _, _))| *at)
    }

    pub fn effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Lets all happen that is due by now.
    pub fn advance(&mut self, now: Nanos) {
        while let Some(&Reverse((at, _, what))) =
            self.due.peek().filter(|Reverse((at, _, _))| *at <= now)
        {
            self.due.pop();
            self.now = self.now.max(at);
            match what {
                Due::Script(i) => self.moment(i),
                Due::Finish(call) => self.finish(call),
                Due::Tell(dispatcher, upto) if !self.frozen => {
                    self.effects.push_back(Effect::Tell { dispatcher, upto })
                }
                // Told when the list moves again.
                Due::Tell(..) => {}
                Due::Sample => self.sample(),
            }
        }
        self.now = self.now.max(now);
        while self.forget.front().is_some_and(|(at, _)| *at <= self.now) {
            if let Some((_, key)) = self.forget.pop_front() {
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
    pub fn changes(&self, after: usize, upto: usize) -> &[Change] {
        &self.changes[after.min(upto)..upto]
    }
    /// The list as it was at a version.
    pub fn listing(&self, upto: usize) -> BTreeMap<EndpointId, Listed> {
        let mut list = BTreeMap::new();
        for change in &self.changes[..upto] {
            match change.listed {
                Listed::Removed => list.remove(&change.endpoint),
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

    fn list(&mut self, endpoint: usize, listed: Listed) {
        self.changes.push(Change {
            endpoint: EndpointId(endpoint as u32),
            listed,
        });
    }

    /// Tells all dispatchers what has been listed, each after its own lag.
    fn tell(&mut self) {
        let (upto, seed) = (self.changes.len(), self.plan.seed);
        for d in 0..self.plan.spec.dispatchers.count {
            let drawn = draw(seed, upto as u64, d as u64, 7);
            let lag = ms(between(self.plan.spec.world.list_lag_ms, drawn)) as i64 + self.lag;
            self.later(self.now + lag.max(0) as Nanos, Due::Tell(d, upto));
        }
    }

    // Connections and calls.

    pub fn reach(&self, endpoint: EndpointId) -> Reach {
        self.endpoints
            .get(endpoint.0 as usize)
            .map_or(Reach::Refusing, Endpoint::reach)
    }

    pub fn open(&mut self, dispatcher: usize, endpoint: EndpointId) -> Opening {
        let e = endpoint.0 as usize;
        match self.reach(endpoint) {
            Reach::Refusing => {
                self.saw(e, dispatcher);
                Opening::Refused
            }
            Reach::Silent => Opening::Never,
            Reach::Open => {
                if self.endpoints[e].conns.len()
                    >= self.plan.spec.kinds[self.plan.endpoints[e].kind].connections
                {
                    return Opening::Refused;
                }
                let conn = self.conns.insert(Conn {
                    endpoint: e,
                    dispatcher,
                    call: None,
                    used: self.now,
                    fresh: true,
                });
                self.endpoints[e].conns.insert(conn);
                Opening::Up(conn)
            }
        }
    }

    /// A dispatcher has waited in vain for a connection to come up.
    pub fn never_came_up(&mut self, dispatcher: usize, endpoint: EndpointId) {
        self.saw(endpoint.0 as usize, dispatcher);
    }

    /// A dispatcher has closed its side. A call that waits is dropped; one that is worked on runs on, unheard.
    pub fn close(&mut self, conn: ConnId) {
        let Some(gone) = self.conns.remove(conn) else {
            return;
        };
        let e = gone.endpoint;
        self.endpoints[e].conns.remove(&conn);
        let Some(id) = gone.call else { return };
        if self.now >= gone.used + SEEN_AFTER {
            self.saw(e, gone.dispatcher);
        }
        match self.calls.get(id).map(|c| c.state) {
            Some(CallState::Queued) => {
                self.endpoints[e].queue.retain(|q| *q != id);
                self.calls.remove(id);
            }
            Some(CallState::Swallowed) => drop(self.calls.remove(id)),
            _ => {}
        }
    }

    /// The last byte of a call has come. None: the connection breaks, and the call never ran.
    pub fn call(&mut self, conn: ConnId, new: NewCall) -> Option<CallId> {
        let now = self.now;
        let at = self.conns.get_mut(conn)?;
        let (e, idle) = (at.endpoint, now - at.used);
        let fresh = std::mem::replace(&mut at.fresh, false);
        at.used = now;
        // On sockets nothing says whose a connection is before its first call.
        at.dispatcher = new.dispatcher;
        let condition = self.endpoints[e].condition;
        let keep_alive = ms(self.plan.spec.dispatchers.keep_alive_ms);
        if !fresh && (idle >= keep_alive || condition.reaped && idle >= REAPED_AFTER) {
            self.break_conn(conn);
            return None;
        }
        self.arrived(e, new.dispatcher);
        if self.endpoints[e].reach() == Reach::Refusing || condition.reset {
            self.saw(e, new.dispatcher);
            self.break_conn(conn);
            return None;
        }
        self.drawn += 1;
        let kind = &self.plan.spec.kinds[self.plan.endpoints[e].kind];
        let handshake = if fresh { ms(kind.handshake_ms) } else { 0 };
        let call = Call {
            conn,
            endpoint: e,
            state: CallState::Swallowed,
            handshake,
            count: self.drawn,
            came: now,
            new,
        };
        let (mail, dispatcher, count) = (call.new.mail, call.new.dispatcher, call.count);
        let id = self.calls.insert(call);
        if let Some(at) = self.conns.get_mut(conn) {
            at.call = Some(id);
        }
        if condition.silent {
            return Some(id);
        }
        let told = |seed| draw(seed, mail.0, count, 1) < kind.told_share;
        if let Some(until) = condition.shut_until {
            let wait = told(self.plan.seed).then(|| until.saturating_sub(now).max(MS));
            self.saw(e, dispatcher);
            self.answer(id, Answer::Full(wait));
            return Some(id);
        }
        let gate = self.plan.endpoints[e].gate;
        let drawn = draw(self.plan.seed, mail.0, count, 2);
        if let Some(wait) = self.gates[gate].call(now, &self.plan.gates[gate], kind, drawn) {
            let wait = told(self.plan.seed).then_some(wait.max(MS));
            self.answer(id, Answer::Full(wait));
            return Some(id);
        }
        let workers = self.workers(e);
        if !condition.hung && self.endpoints[e].working < workers {
            self.work(id);
        } else if self.endpoints[e].queue.len() < self.plan.endpoints[e].queue || condition.hung {
            self.calls[id].state = CallState::Queued;
            self.endpoints[e].queue.push_back(id);
        } else {
            self.answer(id, Answer::Full(None));
        }
        Some(id)
    }

    /// Whether a connection has not been closed by either side.
    pub fn stands(&self, conn: ConnId) -> bool {
        self.conns.contains_key(conn)
    }

    // How much an endpoint can do.

    /// The part of its capacity that is back.
    fn warmth(&self, e: usize) -> f64 {
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
        ((f64::from(self.plan.endpoints[e].workers) * self.warmth(e)).ceil() as u32).max(1)
    }
    /// Calls a second that an endpoint can do now.
    pub fn capacity(&self, endpoint: EndpointId) -> f64 {
        let e = endpoint.0 as usize;
        if self.endpoints[e].in_outage() {
            0.0
        } else {
            self.plan.endpoints[e].capacity * self.warmth(e)
        }
    }

    fn saw(&mut self, e: usize, dispatcher: usize) {
        if self.endpoints[e].in_outage() {
            self.endpoints[e].saw.insert(dispatcher);
        }
    }

    /// Counts a call against what a cold endpoint bears.
    fn arrived(&mut self, e: usize, dispatcher: usize) {
        let Some(since) = self.endpoints[e].cold_since else {
            return;
        };
        if self.endpoints[e].in_outage() {
            return;
        }
        let r = &self.plan.spec.rules;
        if self.now >= since + ms(r.ramp_ms) {
            let endpoint = &mut self.endpoints[e];
            (endpoint.cold_since, endpoint.came_in_sample) = (None, 0);
            endpoint.came.clear();
            endpoint.saw.clear();
            self.cold.retain(|c| *c != e);
            return;
        }
        let window = ms(r.tip_window_ms);
        let warm_capacity = self.plan.endpoints[e].capacity * self.warmth(e);
        let bears = slow_start_budget(r.tip_multiple * warm_capacity * window as f64 / 1e9);
        let endpoint = &mut self.endpoints[e];
        let knowing = endpoint.saw.contains(&dispatcher);
        endpoint.came_in_sample += 1;
        endpoint.came.push_back((self.now, knowing));
        while endpoint
            .came
            .front()
            .is_some_and(|c| c.0 + window <= self.now)
        {
            endpoint.came.pop_front();
        }
        let all = endpoint.came.len();
        if all as f64 > bears {
            let knowing = endpoint.came.iter().filter(|c| c.1).count();
            endpoint.tipped = true;
            self.effects.push_back(Effect::Tipped {
                endpoint: EndpointId(e as u32),
                knowing,
                all,
            });
            self.collapse(e);
            self.reach_news(e);
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
                load.calls += std::mem::take(&mut self.endpoints[e].came_in_sample) as f64;
                load.capacity += self.capacity(EndpointId(e as u32)) * SAMPLE as f64 / 1e9;
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
            self.later(at + SAMPLE, Due::Sample);
        }
    }

    // Work.

    fn work(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.state = CallState::Working;
        let (e, mail, count, class, handshake) = (
            call.endpoint,
            call.new.mail,
            call.count,
            call.new.class,
            call.handshake,
        );
        let plan = &self.plan.endpoints[e];
        let service = &self.plan.spec.classes[class].service_ms;
        let drawn = draw(self.plan.seed, mail.0, count, 3);
        // Too few workers for the part that is back: each takes its time.
        let stretch = f64::from(self.workers(e)) / (f64::from(plan.workers) * self.warmth(e));
        let slow = self.endpoints[e].condition.slow;
        let takes =
            between(*service, drawn) * self.plan.paces[plan.destination] * slow * stretch.max(1.0);
        self.endpoints[e].working += 1;
        self.later(self.now + handshake + ms(takes).max(1), Due::Finish(id));
    }

    fn finish(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (e, mail, count) = (call.endpoint, call.new.mail, call.count);
        if self.endpoints[e].condition.hung {
            return self.endpoints[e].frozen.push(id);
        }
        self.endpoints[e].working -= 1;
        let condition = self.endpoints[e].condition;
        let seed = self.plan.seed;
        let drawn = |salt| draw(seed, mail.0, count, salt);
        if drawn(4) < condition.failing {
            if drawn(5) < 0.5 {
                self.apply(id);
            }
            self.answer(id, Answer::Errored);
        } else {
            self.apply(id);
            if condition.silent || drawn(6) < condition.lost {
                self.swallow(id);
            } else if drawn(6) < condition.lost + condition.spoilt {
                self.answer(id, Answer::Spoilt);
            } else {
                self.answer(id, Answer::Relayed);
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
        let (e, class, mail) = (
            call.endpoint,
            &self.plan.spec.classes[call.new.class],
            call.new.mail,
        );
        // A repeat is known for one by when it came, however long the work takes.
        let came = call.came;
        let mut fresh = true;
        if class.repeat == RepeatWord::Tagged {
            let zone = if class.same_zone {
                self.plan.endpoints[e].zone
            } else {
                usize::MAX
            };
            let (key, window) = ((call.new.tag, zone), ms(class.window_ms));
            match self.applied.get(&key) {
                Some(first) if came < first + window => fresh = false,
                _ => {
                    self.applied.insert(key, came);
                    self.forget
                        .push_back((self.now + window + EFFECTS_KEPT, key));
                }
            }
        }
        self.effects.push_back(Effect::Applied {
            call: id,
            mail,
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
    fn swallow(&mut self, id: CallId) {
        let Some(conn) = self.calls.get(id).map(|c| c.conn) else {
            return;
        };
        if self.conns.get(conn).is_some_and(|c| c.call == Some(id)) {
            self.calls[id].state = CallState::Swallowed;
        } else {
            self.calls.remove(id);
        }
    }

    fn break_conn(&mut self, conn: ConnId) {
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
        self.effects.push_back(Effect::Break { conn });
    }

    /// All that an endpoint has in hand is lost, and its connections break.
    fn collapse(&mut self, e: usize) {
        for conn in std::mem::take(&mut self.endpoints[e].conns) {
            if let Some(c) = self.conns.get(conn)
                && c.call.is_some()
            {
                let dispatcher = c.dispatcher;
                self.saw(e, dispatcher);
            }
            self.conns.remove(conn);
            self.effects.push_back(Effect::Break { conn });
        }
        self.endpoints[e].queue.clear();
        self.endpoints[e].frozen.clear();
        self.endpoints[e].working = 0;
        self.calls.retain(|_, call| call.endpoint != e);
    }

    // The script.

    fn moment(&mut self, i: usize) {
        match self.plan.script[i].1.clone() {
            Moment::ListLag(lag) => self.lag += lag,
            Moment::ListFrozen(frozen) => {
                self.frozen = frozen;
                if !frozen {
                    self.tell();
                }
            }
            Moment::Dispatcher(dispatcher, news) => self
                .effects
                .push_back(Effect::Dispatcher { dispatcher, news }),
            Moment::Strike { trouble, endpoints } => self.strike(trouble, &endpoints, true),
            Moment::Lift { trouble, endpoints } => self.strike(trouble, &endpoints, false),
        }
    }

    fn strike(&mut self, t: usize, endpoints: &[usize], strikes: bool) {
        let trouble = self.plan.spec.troubles[t].clone();
        match trouble.what {
            TroubleKind::LimitLowered => {
                let mut gates: Vec<usize> = endpoints
                    .iter()
                    .map(|&e| self.plan.endpoints[e].gate)
                    .collect();
                gates.dedup();
                for g in gates {
                    self.gates[g].lowered.retain(|l| l.0 != t);
                    if strikes {
                        self.gates[g].lowered.push((t, trouble.part.unwrap_or(1.0)));
                    }
                }
            }
            TroubleKind::Drained => {
                for &e in endpoints {
                    if strikes {
                        self.list(e, Listed::Draining);
                    } else {
                        self.leave(e);
                    }
                }
                self.tell();
            }
            TroubleKind::Replaced => {
                for &e in endpoints {
                    if strikes {
                        self.leave(e);
                    } else {
                        let plan = self.plan.endpoints[e].clone();
                        self.plan.endpoints.push(plan);
                        self.endpoints.push(Endpoint::new(Some(self.now)));
                        let new = self.endpoints.len() - 1;
                        self.cold.push(new);
                        self.effects.push_back(Effect::Appeared {
                            endpoint: EndpointId(new as u32),
                        });
                        self.list(new, Listed::Up);
                    }
                }
                self.tell();
            }
            _ => {
                for &e in endpoints {
                    let had = self.endpoints[e].condition;
                    self.endpoints[e].troubles.retain(|x| *x != t);
                    if strikes {
                        self.endpoints[e].troubles.push(t);
                    }
                    self.endpoints[e].condition = self.condition(e);
                    self.changed(e, had, trouble.cold.unwrap_or(trouble.what.chills()));
                }
            }
        }
    }

    fn leave(&mut self, e: usize) {
        self.endpoints[e].gone = true;
        self.collapse(e);
        self.cold.retain(|c| *c != e);
        self.list(e, Listed::Removed);
        self.reach_news(e);
    }

    /// What all troubles that strike an endpoint make of it together.
    fn condition(&self, e: usize) -> Condition {
        let mut c = Condition::SOUND;
        for &t in &self.endpoints[e].troubles {
            let trouble = &self.plan.spec.troubles[t];
            let part = trouble.part.unwrap_or(0.0);
            let or = |a: f64| 1.0 - (1.0 - a) * (1.0 - part);
            match trouble.what {
                TroubleKind::Down => c.down = true,
                TroubleKind::Reset => c.reset = true,
                TroubleKind::Silent => c.silent = true,
                TroubleKind::Hung => c.hung = true,
                TroubleKind::Shut => {
                    c.shut_until = c.shut_until.max(Some(START + secs(trouble.to_s)))
                }
                TroubleKind::Slow => c.slow *= trouble.times.unwrap_or(1.0),
                TroubleKind::Failing => c.failing = or(c.failing),
                TroubleKind::AnswersLost => c.lost = or(c.lost),
                TroubleKind::AnswersSpoilt => c.spoilt = or(c.spoilt),
                TroubleKind::Reaped => c.reaped = true,
                _ => {}
            }
        }
        c
    }

    fn changed(&mut self, e: usize, had: Condition, chills: bool) {
        let is = self.endpoints[e].condition;
        let was_out = had.down || had.silent || had.hung || had.shut_until.is_some();
        if is.down && !had.down || had.silent && !is.silent {
            self.collapse(e);
        }
        if was_out && !self.endpoints[e].in_outage() && chills {
            let endpoint = &mut self.endpoints[e];
            endpoint.cold_since = Some(self.now);
            endpoint.came.clear();
            endpoint.came_in_sample = 0;
            if !self.cold.contains(&e) {
                self.cold.push(e);
            }
        }
        if had.hung && !is.hung {
            let frozen = std::mem::take(&mut self.endpoints[e].frozen);
            frozen.into_iter().for_each(|call| self.finish(call));
            self.next_of(e);
            // What is over its queue is turned away.
            while self.endpoints[e].queue.len() > self.plan.endpoints[e].queue {
                let Some(call) = self.endpoints[e].queue.pop_back() else {
                    break;
                };
                self.answer(call, Answer::Full(None));
            }
        }
        self.reach_news(e);
    }

    fn reach_news(&mut self, e: usize) {
        let endpoint = EndpointId(e as u32);
        self.effects.push_back(Effect::Reach {
            endpoint,
            reach: self.endpoints[e].reach(),
        });
    }
}
