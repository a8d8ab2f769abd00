//! The parameters of a soak run, and the faults that it can inject.

use std::sync::atomic::AtomicBool;
use std::time::Duration;

const IDEMPOTENCY_WINDOW: Duration = Duration::from_secs(8);

/// The parameters of a soak run.
#[derive(Clone)]
pub struct Scenario {
    /// The seed of all random choices, both of faults and of responses.
    pub seed: u64,
    /// The range of message lifetimes, in milliseconds.
    pub lifetimes_ms: std::ops::Range<u64>,
    /// The idempotency window of the class whose endpoints drop duplicates.
    pub window: Duration,
    /// The percentages of calls that are accepted, get a Retry-After, get an error, and are closed without a response.
    pub response_shares: [u32; 4],
    /// The mean time between two messages of a client.
    pub pause: Duration,
    /// The number of clients that submit messages.
    pub clients: u64,
    /// The number of connections that are opened and never used.
    pub idle_clients: usize,
    /// The percentage of messages for which a client opens a new connection.
    pub new_connection_share: u32,
    /// The range of the sizes of message bodies, in bytes.
    pub body_bytes: std::ops::Range<usize>,
    /// The disk quota in bytes; `None` is that of the example configuration.
    pub disk_bytes: Option<u64>,
}

impl Scenario {
    /// Creates a scenario with those of the faults that are part of the parameters.
    pub fn with_faults(seed: u64, faults: &[Fault]) -> Scenario {
        let mut scenario = Scenario::new(seed);
        for fault in faults {
            match fault {
                Fault::ShortLifetimes => scenario.lifetimes_ms = 5..400,
                Fault::ShortWindow => scenario.window = Duration::from_secs(1),
                Fault::ConnectionLimit => scenario.idle_clients = 400,
                _ => {}
            }
        }
        scenario
    }

    /// Creates a scenario whose lifetimes leave time for several attempts.
    pub fn new(seed: u64) -> Scenario {
        Scenario {
            seed,
            lifetimes_ms: 1_500..4_000,
            window: IDEMPOTENCY_WINDOW,
            response_shares: [72, 8, 8, 12],
            pause: Duration::from_millis(100),
            clients: 16,
            idle_clients: 0,
            new_connection_share: 0,
            body_bytes: 9..10,
            disk_bytes: None,
        }
    }
}

/// A kind of fault that a soak run injects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The wall clock is stepped forwards and backwards.
    WallClockSteps,
    /// Writes to the state directory fail for short periods.
    FailingWrites,
    /// The process is killed in the middle of a write.
    KillDuringWrite,
    /// System calls on sockets fail, are interrupted, or transfer only part of the data.
    SocketErrors,
    /// Discovery does not respond for some time.
    DiscoverySilent,
    /// For some time, endpoints read calls but do not respond.
    Hang,
    /// Endpoints close connections in the middle of a response.
    TruncatedResponses,
    /// Endpoints close connections between calls.
    CloseIdle,
    /// The process is suspended for short periods.
    ProcessPause,
    /// Clients send part of a request and keep the connection open.
    PartialRequests,
    /// Message lifetimes start at a few milliseconds.
    ShortLifetimes,
    /// The idempotency window is shorter than most lifetimes.
    ShortWindow,
    /// More connections are open than the dispatcher admits.
    ConnectionLimit,
    /// For some time, a few of all system calls fail with an error that the system documents for them.
    TransientCalls,
    /// For some time, every call fails that opens, removes, renames or truncates a file of the state directory.
    FailingDirectory,
}

impl Fault {
    /// The faults of runs of one dispatcher, which draw two of them by their seed.
    pub const ALL: [Fault; 13] = [
        Fault::WallClockSteps,
        Fault::FailingWrites,
        Fault::KillDuringWrite,
        Fault::SocketErrors,
        Fault::DiscoverySilent,
        Fault::Hang,
        Fault::TruncatedResponses,
        Fault::CloseIdle,
        Fault::ProcessPause,
        Fault::PartialRequests,
        Fault::ShortLifetimes,
        Fault::ShortWindow,
        Fault::ConnectionLimit,
    ];

    /// All faults, for runs of a fleet.
    pub fn for_fleet() -> Vec<Fault> {
        let added = [Fault::TransientCalls, Fault::FailingDirectory];
        Fault::ALL.into_iter().chain(added).collect()
    }
}

/// Switches for the faults of endpoints, platform and clients.
#[derive(Default)]
pub struct FaultSwitches {
    /// Endpoints read calls but do not respond.
    pub hang: AtomicBool,
    /// The endpoints of one of the two destinations read calls but do not respond.
    pub hang_one_destination: AtomicBool,
    /// Endpoints close connections between calls.
    pub close_idle: AtomicBool,
    /// Endpoints close connections in the middle of a response.
    pub truncate_responses: AtomicBool,
    /// Discovery does not respond. Notifications still get responses.
    pub discovery_silent: AtomicBool,
    /// Clients send part of a request and keep the connection open.
    pub send_partial_requests: AtomicBool,
}
