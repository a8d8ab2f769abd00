//! The attempts in flight, in the order in which they were sent.

use crate::interface::{AttemptNumber, MessageId, Nanos};

/// An attempt to deliver a message.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) sent_at: Nanos,
    pub(crate) message: MessageId,
    pub(crate) number: AttemptNumber,
    /// The call that the attempt is part of. The messages of a batch share one call, which uses the
    /// in-flight capacity of one attempt and has one outcome.
    pub(crate) call: u64,
    pub(crate) class: usize,
    pub(crate) route: usize,
    /// Whether the idle connections to the endpoint were closed before the attempt.
    pub(crate) fresh_connection: bool,
    /// How long the route had been unused when the attempt was sent.
    pub(crate) idle_for: Nanos,
    pub(crate) cancelled: bool,
}

/// All attempts in flight; those of one call are adjacent.
#[derive(Default)]
pub(crate) struct AttemptsInFlight {
    attempts: Vec<Attempt>,
}

impl AttemptsInFlight {
    /// Adds an attempt that was just sent.
    pub(crate) fn push(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// Removes and returns an attempt that has an outcome.
    pub(crate) fn remove(&mut self, message: MessageId, number: AttemptNumber) -> Option<Attempt> {
        let matches = |attempt: &Attempt| attempt.message == message && attempt.number == number;
        let index = self.attempts.iter().position(matches)?;
        Some(self.attempts.remove(index))
    }

    /// The attempts, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter()
    }

    /// The attempts grouped by call.
    pub(crate) fn calls(&self) -> impl Iterator<Item = &[Attempt]> {
        self.attempts.chunk_by(|a, b| a.call == b.call)
    }

    /// The number of calls with an attempt that satisfies the predicate.
    pub(crate) fn count_calls(&self, predicate: impl Fn(&Attempt) -> bool) -> usize {
        self.calls()
            .filter(|call| call.iter().any(&predicate))
            .count()
    }

    /// Whether an attempt of this message is in flight.
    pub(crate) fn has_message(&self, message: MessageId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.message == message)
    }

    /// Whether an attempt over this route is in flight.
    pub(crate) fn has_route(&self, route: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.route == route)
    }

    /// Marks the attempts of a call as cancelled and returns them.
    pub(crate) fn cancel(&mut self, call: u64) -> Vec<Attempt> {
        let mark = |attempt: &mut Attempt| {
            attempt.cancelled = true;
            *attempt
        };
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.call == call)
            .map(mark)
            .collect()
    }

    /// The latest attempt, if it is part of this call.
    pub(crate) fn latest_of(&self, call: u64) -> Option<&Attempt> {
        self.attempts.last().filter(|attempt| attempt.call == call)
    }
}
