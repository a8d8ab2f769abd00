//! What comes into the world and what goes out of it.

use crate::world::plan::DispatcherSignal;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use slotmap::new_key_type;

new_key_type! {
    /// A connection to an endpoint.
    pub struct ConnId;
    /// A call that an endpoint has received completely.
    pub struct CallId;
}

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
