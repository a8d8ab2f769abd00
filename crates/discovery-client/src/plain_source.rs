//! The one discovery server of a plain watch.

use crate::backoff::Backoff;
use crate::call::{LineLimit, OverlongLine, WatchRequest};
use crate::documents::DocumentReader;
use bellsill_net::{Nanos, http};
use std::net::SocketAddr;

/// The length limit of a line of a plain watch. Longer lines are skipped.
pub const MAX_PLAIN_LINE_BYTES: usize = 8 * 1024 * 1024;
/// The time limit, from the start of the call, for a call of a plain watch whose first line is late and that stays open
/// while others are made. A discovery server that serves only a few calls per second queues them and also serves those
/// whose client has given up. If every call were closed while it is queued, no dispatcher would receive the list.
pub const LATE_CALL_TIMEOUT: Nanos = 9_000_000_000;

pub(crate) struct PlainSource {
    address: SocketAddr,
    /// The version of the last applied document; 0 if there is none.
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

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Changes the address. Each server counts its own versions, so the complete list is requested from the new one.
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

    pub(crate) fn initial_delay(&mut self, drain_grace: Nanos) -> Nanos {
        self.backoff.first_delay(drain_grace)
    }

    /// The delay before the next call, after one that took `elapsed` to fail.
    pub(crate) fn retry_delay(&mut self, elapsed: Nanos) -> Nanos {
        self.backoff.next_delay(elapsed)
    }

    pub(crate) fn mark_serving(&mut self) {
        self.backoff.reset();
    }
}
