//! Access to the connections and timers of the event loop, for the modules that own connections.

use crate::connection::ConnectionTable;
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::Nanos;

/// The connections and timers, borrowed for one call.
pub(crate) struct Io<'a> {
    /// Time of the event being handled.
    pub(crate) now: Nanos,
    pub(crate) connections: &'a mut ConnectionTable,
    pub(crate) timers: &'a mut TimerQueue<Timer>,
}
