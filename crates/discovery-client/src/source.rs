//! Where a watch gets its configuration from: one discovery server, or several control processes.

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

    /// The server that is asked now.
    pub(crate) fn address(&self) -> SocketAddr {
        match self {
            Source::Plain(source) => source.address(),
            Source::Scoped(source) => source.address(),
        }
    }

    /// The request for a watch from what is known on.
    pub(crate) fn request(&mut self) -> WatchRequest {
        match self {
            Source::Plain(source) => source.request(),
            Source::Scoped(source) => source.request(),
        }
    }

    /// How long to wait before the first call.
    pub(crate) fn first_delay(&mut self, drain_grace: Nanos) -> Nanos {
        match self {
            Source::Plain(source) => source.first_delay(drain_grace),
            Source::Scoped(source) => source.first_delay(drain_grace),
        }
    }

    /// How long to wait after a call that has failed now, and was alive last at `alive_at`.
    pub(crate) fn retry_delay(&mut self, now: Nanos, alive_at: Nanos) -> Nanos {
        match self {
            Source::Plain(source) => source.retry_delay(now - alive_at),
            Source::Scoped(source) => source.retry_delay(),
        }
    }

    /// A line has been received from the current server.
    pub(crate) fn serves(&mut self) {
        match self {
            Source::Plain(source) => source.serves(),
            Source::Scoped(source) => source.serves(),
        }
    }

    /// A call is rejected with this status.
    pub(crate) fn rejected(&mut self, status: u16) {
        match self {
            Source::Plain(_) => {}
            Source::Scoped(source) => source.rejected(status),
        }
    }

    /// How long the first line may take once the connection is up.
    pub(crate) fn first_line_timeout(&self) -> Nanos {
        match self {
            Source::Plain(_) => FIRST_LINE_TIMEOUT,
            Source::Scoped(_) => SCOPED_SILENCE_TIMEOUT,
        }
    }

    /// How long a watch that serves may be without another line.
    pub(crate) fn silence_timeout(&self) -> Nanos {
        match self {
            Source::Plain(_) => SILENCE_TIMEOUT,
            Source::Scoped(_) => SCOPED_SILENCE_TIMEOUT,
        }
    }

    /// How long a call whose first line is late stays open beside others, from when it was made; none where it fails at
    /// once.
    pub(crate) fn late_call_timeout(&self) -> Option<Nanos> {
        match self {
            Source::Plain(_) => Some(LATE_CALL_TIMEOUT),
            Source::Scoped(_) => None,
        }
    }
}
