//! How a run is set up, and the faults that it is played under.

use std::sync::atomic::AtomicBool;
use std::time::Duration;

const NOTICE_WINDOW: Duration = Duration::from_secs(8);

/// How a world is set up.
#[derive(Clone)]
pub struct Scenario {
    /// Decides every draw, of faults and of answers.
    pub seed: u64,
    /// The lifetimes that clients ask for, in milliseconds.
    pub lifetimes_ms: std::ops::Range<u64>,
    /// The window of the class whose repeats are dropped.
    pub window: Duration,
    /// Of a hundred requests, how many are delivered, answered with a Retry-After, answered with an error, and closed.
    pub answers: [u32; 4],
    /// Between two messages of a client.
    pub pause: Duration,
    /// Connections that are opened and never used.
    pub idle_clients: usize,
}

impl Scenario {
    /// A scenario under these faults, as far as they are part of its setting.
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

    /// A scenario whose times leave room for several attempts.
    pub fn new(seed: u64) -> Scenario {
        Scenario {
            seed,
            lifetimes_ms: 1_500..4_000,
            window: NOTICE_WINDOW,
            answers: [72, 8, 8, 12],
            pause: Duration::from_millis(100),
            idle_clients: 0,
        }
    }
}

/// The faults that a run is played under.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The wall clock is stepped back and forth.
    WallClockSteps,
    /// Writes to the state folder fail for short times.
    FailingWrites,
    /// Kills come in the middle of a write.
    KillDuringWrite,
    /// Calls on sockets fail, or are interrupted or short.
    SocketErrors,
    /// Discovery answers nothing for a while.
    DiscoverySilent,
    /// Endpoints take calls and never answer, for a while.
    Hang,
    /// Endpoints answer half and close.
    TruncatedResponses,
    /// Endpoints close connections between calls.
    CloseIdle,
    /// The process is suspended for short times.
    ProcessPause,
    /// Clients stop in the middle of a request and stay.
    PartialRequests,
    /// Messages have lifetimes of a few milliseconds up.
    ShortLifetimes,
    /// The idempotency window is shorter than most lifetimes.
    ShortWindow,
    /// More connections are open than the dispatcher admits.
    ConnectionLimit,
}

impl Fault {
    /// Every fault, for runs that draw theirs.
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
}

/// What the endpoints and the platform do beside answering.
#[derive(Default)]
pub struct FaultSwitches {
    /// Endpoints take calls and never answer.
    pub hang: AtomicBool,
    /// Endpoints end connections that no call is on.
    pub close_idle: AtomicBool,
    /// Endpoints answer half and close.
    pub truncate_responses: AtomicBool,
    /// Discovery answers nothing; notices are answered all the same.
    pub discovery_silent: AtomicBool,
    /// Clients stop in the middle of a request and stay.
    pub send_partial_requests: AtomicBool,
}
