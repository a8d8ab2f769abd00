//! Which control process is asked next, and after how long a rest: an order and rests of each dispatcher's own, so that those
//! that lose one process at the same moment neither ask another one together nor in step.

use bellsill_net::Nanos;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// Dispatchers that lose a process together ask the next one spread over this long.
const FIRST_REST_WITHIN: Nanos = 500_000_000;
/// The longest rest, when every process has failed several times in a row.
const LONGEST_REST: Nanos = 4_000_000_000;

/// The control processes in the order in which one dispatcher tries them.
pub struct ServerOrder {
    servers: Vec<SocketAddr>,
    next: usize,
    /// Failures since a process served last.
    failures: usize,
    rng: Pcg64Mcg,
}

impl ServerOrder {
    /// `servers` holds one at least.
    pub fn new(mut servers: Vec<SocketAddr>, seed: u64) -> ServerOrder {
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
    pub fn current(&self) -> SocketAddr {
        self.servers[self.next]
    }

    /// How long to wait before the first call.
    pub fn first_rest(&mut self, longest: Nanos) -> Nanos {
        self.rng.random_range(0..=longest.min(FIRST_REST_WITHIN))
    }

    /// The current process has failed: the next one's turn comes after this long. Each is tried once before rests grow.
    pub fn failed(&mut self) -> Nanos {
        self.next = (self.next + 1) % self.servers.len();
        let rounds = (self.failures / self.servers.len()).min(16) as u32;
        self.failures += 1;
        let longest = (FIRST_REST_WITHIN << rounds).min(LONGEST_REST);
        let shortest = if rounds == 0 { 0 } else { longest / 2 };
        self.rng.random_range(shortest..=longest)
    }

    /// The current process serves.
    pub fn served(&mut self) {
        self.failures = 0;
    }
}
