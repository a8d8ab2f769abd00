//! The world in virtual time: it drives the decisions directly, with no sockets and no sleeping. Each dispatcher is a
//! [`Host`], which stands for what the daemon is around the decisions: the messages held, idle connections, time-outs, the
//! journal that outlasts a kill. Equal plans give equal runs, byte for byte.

use crate::audit::{AuditedEndpoint, Slack, Verdict};
use crate::ledger::Ledger;
use crate::load::*;
use crate::measure::Results;
use crate::record::{CallNumber, Observation, Submission};
use crate::world::plan::{DispatcherSignal, Plan};
use crate::world::time::{MS, S, START, ms};
use crate::world::{
    Answer, CallId, CallRequest, ConnId, ConnectResult, Effect, ListState, ReturnLoad, World,
};
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{Outcome as AttemptOutcome, *};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Descriptors that the daemon keeps from idle connections, about.
const KEPT_SOCKETS: usize = 64;
/// A dispatcher that was told to end goes on sending for so long.
const LEAVES_AFTER: Nanos = 2_900 * MS;
/// From a start until messages are taken.
const START_TAKES: Nanos = 50 * MS;

/// What the decisions answered in one call.
enum Command {
    Connect(MessageId, EndpointId, Nanos),
    Defer(MessageId, Nanos),
    Bounce(MessageId),
    CallOff(MessageId, AttemptNumber),
    HangUp(EndpointId),
    Wake(Nanos),
}

struct Answers {
    commands: Vec<Command>,
    /// For the log.
    host: usize,
    now: Nanos,
}

impl Actions for Answers {
    fn send_attempt(&mut self, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        self.commands
            .push(Command::Connect(message, endpoint, time_out));
    }
    fn reject(&mut self, message: MessageId, come_back: Nanos) {
        self.commands.push(Command::Defer(message, come_back));
    }
    fn fail(&mut self, message: MessageId) {
        self.commands.push(Command::Bounce(message));
    }
    fn cancel_attempt(&mut self, message: MessageId, no: AttemptNumber) {
        self.commands.push(Command::CallOff(message, no));
    }
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.commands.push(Command::HangUp(endpoint));
    }
    fn endpoint_removed(&mut self, _: EndpointId) {}
    // The model's lists come by themselves.
    fn request_watch(&mut self) {}
    fn schedule_wakeup(&mut self, after: Nanos) {
        self.commands.push(Command::Wake(after));
    }
    fn log(&mut self, line: &str) {
        tracing::debug!(at = self.now, dispatcher = self.host, "{line}");
    }
}

#[derive(Clone, Copy)]
struct Out {
    no: AttemptNumber,
    endpoint: EndpointId,
    at: Nanos,
    conn: Option<ConnId>,
    call: Option<CallNumber>,
}

struct Held {
    arrival: Arrival,
    due: Nanos,
    taken: u64,
    connects: u32,
    possible_run: Option<PossibleRun>,
    out: Option<Out>,
    ended: bool,
}

#[derive(Default)]
struct Host {
    d: Option<Dispatcher>,
    takes_from: Nanos,
    leaving: bool,
    messages: BTreeMap<MessageId, Held>,
    held: usize,
    taken: u64,
    /// Idle connections by endpoint, the last used last.
    idle: BTreeMap<EndpointId, Vec<(Nanos, ConnId)>>,
    /// The same in the order in which they became idle.
    idle_since: VecDeque<(Nanos, EndpointId, ConnId)>,
    idle_count: usize,
    wake: u64,
    starts: u32,
    version: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Again {
        arrival: u64,
        tries: u32,
        dispatcher: usize,
    },
    Wake {
        host: usize,
        count: u64,
    },
    TimeOut {
        host: usize,
        message: MessageId,
        no: u32,
        unconnected: bool,
    },
    Leaves {
        host: usize,
        starts: u32,
    },
}

/// What a run in virtual time came to.
pub struct Played {
    pub verdict: Verdict,
    pub results: Results,
    pub returns: Vec<ReturnLoad>,
    /// Calls on the decisions, all dispatchers together.
    pub steps: u64,
}

struct Lab {
    world: World,
    ledger: Ledger,
    hosts: Vec<Host>,
    due: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    seq: u64,
    now: Nanos,
    /// Who waits for what on a connection.
    on: HashMap<ConnId, (usize, MessageId)>,
    call_nos: HashMap<CallId, CallNumber>,
    /// Arrivals that may be handed in again.
    open: BTreeMap<u64, Arrival>,
    ended: VecDeque<(usize, AttemptEnd)>,
    steps: u64,
}

/// Runs a plan to its end. `tick` is told how far it is, from 0 to 1.
pub fn run(plan: Plan, tick: &mut dyn FnMut(f64)) -> Played {
    let mut arrivals = Arrivals::new(&plan).peekable();
    let (over_at, count) = (plan.over_at, plan.spec.dispatchers.count);
    let mut lab = Lab {
        ledger: Ledger::new(&plan, Slack::VIRTUAL),
        world: World::new(plan),
        hosts: (0..count).map(|_| Host::default()).collect(),
        due: BinaryHeap::new(),
        seq: 0,
        now: START,
        on: HashMap::new(),
        call_nos: HashMap::new(),
        open: BTreeMap::new(),
        ended: VecDeque::new(),
        steps: 0,
    };
    for host in 0..count {
        lab.hosts[host].version = lab.world.first_version();
        lab.start(host);
        lab.hosts[host].takes_from = START;
    }
    let mut said = START;
    loop {
        let own = lab.due.peek().map(|Reverse((at, _, _))| *at);
        let next = [own, lab.world.next_timer(), arrivals.peek().map(|a| a.at)]
            .into_iter()
            .flatten()
            .min();
        let Some(at) = next.filter(|at| *at <= over_at) else {
            break;
        };
        lab.now = at;
        if at > said + S / 4 {
            said = at;
            tick((at - START) as f64 / (over_at - START) as f64);
        }
        lab.world.advance(at);
        lab.settle();
        if own == Some(at)
            && let Some(Reverse((_, _, event))) = lab.due.pop()
        {
            lab.event(event);
        } else if arrivals.peek().is_some_and(|a| a.at == at)
            && let Some(arrival) = arrivals.next()
        {
            lab.ledger.arrived(&arrival);
            let dispatcher = arrival.dispatcher;
            lab.submission(arrival, 0, dispatcher);
        }
        lab.settle();
    }
    let (verdict, results) = lab.ledger.finish(over_at);
    Played {
        verdict,
        results,
        returns: lab.world.returns,
        steps: lab.steps,
    }
}

impl Lab {
    fn later(&mut self, at: Nanos, event: Event) {
        self.seq += 1;
        self.due.push(Reverse((at, self.seq, event)));
    }

    fn observe(&mut self, observation: Observation) {
        self.ledger.observe(self.now, observation);
    }

    /// Carries out what the world did and tells the decisions of outcomes, until nothing is left to tell.
    fn settle(&mut self) {
        loop {
            if let Some(effect) = self.world.effect() {
                self.effect(effect);
            } else if let Some((host, end)) = self.ended.pop_front() {
                self.ask(host, |d, now, out| d.attempt_ended(now, end, out));
            } else {
                return;
            }
        }
    }

    /// One call on a dispatcher's decisions; what they answer is done at once.
    fn ask(&mut self, host: usize, call: impl FnOnce(&mut Dispatcher, Nanos, &mut Answers)) {
        let Some(d) = &mut self.hosts[host].d else {
            return;
        };
        self.steps += 1;
        let mut answers = Answers {
            commands: vec![],
            host,
            now: self.now,
        };
        call(d, self.now, &mut answers);
        for command in answers.commands {
            match command {
                Command::Connect(message, endpoint, time_out) => {
                    self.connect(host, message, endpoint, time_out)
                }
                Command::Defer(message, come_back) => self.give_up(host, message, Some(come_back)),
                Command::Bounce(message) => self.give_up(host, message, None),
                Command::CallOff(message, no) => {
                    let out = self.hosts[host].messages.get(&message).and_then(|m| m.out);
                    if out.is_some_and(|out| out.no == no) {
                        self.close_call(host, message);
                        self.end_call(host, message, AttemptOutcome::Cancelled);
                    }
                }
                Command::HangUp(endpoint) => self.hang_up(host, endpoint),
                Command::Wake(after) => {
                    self.hosts[host].wake += 1;
                    let count = self.hosts[host].wake;
                    self.later(self.now + after, Event::Wake { host, count });
                }
            }
        }
    }

    // Clients.

    fn submission(&mut self, arrival: Arrival, tries: u32, dispatcher: usize) {
        let (now, message) = (self.now, message_id(arrival.no, tries));
        let due = due(&self.world.plan, &arrival);
        self.open
            .entry(arrival.no)
            .or_insert_with(|| arrival.clone());
        let room = self.world.plan.hold();
        let host = &mut self.hosts[dispatcher];
        let listens = host.d.is_some() && !host.leaving && now >= host.takes_from;
        if !listens {
            return self.back(arrival, tries, RetryReason::NoAnswer);
        }
        let full = host.held >= room;
        self.observe(Observation::Submitted(Submission::new(
            &arrival, tries, dispatcher, due,
        )));
        // No time passes on the way.
        self.ledger.measure.submission_answered(0);
        if full {
            self.observe(Observation::Rejected {
                message,
                retry_after: None,
            });
            return self.back(arrival, tries, RetryReason::Rejected(None));
        }
        self.observe(Observation::Accepted { message });
        let host = &mut self.hosts[dispatcher];
        host.taken += 1;
        host.held += 1;
        let held = Held {
            arrival,
            due,
            taken: host.taken,
            connects: 0,
            possible_run: None,
            out: None,
            ended: false,
        };
        let new = new_mail(message, &held);
        host.messages.insert(message, held);
        self.ask(dispatcher, |d, now, out| d.accept(now, [new], out));
    }

    /// The client may hand the message in again.
    fn back(&mut self, arrival: Arrival, tries: u32, back: RetryReason) {
        match again(&self.world.plan, &arrival, tries, back, self.now) {
            Some((at, dispatcher)) => self.later(
                at,
                Event::Again {
                    arrival: arrival.no,
                    tries: tries + 1,
                    dispatcher,
                },
            ),
            None => drop(self.open.remove(&arrival.no)),
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Again {
                arrival,
                tries,
                dispatcher,
            } => {
                if let Some(arrival) = self.open.get(&arrival).cloned() {
                    self.submission(arrival, tries, dispatcher);
                }
            }
            Event::Wake { host, count } if self.hosts[host].wake == count => {
                self.ask(host, |d, now, out| d.wakeup(now, out))
            }
            Event::Wake { .. } => {}
            Event::TimeOut {
                host,
                message,
                no,
                unconnected,
            } => {
                let out = self.hosts[host].messages.get(&message).and_then(|m| m.out);
                if let Some(out) = out.filter(|out| out.no.0 == no) {
                    if unconnected {
                        self.world.connect_timed_out(host, out.endpoint);
                    }
                    self.close_call(host, message);
                    let outcome = if unconnected {
                        AttemptOutcome::ConnectFailed
                    } else {
                        AttemptOutcome::TimedOut
                    };
                    self.end_call(host, message, outcome);
                }
            }
            Event::Leaves { host, starts } => {
                if self.hosts[host].starts == starts {
                    self.kill(host);
                }
            }
        }
    }

    // Calls.

    fn connect(&mut self, host: usize, message: MessageId, endpoint: EndpointId, time_out: Nanos) {
        let now = self.now;
        let connect_timeout = ms(self.world.plan.spec.dispatchers.connect_timeout_ms);
        let Some(held) = self.hosts[host].messages.get_mut(&message) else {
            return;
        };
        let no = AttemptNumber(held.connects);
        held.connects += 1;
        held.out = Some(Out {
            no,
            endpoint,
            at: now,
            conn: None,
            call: None,
        });
        let conn = match self.idle(host, endpoint) {
            Some(conn) => conn,
            None => match self.world.open(host, endpoint) {
                ConnectResult::Connected(conn) => {
                    self.ledger.measure.opened(now);
                    conn
                }
                ConnectResult::Refused => {
                    return self.end_call(host, message, AttemptOutcome::ConnectFailed);
                }
                ConnectResult::NoResponse => {
                    let at = now + time_out.min(connect_timeout);
                    return self.later(
                        at,
                        Event::TimeOut {
                            host,
                            message,
                            no: no.0,
                            unconnected: true,
                        },
                    );
                }
            },
        };
        self.later(
            now + time_out,
            Event::TimeOut {
                host,
                message,
                no: no.0,
                unconnected: false,
            },
        );
        let Some(held) = self.hosts[host].messages.get_mut(&message) else {
            return;
        };
        let new = CallRequest {
            message,
            class: held.arrival.class,
            dispatcher: host,
            idempotency_key: held.arrival.no,
        };
        let call = self.ledger.next_call_number();
        if let Some(out) = &mut held.out {
            (out.conn, out.call) = (Some(conn), Some(call));
        }
        let id = self.world.call(conn, new);
        let observation = Observation::Call {
            call,
            message,
            endpoint,
            dispatcher: host,
            started_at: now,
            fresh: id.is_some(),
        };
        self.observe(observation);
        match id {
            Some(id) => {
                self.on.insert(conn, (host, message));
                self.call_nos.insert(id, call);
            }
            None => {
                self.observe(Observation::ConnectionClosed {
                    call,
                    by_endpoint: true,
                });
                self.end_call(host, message, AttemptOutcome::ConnectionReset);
            }
        }
    }

    /// An idle connection that is still good.
    fn idle(&mut self, host: usize, endpoint: EndpointId) -> Option<ConnId> {
        let d = &self.world.plan.spec.dispatchers;
        let (keep, most) = (
            ms(d.keep_alive_ms) / 20 * 19,
            (d.sockets as usize).saturating_sub(KEPT_SOCKETS),
        );
        let h = &mut self.hosts[host];
        while let Some(&(since, at, conn)) = h.idle_since.front()
            && (since + keep <= self.now || h.idle_count > most)
        {
            h.idle_since.pop_front();
            if let Some(idle) = h.idle.get_mut(&at)
                && let Some(i) = idle.iter().position(|x| *x == (since, conn))
            {
                idle.remove(i);
                h.idle_count -= 1;
                self.world.close(conn);
            }
        }
        while let Some((_, conn)) = h.idle.get_mut(&endpoint).and_then(Vec::pop) {
            h.idle_count -= 1;
            if self.world.is_open(conn) {
                return Some(conn);
            }
        }
        None
    }

    fn pool(&mut self, host: usize, endpoint: EndpointId, conn: ConnId) {
        let h = &mut self.hosts[host];
        h.idle.entry(endpoint).or_default().push((self.now, conn));
        h.idle_since.push_back((self.now, endpoint, conn));
        h.idle_count += 1;
    }

    fn hang_up(&mut self, host: usize, endpoint: EndpointId) {
        for (_, conn) in self.hosts[host].idle.remove(&endpoint).unwrap_or_default() {
            self.hosts[host].idle_count -= 1;
            self.world.close(conn);
        }
    }

    /// Closes the connection of a message's connect.
    fn close_call(&mut self, host: usize, message: MessageId) {
        let Some(out) = self.hosts[host].messages.get(&message).and_then(|m| m.out) else {
            return;
        };
        if let Some(conn) = out.conn {
            self.on.remove(&conn);
            self.world.close(conn);
        }
        if let Some(call) = out.call {
            self.observe(Observation::ConnectionClosed {
                call,
                by_endpoint: false,
            });
        }
    }

    fn end_call(&mut self, host: usize, message: MessageId, outcome: AttemptOutcome) {
        let now = self.now;
        let h = &mut self.hosts[host];
        let Some(held) = h.messages.get_mut(&message) else {
            return;
        };
        let Some(out) = held.out.take() else { return };
        if outcome.may_have_run() {
            let zone = ZoneId(self.world.endpoint(out.endpoint).zone);
            held.possible_run.get_or_insert(PossibleRun {
                sent_at: out.at,
                zone,
            });
        }
        let over = held.ended || outcome == AttemptOutcome::Delivered;
        if over {
            if !held.ended {
                h.held -= 1;
            }
            let arrival = held.arrival.no;
            h.messages.remove(&message);
            if outcome == AttemptOutcome::Delivered {
                self.open.remove(&arrival);
            }
        }
        let end = AttemptEnd {
            message: message,
            number: out.no,
            outcome,
            message_ended: over,
            elapsed: now - out.at,
            reported_limit: None,
        };
        self.ended.push_back((host, end));
    }

    fn give_up(&mut self, host: usize, message: MessageId, deferred: Option<Nanos>) {
        let h = &mut self.hosts[host];
        let Some(held) = h.messages.get_mut(&message) else {
            return;
        };
        if std::mem::replace(&mut held.ended, true) {
            return;
        }
        h.held -= 1;
        let arrival = held.arrival.clone();
        if held.out.is_none() {
            h.messages.remove(&message);
        }
        self.observe(Observation::Notified {
            message,
            retry_after: deferred,
        });
        let tries = arrival_of(message).1;
        match deferred {
            Some(wait) => self.back(arrival, tries, RetryReason::rejected_after(wait)),
            None => drop(self.open.remove(&arrival.no)),
        }
    }

    // What the world does.

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { call, conn, answer } => {
                let Some((host, message)) = self.on.remove(&conn) else {
                    return;
                };
                if let Some(call) = self.call_nos.remove(&call) {
                    self.observe(Observation::Answered { call, answer });
                }
                let out = self.hosts[host].messages.get(&message).and_then(|m| m.out);
                let outcome = match answer {
                    Answer::Delivered => AttemptOutcome::Delivered,
                    Answer::ServerError => AttemptOutcome::ServerError,
                    Answer::RateLimited(wait) => AttemptOutcome::RateLimited {
                        retry_after: wait.filter(|&wait| wait > 0),
                    },
                    Answer::Malformed => AttemptOutcome::MalformedResponse,
                };
                match (answer, out) {
                    (Answer::Malformed, _) | (_, None) => self.world.close(conn),
                    (_, Some(out)) => self.pool(host, out.endpoint, conn),
                }
                self.end_call(host, message, outcome);
            }
            Effect::ConnectionBroken { conn } => {
                let Some((host, message)) = self.on.remove(&conn) else {
                    return;
                };
                let call = self.hosts[host]
                    .messages
                    .get(&message)
                    .and_then(|m| m.out)
                    .and_then(|o| o.call);
                if let Some(call) = call {
                    self.observe(Observation::ConnectionClosed {
                        call,
                        by_endpoint: true,
                    });
                }
                self.end_call(host, message, AttemptOutcome::ConnectionReset);
            }
            Effect::Applied { call, fresh, .. } => {
                if let Some(call) = self.call_nos.get(&call).copied() {
                    self.observe(Observation::Applied { call, fresh });
                }
            }
            Effect::ReachabilityChanged { .. } => {}
            Effect::EndpointAdded { endpoint } => {
                let plan = self.world.endpoint(endpoint);
                let endpoint = AuditedEndpoint {
                    zone: plan.zone,
                    gate: plan.gate,
                };
                self.ledger.audit.endpoint_appeared(endpoint);
            }
            Effect::ListPublished {
                dispatcher,
                version,
            } => self.list_published(dispatcher, version),
            Effect::DispatcherSignalled { dispatcher, signal } => match signal {
                DispatcherSignal::Kill => self.kill(dispatcher),
                DispatcherSignal::Terminate => {
                    self.hosts[dispatcher].leaving = true;
                    let starts = self.hosts[dispatcher].starts;
                    self.later(
                        self.now + LEAVES_AFTER,
                        Event::Leaves {
                            host: dispatcher,
                            starts,
                        },
                    );
                }
                DispatcherSignal::Start => self.start(dispatcher),
            },
            Effect::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            } => self.observe(Observation::Overloaded {
                endpoint,
                informed_calls,
                all_calls,
            }),
        }
    }

    fn list_published(&mut self, host: usize, version: usize) {
        if self.hosts[host].d.is_none() || version <= self.hosts[host].version {
            return;
        }
        let changes = self
            .world
            .changes(self.hosts[host].version, version)
            .to_vec();
        self.hosts[host].version = version;
        let mut entries = vec![];
        for change in changes {
            let (endpoint, serving) = (change.endpoint, change.listed == ListState::Up);
            entries.push(self.entry(endpoint, serving));
            self.observe(Observation::EndpointListed {
                dispatcher: host,
                endpoint,
                serving,
            });
            if !serving {
                self.hang_up(host, endpoint);
            }
        }
        self.ask(host, |d, now, out| {
            d.update_endpoints(now, EndpointUpdate::Delta, &entries, out)
        });
    }

    fn entry(&self, endpoint: EndpointId, serving: bool) -> EndpointEntry {
        let plan = self.world.endpoint(endpoint);
        EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(&endpoint.0.to_le_bytes()),
            destination: DestinationId(plan.destination as u64),
            zone: ZoneId(plan.zone),
            kind: KindId(plan.kind),
            serving,
            rate: None,
            retry_after_until: None,
        }
    }

    fn kill(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        if h.d.take().is_none() {
            return;
        }
        let idle: Vec<ConnId> = std::mem::take(&mut h.idle)
            .into_values()
            .flatten()
            .map(|i| i.1)
            .collect();
        h.idle_since.clear();
        (h.idle_count, h.leaving) = (0, false);
        idle.into_iter().for_each(|conn| self.world.close(conn));
        let out: Vec<MessageId> = self.hosts[host]
            .messages
            .iter()
            .filter(|m| m.1.out.is_some())
            .map(|m| *m.0)
            .collect();
        for message in out {
            self.close_call(host, message);
            let Some(held) = self.hosts[host].messages.get_mut(&message) else {
                continue;
            };
            if let Some(out) = held.out.take().filter(|out| out.call.is_some()) {
                let zone = ZoneId(self.world.endpoint(out.endpoint).zone);
                held.possible_run.get_or_insert(PossibleRun {
                    sent_at: out.at,
                    zone,
                });
            }
        }
        self.hosts[host].messages.retain(|_, held| !held.ended);
        self.ended.retain(|(of, _)| *of != host);
        self.observe(Observation::Stopped { dispatcher: host });
    }

    /// Starts a dispatcher with the list as it was told last and what its journal holds.
    fn start(&mut self, host: usize) {
        if self.hosts[host].d.is_some() {
            return;
        }
        let h = &mut self.hosts[host];
        h.starts += 1;
        h.wake += 1;
        h.leaving = false;
        h.takes_from = self.now + START_TAKES;
        let facts = self.world.plan.dispatcher_settings(host, h.starts);
        h.d = Some(Dispatcher::new(self.now, facts));
        let list = self.world.listing(self.hosts[host].version);
        let entries: Vec<EndpointEntry> = list
            .iter()
            .map(|(e, listed)| self.entry(*e, *listed == ListState::Up))
            .collect();
        self.observe(Observation::Started { dispatcher: host });
        self.ask(host, |d, now, out| {
            d.update_endpoints(now, EndpointUpdate::Snapshot, &entries, out)
        });
        let mut kept: Vec<(u64, NewMessage)> = self.hosts[host]
            .messages
            .iter()
            .map(|(id, held)| (held.taken, new_mail(*id, held)))
            .collect();
        kept.sort_by_key(|k| k.0);
        for (_, new) in kept {
            self.ask(host, |d, now, out| d.accept(now, [new], out));
        }
        self.observe(Observation::Ready { dispatcher: host });
    }
}

fn new_mail(id: MessageId, held: &Held) -> NewMessage {
    NewMessage {
        id,
        class: ClassId(held.arrival.class),
        key: held.arrival.key.map(KeyId),
        destination: DestinationId(held.arrival.destination as u64),
        deadline: held.due,
        history: MessageHistory {
            attempts: held.connects,
            possible_run: held.possible_run,
        },
    }
}
