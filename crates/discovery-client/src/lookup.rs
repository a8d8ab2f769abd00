//! The lookup of destinations that a dispatcher does not hold: one request at a time to the control process that has its watch,
//! for as many destinations as are wanted meanwhile.

use crate::call::CallId;
use bellsill_directory::line::ScopedLine;
use bellsill_net::Nanos;
use bellsill_net::http::{self, Body};
use bellsill_net::ring_buffer::RingBuffer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The most destinations of one request; others wait for the next one.
pub const DESTINATIONS_EACH: usize = 256;
/// An answer takes no longer than this, from the start of its connection on.
pub const ANSWER_WITHIN: Nanos = 1_500_000_000;
/// The longest answer that is read.
const LONGEST_ANSWER: usize = 4 * 1024 * 1024;
/// The rest after a first failure, and the longest one.
const FIRST_REST: Nanos = 50_000_000;
const LONGEST_REST: Nanos = 2_000_000_000;

/// Why a lookup has failed; it is made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupFailure {
    /// The answer cannot be read, or the connection ended before its end.
    NoAnswer,
    /// Another status than 200.
    Status(u16),
}

/// A lookup that has no answer yet.
pub struct LookupCall {
    pub id: CallId,
    pub destinations: Vec<u64>,
    /// Destinations that the control process is told to forget by the same request.
    pub forget: Vec<u64>,
    body: Option<Body>,
    answer: Vec<u8>,
}

impl LookupCall {
    pub fn new(id: CallId, destinations: Vec<u64>, forget: Vec<u64>) -> LookupCall {
        LookupCall {
            id,
            destinations,
            forget,
            body: None,
            answer: Vec::new(),
        }
    }

    /// Takes what has come from `input`; `ended` says that nothing comes after it. None: more has to come.
    pub fn read(
        &mut self,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Result<Option<ScopedLine>, LookupFailure> {
        if self.body.is_none() {
            match http::take_head(input).map_err(|_| LookupFailure::NoAnswer)? {
                Some(head) if head.status != 200 => return Err(LookupFailure::Status(head.status)),
                Some(head) => self.body = Some(head.body),
                None => {
                    return if ended {
                        Err(LookupFailure::NoAnswer)
                    } else {
                        Ok(None)
                    };
                }
            }
        }
        let (Some(body), answer) = (&mut self.body, &mut self.answer) else {
            return Ok(None);
        };
        body.take(input, |bytes| answer.extend(bytes))
            .map_err(|_| LookupFailure::NoAnswer)?;
        let whole = *body == Body::Done;
        if answer.len() > LONGEST_ANSWER || (ended && !whole) {
            return Err(LookupFailure::NoAnswer);
        }
        if !whole {
            return Ok(None);
        }
        serde_json::from_slice(answer)
            .map(Some)
            .map_err(|_| LookupFailure::NoAnswer)
    }
}

/// How long lookups rest after one has failed: ever longer, and out of step with other dispatchers.
pub struct LookupRest {
    rest: Nanos,
    rng: Pcg64Mcg,
}

impl LookupRest {
    pub fn new(seed: u64) -> LookupRest {
        LookupRest {
            rest: FIRST_REST,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub fn failed(&mut self) -> Nanos {
        let longest = self.rest;
        self.rest = (self.rest * 2).min(LONGEST_REST);
        self.rng.random_range(longest / 2..=longest)
    }

    pub fn answered(&mut self) {
        self.rest = FIRST_REST;
    }
}
