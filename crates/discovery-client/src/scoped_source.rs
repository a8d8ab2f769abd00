//! The control processes of a scoped watch, the list received from them, and the lookups at them.

use crate::applied::Applied;
use crate::call::{CallId, CallIds, LineLimit, OverlongLine, WatchRequest};
use crate::command::{Command, Received, Timer};
use crate::documents::DocumentReader;
use crate::lookup::{LOOKUP_TIMEOUT, Lookup, Lookups, MAX_LOOKUP_DESTINATIONS};
use crate::scoped_list::ScopedList;
use crate::server_order::ServerOrder;
use bellsill_directory::line::LONGEST_LINE;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::{Nanos, http};
use std::net::SocketAddr;

/// The length limit of a line of a scoped watch. Twice the limit that control processes keep to, which leaves space for
/// fields that later versions add.
pub const MAX_SCOPED_LINE_BYTES: usize = 2 * LONGEST_LINE;
/// A scoped watch fails after this time without a complete line: three intervals of the heartbeats, which are sent
/// every 500 ms.
pub const SCOPED_SILENCE_TIMEOUT: Nanos = 1_500_000_000;

/// The options of a scoped watch.
#[derive(Clone, Debug)]
pub struct ScopedOptions {
    /// The dispatcher's name. Must consist of characters that need no escaping in a URL query.
    pub dispatcher: String,
    /// The control processes. Must not be empty.
    pub servers: Vec<SocketAddr>,
    /// Determines the order of the servers and the delays.
    pub seed: u64,
}

pub(crate) struct ScopedSource {
    dispatcher: String,
    servers: ServerOrder,
    list: ScopedList,
    lookups: Lookups,
    /// The status of the last rejected call; `None` once a call has served.
    last_rejection: Option<u16>,
}

impl ScopedSource {
    pub(crate) fn new(options: ScopedOptions, list: ScopedList) -> ScopedSource {
        ScopedSource {
            dispatcher: options.dispatcher,
            servers: ServerOrder::new(options.servers, options.seed),
            list,
            lookups: Lookups::new(options.seed),
            last_rejection: None,
        }
    }

    pub(crate) fn list(&self) -> &ScopedList {
        &self.list
    }

    pub(crate) fn list_mut(&mut self) -> &mut ScopedList {
        &mut self.list
    }

    pub(crate) fn lookups(&self) -> &Lookups {
        &self.lookups
    }

    pub(crate) fn lookups_mut(&mut self) -> &mut Lookups {
        &mut self.lookups
    }

    /// The control process that is connected to now, or was last.
    pub(crate) fn address(&self) -> SocketAddr {
        self.servers.current()
    }

    pub(crate) fn request(&mut self) -> WatchRequest {
        let address = self.servers.current();
        let query = self.list.watch_query(&self.dispatcher);
        self.list.watch_requested();
        WatchRequest {
            address,
            bytes: http::get_request(address, &format!("/api/targets?follow=1&{query}"))
                .into_bytes(),
            documents: DocumentReader::Lines,
            line_limit: LineLimit {
                bytes: MAX_SCOPED_LINE_BYTES,
                overlong: OverlongLine::Fail,
            },
        }
    }

    pub(crate) fn initial_delay(&mut self, drain_grace: Nanos) -> Nanos {
        self.servers.initial_delay(drain_grace / 2)
    }

    /// Moves to the next control process after the current one has failed, and returns the delay before the call.
    pub(crate) fn retry_delay(&mut self) -> Nanos {
        self.servers.advance()
    }

    pub(crate) fn mark_serving(&mut self) {
        self.servers.mark_serving();
        self.last_rejection = None;
    }

    /// Logs that a control process rejected the watch. A status is not logged again while it repeats, until a call
    /// serves.
    pub(crate) fn log_rejection(&mut self, status: u16) {
        if self.last_rejection.replace(status) == Some(status) {
            return;
        }
        let (server, dispatcher) = (self.servers.current(), &self.dispatcher);
        match status {
            404 => log::warn!(
                "configuration: {server} does not know dispatcher `{dispatcher}`; declare it there; trying the \
                 next control process"
            ),
            _ => log::warn!(
                "configuration: {server} rejected the watch request with status {status}; trying the next \
                 control process"
            ),
        }
    }

    /// Starts a lookup at the server of the watch, if destinations are pending and no other lookup is in flight.
    pub(crate) fn look_up(
        &mut self,
        now: Nanos,
        server: SocketAddr,
        ids: &mut CallIds,
    ) -> Vec<Command> {
        if !self.lookups.is_idle() {
            return Vec::new();
        }
        let destinations: Vec<u64> = self.list.pending().take(MAX_LOOKUP_DESTINATIONS).collect();
        if destinations.is_empty() {
            return Vec::new();
        }
        let evicted = self.list.evicted();
        let target = ScopedList::lookup_target(&self.dispatcher, &destinations, &evicted);
        let call = ids.assign();
        self.lookups.start(Lookup::new(call, destinations, evicted));
        vec![
            Command::Connect {
                call,
                address: server,
                request: http::get_request(server, &target).into_bytes(),
            },
            Command::SetTimer(Timer::Call(call), now + LOOKUP_TIMEOUT),
        ]
    }

    pub(crate) fn is_lookup(&self, call: CallId) -> bool {
        self.lookups
            .in_flight()
            .is_some_and(|lookup| lookup.id() == call)
    }

    /// Consumes bytes received on the lookup in flight.
    pub(crate) fn lookup_received(
        &mut self,
        now: Nanos,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Received {
        let Some(lookup) = self.lookups.in_flight_mut() else {
            return Received::default();
        };
        let line = match lookup.read(input, ended) {
            Ok(Some(line)) => line,
            Ok(None) => return Received::default(),
            Err(error) => {
                log::debug!("configuration: lookup failed, will retry: {error:?}");
                return self.lookup_failed(now);
            }
        };
        match self.list.apply_lookup(lookup.destinations(), line) {
            Ok(looked_up) => {
                self.list.mark_released(lookup.evicted());
                finished_lookup(self.lookups.finish(), looked_up)
            }
            Err(error) => {
                log::warn!("configuration: rejected the response to a lookup, will retry: {error}");
                self.lookup_failed(now)
            }
        }
    }

    fn lookup_failed(&mut self, now: Nanos) -> Received {
        finished_lookup(self.lookups.fail(now), Applied::default())
    }
}

fn finished_lookup(commands: Vec<Command>, looked_up: Applied) -> Received {
    Received {
        documents: Vec::new(),
        commands,
        looked_up,
    }
}
