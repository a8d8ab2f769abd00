//! The watch: decides when to make a call, which of several calls serves, and when a call has failed.

use crate::applied::Applied;
use crate::backoff::{Backoff, CONNECT_TIMEOUT};
use crate::call::{Call, CallError, CallId, CallIds};
use crate::call_table::CallTable;
use crate::command::{Command, LookupRequested, Received, Timer};
use crate::counters::Counters;
use crate::error::{CacheFull, ScopedLineError};
use crate::plain_source::PlainSource;
use crate::response::ResponseError;
use crate::scoped_list::ScopedList;
use crate::scoped_source::ScopedSource;
use crate::source::Source;
use bellsill_net::Nanos;
use bellsill_net::ring_buffer::RingBuffer;
use std::net::SocketAddr;

pub use crate::plain_source::{LATE_CALL_TIMEOUT, MAX_PLAIN_LINE_BYTES};
use crate::scoped_source::ScopedOptions;
pub use crate::scoped_source::{MAX_SCOPED_LINE_BYTES, SCOPED_SILENCE_TIMEOUT};

/// A watch on the configuration.
pub struct Watch {
    source: Source,
    /// Invariant: either one of the calls is not late, or [`Timer::Reconnect`] is set.
    calls: CallTable,
    ids: CallIds,
    counters: Counters,
}

impl Watch {
    /// Creates a watch on the complete list of one discovery server.
    pub fn plain(address: SocketAddr, backoff: Backoff) -> Watch {
        Watch::new(Source::Plain(PlainSource::new(address, backoff)))
    }

    /// Creates a watch on one dispatcher's part of the configuration, with `list` as the known state.
    pub fn scoped(options: ScopedOptions, list: ScopedList) -> Watch {
        let source = ScopedSource::new(options, list);
        Watch::new(Source::Scoped(Box::new(source)))
    }

    fn new(source: Source) -> Watch {
        Watch {
            source,
            calls: CallTable::default(),
            ids: CallIds::default(),
            counters: Counters::default(),
        }
    }

    /// The counters of calls and lookups.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters;
        if let Some(source) = self.source.scoped() {
            counters.lookups = source.lookups().made();
            counters.failed_lookups = source.lookups().failed();
        }
        counters
    }

    /// The list of a scoped watch; `None` for a plain watch.
    pub fn list(&self) -> Option<&ScopedList> {
        self.source.scoped().map(ScopedSource::list)
    }

    /// Mutable access to the list of a scoped watch.
    pub fn list_mut(&mut self) -> Option<&mut ScopedList> {
        self.source.scoped_mut().map(ScopedSource::list_mut)
    }

    /// The call that serves the watch, and its server, if any.
    pub fn serving(&self) -> Option<(CallId, SocketAddr)> {
        Some((self.calls.serving()?, self.source.address()))
    }

    /// The server that is connected to now, or was last.
    pub fn address(&self) -> SocketAddr {
        self.source.address()
    }

    /// The version of the list: the last one set, or that of the list of a scoped watch.
    pub fn version(&self) -> u64 {
        self.source.version()
    }

    /// Starts the watch. Until the first response the dispatcher routes by the configuration that it started with, so
    /// the first call is made within half of `drain_grace` at the latest.
    pub fn start(&mut self, now: Nanos, drain_grace: Nanos) -> Vec<Command> {
        match self.source.initial_delay(drain_grace) {
            0 => self.connect(now),
            delay => vec![Command::SetTimer(Timer::Reconnect, now + delay)],
        }
    }

    /// Reports that the connection of a call is established.
    pub fn connected(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        // The timeout of a lookup covers its connection and its response, and is set already.
        let Some(watch_call) = self.calls.get_mut(call) else {
            return Vec::new();
        };
        watch_call.connected();
        let timeout = self.source.first_line_timeout();
        vec![Command::SetTimer(Timer::Call(call), now + timeout)]
    }

    /// Reports that a call has failed: its connection could not be established or was lost, or the received data is
    /// unusable.
    pub fn call_failed(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        if self.is_lookup(call) {
            return self.lookup_failed(now);
        }
        let Some(watch_call) = self.calls.get(call) else {
            return Vec::new();
        };
        let (last_active_at, late) = (watch_call.last_active_at(), watch_call.is_late());
        if watch_call.is_serving() {
            self.counters.broken += 1;
        } else {
            self.counters.failed += 1;
        }
        let mut commands = self.calls.close(call);
        // The next watch request names the destinations that are known; pending ones are looked up at the next server.
        if let Some(source) = self.source.scoped_mut() {
            commands.extend(source.lookups_mut().cancel());
        }
        if !late {
            commands.push(self.schedule_reconnect(now, last_active_at));
        }
        commands
    }

    /// Reports that a timer has fired.
    pub fn timer_fired(&mut self, now: Nanos, timer: Timer) -> Vec<Command> {
        match timer {
            Timer::Reconnect => self.connect(now),
            Timer::Call(call) if self.is_lookup(call) => self.lookup_failed(now),
            Timer::Call(call) => self.call_timed_out(now, call),
            Timer::LookupRetry => {
                if let Some(source) = self.source.scoped_mut() {
                    source.lookups_mut().backoff_elapsed();
                }
                self.look_up(now)
            }
        }
    }

    /// Changes the address of the discovery server of a plain watch, and connects to it at once. The new server counts
    /// its own versions, so the complete list is requested: changes with versions up to the last one of the old server
    /// would be missed otherwise. The servers of a scoped watch are fixed.
    pub fn relocate(&mut self, now: Nanos, address: SocketAddr) -> Vec<Command> {
        let Some(source) = self.source.plain_mut() else {
            return Vec::new();
        };
        if address == source.address() {
            return Vec::new();
        }
        source.relocate(address);
        let mut commands = self.calls.close_all();
        commands.push(Command::ClearTimer(Timer::Reconnect));
        commands.extend(self.connect(now));
        commands
    }

    /// Consumes bytes received on a call. `ended` is set if no more bytes will follow. The commands may be executed
    /// before the documents are applied.
    pub fn received(
        &mut self,
        now: Nanos,
        call: CallId,
        input: &mut RingBuffer,
        ended: bool,
    ) -> Received {
        if self.is_lookup(call) {
            return self.lookup_received(now, input, ended);
        }
        let Some(watch_call) = self.calls.get_mut(call) else {
            return Received::default();
        };
        let read = match watch_call.read(input, ended) {
            Ok(read) => read,
            Err(error) => {
                self.count_error(error);
                return Received {
                    commands: self.call_failed(now, call),
                    ..Received::default()
                };
            }
        };
        let mut commands = Vec::new();
        if read.has_line {
            commands.extend(self.promote_call(now, call));
        }
        if read.ended {
            commands.extend(self.call_failed(now, call));
        }
        Received {
            documents: read.documents,
            commands,
            looked_up: Applied::default(),
        }
    }

    /// Requests the lookup of a destination that the list of a scoped watch does not contain. Cached destinations for
    /// which `in_use` returns true are not evicted to make space for it.
    pub fn request_lookup(
        &mut self,
        now: Nanos,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<LookupRequested, CacheFull> {
        let Some(source) = self.source.scoped_mut() else {
            return Ok(LookupRequested::default());
        };
        let applied = source.list_mut().request_lookup(destination, in_use)?;
        Ok(LookupRequested {
            applied,
            commands: self.look_up(now),
        })
    }

    /// Reports that the caller has applied the document with this version; only for a plain watch.
    pub fn set_version(&mut self, version: u64) {
        if let Some(source) = self.source.plain_mut() {
            source.set_version(version);
        }
    }

    /// Applies a document of a scoped watch to its list. After an error the caller must report the call that it was
    /// received on to [`Watch::call_failed`], because a skipped change would never be sent again.
    pub fn apply(&mut self, document: &[u8]) -> Result<Applied, ScopedLineError> {
        match self.source.scoped_mut() {
            None => Ok(Applied::default()),
            Some(source) => source.list_mut().apply_document(document),
        }
    }

    fn connect(&mut self, now: Nanos) -> Vec<Command> {
        let call = self.ids.assign();
        self.counters.calls += 1;
        let request = self.source.request();
        self.calls
            .add(Call::new(call, now, request.documents, request.line_limit));
        vec![
            Command::Connect {
                call,
                address: request.address,
                request: request.bytes,
            },
            Command::SetTimer(Timer::Call(call), now + CONNECT_TIMEOUT),
        ]
    }

    /// Schedules the next call; `last_active_at` is the time of the last activity of the failed one.
    fn schedule_reconnect(&mut self, now: Nanos, last_active_at: Nanos) -> Command {
        let delay = self.source.retry_delay(now, last_active_at);
        Command::SetTimer(Timer::Reconnect, now + delay)
    }

    fn call_timed_out(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        let Some(watch_call) = self.calls.get_mut(call) else {
            return Vec::new();
        };
        if let Some(timeout) = self.source.late_call_timeout()
            && watch_call.is_awaiting_first_line()
        {
            watch_call.mark_late();
            let last_active_at = watch_call.last_active_at();
            let set_timeout = Command::SetTimer(Timer::Call(call), last_active_at + timeout);
            return vec![set_timeout, self.schedule_reconnect(now, last_active_at)];
        }
        self.counters.timed_out += 1;
        self.call_failed(now, call)
    }

    /// Makes a call on which a line was received the one that serves the watch, and closes the others.
    fn promote_call(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        self.source.mark_serving();
        let timeout = self.source.silence_timeout();
        let mut commands = vec![Command::SetTimer(Timer::Call(call), now + timeout)];
        commands.extend(self.calls.promote(now, call));
        commands.push(Command::ClearTimer(Timer::Reconnect));
        commands.extend(self.look_up(now));
        commands
    }

    fn count_error(&mut self, error: CallError) {
        match error {
            CallError::Response(ResponseError::Malformed) => {}
            CallError::Response(ResponseError::Status(status)) => {
                self.counters.rejected += 1;
                self.source.log_rejection(status);
            }
            CallError::OverlongLine => self.counters.overlong_lines += 1,
        }
    }

    fn is_lookup(&self, call: CallId) -> bool {
        let source = self.source.scoped();
        source.is_some_and(|source| source.is_lookup(call))
    }

    /// Looks up the pending destinations, if the watch is served and no other lookup is in flight.
    fn look_up(&mut self, now: Nanos) -> Vec<Command> {
        let Some((_, server)) = self.serving() else {
            return Vec::new();
        };
        match self.source.scoped_mut() {
            None => Vec::new(),
            Some(source) => source.look_up(now, server, &mut self.ids),
        }
    }

    fn lookup_received(&mut self, now: Nanos, input: &mut RingBuffer, ended: bool) -> Received {
        let Some(source) = self.source.scoped_mut() else {
            return Received::default();
        };
        let mut received = source.lookup_received(now, input, ended);
        received.commands.extend(self.look_up(now));
        received
    }

    fn lookup_failed(&mut self, now: Nanos) -> Vec<Command> {
        match self.source.scoped_mut() {
            None => Vec::new(),
            Some(source) => source.lookups_mut().fail(now),
        }
    }
}
