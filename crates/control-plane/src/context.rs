//! The state that the event loop passes to the modules that handle an event.

use crate::connections::Connections;
use crate::metrics::Metrics;
use crate::replica::Replica;
use bellsill_net::Nanos;

/// The state shared by the client handling, the leader and the follower. Owned by the event loop.
pub(crate) struct Context {
    pub(crate) connections: Connections,
    pub(crate) replica: Replica,
    pub(crate) metrics: Metrics,
    pub(crate) now: Nanos,
}
