//! How long something that failed rests before it is asked again: ever longer up to a bound, and out of step with other
//! dispatchers. Pure: the same seed and the same calls give the same rests.

use bellsill_net::Nanos;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Where few dispatchers ask, one that broke is asked again soon; with more, what each adds to the rest.
const FIRST: Nanos = 250_000_000;
const EACH: Nanos = 80_000_000;
/// From what failed on, until the next call has come up and its first line has to be there. A change counts as told 6 s
/// after discovery had it and could be reached, after any number of failures in a row and at any size of the fleet.
const TOLD_WITHIN: Nanos = 6_000_000_000;
/// How long a connection to discovery may take to come up: time for a first packet that is lost and sent again after 1 s.
pub const UP_WITHIN: Nanos = 1_200_000_000;
/// How long its first line may take from then on, before another call is made beside it.
pub const FIRST_LINE_WITHIN: Nanos = 1_500_000_000;
/// A watch says a whole line every 2 s, if only an empty one.
pub const SILENT_FOR: Nanos = 2_600_000_000;
/// Dispatchers that start together ask one after the other over so long.
const FIRST_WITHIN: Nanos = 1_000_000_000;
/// What a rest leaves to the program itself.
const SPARE: Nanos = 100_000_000;
/// The longest rest, after a call that took no time, and the longest that something may take before it has failed.
pub const LONGEST: Nanos = TOLD_WITHIN - UP_WITHIN - FIRST_LINE_WITHIN - SPARE;
const _: () = assert!(SILENT_FOR + 500_000_000 < LONGEST);

/// Stops a whole fleet that was cut off from asking in step. The harm: what comes back is met up to a rest late.
pub struct Backoff {
    rng: Pcg64Mcg,
    first: Nanos,
    /// The last rest, before chance; nought while it serves.
    rest: Nanos,
}

impl Backoff {
    pub fn new(seed: u64, dispatchers: u32) -> Backoff {
        let first = (u64::from(dispatchers) * EACH).clamp(FIRST, LONGEST);
        Backoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first,
            rest: 0,
        }
    }

    /// How long to wait before the first asking. What the platform has counts as told from the first moment on, so that
    /// mails would go to what drains: half of the grace is left for the answer.
    pub fn first_rest(&mut self, drain_grace: Nanos) -> Nanos {
        self.rng
            .random_range(0..=(drain_grace / 2).min(FIRST_WITHIN))
    }

    /// How long to wait before it is asked once more; `spent` is how long the last call, or a watch's silence, took to fail.
    /// All may have lost it at the same moment: the first time they come one after the other.
    pub fn rest(&mut self, spent: Nanos) -> Nanos {
        let most = LONGEST.saturating_sub(spent).max(1);
        if self.rest == 0 {
            self.rest = self.first;
            return self.rng.random_range(0..self.first.min(most));
        }
        let rest = self.rest.min(most);
        self.rest = (self.rest * 2).min(LONGEST);
        self.rng.random_range(rest / 4 * 3..=rest)
    }

    /// It serves.
    pub fn served(&mut self) {
        self.rest = 0;
    }
}
