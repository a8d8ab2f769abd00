//! What the owners of connections work with: the sockets and the timers of the event loop.

use crate::connection::ConnectionTable;
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::Nanos;

/// The sockets and timers, for the time of one call.
pub(crate) struct Io<'a> {
    /// The time of the event that is handled.
    pub(crate) now: Nanos,
    /// All connections.
    pub(crate) connections: &'a mut ConnectionTable,
    /// All timers.
    pub(crate) timers: &'a mut TimerQueue<Timer>,
}
