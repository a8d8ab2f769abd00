//! What comes into the world and what goes out of it.

use super::plan::DispatcherSignal;
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
    /// An endpoint answers a call.
    Answer {
        /// The call.
        call: CallId,
        /// The connection it came on.
        conn: ConnId,
        /// The answer.
        answer: Answer,
    },
    /// The endpoint breaks a connection, with the calls on it.
    ConnectionBroken {
        /// The connection.
        conn: ConnId,
    },
    /// A call took effect.
    Applied {
        /// The call.
        call: CallId,
        /// The message that it carried.
        message: MessageId,
        /// Where it took effect.
        endpoint: EndpointId,
        /// False: the endpoint dropped it as a repeat.
        fresh: bool,
    },
    /// New connections meet something else than before.
    ReachabilityChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// What they meet now.
        reach: Reachability,
    },
    /// A new endpoint is there.
    EndpointAdded {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A dispatcher receives the endpoint list.
    ListPublished {
        /// The dispatcher.
        dispatcher: usize,
        /// Up to this version.
        version: usize,
    },
    /// A dispatcher's process is killed, terminated or started.
    DispatcherSignalled {
        /// The dispatcher.
        dispatcher: usize,
        /// What is done to it.
        signal: DispatcherSignal,
    },
    /// A cold endpoint collapsed under its calls.
    Overloaded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its last calls that came from dispatchers which had seen its outage.
        informed_calls: usize,
        /// All of its last calls.
        all_calls: usize,
    },
}

/// How an endpoint answers a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call took effect.
    Delivered,
    /// An error; the call may have taken effect.
    ServerError,
    /// Over the limit or the queue, with the Retry-After wait if there is one.
    RateLimited(Option<Nanos>),
    /// Cannot be read; the call took effect.
    Malformed,
}

/// What new connections to an endpoint meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// They are accepted.
    Open,
    /// They are refused.
    Refusing,
    /// They are never answered.
    Silent,
}

/// What comes of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectResult {
    /// It is open.
    Connected(ConnId),
    /// It was refused.
    Refused,
    /// Nothing answers; the caller has to time out.
    NoResponse,
}

/// A call as it comes in.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The message that it carries.
    pub message: MessageId,
    /// Its queue class.
    pub class: usize,
    /// Who sends it.
    pub dispatcher: usize,
    /// Equal for repeats of one message.
    pub idempotency_key: u64,
}

/// An endpoint's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It serves.
    Up,
    /// It serves what it has, and wants nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// One change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// What changed.
    pub endpoint: EndpointId,
    /// Its state from now on.
    pub listed: ListState,
}

/// The load on all endpoints that have returned cold, in one sample.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReturnLoad {
    /// The end of the sample.
    pub at: Nanos,
    /// How many endpoints are cold.
    pub endpoints: usize,
    /// Calls that came in the sample.
    pub calls: f64,
    /// Calls that could be done in it.
    pub capacity: f64,
}
