//! The watch: when a call is made, which of several calls serves, and when a call has failed.

use crate::answer::AnswerError;
use crate::applied::Applied;
use crate::backoff::{Backoff, CONNECT_TIMEOUT};
use crate::call::{Call, CallError, CallId, CallIds};
use crate::call_table::CallTable;
use crate::command::{Command, LookupRequested, Received, Timer};
use crate::counters::Counters;
use crate::error::{CacheFull, ScopedLineError};
use crate::plain_source::PlainSource;
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
    /// Either one of them is not late, or [`Timer::Reconnect`] is set.
    calls: CallTable,
    ids: CallIds,
    counters: Counters,
}

impl Watch {
    /// A watch on the complete list of one discovery server.
    pub fn plain(address: SocketAddr, backoff: Backoff) -> Watch {
        Watch::new(Source::Plain(PlainSource::new(address, backoff)))
    }

    /// A watch on one dispatcher's part of the configuration, beginning from `list`.
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

    /// What has happened to the calls.
    pub fn counters(&self) -> Counters {
        let mut counters = self.counters;
        if let Some(source) = self.source.scoped() {
            counters.lookups = source.lookups().made();
            counters.failed_lookups = source.lookups().failed();
        }
        counters
    }

    /// The list of a scoped watch; a plain watch has none.
    pub fn list(&self) -> Option<&ScopedList> {
        self.source.scoped().map(ScopedSource::list)
    }

    /// The list of a scoped watch, to be changed.
    pub fn list_mut(&mut self) -> Option<&mut ScopedList> {
        self.source.scoped_mut().map(ScopedSource::list_mut)
    }

    /// The call and the server that serve the watch now, if there are any.
    pub fn serving(&self) -> Option<(CallId, SocketAddr)> {
        Some((self.calls.serving()?, self.source.address()))
    }

    /// Starts the watch. The configuration counts as known from the start: half of the grace of a drain is left for the
    /// first answer.
    pub fn start(&mut self, now: Nanos, drain_grace: Nanos) -> Vec<Command> {
        match self.source.first_delay(drain_grace) {
            0 => self.connect(now),
            delay => vec![Command::SetTimer(Timer::Reconnect, now + delay)],
        }
    }

    /// The connection of a call is up.
    pub fn connected(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        // A lookup has one timeout for all of it.
        let Some(found) = self.calls.get_mut(call) else {
            return Vec::new();
        };
        found.connected();
        let timeout = self.source.first_line_timeout();
        vec![Command::SetTimer(Timer::Call(call), now + timeout)]
    }

    /// A call has failed: it could not be made, its connection broke, or what was received on it cannot be used.
    pub fn call_failed(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        if self.is_lookup(call) {
            return self.lookup_failed(now);
        }
        let Some(found) = self.calls.get(call) else {
            return Vec::new();
        };
        let (alive_at, late) = (found.alive_at(), found.is_late());
        if found.is_serving() {
            self.counters.broken += 1;
        } else {
            self.counters.failed += 1;
        }
        let mut commands = self.calls.close(call);
        // The next request names what is known by then; what is not is looked up at the next server.
        if let Some(source) = self.source.scoped_mut() {
            commands.extend(source.lookups_mut().cancel());
        }
        if !late {
            commands.push(self.reconnect_later(now, alive_at));
        }
        commands
    }

    /// A timer that was set has fired.
    pub fn timer_fired(&mut self, now: Nanos, timer: Timer) -> Vec<Command> {
        match timer {
            Timer::Reconnect => self.connect(now),
            Timer::Call(call) if self.is_lookup(call) => self.lookup_failed(now),
            Timer::Call(call) => self.call_overdue(now, call),
            Timer::LookupRetry => {
                if let Some(source) = self.source.scoped_mut() {
                    source.lookups_mut().backoff_over();
                }
                self.look_up(now)
            }
        }
    }

    /// The discovery server of a plain watch has another address. It is asked for everything at once: it counts versions
    /// of its own, and changes before the old server's last version would be missed. The servers of a scoped watch stay.
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

    /// Takes what was received on a call; `ended` says that nothing follows it. The commands may be carried out before the
    /// documents are applied.
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
        let Some(found) = self.calls.get_mut(call) else {
            return Received::default();
        };
        let read = match found.read(input, ended) {
            Ok(read) => read,
            Err(error) => {
                self.note_error(error);
                return Received {
                    commands: self.call_failed(now, call),
                    ..Received::default()
                };
            }
        };
        let mut commands = Vec::new();
        if read.has_line {
            commands.extend(self.call_serves(now, call));
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

    /// Has a destination looked up that the list of a scoped watch does not have; `in_use` says which of the cached ones
    /// must not be evicted for it.
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

    /// The document with this version has been applied by the caller; for a plain watch.
    pub fn set_version(&mut self, version: u64) {
        if let Some(source) = self.source.plain_mut() {
            source.applied(version);
        }
    }

    /// Applies a document of a scoped watch to its list. After an error the call that it was received on has to be reported
    /// as [`Watch::broken`]: a change that was skipped would never be sent again.
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

    /// Has the next call made after a delay; `alive_at` is when the failed call was alive last.
    fn reconnect_later(&mut self, now: Nanos, alive_at: Nanos) -> Command {
        let delay = self.source.retry_delay(now, alive_at);
        Command::SetTimer(Timer::Reconnect, now + delay)
    }

    fn call_overdue(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        let Some(found) = self.calls.get_mut(call) else {
            return Vec::new();
        };
        if let Some(timeout) = self.source.late_call_timeout()
            && found.is_awaiting_first_line()
        {
            found.mark_late();
            let alive_at = found.alive_at();
            let closes = Command::SetTimer(Timer::Call(call), alive_at + timeout);
            return vec![closes, self.reconnect_later(now, alive_at)];
        }
        self.counters.timed_out += 1;
        self.call_failed(now, call)
    }

    /// Lines have been received on a call: it is the one that serves, and the others are not needed.
    fn call_serves(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        self.source.serves();
        let timeout = self.source.silence_timeout();
        let mut commands = vec![Command::SetTimer(Timer::Call(call), now + timeout)];
        commands.extend(self.calls.serve(now, call));
        commands.push(Command::ClearTimer(Timer::Reconnect));
        commands.extend(self.look_up(now));
        commands
    }

    fn note_error(&mut self, error: CallError) {
        match error {
            CallError::Answer(AnswerError::Unreadable) => {}
            CallError::Answer(AnswerError::Status(status)) => {
                self.counters.rejected += 1;
                self.source.rejected(status);
            }
            CallError::OverlongLine => self.counters.overlong_lines += 1,
        }
    }

    fn is_lookup(&self, call: CallId) -> bool {
        let source = self.source.scoped();
        source.is_some_and(|source| source.is_lookup(call))
    }

    /// Looks up the pending destinations, where the watch is served and no other lookup is in flight.
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
