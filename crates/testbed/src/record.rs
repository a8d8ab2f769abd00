//! What really passed between clients, dispatchers, endpoints and the platform, as it was seen from outside: the auditor
//! and the measurements know nothing else.

use crate::load::{Arrival, mail_id};
use crate::world::Answer;
use bellsill_core::interface::{EndpointId, MessageId, Nanos};

/// Counts the calls of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNo(pub u64);

#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// A client hands a mail in; what it was first drawn for is `arrival`, the same when it is handed in again.
    HandedIn(HandIn),
    /// The dispatcher owes the mail its end.
    Taken {
        mail: MessageId,
    },
    /// Refused, with the time to come back if one was told.
    TurnedAway {
        mail: MessageId,
        come_back: Option<Nanos>,
    },
    /// The client has stopped waiting for the answer: what becomes of the mail counts for nothing.
    Unheard {
        mail: MessageId,
    },
    /// The last byte of a call has come to an endpoint; its first one was sent at `begun`.
    Call {
        call: CallNo,
        mail: MessageId,
        endpoint: EndpointId,
        dispatcher: usize,
        begun: Nanos,
        fresh: bool,
    },
    /// What the endpoint wrote.
    Answered {
        call: CallNo,
        answer: Answer,
    },
    /// The dispatcher has closed the call's connection, or its endpoint has.
    Broken {
        call: CallNo,
        by_endpoint: bool,
    },
    Applied {
        call: CallNo,
        fresh: bool,
    },
    /// The platform is told an end: deferred with the time to come back, or bounced.
    Notice {
        mail: MessageId,
        deferred: Option<Nanos>,
    },
    /// The list is told to a dispatcher.
    Listed {
        dispatcher: usize,
        endpoint: EndpointId,
        serving: bool,
    },
    /// A dispatcher's process has begun, or ended; from `Ended` on its connections are closed.
    Started {
        dispatcher: usize,
    },
    Ended {
        dispatcher: usize,
    },
    /// A dispatcher takes mails from now on.
    Ready {
        dispatcher: usize,
    },
    Tipped {
        endpoint: EndpointId,
        knowing: usize,
        all: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandIn {
    pub mail: MessageId,
    pub arrival: u64,
    pub class: usize,
    pub destination: usize,
    pub key: Option<u64>,
    pub dispatcher: usize,
    /// When its queue lifetime is up.
    pub due: Nanos,
    /// It never took effect as far as its client was told: what it was under other ids counts.
    pub again: bool,
}

impl HandIn {
    /// An arrival as it is handed in, after so many tries before.
    pub fn of(arrival: &Arrival, tries: u32, dispatcher: usize, due: Nanos) -> HandIn {
        HandIn {
            mail: mail_id(arrival.no, tries),
            arrival: arrival.no,
            class: arrival.class,
            destination: arrival.destination,
            key: arrival.key,
            dispatcher,
            due,
            again: tries > 0,
        }
    }
}
