//! How long a plain watch waits before it asks discovery again: longer with each failure up to a bound, and out of step
//! with other dispatchers. The same seed and the same calls give the same delays.

use bellsill_net::Nanos;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The shortest first delay, where there are few dispatchers.
const MIN_FIRST_DELAY: Nanos = 250_000_000;
/// What each dispatcher adds to the first delay.
const FIRST_DELAY_PER_DISPATCHER: Nanos = 80_000_000;
/// The time from a failure until the first line of the next call is due. A change counts as known 6 s after discovery had
/// it and could be reached, after any number of failures in a row and at any size of the fleet.
const KNOWN_WITHIN: Nanos = 6_000_000_000;
/// How long a connection to discovery may take to come up: enough for a first packet that is lost and sent again after
/// 1 s.
pub const CONNECT_TIMEOUT: Nanos = 1_200_000_000;
/// How long the first line may take from then on, before another call is made beside it.
pub const FIRST_LINE_TIMEOUT: Nanos = 1_500_000_000;
/// How long a watch may be without a complete line: discovery sends one every 2 s, if only an empty one.
pub const SILENCE_TIMEOUT: Nanos = 2_600_000_000;
/// Dispatchers that start together ask spread over this time.
const START_WITHIN: Nanos = 1_000_000_000;
/// What a delay leaves for the program itself.
const MARGIN: Nanos = 100_000_000;
/// The longest delay, after a call that took no time, and the longest that a call may take to fail.
pub const MAX_DELAY: Nanos = KNOWN_WITHIN - CONNECT_TIMEOUT - FIRST_LINE_TIMEOUT - MARGIN;
const _: () = assert!(SILENCE_TIMEOUT + 500_000_000 < MAX_DELAY);

/// Keeps a fleet of dispatchers that was cut off from asking in step. The price: a server that is back is noticed up to
/// one delay late.
pub struct Backoff {
    rng: Pcg64Mcg,
    first_delay: Nanos,
    /// The longest of the next delay; none while the server serves.
    longest: Option<Nanos>,
}

impl Backoff {
    /// The delays of one of this many dispatchers.
    pub fn new(seed: u64, dispatchers: u32) -> Backoff {
        let first_delay =
            (u64::from(dispatchers) * FIRST_DELAY_PER_DISPATCHER).clamp(MIN_FIRST_DELAY, MAX_DELAY);
        Backoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first_delay,
            longest: None,
        }
    }

    /// How long to wait before the first call. The configuration counts as known from the start, so messages might go to
    /// endpoints that are draining: half of the grace of a drain is left for the answer.
    pub fn first_delay(&mut self, drain_grace: Nanos) -> Nanos {
        self.rng
            .random_range(0..=(drain_grace / 2).min(START_WITHIN))
    }

    /// How long to wait before the next call; `spent` is how long the last call, or the silence of a watch, took to fail.
    /// The whole fleet may have failed at the same moment, so the first delay is spread from zero on.
    pub fn next_delay(&mut self, spent: Nanos) -> Nanos {
        let most = MAX_DELAY.saturating_sub(spent).max(1);
        let Some(longest) = self.longest else {
            self.longest = Some(self.first_delay);
            return self.rng.random_range(0..self.first_delay.min(most));
        };
        let delay = longest.min(most);
        self.longest = Some((longest * 2).min(MAX_DELAY));
        self.rng.random_range(delay / 4 * 3..=delay)
    }

    /// The server serves.
    pub fn reset(&mut self) {
        self.longest = None;
    }
}
