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

/// Up to this many faults are described.
const MAX_FAULTS: usize = 50;

/// The list at a version, by endpoint.
pub(super) type Listing = BTreeMap<EndpointId, ListState>;

/// What a connection's task is told by the world.
pub(super) enum EndpointReply {
    Answer(Answer),
    Disconnect,
}

/// What is known of a submitted message.
#[derive(Clone)]
pub(super) struct SubmittedMessage {
    pub(super) dispatcher: usize,
    pub(super) arrival: Rc<Arrival>,
}

/// An endpoint that can be connected to, or seems to be there and says nothing.
pub(super) struct Listening {
    pub(super) reach: Reachability,
    pub(super) accepts: Option<JoinHandle<()>>,
    pub(super) socket: Rc<TcpListener>,
    /// Connections that fill the queue of one that is silent, so that no other comes up.
    pub(super) _fill: Vec<Socket>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        if let Some(accepts) = &self.accepts {
            accepts.abort();
        }
    }
}

pub(super) struct DispatcherProcess {
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    pub(super) child: Option<Child>,
    /// Its process has been asked to shut down, and has not.
    pub(super) shutting_down: bool,
    pub(super) starts: u32,
    pub(super) usage: Usage,
    /// When the present process was looked at last, and its processor seconds then.
    pub(super) sampled: Option<(Instant, f64)>,
}

/// Connections to one dispatcher that nobody uses just now.
#[derive(Default)]
pub(super) struct Pool(pub(super) Vec<TcpStream>);

pub(super) struct State {
    pub(super) world: World,
    pub(super) ledger: Ledger,
    pub(super) net: Net,
    pub(super) t0: Instant,
    pub(super) conns: HashMap<ConnId, mpsc::UnboundedSender<EndpointReply>>,
    /// Which connection a call is on, and its number in the records.
    pub(super) calls: HashMap<CallId, CallNumber>,
    pub(super) messages: HashMap<MessageId, SubmittedMessage>,
    /// Which version of the list each dispatcher's agent has, and which it has written to the dispatcher.
    pub(super) published: Vec<usize>,
    pub(super) written: Vec<usize>,
    pub(super) listeners: Vec<Option<Listening>>,
    /// Effects that a task of their own carries out.
    pub(super) slow_effects: mpsc::UnboundedSender<Effect>,
    /// Messages that may be submitted again.
    pub(super) pending: usize,
    pub(super) late: Histogram<u64>,
    pub(super) open: Vec<(f64, usize)>,
    pub(super) faults: Vec<String>,
}

pub(super) struct Shared {
    pub(super) state: RefCell<State>,
    /// The world's next moment may have come nearer.
    pub(super) sooner: Notify,
    /// By dispatcher: its agent has a new version of the list.
    pub(super) list_changed: Vec<Notify>,
    pub(super) dispatchers: RefCell<Vec<DispatcherProcess>>,
    pub(super) clients: RefCell<Vec<Pool>>,
    pub(super) over: RefCell<bool>,
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
    /// Lets the world come up to now, and carries out what it does.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        self.world.advance(now);
        self.pump();
    }
    pub(super) fn pump(&mut self) {
        while let Some(effect) = self.world.effect() {
            match effect {
                Effect::Answer { call, conn, answer } => {
                    if let Some(call) = self.calls.remove(&call) {
                        self.observe(Observation::Answered { call, answer });
                    }
                    if let Some(to) = self.conns.get(&conn) {
                        // A task that has ended has closed its connection.
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
    /// Something is done with the world as it is now, and what comes of it is carried out.
    pub(super) fn with<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        state.advance();
        let done = act(&mut state);
        state.pump();
        self.sooner.notify_one();
        done
    }
    pub(super) fn now(&self) -> Nanos {
        self.state.borrow().now()
    }
    pub(super) fn instant(&self, at: Nanos) -> tokio::time::Instant {
        (self.state.borrow().t0 + Duration::from_nanos(at.saturating_sub(START))).into()
    }
}
