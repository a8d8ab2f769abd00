//! The timers of the event loop.

use crate::connection::ConnectionId;
use crate::message_slot::MessageSlot;
use bellsill_core::interface::Nanos;

/// How often is looked for what another process that shares the state folder has left or changed there.
pub(crate) const SHARED_STATE_CHECK_INTERVAL: Nanos = 100_000_000;
/// Between status lines.
pub(crate) const STATUS_INTERVAL: Nanos = 10_000_000_000;

/// What is to be done at a time. Of timers that expire at the same time the first in this order comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The decisions asked to be woken up.
    Wakeup,
    /// An attempt has reached its deadline.
    Attempt(MessageSlot),
    /// A connection has been connecting, idle, or without an expected answer for too long.
    Connection(ConnectionId),
    /// The watch of the configuration is to be opened again.
    WatchReconnect,
    /// Notifications that failed are to be sent again.
    NotificationRetry,
    /// Clients may be accepted again.
    AcceptClients,
    /// A client has input left from its last turn.
    ReadClient(ConnectionId),
    /// The current phase of the shutdown is over.
    ShutdownPhase,
    /// The status line is to be logged.
    StatusLog,
    /// A process that shared the state folder may have left a journal.
    AdoptJournals,
    /// Another process that shares the state folder may have changed the list of disabled endpoints.
    DisabledEndpoints,
    /// Records that could not be written to the journal are to be written.
    JournalRetry,
    /// Destinations are to be looked up again.
    LookupRetry,
    /// The scope file is to be saved.
    SaveScope,
}
