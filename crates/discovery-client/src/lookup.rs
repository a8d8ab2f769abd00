//! Looks up destinations outside of a dispatcher's buckets: one request at a time to the control process that serves the
//! watch, for all destinations that are pending by then.

use crate::answer::{Answer, AnswerError};
use crate::call::CallId;
use crate::call_table::close_commands;
use crate::command::{Command, Timer};
use bellsill_directory::line::ScopedLine;
use bellsill_net::Nanos;
use bellsill_net::http::Body;
use bellsill_net::ring_buffer::RingBuffer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The most destinations of one request; others wait for the next one.
pub(crate) const MAX_LOOKUP_DESTINATIONS: usize = 256;
/// How long a lookup may take, from the start of its connection on.
pub(crate) const LOOKUP_TIMEOUT: Nanos = 1_500_000_000;
/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// The longest delay after a first failure.
const FIRST_DELAY: Nanos = 50_000_000;
/// The longest delay after many failures.
const MAX_DELAY: Nanos = 2_000_000_000;

/// Why a lookup has failed; it is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupError {
    /// The answer cannot be read, or the connection ended before its end.
    Unreadable,
    /// Another status than 200.
    Status(u16),
}

impl From<AnswerError> for LookupError {
    fn from(error: AnswerError) -> Self {
        match error {
            AnswerError::Unreadable => LookupError::Unreadable,
            AnswerError::Status(status) => LookupError::Status(status),
        }
    }
}

/// A lookup that has no complete answer yet.
pub(crate) struct Lookup {
    id: CallId,
    destinations: Vec<u64>,
    evicted: Vec<u64>,
    answer: Answer,
    content: Vec<u8>,
}

impl Lookup {
    /// `evicted` are the destinations that the same request releases.
    pub(crate) fn new(id: CallId, destinations: Vec<u64>, evicted: Vec<u64>) -> Lookup {
        Lookup {
            id,
            destinations,
            evicted,
            answer: Answer::default(),
            content: Vec::new(),
        }
    }

    pub(crate) fn id(&self) -> CallId {
        self.id
    }

    pub(crate) fn destinations(&self) -> &[u64] {
        &self.destinations
    }

    pub(crate) fn evicted(&self) -> &[u64] {
        &self.evicted
    }

    /// Takes what was received from `input`; `ended` says that nothing follows it. Returns the answer once it is complete.
    pub(crate) fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<Option<ScopedLine>, LookupError> {
        let Some(body) = self.answer.body(input, ended)? else {
            return Ok(None);
        };
        let content = &mut self.content;
        let taken = body.take(input, |bytes| content.extend(bytes));
        let complete = *body == Body::Done;
        if taken.is_err() || content.len() > MAX_ANSWER_BYTES || (ended && !complete) {
            return Err(LookupError::Unreadable);
        }
        if !complete {
            return Ok(None);
        }
        match serde_json::from_slice(content) {
            Ok(line) => Ok(Some(line)),
            Err(_) => Err(LookupError::Unreadable),
        }
    }
}

/// Whether a lookup may be made.
enum LookupState {
    Idle,
    InFlight(Lookup),
    /// The last lookup has failed, and [`Timer::LookupRetry`] is set.
    BackingOff,
}

/// The lookups of a watch.
pub(crate) struct Lookups {
    state: LookupState,
    backoff: LookupBackoff,
    made: u64,
    failed: u64,
}

impl Lookups {
    pub(crate) fn new(seed: u64) -> Lookups {
        Lookups {
            state: LookupState::Idle,
            backoff: LookupBackoff::new(seed),
            made: 0,
            failed: 0,
        }
    }

    /// How many lookups were made.
    pub(crate) fn made(&self) -> u64 {
        self.made
    }

    /// How many lookups have failed.
    pub(crate) fn failed(&self) -> u64 {
        self.failed
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.state, LookupState::Idle)
    }

    pub(crate) fn in_flight(&self) -> Option<&Lookup> {
        match &self.state {
            LookupState::InFlight(lookup) => Some(lookup),
            _ => None,
        }
    }

    pub(crate) fn in_flight_mut(&mut self) -> Option<&mut Lookup> {
        match &mut self.state {
            LookupState::InFlight(lookup) => Some(lookup),
            _ => None,
        }
    }

    /// A lookup begins; its connection has to be made.
    pub(crate) fn begin(&mut self, lookup: Lookup) {
        self.made += 1;
        self.state = LookupState::InFlight(lookup);
    }

    /// The lookup in flight is answered.
    pub(crate) fn finish(&mut self) -> Vec<Command> {
        self.backoff.reset();
        self.cancel()
    }

    /// The lookup in flight has failed, and may be tried again after a delay.
    pub(crate) fn fail(&mut self, now: Nanos) -> Vec<Command> {
        self.failed += 1;
        let mut commands = self.cancel();
        self.state = LookupState::BackingOff;
        let retry_at = now + self.backoff.next_delay();
        commands.push(Command::SetTimer(Timer::LookupRetry, retry_at));
        commands
    }

    /// Closes the lookup in flight, if there is one.
    pub(crate) fn cancel(&mut self) -> Vec<Command> {
        let Some(id) = self.in_flight().map(Lookup::id) else {
            return Vec::new();
        };
        self.state = LookupState::Idle;
        close_commands(id).into()
    }

    /// [`Timer::LookupRetry`] has fired.
    pub(crate) fn backoff_over(&mut self) {
        if matches!(self.state, LookupState::BackingOff) {
            self.state = LookupState::Idle;
        }
    }
}

/// The delays after failed lookups: longer with each failure in a row, and out of step with other dispatchers.
struct LookupBackoff {
    longest: Nanos,
    rng: Pcg64Mcg,
}

impl LookupBackoff {
    fn new(seed: u64) -> LookupBackoff {
        LookupBackoff {
            longest: FIRST_DELAY,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn next_delay(&mut self) -> Nanos {
        let longest = self.longest;
        self.longest = (longest * 2).min(MAX_DELAY);
        self.rng.random_range(longest / 2..=longest)
    }

    fn reset(&mut self) {
        self.longest = FIRST_DELAY;
    }
}
