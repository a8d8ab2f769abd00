//! What clients ask: requests are read, answered, and turned into watches.

use crate::config::Role;
use crate::connections::{ConnectionId, Purpose};
use crate::http_server::{self, LONGEST_HEAD, Method, Received, Request, Response, WATCH_HEAD};
use crate::process::{ControlProcess, RoleState, SECOND};
use bellsill_directory::line::{ScopedLine, Version};
use bellsill_directory::request::{LookUpRequest, RequestedScope, TargetsRequest, WatchRequest};
use bellsill_directory::watchers::{WatchRefused, WatcherId};
use bellsill_directory::whole_line::LONGEST_WHOLE_LINE;
use bellsill_net::Nanos;

/// The bounds of a client's input, until it sends a longer body, and of its output.
pub const CLIENT_BOUNDS: (usize, usize) = (LONGEST_HEAD, 2 * LONGEST_WHOLE_LINE);
/// A watcher is told no more while it has so much unread.
const MOST_UNREAD: usize = 64 * 1024;
/// Bodies longer than a head that may be under way at a time.
const MOST_LONG_BODIES: usize = 16;
/// A watcher that reads nothing of what waits for it is parted with after so long.
const READS_WITHIN: Nanos = 3 * SECOND;
/// A request is whole, and its answer read, after so long.
const REQUEST_WITHIN: Nanos = 30 * SECOND;
/// A connection without a request is kept so long.
const IDLE_FOR: Nanos = 120 * SECOND;

/// What comes of a request.
enum Outcome {
    Answer(Response),
    Watch(WatcherId),
}

impl ControlProcess {
    /// Something has come from a client, or can be written to it.
    pub fn client_ready(&mut self, id: ConnectionId) {
        if self.connections.read(id).is_err() {
            return self.close(id);
        }
        self.touched.insert(id);
        while self.serve_next(id) {}
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.ended && connection.purpose == Purpose::Client {
            connection.close_when_written = true;
        }
    }

    /// A watcher has ended its side, or can be told more.
    pub fn watch_ready(&mut self, id: ConnectionId, watcher: WatcherId) {
        let read = self.connections.read(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        // A watcher has nothing more to say.
        let said = connection.input.len();
        connection.input.consume(said);
        if read.is_err() || connection.ended {
            return self.close(id);
        }
        self.watchers.mark_ready(watcher);
        self.touched.insert(id);
    }

    /// Tells all that have something to be told, and writes what is to be written.
    pub fn tell(&mut self) {
        for watcher in self.watchers.take_ready() {
            self.tell_watcher(watcher);
        }
        for id in std::mem::take(&mut self.touched) {
            self.write(id);
        }
    }

    /// Closes connections that have had their time.
    pub fn close_overdue(&mut self) {
        let mut overdue = Vec::new();
        for (id, connection) in self.connections.iter() {
            let since = self.now.saturating_sub(connection.progress);
            let busy = !connection.input.is_empty() || !connection.output.is_empty();
            let most = match connection.purpose {
                Purpose::Watch(_) if busy => READS_WITHIN,
                Purpose::Client if busy => REQUEST_WITHIN,
                Purpose::Client => IDLE_FOR,
                _ => continue,
            };
            if since > most {
                overdue.push((id, connection.purpose));
            }
        }
        for (id, purpose) in overdue {
            match purpose {
                Purpose::Watch(_) => self.figures.closed_slow += 1,
                _ => self.figures.closed_silent += 1,
            }
            self.close(id);
        }
    }

    /// Ends a connection, and what it was for.
    pub fn close(&mut self, id: ConnectionId) {
        self.touched.remove(&id);
        if let Some(Purpose::Watch(watcher)) = self.connections.close(id) {
            self.watchers.close(watcher);
            self.watching.remove(&watcher);
        }
    }

    /// Ends all watches: the watchers ask another process, or this one again.
    pub fn close_watches(&mut self) {
        let open: Vec<ConnectionId> = self.watching.values().copied().collect();
        open.into_iter().for_each(|id| self.close(id));
    }

    /// Writes what waits in a connection.
    pub fn write(&mut self, id: ConnectionId) {
        match self.connections.write(id, self.now) {
            Ok(false) => {}
            Ok(true) | Err(_) => self.close(id),
        }
    }

    fn tell_watcher(&mut self, watcher: WatcherId) {
        let (Some(id), Some(directory)) = (self.watching.get(&watcher).copied(), &self.directory)
        else {
            return;
        };
        while let Some(connection) = self.connections.get_mut(id) {
            while connection.output.len() < MOST_UNREAD {
                let Some(line) = self.watchers.next_line(watcher, directory, self.now) else {
                    break;
                };
                self.figures.told(line.kind, line.bytes.len());
                connection.send(&http_server::chunk(&line.bytes));
            }
            if connection.output.is_empty() {
                return;
            }
            match self.connections.write(id, self.now) {
                Ok(_) => {}
                Err(_) => return self.close(id),
            }
            if self
                .connections
                .get_mut(id)
                .is_some_and(|connection| !connection.output.is_empty())
            {
                return;
            }
        }
    }

    /// Serves the next request of a client. False: there is none, or no other one is served after it.
    fn serve_next(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else {
            return false;
        };
        if connection.close_when_written {
            return false;
        }
        match http_server::receive(&mut connection.input) {
            Received::Part => false,
            Received::NeedsRoom(length) => self.make_room(id, length),
            Received::Unreadable(response) => {
                self.answer(
                    id,
                    Response {
                        close: true,
                        ..response
                    },
                );
                false
            }
            Received::Whole(request) => {
                let keep_alive = request.keep_alive;
                match self.serve(request) {
                    Outcome::Answer(response) => {
                        self.answer(
                            id,
                            Response {
                                close: !keep_alive,
                                ..response
                            },
                        );
                        true
                    }
                    Outcome::Watch(watcher) => {
                        self.begin_watch(id, watcher);
                        false
                    }
                }
            }
        }
    }

    /// Lets a long body come. True: more of it has come.
    fn make_room(&mut self, id: ConnectionId, length: usize) -> bool {
        let long = |bound: usize| bound > LONGEST_HEAD;
        let bodies = self
            .connections
            .iter()
            .filter(|(_, c)| long(c.input.len() + c.input.available()))
            .count();
        let Some(connection) = self.connections.get_mut(id) else {
            return false;
        };
        if connection.input.len() + connection.input.available() >= length {
            return false;
        }
        if bodies >= MOST_LONG_BODIES {
            let response = Response::error(503, "too many long requests at once: send it again");
            self.answer(
                id,
                Response {
                    close: true,
                    ..response
                },
            );
            return false;
        }
        connection.make_room(length);
        match self.connections.read(id) {
            Ok(()) => true,
            Err(_) => {
                self.close(id);
                false
            }
        }
    }

    fn answer(&mut self, id: ConnectionId, response: Response) {
        self.figures.refused.count(response.status);
        let now = self.now;
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.progress = now;
        connection.close_when_written |= response.close;
        if !connection.send(&response.into_bytes()) {
            self.close(id);
        }
    }

    fn begin_watch(&mut self, id: ConnectionId, watcher: WatcherId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return self.watchers.close(watcher);
        };
        connection.purpose = Purpose::Watch(watcher);
        connection.send(WATCH_HEAD);
        self.watching.insert(watcher, id);
    }

    fn serve(&mut self, request: Request) -> Outcome {
        let answer = match (request.method, request.path.as_str()) {
            (Method::Get, "/api/targets") => return self.serve_targets(&request.query),
            (Method::Get, "/v2/figures") => Response::json(&self.current_figures()),
            (Method::Post, "/api/targets" | "/v2/members" | "/v2/presence") => {
                self.serve_write(&request)
            }
            (_, "/api/targets" | "/v2/figures" | "/v2/members" | "/v2/presence") => {
                Response::error(405, "this path does not take this method")
            }
            _ => Response::error(
                404,
                "no such path; there are /api/targets, /v2/members, /v2/presence, /v2/figures",
            ),
        };
        Outcome::Answer(answer)
    }

    fn serve_write(&mut self, request: &Request) -> Response {
        if let Role::Follower { writer } = self.config.role {
            return crate::writer::not_the_writer(writer);
        }
        match request.path.as_str() {
            "/api/targets" => self.write_targets(&request.body),
            "/v2/members" => self.write_members(&request.body),
            _ => self.take_presence(&request.body),
        }
    }

    fn serve_targets(&mut self, query: &str) -> Outcome {
        match TargetsRequest::parse(query) {
            Ok(TargetsRequest::Watch(request)) => self.serve_watch(request),
            Ok(TargetsRequest::LookUp(request)) => Outcome::Answer(self.serve_look_up(&request)),
            Err(error) => Outcome::Answer(Response::error(400, &error.to_string())),
        }
    }

    fn serve_watch(&mut self, request: WatchRequest) -> Outcome {
        let Some(directory) = &self.directory else {
            return Outcome::Answer(no_configuration());
        };
        let whole = request.scope == RequestedScope::Whole;
        let anew =
            request.since > Version(0) && !directory.remembers(request.log.as_ref(), request.since);
        let transfer = request.log.as_ref() != Some(directory.log())
            || !directory.history().covers(request.since);
        let ahead =
            request.log.as_ref() == Some(directory.log()) && request.since > directory.version();
        if ahead && matches!(self.config.role, Role::Writer) {
            log::warn!(
                "a watcher knows version {}, the writer has {}: its state directory is older than it was",
                request.since.0,
                directory.version().0
            );
        }
        match self.watchers.open(request, directory, self.now) {
            Ok(opened) => {
                self.figures.watches_begun += 1;
                self.figures.watches_told_anew += u64::from(anew && !whole);
                self.figures.transfers_begun += u64::from(transfer && whole);
                if let (true, RoleState::Writer(writer)) = (whole, &mut self.role) {
                    writer.followed();
                }
                if let Some(id) = opened
                    .replaced
                    .and_then(|replaced| self.watching.remove(&replaced))
                {
                    self.close(id);
                }
                Outcome::Watch(opened.id)
            }
            Err(refused) => Outcome::Answer(refusal(refused)),
        }
    }

    fn serve_look_up(&mut self, request: &LookUpRequest) -> Response {
        let Some(directory) = &self.directory else {
            return no_configuration();
        };
        if directory.member(&request.dispatcher).is_none() {
            return refusal(WatchRefused::NotMember);
        }
        if let Err(refused) = self.watchers.change_cells(request) {
            return refusal(refused);
        }
        self.figures.lookups += request.cells.len() as u64;
        let cells: Vec<u64> = request.cells.iter().copied().collect();
        Response::json(&ScopedLine {
            version: directory.version(),
            log: directory.log().0.clone(),
            servers: directory.look_up(&cells),
            ..ScopedLine::default()
        })
    }

    fn current_figures(&self) -> crate::figures::Figures {
        let directory = self.directory.as_ref();
        let members = directory.map_or(&[][..], |directory| directory.members());
        crate::figures::Figures {
            version: self.version(),
            epoch: directory.map_or(0, |directory| directory.epoch().0),
            entries: directory.map_or(0, |directory| directory.entries().len()),
            members: members.len(),
            members_present: members.iter().filter(|member| member.present).count(),
            watchers: self.watchers.len(),
            connections: self.connections.len(),
            ..self.figures.clone()
        }
    }
}

fn no_configuration() -> Response {
    Response::error(503, "this control process has no configuration yet")
}

fn refusal(refused: WatchRefused) -> Response {
    match refused {
        WatchRefused::NotMember => Response::error(
            404,
            "dispatcher: not a declared member; POST /v2/members declares",
        ),
        WatchRefused::NoWatch => {
            Response::error(409, "dispatcher: it has no watch at this process")
        }
        WatchRefused::TooManyCells => Response::error(
            429,
            "cells: the watch has too many of them; name some in forget",
        ),
        WatchRefused::Behind => {
            Response::error(503, "this process is behind what the dispatcher knows")
        }
    }
}
