//! The state that all tasks of a run share.

use super::net::Net;
use crate::cost::Usage;
use crate::ledger::Ledger;
use crate::load::Arrival;
use crate::record::{CallNumber, Observation};
use crate::world::time::START;
use crate::world::{Answer, CallId, ConnId, Effect, ListState, Reachability, World};
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use hdrhistogram::Histogram;
use socket2::Socket;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Child;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinHandle;

/// Faults beyond this number are not recorded.
const MAX_FAULTS: usize = 50;

/// The list at a version, by endpoint.
pub(super) type Listing = BTreeMap<EndpointId, ListState>;

/// What the world tells the task of an endpoint connection to do.
pub(super) enum EndpointReply {
    Answer(Answer),
    Disconnect,
}

/// The dispatcher and arrival of a submitted message.
#[derive(Clone)]
pub(super) struct SubmittedMessage {
    pub(super) dispatcher: usize,
    pub(super) arrival: Rc<Arrival>,
}

/// The listening socket of an endpoint that accepts connections or leaves them unanswered.
pub(super) struct Listening {
    pub(super) reach: Reachability,
    pub(super) accept_task: Option<JoinHandle<()>>,
    pub(super) socket: Rc<TcpListener>,
    /// Connections that fill the accept queue of a silent endpoint, so that no other is established.
    pub(super) _queue_fillers: Vec<Socket>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        if let Some(accept_task) = &self.accept_task {
            accept_task.abort();
        }
    }
}

pub(super) struct DispatcherProcess {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) child: Option<Child>,
    /// The process is being ended and has not exited yet.
    pub(super) shutting_down: bool,
    pub(super) starts: u32,
    pub(super) usage: Usage,
    /// Time of the last usage sample of the current process, and its CPU seconds at that time.
    pub(super) sampled: Option<(Instant, f64)>,
}

/// Idle client connections to one dispatcher.
#[derive(Default)]
pub(super) struct Pool(pub(super) Vec<TcpStream>);

pub(super) struct State {
    pub(super) world: World,
    pub(super) ledger: Ledger,
    pub(super) net: Net,
    pub(super) t0: Instant,
    /// Sender to the task of each open endpoint connection.
    pub(super) conns: HashMap<ConnId, mpsc::UnboundedSender<EndpointReply>>,
    /// The record number of each call that has no response yet.
    pub(super) calls: HashMap<CallId, CallNumber>,
    pub(super) messages: HashMap<MessageId, SubmittedMessage>,
    /// By dispatcher: the version of the list its agent has, and the version it has written to the dispatcher.
    pub(super) published: Vec<usize>,
    pub(super) written: Vec<usize>,
    pub(super) listeners: Vec<Option<Listening>>,
    /// Effects that a separate task carries out.
    pub(super) slow_effects: mpsc::UnboundedSender<Effect>,
    /// Submissions that are in progress or waiting for their retry time.
    pub(super) pending: usize,
    /// Lateness of arrivals, in microseconds.
    pub(super) late: Histogram<u64>,
    /// Samples of the unresolved messages: seconds since the start of the run, and their number.
    pub(super) open: Vec<(f64, usize)>,
    pub(super) faults: Vec<String>,
}

pub(super) struct Shared {
    pub(super) state: RefCell<State>,
    /// Notified when the world's next timer may have become earlier.
    pub(super) timer_changed: Notify,
    /// By dispatcher: notified when its agent has a new version of the list.
    pub(super) list_changed: Vec<Notify>,
    pub(super) dispatchers: RefCell<Vec<DispatcherProcess>>,
    pub(super) clients: RefCell<Vec<Pool>>,
    /// Set at the end of the run: no retry is scheduled and no process restarted after it.
    pub(super) finished: RefCell<bool>,
}

impl State {
    pub(super) fn now(&self) -> Nanos {
        START + self.t0.elapsed().as_nanos() as Nanos
    }
    pub(super) fn fault(&mut self, what: String) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(what);
        }
    }
    pub(super) fn observe(&mut self, observation: Observation) {
        let now = self.now();
        self.ledger.observe(now, observation);
    }
    /// Advances the world to the current time and handles its effects.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        self.world.advance(now);
        self.handle_effects();
    }
    /// Handles all queued effects of the world; slow ones go to `tasks::carry_out_effects`.
    pub(super) fn handle_effects(&mut self) {
        while let Some(effect) = self.world.effect() {
            match effect {
                Effect::Answer { call, conn, answer } => {
                    if let Some(call) = self.calls.remove(&call) {
                        self.observe(Observation::Answered { call, answer });
                    }
                    if let Some(to) = self.conns.get(&conn) {
                        // If the task has ended, its connection is already closed.
                        let _ = to.send(EndpointReply::Answer(answer));
                    }
                }
                Effect::ConnectionBroken { conn } => {
                    if let Some(to) = self.conns.remove(&conn) {
                        let _ = to.send(EndpointReply::Disconnect);
                    }
                }
                Effect::Applied { call, fresh, .. } => {
                    if let Some(call) = self.calls.get(&call).copied() {
                        self.observe(Observation::Applied { call, fresh });
                    }
                }
                Effect::Overloaded {
                    endpoint,
                    informed_calls,
                    all_calls,
                } => self.observe(Observation::Overloaded {
                    endpoint,
                    informed_calls,
                    all_calls,
                }),
                effect => drop(self.slow_effects.send(effect)),
            }
        }
    }
}

impl Shared {
    /// Runs `act` on the state advanced to the current time, and handles the resulting effects.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        state.advance();
        let done = act(&mut state);
        state.handle_effects();
        self.timer_changed.notify_one();
        done
    }
    pub(super) fn now(&self) -> Nanos {
        self.state.borrow().now()
    }
    pub(super) fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.state.borrow().t0 + Duration::from_nanos(at.saturating_sub(START))).into()
    }
}
