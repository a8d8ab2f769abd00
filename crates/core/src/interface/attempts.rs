//! How attempts end.

use super::ids::{AttemptNumber, MessageId, Nanos};

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Delivered,
    /// The destination answered with an error; the message may have run.
    ServerError,
    /// A limiter rejected the attempt.
    RateLimited {
        /// How long the limiter asks to wait, if it says so.
        retry_after: Option<Nanos>,
    },
    /// No answer came in time; the message may have run.
    TimedOut,
    /// No connection came up.
    ConnectFailed,
    /// The connection broke; the message may have run.
    ConnectionReset,
    /// An answer came that cannot be parsed; the message may have run.
    MalformedResponse,
    /// The attempt was cancelled on request; the message may have run.
    Cancelled,
    /// The attempt was not sent.
    NotSent {
        /// The reason is that the caller had no capacity for one more call.
        no_capacity: bool,
    },
    /// The caller could not start the attempt for want of a resource of its own; it does not count
    /// as one.
    NotStarted,
}

impl Outcome {
    /// Whether the message may have run in spite of the outcome.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::RateLimited { .. }
                | Outcome::ConnectFailed
                | Outcome::NotSent { .. }
                | Outcome::NotStarted
        )
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The message that was sent.
    pub message: MessageId,
    /// Which of its attempts has ended.
    pub number: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// This outcome ends the message, or the message had ended before.
    pub message_ended: bool,
    /// The time since the attempt was sent.
    pub elapsed: Nanos,
    /// The attempts a second that the limiter takes from all dispatchers, as the answer reports.
    pub reported_rate_limit: Option<f64>,
}
