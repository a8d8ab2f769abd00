//! The source of a watch's configuration: one discovery server, or one of several control processes.

use crate::backoff::{FIRST_LINE_TIMEOUT, SILENCE_TIMEOUT};
use crate::call::WatchRequest;
use crate::plain_source::{LATE_CALL_TIMEOUT, PlainSource};
use crate::scoped_source::{SCOPED_SILENCE_TIMEOUT, ScopedSource};
use bellsill_net::Nanos;
use std::net::SocketAddr;

pub(crate) enum Source {
    Plain(PlainSource),
    Scoped(Box<ScopedSource>),
}

impl Source {
    pub(crate) fn plain_mut(&mut self) -> Option<&mut PlainSource> {
        match self {
            Source::Plain(source) => Some(source),
            Source::Scoped(_) => None,
        }
    }

    pub(crate) fn scoped(&self) -> Option<&ScopedSource> {
        match self {
            Source::Plain(_) => None,
            Source::Scoped(source) => Some(source),
        }
    }

    pub(crate) fn scoped_mut(&mut self) -> Option<&mut ScopedSource> {
        match self {
            Source::Plain(_) => None,
            Source::Scoped(source) => Some(source),
        }
    }

    /// The server that is connected to now, or was last.
    pub(crate) fn address(&self) -> SocketAddr {
        match self {
            Source::Plain(source) => source.address(),
            Source::Scoped(source) => source.address(),
        }
    }

    /// The version up to which the list is known.
    pub(crate) fn version(&self) -> u64 {
        match self {
            Source::Plain(source) => source.version(),
            Source::Scoped(source) => source.list().version().0,
        }
    }

    /// The request for a watch that continues from the known state.
    pub(crate) fn request(&mut self) -> WatchRequest {
        match self {
            Source::Plain(source) => source.request(),
            Source::Scoped(source) => source.request(),
        }
    }

    /// The delay before the first call.
    pub(crate) fn initial_delay(&mut self, drain_grace: Nanos) -> Nanos {
        match self {
            Source::Plain(source) => source.initial_delay(drain_grace),
            Source::Scoped(source) => source.initial_delay(drain_grace),
        }
    }

    /// The delay before the next call, after one that failed at `now` and was last active at `last_active_at`.
    pub(crate) fn retry_delay(&mut self, now: Nanos, last_active_at: Nanos) -> Nanos {
        match self {
            Source::Plain(source) => source.retry_delay(now - last_active_at),
            Source::Scoped(source) => source.retry_delay(),
        }
    }

    /// Notes that the current server serves the watch, which resets the delays.
    pub(crate) fn mark_serving(&mut self) {
        match self {
            Source::Plain(source) => source.mark_serving(),
            Source::Scoped(source) => source.mark_serving(),
        }
    }

    /// Logs that the current server rejected a call with this status.
    pub(crate) fn log_rejection(&mut self, status: u16) {
        match self {
            Source::Plain(_) => {}
            Source::Scoped(source) => source.log_rejection(status),
        }
    }

    /// The time limit from the established connection to the first line.
    pub(crate) fn first_line_timeout(&self) -> Nanos {
        match self {
            Source::Plain(_) => FIRST_LINE_TIMEOUT,
            Source::Scoped(_) => SCOPED_SILENCE_TIMEOUT,
        }
    }

    /// The time limit from one line to the next.
    pub(crate) fn silence_timeout(&self) -> Nanos {
        match self {
            Source::Plain(_) => SILENCE_TIMEOUT,
            Source::Scoped(_) => SCOPED_SILENCE_TIMEOUT,
        }
    }

    /// The time limit, from the start of the call, for a call whose first line is late and that stays open while others
    /// are made. `None` if such a call fails at once.
    pub(crate) fn late_call_timeout(&self) -> Option<Nanos> {
        match self {
            Source::Plain(_) => Some(LATE_CALL_TIMEOUT),
            Source::Scoped(_) => None,
        }
    }
}
