//! The timers of the event loop.

use crate::connection::ConnectionId;
use crate::message_slot::MessageSlot;
use bellsill_core::interface::Nanos;

/// Interval of the checks for files that another process sharing the state directory has left or changed there.
pub(crate) const SHARED_STATE_CHECK_INTERVAL: Nanos = 100_000_000;
/// Interval of the checks for journals without an owner while no other process was seen to share the state directory.
pub(crate) const UNSHARED_STATE_CHECK_INTERVAL: Nanos = 400_000_000;
/// Delay before a reload is repeated whose file could not be read.
pub(crate) const RELOAD_RETRY_INTERVAL: Nanos = 50_000_000;
/// Interval of the status lines in the log.
pub(crate) const STATUS_INTERVAL: Nanos = 10_000_000_000;

/// The timers of the event loop. Timers that expire at the same time fire in the order of this enum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The decision logic asked to be called at this time.
    Wakeup,
    /// An attempt has reached its deadline.
    Attempt(MessageSlot),
    /// A connection has been connecting, idle, or without expected input for too long.
    Connection(ConnectionId),
    /// The watch of the configuration is due to be reopened.
    WatchReconnect,
    /// Failed notifications are due to be sent again.
    NotificationRetry,
    /// A reload whose file could not be read is due to be repeated.
    Reload,
    /// The pause in accepting clients is over.
    AcceptClients,
    /// A client's connection may have unhandled input.
    ReadClient(ConnectionId),
    /// The current phase of the shutdown is over.
    ShutdownPhase,
    /// The status line is due.
    StatusLog,
    /// The state directory is due to be checked for journals left by processes that shared it.
    AdoptJournals,
    /// The list of disabled endpoints is due to be checked for changes by another process that shares the state
    /// directory.
    DisabledEndpoints,
    /// Journal records whose write failed are due to be written again.
    JournalRetry,
    /// Destinations are due to be looked up again.
    LookupRetry,
    /// The scope file is due to be saved, or the list of which an update could not be recorded.
    SaveConfiguration,
}
