//! The calls on sockets that failed for a moment and are repeated after a short delay.
//!
//! The poller is in one-shot mode and reports no readiness after a failed call, so a connection whose call is not repeated
//! would never be handled again.

use super::id::ConnectionId;
use std::collections::BTreeSet;
use std::time::Duration;

/// The delay before a failed call is repeated.
pub(super) const REPEAT_DELAY: Duration = Duration::from_millis(5);

/// A source of events other than a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    ClientListener,
    AdminListener,
    Signals,
}

/// The connections and other sources that have a call to repeat.
#[derive(Default)]
pub(super) struct PendingRepeats {
    connections: BTreeSet<ConnectionId>,
    sources: BTreeSet<Source>,
}

impl PendingRepeats {
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty() && self.sources.is_empty()
    }

    pub(super) fn add_connection(&mut self, id: ConnectionId) {
        self.connections.insert(id);
    }

    pub(super) fn add_source(&mut self, source: Source) {
        self.sources.insert(source);
    }

    /// Forgets a connection that is closed.
    pub(super) fn remove_connection(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains(&id)
    }

    pub(super) fn take_connections(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.connections)
    }

    pub(super) fn take_sources(&mut self) -> BTreeSet<Source> {
        std::mem::take(&mut self.sources)
    }
}
