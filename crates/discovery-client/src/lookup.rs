//! Looks up destinations outside of a dispatcher's buckets. One request at a time is sent to the control process that
//! serves the watch, and names all destinations that are pending when it is sent.

use crate::call::CallId;
use crate::call_table::close_commands;
use crate::command::{Command, Timer};
use crate::response::{Response, ResponseError};
use bellsill_directory::line::ScopedLine;
use bellsill_net::Nanos;
use bellsill_net::http::Body;
use bellsill_net::ring_buffer::RingBuffer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The maximum number of destinations in one request. Further ones wait for the next request.
pub(crate) const MAX_LOOKUP_DESTINATIONS: usize = 256;
/// The time limit of a lookup, including its connection.
pub(crate) const LOOKUP_TIMEOUT: Nanos = 1_500_000_000;
/// The size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// The upper bound of the delay after a first failure.
const FIRST_DELAY: Nanos = 50_000_000;
/// The upper bound of the delay after any number of failures.
const MAX_DELAY: Nanos = 2_000_000_000;

/// The reason why a lookup failed. Failed lookups are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupError {
    /// The response is malformed, too large, or incomplete at the end of the connection.
    Malformed,
    /// The status is not 200.
    Status(u16),
}

impl From<ResponseError> for LookupError {
    fn from(error: ResponseError) -> Self {
        match error {
            ResponseError::Malformed => LookupError::Malformed,
            ResponseError::Status(status) => LookupError::Status(status),
        }
    }
}

/// A lookup whose response is not complete.
pub(crate) struct Lookup {
    id: CallId,
    destinations: Vec<u64>,
    evicted: Vec<u64>,
    response: Response,
    content: Vec<u8>,
}

impl Lookup {
    /// `evicted` are the destinations that the same request asks the control process to stop sending.
    pub(crate) fn new(id: CallId, destinations: Vec<u64>, evicted: Vec<u64>) -> Lookup {
        Lookup {
            id,
            destinations,
            evicted,
            response: Response::default(),
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

    /// Consumes the bytes in `input`. `ended` is set if no more bytes will follow. Returns the response once it is
    /// complete.
    pub(crate) fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<Option<ScopedLine>, LookupError> {
        let Some(body) = self.response.body(input, ended)? else {
            return Ok(None);
        };
        let content = &mut self.content;
        let taken = body.take(input, |bytes| content.extend(bytes));
        let complete = *body == Body::Done;
        if taken.is_err() || content.len() > MAX_RESPONSE_BYTES || (ended && !complete) {
            return Err(LookupError::Malformed);
        }
        if !complete {
            return Ok(None);
        }
        match serde_json::from_slice(content) {
            Ok(line) => Ok(Some(line)),
            Err(_) => Err(LookupError::Malformed),
        }
    }
}

/// Whether a lookup may be started.
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

    /// The number of lookups made.
    pub(crate) fn made(&self) -> u64 {
        self.made
    }

    /// The number of lookups that failed.
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

    /// Registers a lookup as in flight. The caller connects and sends its request.
    pub(crate) fn start(&mut self, lookup: Lookup) {
        self.made += 1;
        self.state = LookupState::InFlight(lookup);
    }

    /// Ends the lookup in flight, whose response was applied.
    pub(crate) fn finish(&mut self) -> Vec<Command> {
        self.backoff.reset();
        self.cancel()
    }

    /// Ends the lookup in flight, which has failed, and schedules the end of the backoff.
    pub(crate) fn fail(&mut self, now: Nanos) -> Vec<Command> {
        self.failed += 1;
        let mut commands = self.cancel();
        self.state = LookupState::BackingOff;
        let retry_at = now + self.backoff.next_delay();
        commands.push(Command::SetTimer(Timer::LookupRetry, retry_at));
        commands
    }

    /// Closes the connection of the lookup in flight, if any.
    pub(crate) fn cancel(&mut self) -> Vec<Command> {
        let Some(id) = self.in_flight().map(Lookup::id) else {
            return Vec::new();
        };
        self.state = LookupState::Idle;
        close_commands(id).into()
    }

    /// [`Timer::LookupRetry`] has fired.
    pub(crate) fn backoff_elapsed(&mut self) {
        if matches!(self.state, LookupState::BackingOff) {
            self.state = LookupState::Idle;
        }
    }
}

/// Bounded exponential backoff with jitter for failed lookups, so that dispatchers do not retry in lockstep.
struct LookupBackoff {
    max_delay: Nanos,
    rng: Pcg64Mcg,
}

impl LookupBackoff {
    fn new(seed: u64) -> LookupBackoff {
        LookupBackoff {
            max_delay: FIRST_DELAY,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn next_delay(&mut self) -> Nanos {
        let max_delay = self.max_delay;
        self.max_delay = (max_delay * 2).min(MAX_DELAY);
        self.rng.random_range(max_delay / 2..=max_delay)
    }

    fn reset(&mut self) {
        self.max_delay = FIRST_DELAY;
    }
}
