//! What the loop lends to the roles for one step.

use crate::connections::Connections;
use crate::metrics::Metrics;
use crate::replica::Replica;
use bellsill_net::Nanos;

/// The parts of a process that more than one role works with. The loop owns it.
pub(crate) struct Context {
    pub(crate) connections: Connections,
    pub(crate) replica: Replica,
    pub(crate) metrics: Metrics,
    pub(crate) now: Nanos,
}
