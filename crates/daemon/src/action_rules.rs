//! The rules on what may be done now: sending a request, sending a notification, closing a client's connection and ending
//! the process.
//!
//! Each rule is decided here alone, from facts that the callers collect. They ask before they act, and ask once more in
//! the function that carries the action out: an action that its rule forbids is counted and logged as a violation there,
//! whichever path led to it.

use thiserror::Error;

/// An action that a rule restricts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestrictedAction {
    /// Sending the first or a further byte of a request to an endpoint.
    SendRequest,
    /// Sending the notification of a message's end.
    SendNotification,
    /// Closing a client's connection.
    CloseClient,
    /// Ending the process after a shutdown was requested.
    EndProcess,
}

impl RestrictedAction {
    /// All actions, in the order in which they are reported.
    pub const ALL: [RestrictedAction; 4] = [
        RestrictedAction::SendRequest,
        RestrictedAction::SendNotification,
        RestrictedAction::CloseClient,
        RestrictedAction::EndProcess,
    ];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            RestrictedAction::SendRequest => "send_request",
            RestrictedAction::SendNotification => "send_notification",
            RestrictedAction::CloseClient => "close_client",
            RestrictedAction::EndProcess => "end_process",
        }
    }
}

/// Why an action is not allowed now.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Prohibition {
    /// The message has its final answer.
    #[error("the message has ended")]
    MessageEnded,
    /// The deadline of the attempt has passed.
    #[error("the deadline of the attempt has passed")]
    DeadlinePassed,
    /// The decision logic forbids an attempt to this endpoint, or a further attempt of this message.
    #[error("the decision logic forbids the attempt")]
    NotAllowed,
    /// The message has no final answer.
    #[error("the message has not ended")]
    MessagePending,
    /// The journal does not have the record yet.
    #[error("the record is not in the journal")]
    NotRecorded,
    /// A complete command has no reply.
    #[error("a complete command has no reply")]
    CommandUnanswered,
    /// A reply is not sent completely.
    #[error("a reply is not sent completely")]
    ReplyUnsent,
    /// The connection could not be read, so a command may have arrived.
    #[error("the input could not be read")]
    InputUnread,
    /// Clients are connected.
    #[error("clients are connected")]
    ClientsConnected,
    /// Attempts are in flight.
    #[error("attempts are in flight")]
    AttemptsInFlight,
    /// Messages, notifications or records are pending, and there is time left for them.
    #[error("messages, notifications or records are pending")]
    WorkPending,
}

/// The facts that decide whether bytes of a request may be sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestFacts {
    /// Whether the message has its final answer.
    pub message_ended: bool,
    /// Whether the deadline of the attempt is still ahead.
    pub before_deadline: bool,
    /// Whether the decision logic allows the attempt to start now.
    pub allowed: bool,
}

/// Whether bytes of a request may be sent. A request that is partly sent never runs, so it may be abandoned.
pub fn may_send_request(facts: RequestFacts) -> Result<(), Prohibition> {
    if facts.message_ended {
        Err(Prohibition::MessageEnded)
    } else if !facts.before_deadline {
        Err(Prohibition::DeadlinePassed)
    } else if !facts.allowed {
        Err(Prohibition::NotAllowed)
    } else {
        Ok(())
    }
}

/// The facts that decide whether a notification may be sent.
#[derive(Clone, Copy, Debug)]
pub struct NotificationFacts {
    /// Whether the message has its final answer.
    pub message_ended: bool,
    /// Whether the journal has the record of the message's end.
    pub is_recorded: bool,
    /// Whether the message's lifetime is over, so that no process sends it any more.
    pub lifetime_over: bool,
}

/// Whether a notification may be sent. Without its record, the next process could send the message after it.
pub fn may_send_notification(facts: NotificationFacts) -> Result<(), Prohibition> {
    if !facts.message_ended {
        Err(Prohibition::MessagePending)
    } else if !facts.is_recorded && !facts.lifetime_over {
        Err(Prohibition::NotRecorded)
    } else {
        Ok(())
    }
}

/// The facts that decide whether a client's connection may be closed.
#[derive(Clone, Copy, Debug)]
pub struct ClientFacts {
    /// Whether the client has closed its side, or the connection is broken.
    pub client_gone: bool,
    /// Whether the last reply was sent and the sending side is shut down, or follows next by the client's request.
    pub session_ended: bool,
    /// Whether a call on the connection failed and is to be repeated.
    pub is_unread: bool,
    /// Whether the input has a complete command.
    pub has_complete_command: bool,
    /// Whether a reply is not sent completely.
    pub has_unsent_reply: bool,
    /// Whether the client had its time to read its replies and send its command.
    pub overdue: bool,
}

/// Whether a client's connection may be closed. Every command that has arrived gets its reply first, unless the client
/// is gone, has ended its session, or does not read its replies.
pub fn may_close_client(facts: ClientFacts) -> Result<(), Prohibition> {
    if facts.client_gone || facts.session_ended {
        Ok(())
    } else if facts.is_unread {
        Err(Prohibition::InputUnread)
    } else if facts.has_unsent_reply && !facts.overdue {
        Err(Prohibition::ReplyUnsent)
    } else if facts.has_complete_command && !facts.has_unsent_reply {
        Err(Prohibition::CommandUnanswered)
    } else {
        Ok(())
    }
}

/// The facts that decide whether the process may end.
#[derive(Clone, Copy, Debug)]
pub struct ProcessFacts {
    /// Whether the time limit of the shutdown is reached; the platform kills the process soon after it.
    pub time_limit_reached: bool,
    /// Whether clients are connected.
    pub has_clients: bool,
    /// Whether attempts are in flight.
    pub has_attempts: bool,
    /// Whether messages, notifications or records are pending that this process may still finish.
    pub has_pending_work: bool,
}

/// Whether the process may end.
pub fn may_end_process(facts: ProcessFacts) -> Result<(), Prohibition> {
    if facts.time_limit_reached {
        Ok(())
    } else if facts.has_clients {
        Err(Prohibition::ClientsConnected)
    } else if facts.has_attempts {
        Err(Prohibition::AttemptsInFlight)
    } else if facts.has_pending_work {
        Err(Prohibition::WorkPending)
    } else {
        Ok(())
    }
}

/// How often each action was carried out although its rule forbade it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Violations {
    counts: [u64; RestrictedAction::ALL.len()],
}

impl Violations {
    /// Counts and logs a violation if the rule forbids the action that is carried out. `subject` is what it concerns.
    pub fn check(
        &mut self,
        action: RestrictedAction,
        permission: Result<(), Prohibition>,
        subject: impl std::fmt::Display,
    ) {
        if let Err(prohibition) = permission {
            self.counts[action as usize] += 1;
            log::error!(
                "rule violated: {}: {subject}: {prohibition}; please report this line with the log before it",
                action.name()
            );
        }
    }

    /// The number of violations of the rule on this action.
    pub fn count(&self, action: RestrictedAction) -> u64 {
        self.counts[action as usize]
    }
}
