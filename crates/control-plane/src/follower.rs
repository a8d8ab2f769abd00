//! A follower: watches the writer with the whole scope, and tells it which dispatchers watch here.

use crate::connections::{ConnectionId, Purpose};
use crate::process::{ControlProcess, RoleState, RunError, SECOND};
use crate::writer::PresenceLine;
use bellsill_directory::line::Version;
use bellsill_directory::state::{Keeping, Restore, RestorePoint};
use bellsill_directory::whole_line::{LONGEST_WHOLE_LINE, TransferStep, WholeLine};
use bellsill_net::Nanos;
use bellsill_net::http::{self, Body};
use std::net::SocketAddr;

/// A watch on the writer is lost after so long without a whole line, and a connect that takes so long has failed.
const SILENT_FOR: Nanos = 3 * SECOND / 2;
/// The rest before the writer is asked again.
const REST: Nanos = SECOND / 2;
/// The rest after a line of the writer was refused: it is likely to be the same again.
const REST_AFTER_REFUSAL: Nanos = 5 * SECOND;
/// What is read of the writer at a time.
const INPUT_BOUND: usize = 256 * 1024;
const REQUEST_BOUND: usize = 1024 * 1024;

/// What a follower knows beside the configuration.
pub struct Follower {
    writer: SocketAddr,
    watch: Option<WriterWatch>,
    /// When the writer is asked again.
    ask_at: Nanos,
    /// A transfer that is under way.
    restore: Option<Box<Restore>>,
    presence_call: Option<ConnectionId>,
}

struct WriterWatch {
    id: ConnectionId,
    body: Option<Body>,
    line: Vec<u8>,
    /// When it was begun, or a whole line came last.
    heard: Nanos,
}

/// Why a watch on the writer ends.
enum Broken {
    /// The connection failed or fell silent.
    Connection(String),
    /// The writer said something that is not taken.
    Refused(String),
}

impl Follower {
    pub fn new(writer: SocketAddr, now: Nanos) -> Follower {
        Follower {
            writer,
            watch: None,
            ask_at: now,
            restore: None,
            presence_call: None,
        }
    }
}

impl ControlProcess {
    /// Begins the watch on the writer when it is due, and ends one that is silent.
    pub fn follower_tick(&mut self) {
        let now = self.now;
        let RoleState::Follower(follower) = &self.role else {
            return;
        };
        match &follower.watch {
            Some(watch) if now.saturating_sub(watch.heard) > SILENT_FOR => {
                self.writer_watch_broke(Broken::Connection("it is silent".into()));
            }
            None if now >= follower.ask_at => self.watch_writer(),
            _ => {}
        }
    }

    /// Each second: tells the writer which dispatchers have a watch here.
    pub fn follower_second(&mut self) {
        let RoleState::Follower(follower) = &mut self.role else {
            return;
        };
        let (writer, late) = (follower.writer, follower.presence_call.take());
        if let Some(late) = late {
            self.close(late);
        }
        let lines = self.watchers.members().map(|member| PresenceLine {
            dispatcher: member.clone(),
        });
        let lines = lines
            .filter_map(|line| serde_json::to_string(&line).ok())
            .collect::<Vec<_>>()
            .join("\n");
        if lines.is_empty() {
            return;
        }
        let request = format!(
            "POST /v2/presence HTTP/1.1\r\nHost: {writer}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{lines}",
            lines.len()
        );
        // Where it fails, the next one in a second tells the same.
        if let Ok(id) = self.call_writer(writer, Purpose::PresenceCall, &request)
            && let RoleState::Follower(follower) = &mut self.role
        {
            follower.presence_call = Some(id);
        }
    }

    /// The answer of the writer to which dispatchers are here: only its end matters.
    pub fn presence_call_ready(&mut self, id: ConnectionId) {
        let read = self.connections.read(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let length = connection.input.len();
        connection.input.consume(length);
        if read.is_ok() && !connection.ended {
            self.touched.insert(id);
            return;
        }
        self.close(id);
        if let RoleState::Follower(follower) = &mut self.role {
            follower.presence_call = None;
        }
    }

    /// Lines have come from the writer, or its connection has come up.
    pub fn writer_watch_ready(&mut self, id: ConnectionId) -> Result<(), RunError> {
        let lines = match self.read_writer(id) {
            Ok(lines) => lines,
            Err(broken) => {
                self.writer_watch_broke(broken);
                return Ok(());
            }
        };
        for line in lines {
            if let Err(refused) = self.take_line(&line)? {
                self.writer_watch_broke(refused);
                return Ok(());
            }
        }
        self.touched.insert(id);
        let ended = self
            .connections
            .get_mut(id)
            .is_none_or(|connection| connection.ended);
        if ended {
            self.writer_watch_broke(Broken::Connection("it was ended".into()));
        }
        Ok(())
    }

    fn watch_writer(&mut self) {
        let RoleState::Follower(follower) = &self.role else {
            return;
        };
        let writer = follower.writer;
        let known = self
            .directory
            .as_ref()
            .map(|directory| (directory.version().0, &directory.log().0));
        let known = match known {
            Some((since, log)) => format!("since={since}&log={log}"),
            None => "since=0".to_string(),
        };
        let request = format!(
            "GET /api/targets?follow=1&{known}&scope=all HTTP/1.1\r\nHost: {writer}\r\n\r\n"
        );
        match self.call_writer(writer, Purpose::WriterWatch, &request) {
            Ok(id) => {
                let heard = self.now;
                let RoleState::Follower(follower) = &mut self.role else {
                    return;
                };
                follower.watch = Some(WriterWatch {
                    id,
                    body: None,
                    line: Vec::new(),
                    heard,
                });
            }
            Err(error) => self.writer_watch_broke(Broken::Connection(error.to_string())),
        }
    }

    fn call_writer(
        &mut self,
        writer: SocketAddr,
        purpose: Purpose,
        request: &str,
    ) -> std::io::Result<ConnectionId> {
        let id = self
            .connections
            .open(writer, purpose, (INPUT_BOUND, REQUEST_BOUND), self.now)?;
        if let Some(connection) = self.connections.get_mut(id) {
            connection.send(request.as_bytes());
        }
        Ok(id)
    }

    fn writer_watch_broke(&mut self, broken: Broken) {
        let now = self.now;
        let RoleState::Follower(follower) = &mut self.role else {
            return;
        };
        let rest = match &broken {
            Broken::Connection(_) => REST,
            Broken::Refused(_) => REST_AFTER_REFUSAL,
        };
        follower.ask_at = now + rest;
        follower.restore = None;
        let served = follower
            .watch
            .as_ref()
            .is_some_and(|watch| watch.body.is_some());
        let writer = follower.writer;
        if let Some(watch) = follower.watch.take() {
            self.close(watch.id);
        }
        match broken {
            // One line for each break, not for each try while the writer is away.
            Broken::Connection(why) if served => {
                self.figures.writer_watches_broken += 1;
                log::warn!("the watch on the writer at {writer} broke: {why}");
            }
            Broken::Connection(why) => {
                log::debug!("the writer at {writer} cannot be watched: {why}")
            }
            Broken::Refused(why) => {
                self.figures.writer_lines_refused += 1;
                log::error!(
                    "the writer at {writer} said what is not taken, the configuration stays: {why}"
                );
            }
        }
    }

    /// Reads what has come of the watch, as whole lines.
    fn read_writer(&mut self, id: ConnectionId) -> Result<Vec<Vec<u8>>, Broken> {
        let broken = |error: std::io::Error| Broken::Connection(error.to_string());
        let malformed = || Broken::Refused("no HTTP/1.1 answer".into());
        self.connections.read(id).map_err(broken)?;
        let now = self.now;
        let (RoleState::Follower(follower), Some(connection)) =
            (&mut self.role, self.connections.get_mut(id))
        else {
            return Ok(Vec::new());
        };
        let Some(watch) = follower.watch.as_mut().filter(|watch| watch.id == id) else {
            return Ok(Vec::new());
        };
        if watch.body.is_none() {
            let Some(head) = http::take_head(&mut connection.input).map_err(|_| malformed())?
            else {
                return Ok(Vec::new());
            };
            if head.status != 200 {
                return Err(Broken::Refused(format!("it answers {}", head.status)));
            }
            watch.body = Some(head.body);
        }
        let Some(body) = watch.body.as_mut() else {
            return Ok(Vec::new());
        };
        let mut lines = Vec::new();
        let partial = &mut watch.line;
        body.take(&mut connection.input, |bytes| {
            split_lines(bytes, partial, &mut lines)
        })
        .map_err(|_| malformed())?;
        if partial.len() > LONGEST_WHOLE_LINE {
            return Err(Broken::Refused(format!(
                "a line of more than {LONGEST_WHOLE_LINE} bytes"
            )));
        }
        if !lines.is_empty() {
            watch.heard = now;
        }
        Ok(lines)
    }

    /// Takes in one line. The inner error is for a line that is refused, the outer one for a process that cannot go on.
    fn take_line(&mut self, line: &[u8]) -> Result<Result<(), Broken>, RunError> {
        if line.trim_ascii().is_empty() {
            return Ok(Ok(()));
        }
        let line: WholeLine = match serde_json::from_slice(line) {
            Ok(line) => line,
            Err(error) => {
                return Ok(Err(Broken::Refused(format!(
                    "a line cannot be read: {error}"
                ))));
            }
        };
        match line.transfer {
            Some(TransferStep::Begin) => Ok(self.begin_transfer(line).map_err(Broken::Refused)),
            Some(TransferStep::Piece) => Ok(self.take_piece(line).map_err(Broken::Refused)),
            Some(TransferStep::End) => self.end_transfer(),
            None => Ok(self.take_changes(line).map_err(Broken::Refused)),
        }
    }

    fn begin_transfer(&mut self, line: WholeLine) -> Result<(), String> {
        let point = RestorePoint {
            log: bellsill_directory::state::LogId(line.log),
            version: line.version,
            forgotten: line.forgotten.unwrap_or(line.version),
        };
        log::info!(
            "the whole configuration is transferred from the writer, at version {}",
            point.version.0
        );
        let mut restore = Restore::begin(self.config.layout.clone(), point, Keeping::default());
        restore
            .members(line.members.into_iter().map(|line| line.member).collect())
            .map_err(|e| e.to_string())?;
        let table = line
            .table
            .ok_or("a transfer begins without its assignment")?;
        restore
            .assignment(&table)
            .map_err(|error| error.to_string())?;
        if let RoleState::Follower(follower) = &mut self.role {
            follower.restore = Some(Box::new(restore));
        }
        Ok(())
    }

    fn take_piece(&mut self, line: WholeLine) -> Result<(), String> {
        let RoleState::Follower(Follower {
            restore: Some(restore),
            ..
        }) = &mut self.role
        else {
            return Err("a piece without a transfer".into());
        };
        line.servers
            .into_iter()
            .try_for_each(|entry| restore.endpoint(entry))
            .map_err(|error| error.to_string())
    }

    fn end_transfer(&mut self) -> Result<Result<(), Broken>, RunError> {
        let RoleState::Follower(follower) = &mut self.role else {
            return Ok(Ok(()));
        };
        let Some(restore) = follower.restore.take() else {
            return Ok(Err(Broken::Refused(
                "the end of a transfer that was not begun".into(),
            )));
        };
        let directory = restore.finish();
        self.sync()?;
        self.storage.begin_with(&directory)?;
        log::info!(
            "the configuration is at version {} with {} endpoints",
            directory.version().0,
            directory.entries().len()
        );
        self.figures.transfers_taken += 1;
        // The watchers' cursors are of the old one; they ask again, with `since`.
        self.close_watches();
        self.directory = Some(directory);
        Ok(Ok(()))
    }

    fn take_changes(&mut self, line: WholeLine) -> Result<(), String> {
        let log = line.log.clone();
        let version = line.version;
        let records = line.into_records().map_err(|error| error.to_string())?;
        if let RoleState::Follower(Follower {
            restore: Some(restore),
            ..
        }) = &mut self.role
        {
            return records
                .iter()
                .try_for_each(|logged| restore.apply(logged))
                .map_err(|e| e.to_string());
        }
        let Some(directory) = &self.directory else {
            return Err("changes before a transfer".into());
        };
        if !log.is_empty() && log != directory.log().0 {
            return Err(format!(
                "changes of the history {log}, this process has {}",
                directory.log().0
            ));
        }
        for logged in records {
            self.apply(logged).map_err(|error| error.to_string())?;
        }
        match version <= Version(self.version()) {
            true => Ok(()),
            false => Err(format!("version {} is told without its changes", version.0)),
        }
    }
}

/// Adds bytes to what has come of a line, and moves whole lines out of it.
fn split_lines(mut bytes: &[u8], partial: &mut Vec<u8>, lines: &mut Vec<Vec<u8>>) {
    while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
        partial.extend(&bytes[..end]);
        lines.push(std::mem::take(partial));
        bytes = &bytes[end + 1..];
    }
    partial.extend(bytes);
}
