//! Connections of operators: reading requests, answering them.

use super::disabled::DISABLED_FILE;
use crate::admin::{Gauges, MAX_DISABLED, Request, parse, render, scope_lines, set_disabled_flag};
use crate::connection::{ConnectionId, MAX_ADMIN_CONNECTIONS, Role};
use crate::delivery::Runtime;
use crate::event_loop::Daemon;
use crate::timer::Timer;
use bellsill_core::interface::Nanos;

/// The longest call line, its end included; what is longer is answered `FAILURE` and the caller closed.
pub const MAX_LINE_BYTES: usize = 512;

const TOO_LONG: &str = "a call is 512 bytes at most";

/// Room for the answer to `show-stat`: a few lines a class.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// How long a caller may take to send a whole line, and to read its answer.
const REQUEST_TIMEOUT: Nanos = 2_000_000_000;

impl Runtime {
    /// Closes a caller.
    pub fn close_admin(&mut self, id: ConnectionId) {
        self.deadlines.clear(Timer::Connection(id));
        self.connections.close(id);
    }
}

impl Daemon {
    /// Lets callers in; with all their places taken, the caller used longest ago gives way. Callers that say nothing would
    /// else hold all places; the harm is a slow caller of many, cut off.
    pub fn accept_admin_connections(&mut self) {
        for _ in 0..MAX_ADMIN_CONNECTIONS {
            if self.runtime.connections.admin_full() {
                let callers = self
                    .runtime
                    .connections
                    .iter()
                    .filter(|(_, c)| c.role == Role::Admin);
                let first = callers.map(|(id, c)| (c.last_active, id)).min();
                first
                    .into_iter()
                    .for_each(|(_, id)| self.runtime.close_admin(id));
            }
            match self
                .runtime
                .connections
                .accept_admin(MAX_LINE_BYTES.max(MAX_ANSWER_BYTES))
            {
                Ok(Some(id)) => {
                    let now = self.runtime.now;
                    self.runtime
                        .connections
                        .get_mut(id)
                        .into_iter()
                        .for_each(|c| c.last_active = now);
                    self.runtime
                        .deadlines
                        .set(Timer::Connection(id), now + REQUEST_TIMEOUT);
                }
                Ok(None) => return,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) => return log::warn!("an admin connection could not be accepted: {e}"),
            }
        }
    }

    /// Answers the calls of a caller that have come whole.
    pub fn admin_ready(&mut self, id: ConnectionId) {
        let broken = self.runtime.connections.read(id).is_err();
        loop {
            let Some(conn) = self.runtime.connections.get_mut(id) else {
                return;
            };
            let bytes = conn.input.contiguous();
            let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                if conn.input.len() >= MAX_LINE_BYTES {
                    conn.output.push(format!("FAILURE {TOO_LONG}\n").as_bytes());
                    conn.close_after_output = true;
                    conn.input.consume(conn.input.len());
                }
                break;
            };
            let line = bytes[..end]
                .strip_suffix(b"\r")
                .unwrap_or(&bytes[..end])
                .to_vec();
            conn.input.consume(end + 1);
            let answer = match parse(&line) {
                _ if end >= MAX_LINE_BYTES => format!("FAILURE {TOO_LONG}\n"),
                Ok(request) => self.handle(request),
                Err(why) => format!("FAILURE {why}\n"),
            };
            let now = self.runtime.now;
            if let Some(conn) = self.runtime.connections.get_mut(id) {
                if !conn.output.push(answer.as_bytes()) {
                    conn.close_after_output = true;
                }
                conn.last_active = now;
            }
        }
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let done = (conn.close_after_output || conn.peer_closed) && conn.output.is_empty();
        if broken || runtime.connections.flush(id).is_err() || done {
            return runtime.close_admin(id);
        }
        let used = runtime
            .connections
            .get(id)
            .map_or(runtime.now, |c| c.last_active);
        runtime
            .deadlines
            .set(Timer::Connection(id), used + REQUEST_TIMEOUT);
    }

    /// The answer to `show-stat`, with what there is to say on the scoped configuration.
    pub(crate) fn with_scope(&self, text: String) -> String {
        let discovery = &self.runtime.discovery;
        let (Some(list), Some(file)) = (discovery.scoped_list(), &self.scope_file) else {
            return text;
        };
        let lines = scope_lines(list, discovery.counters(), file);
        text.replace("EOT\n", &format!("{lines}EOT\n"))
    }

    /// Does what is asked and says how it went.
    pub(crate) fn handle(&mut self, request: Request) -> String {
        let out = matches!(request, Request::Disable(_));
        match request {
            Request::Ready if self.accepts_clients() => "SUCCESS ready\n".into(),
            Request::Ready => "FAILURE not ready: draining or leaving\n".into(),
            Request::ShowStat => {
                let gauges = Gauges {
                    pending: self.runtime.messages.len(),
                    members: self
                        .runtime
                        .endpoints
                        .ids()
                        .filter(|&e| self.runtime.endpoints[e].serving)
                        .count(),
                    unavailable: self.dispatcher.unavailable_endpoints(),
                };
                let text = render(&self.runtime.metrics, &self.runtime.class_names, &gauges);
                self.with_scope(text)
            }
            Request::Drain => {
                self.drain(true);
                "SUCCESS draining\n".into()
            }
            Request::Resume => {
                self.drain(false);
                "SUCCESS serving\n".into()
            }
            Request::Disable(name) | Request::Enable(name)
                if self.runtime.endpoints.find(&name).is_none() =>
            {
                format!("FAILURE unknown endpoint `{}`\n", name.escape_debug())
            }
            Request::Disable(name) | Request::Enable(name) => {
                // What another process of this folder has written meanwhile stays.
                self.refresh_disabled();
                let mut held = self.runtime.disabled.clone();
                let changed = set_disabled_flag(&mut held, &name, out);
                if held.len() > MAX_DISABLED {
                    return format!("FAILURE {MAX_DISABLED} endpoints are out already\n");
                }
                log::info!(
                    "endpoint {name} {} by an admin request",
                    if out { "disabled" } else { "enabled" }
                );
                self.replace_disabled(held);
                if changed {
                    self.unsaved_disabled.insert(name.clone(), out);
                    if let Err(e) = self.save_disabled() {
                        log::error!("{DISABLED_FILE}: cannot be written, will retry: {e}");
                    }
                }
                format!("SUCCESS {name} is {}\n", if out { "out" } else { "back" })
            }
        }
    }
}
