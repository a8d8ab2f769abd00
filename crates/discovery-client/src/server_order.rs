//! Which control process is asked next, and after what delay. Each dispatcher has an order and delays of its own, so that
//! those that lose one process at the same moment neither move to the same other one nor ask in step.

use bellsill_net::Nanos;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Dispatchers that lose a process together ask the next one spread over this time.
const FIRST_DELAY_WITHIN: Nanos = 500_000_000;
/// The longest delay, when every process has failed several times in a row.
const MAX_DELAY: Nanos = 4_000_000_000;
/// Delays stop doubling after this many rounds.
const MAX_DOUBLINGS: usize = 16;

/// The control processes in the order in which one dispatcher tries them.
pub(crate) struct ServerOrder {
    servers: Vec<SocketAddr>,
    next: usize,
    /// Failures since a process served last.
    failures: usize,
    rng: Pcg64Mcg,
}

impl ServerOrder {
    /// `servers` holds at least one.
    pub(crate) fn new(mut servers: Vec<SocketAddr>, seed: u64) -> ServerOrder {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        servers.shuffle(&mut rng);
        ServerOrder {
            servers,
            next: 0,
            failures: 0,
            rng,
        }
    }

    /// The process that is asked now or was asked last.
    pub(crate) fn current(&self) -> SocketAddr {
        self.servers[self.next]
    }

    /// How long to wait before the first call.
    pub(crate) fn first_delay(&mut self, longest: Nanos) -> Nanos {
        self.rng.random_range(0..=longest.min(FIRST_DELAY_WITHIN))
    }

    /// The current process has failed: moves to the next one, and returns after what delay to ask it. Each is tried once
    /// before delays grow.
    pub(crate) fn advance(&mut self) -> Nanos {
        self.next = (self.next + 1) % self.servers.len();
        let rounds = (self.failures / self.servers.len()).min(MAX_DOUBLINGS) as u32;
        self.failures += 1;
        let longest = (FIRST_DELAY_WITHIN << rounds).min(MAX_DELAY);
        let shortest = if rounds == 0 { 0 } else { longest / 2 };
        self.rng.random_range(shortest..=longest)
    }

    /// The current process serves.
    pub(crate) fn serves(&mut self) {
        self.failures = 0;
    }
}
