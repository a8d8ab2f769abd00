//! Selects the next control process to connect to, and the delay before it. Each dispatcher shuffles the processes and
//! draws its delays from its own seed, so that dispatchers that lose a process at the same moment neither all move to
//! the same one nor reconnect in lockstep.

use bellsill_net::Nanos;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Dispatchers that lose a process together spread their next connection attempts over this time.
const INITIAL_DELAY_SPREAD: Nanos = 500_000_000;
/// The upper bound of the delay, reached once every process has failed several times in a row.
const MAX_DELAY: Nanos = 4_000_000_000;
/// The delay stops doubling after this many rounds over all processes.
const MAX_DOUBLINGS: usize = 16;

/// The control processes in the order in which one dispatcher tries them.
pub(crate) struct ServerOrder {
    servers: Vec<SocketAddr>,
    next: usize,
    /// Failures since a process last served the watch.
    failures: usize,
    rng: Pcg64Mcg,
}

impl ServerOrder {
    /// `servers` must not be empty.
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

    /// The process that is connected to now, or was last.
    pub(crate) fn current(&self) -> SocketAddr {
        self.servers[self.next]
    }

    /// The random delay before the first call, at most `max`.
    pub(crate) fn initial_delay(&mut self, max: Nanos) -> Nanos {
        self.rng.random_range(0..=max.min(INITIAL_DELAY_SPREAD))
    }

    /// Moves to the next process after the current one has failed, and returns the delay before connecting to it. Each
    /// process is tried once before the delay grows.
    pub(crate) fn advance(&mut self) -> Nanos {
        self.next = (self.next + 1) % self.servers.len();
        let rounds = (self.failures / self.servers.len()).min(MAX_DOUBLINGS) as u32;
        self.failures += 1;
        let max = (INITIAL_DELAY_SPREAD << rounds).min(MAX_DELAY);
        let min = if rounds == 0 { 0 } else { max / 2 };
        self.rng.random_range(min..=max)
    }

    /// The current process serves the watch: the delays start from the beginning.
    pub(crate) fn mark_serving(&mut self) {
        self.failures = 0;
    }
}
