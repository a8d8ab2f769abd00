//! Bounded exponential backoff with jitter for the reconnects of a plain watch. The delays are deterministic for a
//! given seed and sequence of calls.

use bellsill_net::Nanos;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The lower bound of the first delay, for a small fleet.
const MIN_FIRST_DELAY: Nanos = 250_000_000;
/// The first delay grows by this much with each dispatcher of the fleet.
const FIRST_DELAY_PER_DISPATCHER: Nanos = 80_000_000;
/// The time limit from a failure to the first line of the next call. A change must be known to every dispatcher 6 s
/// after discovery has it and is reachable, after any number of consecutive failures and for any size of the fleet.
const PROPAGATION_LIMIT: Nanos = 6_000_000_000;
/// The time limit for establishing a connection to discovery. It allows for one SYN that is lost and retransmitted
/// after 1 s.
pub const CONNECT_TIMEOUT: Nanos = 1_200_000_000;
/// The time limit from the established connection to the first line, after which another call is made in parallel.
pub const FIRST_LINE_TIMEOUT: Nanos = 1_500_000_000;
/// How long a watch may go without a complete line. Discovery sends one at least every 2 s, an empty one as a
/// heartbeat.
pub const SILENCE_TIMEOUT: Nanos = 2_600_000_000;
/// Dispatchers that start together spread their first calls over this time.
const START_SPREAD: Nanos = 1_000_000_000;
/// The share of the propagation limit that is reserved for processing.
const PROCESSING_MARGIN: Nanos = 100_000_000;
/// The upper bound of the delay after a call that failed at once, and of the time that a call may take to fail.
pub const MAX_DELAY: Nanos =
    PROPAGATION_LIMIT - CONNECT_TIMEOUT - FIRST_LINE_TIMEOUT - PROCESSING_MARGIN;
const _: () = assert!(SILENCE_TIMEOUT + 500_000_000 < MAX_DELAY);

/// Keeps a fleet of dispatchers that lost its server from reconnecting in lockstep. The cost is that a recovered server
/// is noticed up to one delay late.
pub struct Backoff {
    rng: Pcg64Mcg,
    first_delay: Nanos,
    /// The upper bound of the next delay; `None` while the server serves the watch.
    next_max_delay: Option<Nanos>,
}

impl Backoff {
    /// The backoff of one dispatcher in a fleet of `dispatchers`.
    pub fn new(seed: u64, dispatchers: u32) -> Backoff {
        let first_delay =
            (u64::from(dispatchers) * FIRST_DELAY_PER_DISPATCHER).clamp(MIN_FIRST_DELAY, MAX_DELAY);
        Backoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            first_delay,
            next_max_delay: None,
        }
    }

    /// The delay before the first call. Until the first response the dispatcher routes by the configuration that it
    /// started with, which may name draining endpoints, so at least half of `drain_grace` is left for that response.
    pub fn first_delay(&mut self, drain_grace: Nanos) -> Nanos {
        self.rng
            .random_range(0..=(drain_grace / 2).min(START_SPREAD))
    }

    /// The delay before the next call. `elapsed` is the time that the last call took to fail, or that the watch was
    /// silent; it counts towards the propagation limit. The whole fleet may have failed at the same moment, so the
    /// first delay is drawn from the full range from zero.
    pub fn next_delay(&mut self, elapsed: Nanos) -> Nanos {
        let remaining = MAX_DELAY.saturating_sub(elapsed).max(1);
        let Some(max_delay) = self.next_max_delay else {
            self.next_max_delay = Some(self.first_delay);
            return self.rng.random_range(0..self.first_delay.min(remaining));
        };
        let delay = max_delay.min(remaining);
        self.next_max_delay = Some((max_delay * 2).min(MAX_DELAY));
        self.rng.random_range(delay / 4 * 3..=delay)
    }

    /// The server serves the watch: the delays start from the beginning.
    pub fn reset(&mut self) {
        self.next_max_delay = None;
    }
}
