//! The outcomes of attempts.

use super::ids::{AttemptNumber, MessageId, Nanos};

/// The outcome of an attempt. Where it says that the message may have run, the endpoint may have
/// processed the message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The message was delivered.
    Delivered,
    /// The endpoint answered with an error; the message may have run.
    ServerError,
    /// A limiter rejected the attempt.
    RateLimited {
        /// The wait that the limiter asks for, if any.
        retry_after: Option<Nanos>,
    },
    /// No answer arrived before the timeout; the message may have run.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection broke before the answer arrived; the message may have run.
    ConnectionReset,
    /// The answer could not be parsed; the message may have run.
    MalformedResponse,
    /// The attempt was cancelled on request; the message may have run.
    Cancelled,
    /// The attempt was not sent.
    NotSent {
        /// Whether the reason is that the caller had no capacity for one more call.
        no_capacity: bool,
    },
    /// The caller lacked a local resource to start the attempt; it is not counted as an attempt.
    NotStarted,
}

impl Outcome {
    /// Whether the endpoint may have processed the message.
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

/// A finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The message that the attempt sent.
    pub message: MessageId,
    /// The number of the attempt among those of the message.
    pub number: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the message has ended, by this outcome or earlier.
    pub message_ended: bool,
    /// The time since the attempt was sent.
    pub elapsed: Nanos,
    /// The rate limit reported in the answer, if any: attempts per second that the limiter accepts
    /// from all dispatchers together.
    pub reported_rate_limit: Option<f64>,
}
