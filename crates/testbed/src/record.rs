//! Externally observed events between clients, dispatchers, endpoints and the platform. The auditor and the measurements
//! know nothing else.

use crate::load::{Arrival, message_id};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};

/// Sequence number of a call within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// One event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client submits a message.
    Submitted(Submission),
    /// The dispatcher accepted the message and is responsible for its ending.
    Accepted {
        /// The message.
        message: MessageId,
    },
    /// The dispatcher rejected the submission.
    Rejected {
        /// The message.
        message: MessageId,
        /// Time to wait before the client may submit it again, if the dispatcher gave one.
        retry_after: Option<Nanos>,
    },
    /// The client stopped waiting for the reply; the further handling of the message is ignored.
    Abandoned {
        /// The message.
        message: MessageId,
    },
    /// An endpoint received the last byte of a call.
    Call {
        /// The call.
        call: CallNumber,
        /// The message it carries.
        message: MessageId,
        /// The endpoint that received it.
        endpoint: EndpointId,
        /// The dispatcher that sent it.
        dispatcher: usize,
        /// Time at which its first byte was sent.
        started_at: Nanos,
        /// False if the connection broke and the call was never processed.
        fresh: bool,
    },
    /// The endpoint wrote a response.
    Answered {
        /// The call.
        call: CallNumber,
        /// The response.
        answer: Answer,
    },
    /// The connection of a call was closed.
    ConnectionClosed {
        /// The call.
        call: CallNumber,
        /// Whether the endpoint closed it rather than the dispatcher.
        by_endpoint: bool,
    },
    /// A call took effect.
    Applied {
        /// The call.
        call: CallNumber,
        /// False if the endpoint dropped it as a duplicate.
        fresh: bool,
    },
    /// The platform is notified that an accepted message was rejected (with a retry time) or has failed.
    Notified {
        /// The message.
        message: MessageId,
        /// `Some` if rejected, `None` if failed.
        retry_after: Option<Nanos>,
    },
    /// A dispatcher learns of a change of the endpoint list.
    EndpointListed {
        /// The dispatcher.
        dispatcher: usize,
        /// The endpoint that changed.
        endpoint: EndpointId,
        /// False if it is draining or removed.
        serving: bool,
    },
    /// A dispatcher's process has started.
    Started {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher's process has stopped and its connections are closed.
    Stopped {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher starts accepting messages.
    Ready {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A cold endpoint collapsed under its calls.
    Overloaded {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of its recent calls from dispatchers that had seen its outage.
        informed_calls: usize,
        /// Number of all its recent calls.
        all_calls: usize,
    },
}

/// A submission of a message by a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submission {
    /// Message id of this submission.
    pub message: MessageId,
    /// Number of the arrival it belongs to; the same for all resubmissions.
    pub arrival: u64,
    /// Its queue class.
    pub class: usize,
    /// Destination of the message.
    pub destination: usize,
    /// Ordering key: messages of one key are delivered in order.
    pub key: Option<u64>,
    /// The dispatcher that receives it.
    pub dispatcher: usize,
    /// End of its queue lifetime.
    pub deadline: Nanos,
    /// Whether the client submitted the arrival before without learning of a delivery; effects under the earlier ids
    /// count as well.
    pub resubmitted: bool,
}

impl Submission {
    /// Creates the submission of an arrival after the given number of earlier submissions.
    pub fn new(arrival: &Arrival, attempts: u32, dispatcher: usize, deadline: Nanos) -> Submission {
        Submission {
            message: message_id(arrival.no, attempts),
            arrival: arrival.no,
            class: arrival.class,
            destination: arrival.destination,
            key: arrival.key,
            dispatcher,
            deadline,
            resubmitted: attempts > 0,
        }
    }
}
