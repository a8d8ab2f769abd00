//! Inputs and outputs of the model.

use super::plan::DispatcherSignal;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};
use slotmap::new_key_type;

new_key_type! {
    /// A connection to an endpoint.
    pub struct ConnId;
    /// A call that an endpoint has completely received.
    pub struct CallId;
}

/// An output of the model.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// An endpoint answers a call.
    Answer {
        /// The call.
        call: CallId,
        /// The connection that carries it.
        conn: ConnId,
        /// The answer.
        answer: Answer,
    },
    /// The endpoint resets a connection; calls on it get no response.
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
        /// The endpoint that ran it.
        endpoint: EndpointId,
        /// False if the endpoint discarded it as a duplicate.
        fresh: bool,
    },
    /// An endpoint now responds differently to new connections.
    ReachabilityChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// How it responds from now on.
        reach: Reachability,
    },
    /// A new endpoint has been added.
    EndpointAdded {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A dispatcher receives the endpoint list.
    ListPublished {
        /// The dispatcher.
        dispatcher: usize,
        /// The version of the list that it receives.
        version: usize,
    },
    /// A dispatcher's process is killed, terminated or started.
    DispatcherSignalled {
        /// The dispatcher.
        dispatcher: usize,
        /// The signal that it receives.
        signal: DispatcherSignal,
    },
    /// A cold endpoint collapsed because it received too many calls.
    Overloaded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Calls in the overload window from dispatchers that had seen the outage.
        informed_calls: usize,
        /// All calls in the overload window.
        all_calls: usize,
    },
}

/// How an endpoint answers a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call took effect.
    Delivered,
    /// A server error; the call may have taken effect.
    ServerError,
    /// The rate limit is exceeded or the queue is full; carries the Retry-After delay, if the endpoint sends one.
    RateLimited(Option<Nanos>),
    /// A malformed response; the call took effect.
    Malformed,
}

/// How an endpoint responds to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// Accepts them.
    Open,
    /// Refuses them.
    Refusing,
    /// Never responds to them.
    Silent,
}

/// The result of opening a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectResult {
    /// The connection is open.
    Connected(ConnId),
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint doesn't respond; the caller has to time out.
    NoResponse,
}

/// A call sent to an endpoint.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// The message that it carries.
    pub message: MessageId,
    /// Its queue class.
    pub class: usize,
    /// The dispatcher that sends it.
    pub dispatcher: usize,
    /// The same for all submissions of one message.
    pub idempotency_key: u64,
}

/// An endpoint's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Accepts new calls.
    Up,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One change of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    /// The endpoint that changed.
    pub endpoint: EndpointId,
    /// Its new state.
    pub listed: ListState,
}

/// The load on all endpoints in slow start during one sample interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ReturnLoad {
    /// The end of the interval.
    pub at: Nanos,
    /// The number of endpoints in slow start.
    pub endpoints: usize,
    /// Calls received in the interval.
    pub calls: f64,
    /// Calls that the endpoints could have handled in the interval.
    pub capacity: f64,
}
