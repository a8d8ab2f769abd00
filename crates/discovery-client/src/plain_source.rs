//! The one discovery server of a plain watch.

use crate::backoff::Backoff;
use crate::call::{LineLimit, OverlongLine, WatchRequest};
use crate::documents::DocumentReader;
use bellsill_net::{Nanos, http};
use std::net::SocketAddr;

/// The longest line of a plain watch that is read, in bytes; a longer one is skipped.
pub const MAX_PLAIN_LINE_BYTES: usize = 8 * 1024 * 1024;
/// How long a call of a plain watch whose first line is late stays open while others are made, from when it was made. A
/// discovery server that serves few calls a second answers them in turn, and serves an abandoned call all the same: if
/// each call were abandoned before its turn, nobody would get the list.
pub const LATE_CALL_TIMEOUT: Nanos = 9_000_000_000;

pub(crate) struct PlainSource {
    address: SocketAddr,
    /// The version of the last document that was applied; 0 before the first.
    version: u64,
    backoff: Backoff,
}

impl PlainSource {
    pub(crate) fn new(address: SocketAddr, backoff: Backoff) -> PlainSource {
        PlainSource {
            address,
            version: 0,
            backoff,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn applied(&mut self, version: u64) {
        self.version = version;
    }

    /// The versions of another server are its own: it is asked for everything.
    pub(crate) fn relocate(&mut self, address: SocketAddr) {
        self.address = address;
        self.version = 0;
        self.backoff.reset();
    }

    pub(crate) fn request(&self) -> WatchRequest {
        WatchRequest {
            address: self.address,
            bytes: http::watch_request(self.address, self.version).into_bytes(),
            documents: DocumentReader::indented(MAX_PLAIN_LINE_BYTES),
            line_limit: LineLimit {
                bytes: MAX_PLAIN_LINE_BYTES,
                overlong: OverlongLine::Skip,
            },
        }
    }

    pub(crate) fn first_delay(&mut self, drain_grace: Nanos) -> Nanos {
        self.backoff.first_delay(drain_grace)
    }

    /// How long to wait after a call that took `spent` to fail.
    pub(crate) fn retry_delay(&mut self, spent: Nanos) -> Nanos {
        self.backoff.next_delay(spent)
    }

    pub(crate) fn serves(&mut self) {
        self.backoff.reset();
    }
}
