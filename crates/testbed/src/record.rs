//! What passed between clients, dispatchers, endpoints and the platform, as observed from outside: the auditor and the
//! measurements know nothing else.

use crate::load::{Arrival, message_id};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};

/// Counts the calls of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(pub u64);

/// One event of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client submits a message.
    Submitted(Submission),
    /// The dispatcher has accepted the message and has to bring it to an end.
    Accepted {
        /// The message.
        message: MessageId,
    },
    /// The dispatcher rejected the submission.
    Rejected {
        /// The message.
        message: MessageId,
        /// When the client may submit it again, if the dispatcher said so.
        retry_after: Option<Nanos>,
    },
    /// The client has stopped waiting for the answer: what becomes of the message counts for nothing.
    Abandoned {
        /// The message.
        message: MessageId,
    },
    /// The last byte of a call has come to an endpoint.
    Call {
        /// The call.
        call: CallNumber,
        /// The message that it carries.
        message: MessageId,
        /// Where it came in.
        endpoint: EndpointId,
        /// Who sent it.
        dispatcher: usize,
        /// When its first byte was sent.
        started_at: Nanos,
        /// False: the connection broke and the call never ran.
        fresh: bool,
    },
    /// What the endpoint wrote.
    Answered {
        /// The call.
        call: CallNumber,
        /// Its answer.
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
        /// False: the endpoint dropped it as a repeat.
        fresh: bool,
    },
    /// The platform is notified that an accepted message was rejected (with the time to come back) or has failed.
    Notified {
        /// The message.
        message: MessageId,
        /// Some: rejected. None: failed.
        retry_after: Option<Nanos>,
    },
    /// A dispatcher learns of a change of the endpoint list.
    EndpointListed {
        /// The dispatcher.
        dispatcher: usize,
        /// The endpoint that changed.
        endpoint: EndpointId,
        /// False: it is draining or removed.
        serving: bool,
    },
    /// A dispatcher's process has started.
    Started {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher's process has stopped: from here on its connections are closed.
    Stopped {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher accepts messages from now on.
    Ready {
        /// The dispatcher.
        dispatcher: usize,
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

/// A message as a client submits it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Submission {
    /// Its id in this submission.
    pub message: MessageId,
    /// What it was first drawn for; the same when it is submitted again.
    pub arrival: u64,
    /// Its queue class.
    pub class: usize,
    /// The destination it is for.
    pub destination: usize,
    /// Messages of one key go in order.
    pub key: Option<u64>,
    /// To which dispatcher it goes.
    pub dispatcher: usize,
    /// When its queue lifetime is up.
    pub deadline: Nanos,
    /// An earlier submission was not delivered, as far as the client knows: what became of it under other ids counts.
    pub resubmitted: bool,
}

impl Submission {
    /// An arrival as it is submitted after this many earlier attempts.
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
