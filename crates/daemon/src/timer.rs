//! The timers of the event loop.

use crate::connection::ConnectionId;
use crate::delivery::message::MessageSlot;
use crate::discovery::WatchTimer;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The decisions asked to be woken.
    Wakeup,
    /// An attempt has had its time.
    Attempt(MessageSlot),
    /// A connection has stood so for too long: rising, idle, or without the answer to notifications.
    Connection(ConnectionId),
    /// Discovery is to be connected to again.
    WatchReconnect,
    /// Notifications that failed are to be sent again.
    NotificationRetry,
    /// Clients may be let in again.
    AcceptClients,
    /// A client has sent more than was its turn.
    ReadClient(ConnectionId),
    /// The next step of leaving.
    ShutdownPhase,
    /// A line on how things stand.
    StatusLog,
    /// The journal of a process that still ends beside this one is looked for.
    AdoptJournals,
    /// The list of endpoints held out may have been written by a process beside this one.
    DisabledEndpoints,
    /// What could not be written to the journal is to be written.
    JournalRetry,
    /// Destinations are to be looked up again.
    LookupRetry,
    /// What is kept of the scoped configuration is to be saved.
    SaveScope,
}

impl From<WatchTimer> for Timer {
    fn from(timer: WatchTimer) -> Timer {
        match timer {
            WatchTimer::Reconnect => Timer::WatchReconnect,
            WatchTimer::LookupRetry => Timer::LookupRetry,
            WatchTimer::Connection(conn) => Timer::Connection(conn),
        }
    }
}
