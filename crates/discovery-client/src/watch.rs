//! The calls of a watch: when one is made, which of them serves, and when one has failed.

use crate::backoff::{Backoff, FIRST_LINE_WITHIN, SILENT_FOR, UP_WITHIN};
use crate::call::{Call, CallFailure, CallId, LineLimit, OverlongLine};
use crate::documents::DocumentReader;
use crate::lookup::{ANSWER_WITHIN, DESTINATIONS_EACH, LookupCall, LookupRest};
use crate::scoped_list::{Applied, CacheFull, ScopedLineError, ScopedList};
use crate::server_order::ServerOrder;
use bellsill_directory::line::LONGEST_LINE;
use bellsill_net::ring_buffer::RingBuffer;
use bellsill_net::{Nanos, http};
use std::net::SocketAddr;

/// The longest line of a plain watch that is read; a longer one is skipped.
pub const LONGEST_PLAIN_LINE: usize = 8 * 1024 * 1024;
/// The longest line of a scoped watch that is read. Control processes write shorter ones; twice as long leaves room for a
/// later version's fields.
pub const LONGEST_SCOPED_LINE: usize = 2 * LONGEST_LINE;
/// A scoped watch without a whole line for so long is lost: three of the empty lines that come every 500 ms.
pub const SCOPED_SILENT_FOR: Nanos = 1_500_000_000;
/// How long a call of a plain watch whose first line is late is kept while others are made. A discovery that serves few calls
/// a second answers in turn, and a call given up is served all the same: were each given up before its turn, nobody would be
/// told.
pub const KEPT_FOR: Nanos = 9_000_000_000;

/// What may fall due; each has one time at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The next call is to be made.
    Reconnect,
    /// A call has had its time: to come up, to its first line, or to the next one.
    Call(CallId),
    /// Destinations are to be looked up again, after a lookup has failed.
    LookUp,
}

/// What the watch has done by whoever has the sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Connect, and send the request once the connection is up.
    Connect {
        call: CallId,
        address: SocketAddr,
        request: Vec<u8>,
    },
    /// Close the connection of a call; nothing of it is told any more.
    Close(CallId),
    /// Set when a timer fires, in place of what was set before.
    SetTimer(Timer, Nanos),
    ClearTimer(Timer),
}

/// What came of bytes that were received.
#[derive(Debug, Default, PartialEq)]
pub struct Received {
    /// Whole JSON documents, in their order.
    pub documents: Vec<Vec<u8>>,
    pub commands: Vec<Command>,
    /// What a lookup has changed in the list of a scoped watch.
    pub looked_up: Applied,
}

/// What came of a destination that is to be looked up.
#[derive(Debug, Default, PartialEq)]
pub struct Wanted {
    /// What gave way to it.
    pub applied: Applied,
    pub commands: Vec<Command>,
}

/// Who watches, and the control processes that can be asked.
#[derive(Clone, Debug)]
pub struct ScopedOptions {
    /// The dispatcher's name, of characters that stand in a query as they are.
    pub dispatcher: String,
    /// One at least.
    pub servers: Vec<SocketAddr>,
    /// Decides the order of the servers and the rests.
    pub seed: u64,
}

/// What has happened to the calls, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls made.
    pub calls: u64,
    /// Calls that failed after they had served.
    pub broken: u64,
    /// Calls that failed before that.
    pub failed: u64,
    /// Calls that had their time, of all that failed.
    pub timed_out: u64,
    /// Calls answered with another status than 200.
    pub refused: u64,
    /// Lines longer than [`LONGEST_SCOPED_LINE`].
    pub overlong_lines: u64,
    /// Lookups made, and those of them that failed.
    pub lookups: u64,
    pub failed_lookups: u64,
}

/// The one discovery of a plain watch.
struct PlainSource {
    address: SocketAddr,
    /// Of the last document that was applied.
    version: u64,
    backoff: Backoff,
}

/// The control processes of a scoped watch, and what they have told.
struct ScopedSource {
    dispatcher: String,
    servers: ServerOrder,
    list: ScopedList,
    lookup: Option<LookupCall>,
    lookup_rest: LookupRest,
    /// A lookup has failed, and [`Timer::LookUp`] is set.
    lookup_rests: bool,
    /// The status with which a call was refused last, until one serves.
    refused_with: Option<u16>,
}

enum Source {
    Plain(PlainSource),
    Scoped(Box<ScopedSource>),
}

/// A watch on the configuration.
pub struct Watch {
    source: Source,
    /// Either one of them is not late, or [`Timer::Reconnect`] is set.
    calls: Vec<Call>,
    next_call: u64,
    counters: Counters,
}

impl Watch {
    /// A watch on the whole list of one discovery.
    pub fn plain(address: SocketAddr, backoff: Backoff) -> Watch {
        Watch::new(Source::Plain(PlainSource {
            address,
            version: 0,
            backoff,
        }))
    }

    /// A watch on what one dispatcher keeps of the configuration, beginning from `list`.
    pub fn scoped(options: ScopedOptions, list: ScopedList) -> Watch {
        Watch::new(Source::Scoped(Box::new(ScopedSource {
            dispatcher: options.dispatcher,
            servers: ServerOrder::new(options.servers, options.seed),
            list,
            lookup: None,
            lookup_rest: LookupRest::new(options.seed),
            lookup_rests: false,
            refused_with: None,
        })))
    }

    fn new(source: Source) -> Watch {
        Watch {
            source,
            calls: Vec::new(),
            next_call: 0,
            counters: Counters::default(),
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// What a scoped watch keeps; none of a plain one.
    pub fn list(&self) -> Option<&ScopedList> {
        match &self.source {
            Source::Plain(_) => None,
            Source::Scoped(source) => Some(&source.list),
        }
    }

    pub fn list_mut(&mut self) -> Option<&mut ScopedList> {
        match &mut self.source {
            Source::Plain(_) => None,
            Source::Scoped(source) => Some(&mut source.list),
        }
    }

    /// The server whose lines come now, if any do.
    pub fn serving(&self) -> Option<(CallId, SocketAddr)> {
        let call = self.calls.iter().find(|call| call.serves)?;
        let address = match &self.source {
            Source::Plain(source) => source.address,
            Source::Scoped(source) => source.servers.current(),
        };
        Some((call.id, address))
    }

    /// Begins. What the configuration has counts as told from the first moment on: half of a drain's grace is left for the
    /// first answer.
    pub fn start(&mut self, now: Nanos, drain_grace: Nanos) -> Vec<Command> {
        let rest = match &mut self.source {
            Source::Plain(source) => source.backoff.first_rest(drain_grace),
            Source::Scoped(source) => source.servers.first_rest(drain_grace / 2),
        };
        match rest {
            0 => self.connect(now),
            rest => vec![Command::SetTimer(Timer::Reconnect, now + rest)],
        }
    }

    /// The connection of a call is up.
    pub fn connected(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        let wait = match self.source {
            Source::Plain(_) => FIRST_LINE_WITHIN,
            Source::Scoped(_) => SCOPED_SILENT_FOR,
        };
        // A lookup has one time for all of it.
        let Some(found) = self.calls.iter_mut().find(|c| c.id == call) else {
            return Vec::new();
        };
        found.connected = true;
        vec![Command::SetTimer(Timer::Call(call), now + wait)]
    }

    /// A call has failed: it could not be made, its connection broke, or what it said cannot be used.
    pub fn broken(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        if self.is_lookup(call) {
            return self.lookup_failed(now);
        }
        let Some(found) = self.calls.iter().find(|c| c.id == call) else {
            return Vec::new();
        };
        let (alive_at, late) = (found.alive_at, found.late);
        match found.serves {
            true => self.counters.broken += 1,
            false => self.counters.failed += 1,
        }
        let mut commands = self.close_calls(|c| c.id == call);
        // The next watch asks for what is known by now; what is not yet is looked up where that one is.
        commands.extend(self.close_lookup());
        if !late {
            commands.push(self.reconnect_later(now, alive_at));
        }
        commands
    }

    pub fn timer_fired(&mut self, now: Nanos, timer: Timer) -> Vec<Command> {
        match timer {
            Timer::Reconnect => self.connect(now),
            Timer::Call(call) if self.is_lookup(call) => self.lookup_failed(now),
            Timer::Call(call) => self.call_overdue(now, call),
            Timer::LookUp => {
                if let Source::Scoped(source) = &mut self.source {
                    source.lookup_rests = false;
                }
                self.look_up(now)
            }
        }
    }

    /// A plain watch's discovery has moved. The new one's versions are its own: after the old one's last, what it tells could
    /// be passed over, so it is asked for everything, at once. The servers of a scoped watch stay.
    pub fn relocate(&mut self, now: Nanos, address: SocketAddr) -> Vec<Command> {
        let Source::Plain(source) = &mut self.source else {
            return Vec::new();
        };
        if address == source.address {
            return Vec::new();
        }
        (source.address, source.version) = (address, 0);
        source.backoff.served();
        let mut commands = self.close_calls(|_| true);
        commands.push(Command::ClearTimer(Timer::Reconnect));
        commands.extend(self.connect(now));
        commands
    }

    /// Takes what was received on a call; `ended` says that nothing comes after it. The commands may be carried out before
    /// the documents are applied.
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
        let limit = self.line_limit();
        let Some(found) = self.calls.iter_mut().find(|c| c.id == call) else {
            return Received::default();
        };
        let read = match found.read(input, ended, limit) {
            Ok(read) => read,
            Err(failure) => {
                self.count_failure(failure);
                return Received {
                    commands: self.broken(now, call),
                    ..Received::default()
                };
            }
        };
        let documents = read
            .lines
            .iter()
            .filter_map(|line| found.documents.line(line))
            .collect();
        let mut commands = Vec::new();
        // Bytes alone do not show that it is alive.
        if !read.lines.is_empty() {
            commands.extend(self.call_serves(now, call));
        }
        if read.last {
            commands.extend(self.broken(now, call));
        }
        Received {
            documents,
            commands,
            looked_up: Applied::default(),
        }
    }

    /// Has a destination looked up that the list of a scoped watch has not; `in_use` says which of the cached ones must not
    /// give way to it.
    pub fn want(
        &mut self,
        now: Nanos,
        destination: u64,
        in_use: &dyn Fn(u64) -> bool,
    ) -> Result<Wanted, CacheFull> {
        let Source::Scoped(source) = &mut self.source else {
            return Ok(Wanted::default());
        };
        let applied = source.list.want(destination, in_use)?;
        Ok(Wanted {
            applied,
            commands: self.look_up(now),
        })
    }

    /// A document of a plain watch has been applied, of that version.
    pub fn told(&mut self, version: u64) {
        if let Source::Plain(source) = &mut self.source {
            source.version = version;
        }
    }

    /// Applies a document of a scoped watch to its list. After an error the call that it came on is [`Watch::broken`]: a
    /// change that was passed over would never be told again.
    pub fn apply(&mut self, document: &[u8]) -> Result<Applied, ScopedLineError> {
        match &mut self.source {
            Source::Plain(_) => Ok(Applied::default()),
            Source::Scoped(source) => source.list.apply_document(document),
        }
    }

    /// Makes a call.
    fn connect(&mut self, now: Nanos) -> Vec<Command> {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.counters.calls += 1;
        let (address, request, documents) = match &mut self.source {
            Source::Plain(source) => {
                let request = http::watch_request(source.address, source.version);
                (
                    source.address,
                    request,
                    DocumentReader::indented(LONGEST_PLAIN_LINE),
                )
            }
            Source::Scoped(source) => {
                let address = source.servers.current();
                let query = source.list.query(&source.dispatcher);
                source.list.asked_anew();
                let request = http::get_request(address, &format!("/api/targets?follow=1&{query}"));
                (address, request, DocumentReader::Lines)
            }
        };
        self.calls.push(Call::new(call, now, documents));
        vec![
            Command::Connect {
                call,
                address,
                request: request.into_bytes(),
            },
            Command::SetTimer(Timer::Call(call), now + UP_WITHIN),
        ]
    }

    /// Has the next call made after a rest; `alive_at` is when what failed was well last.
    fn reconnect_later(&mut self, now: Nanos, alive_at: Nanos) -> Command {
        let rest = match &mut self.source {
            Source::Plain(source) => source.backoff.rest(now - alive_at),
            Source::Scoped(source) => source.servers.failed(),
        };
        Command::SetTimer(Timer::Reconnect, now + rest)
    }

    fn call_overdue(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        let plain = matches!(self.source, Source::Plain(_));
        let Some(found) = self.calls.iter_mut().find(|c| c.id == call) else {
            return Vec::new();
        };
        if plain && found.connected && !found.serves && !found.late {
            found.late = true;
            let alive_at = found.alive_at;
            let kept_until = Command::SetTimer(Timer::Call(call), alive_at + KEPT_FOR);
            return vec![kept_until, self.reconnect_later(now, alive_at)];
        }
        self.counters.timed_out += 1;
        self.broken(now, call)
    }

    /// Whole lines have come on a call: it is the one that serves, and the others are not needed.
    fn call_serves(&mut self, now: Nanos, call: CallId) -> Vec<Command> {
        let silent_for = match &mut self.source {
            Source::Plain(source) => {
                source.backoff.served();
                SILENT_FOR
            }
            Source::Scoped(source) => {
                source.servers.served();
                source.refused_with = None;
                SCOPED_SILENT_FOR
            }
        };
        let mut commands = vec![Command::SetTimer(Timer::Call(call), now + silent_for)];
        commands.extend(self.close_calls(|c| c.id != call));
        commands.push(Command::ClearTimer(Timer::Reconnect));
        for found in &mut self.calls {
            (found.serves, found.late, found.alive_at) = (true, false, now);
        }
        commands.extend(self.look_up(now));
        commands
    }

    fn is_lookup(&self, call: CallId) -> bool {
        match &self.source {
            Source::Plain(_) => false,
            Source::Scoped(source) => source
                .lookup
                .as_ref()
                .is_some_and(|lookup| lookup.id == call),
        }
    }

    /// Makes a lookup of what is wanted, where the watch is served and no other lookup is under way.
    fn look_up(&mut self, now: Nanos) -> Vec<Command> {
        let Some((_, address)) = self.serving() else {
            return Vec::new();
        };
        let Source::Scoped(source) = &mut self.source else {
            return Vec::new();
        };
        if source.lookup.is_some() || source.lookup_rests {
            return Vec::new();
        }
        let destinations: Vec<u64> = source.list.pending().take(DESTINATIONS_EACH).collect();
        if destinations.is_empty() {
            return Vec::new();
        }
        let forget = source.list.to_forget();
        let target = ScopedList::lookup_target(&source.dispatcher, &destinations, &forget);
        let request = http::get_request(address, &target).into_bytes();
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.counters.lookups += 1;
        source.lookup = Some(LookupCall::new(call, destinations, forget));
        vec![
            Command::Connect {
                call,
                address,
                request,
            },
            Command::SetTimer(Timer::Call(call), now + ANSWER_WITHIN),
        ]
    }

    fn lookup_received(&mut self, now: Nanos, input: &mut RingBuffer, ended: bool) -> Received {
        let Source::Scoped(source) = &mut self.source else {
            return Received::default();
        };
        let Some(lookup) = &mut source.lookup else {
            return Received::default();
        };
        let line = match lookup.read(input, ended) {
            Ok(Some(line)) => line,
            Ok(None) => return Received::default(),
            Err(failure) => {
                log::debug!("configuration: a lookup failed: {failure:?}");
                return Received {
                    commands: self.lookup_failed(now),
                    ..Received::default()
                };
            }
        };
        let applied = source.list.apply_lookup(&lookup.destinations, line);
        match applied {
            Ok(looked_up) => {
                source.list.forgot(&lookup.forget);
                source.lookup_rest.answered();
                let mut commands = self.close_lookup();
                commands.extend(self.look_up(now));
                Received {
                    documents: Vec::new(),
                    commands,
                    looked_up,
                }
            }
            Err(error) => {
                log::warn!("configuration: the answer to a lookup was not taken: {error}");
                Received {
                    commands: self.lookup_failed(now),
                    ..Received::default()
                }
            }
        }
    }

    /// The lookup under way has failed, and is made again after a rest.
    fn lookup_failed(&mut self, now: Nanos) -> Vec<Command> {
        self.counters.failed_lookups += 1;
        let mut commands = self.close_lookup();
        if let Source::Scoped(source) = &mut self.source {
            source.lookup_rests = true;
            let rest = source.lookup_rest.failed();
            commands.push(Command::SetTimer(Timer::LookUp, now + rest));
        }
        commands
    }

    fn close_lookup(&mut self) -> Vec<Command> {
        let Source::Scoped(source) = &mut self.source else {
            return Vec::new();
        };
        let Some(lookup) = source.lookup.take() else {
            return Vec::new();
        };
        vec![
            Command::ClearTimer(Timer::Call(lookup.id)),
            Command::Close(lookup.id),
        ]
    }

    fn close_calls(&mut self, which: impl Fn(&Call) -> bool) -> Vec<Command> {
        let mut commands = Vec::new();
        self.calls.retain(|call| {
            let closes = which(call);
            if closes {
                commands.push(Command::ClearTimer(Timer::Call(call.id)));
                commands.push(Command::Close(call.id));
            }
            !closes
        });
        commands
    }

    fn line_limit(&self) -> LineLimit {
        match self.source {
            Source::Plain(_) => LineLimit {
                bytes: LONGEST_PLAIN_LINE,
                overlong: OverlongLine::Skip,
            },
            Source::Scoped(_) => LineLimit {
                bytes: LONGEST_SCOPED_LINE,
                overlong: OverlongLine::Refuse,
            },
        }
    }

    /// Says that a control process has refused the watch, once for each status until one serves.
    fn warn_of_refusal(&mut self, status: u16) {
        let Source::Scoped(source) = &mut self.source else {
            return;
        };
        if source.refused_with.replace(status) == Some(status) {
            return;
        }
        let (server, dispatcher) = (source.servers.current(), &source.dispatcher);
        match status {
            404 => log::warn!(
                "configuration: {server} has no dispatcher `{dispatcher}`: declare it there"
            ),
            _ => log::warn!("configuration: {server} answered {status} to the watch"),
        }
    }

    fn count_failure(&mut self, failure: CallFailure) {
        match failure {
            CallFailure::NoAnswer => {}
            CallFailure::Status(status) => {
                self.counters.refused += 1;
                self.warn_of_refusal(status);
            }
            CallFailure::OverlongLine => self.counters.overlong_lines += 1,
        }
    }
}
