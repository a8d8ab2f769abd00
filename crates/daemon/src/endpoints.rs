//! Endpoints: their connections, idle ones kept for the next call, and the calls on them.

use crate::conns::{ConnectionId, Role};
use crate::endpoint_list::{self, EndpointList, ListedEndpoint};
use crate::event_loop::Daemon;
use crate::http::{self, Head};
use crate::messages::{MessageSlot, Runtime, Timer};
use crate::resp::MAX_COMMAND_BYTES;
use crate::scope;
use bellsill_core::interface::*;
use bellsill_discovery_client::Applied;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

pub struct Endpoint {
    /// Its name in the list; empty once it is forgotten.
    name: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub serving: bool,
    /// Where it was listed last; none once it is forgotten.
    pub destination: Option<u64>,
    /// The last one was used last.
    pub idle: Vec<ConnectionId>,
}

#[derive(Default)]
pub struct Endpoints {
    rows: Vec<Endpoint>,
    /// Rows of endpoints that are forgotten, for the next ones.
    free: Vec<EndpointId>,
    by_name: BTreeMap<String, EndpointId>,
    /// How many endpoints are known of each destination.
    by_destination: BTreeMap<u64, usize>,
    /// The attempts that connections carry or rise for.
    pub attempts: BTreeMap<ConnectionId, MessageSlot>,
    /// Answers to calls that have begun to come.
    pub responses: BTreeMap<ConnectionId, ResponseProgress>,
    /// Connections on which the rest of an answer that is known is still to come.
    pub draining_responses: BTreeMap<ConnectionId, ResponseProgress>,
}

/// An answer as far as it has come: its head, once that is whole, and how much more may come.
pub struct ResponseProgress {
    head: Option<Head>,
    left: u64,
}

/// The most that an answer's body may take.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// How long an answer may take from its first byte to its last. One that does not end would else hold its slot until the
/// time-out; it covers peers that stall within an answer. The harm: a slower one counts as spoilt.
const RESPONSE_TIMEOUT: Nanos = 1_000_000_000;

impl Index<EndpointId> for Endpoints {
    type Output = Endpoint;
    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.rows[id.0 as usize]
    }
}

impl IndexMut<EndpointId> for Endpoints {
    fn index_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.rows[id.0 as usize]
    }
}

impl Endpoints {
    /// The number of a listed endpoint, which is given one if it has none.
    pub fn register(&mut self, listed: &ListedEndpoint, addr: SocketAddr) -> EndpointId {
        if let Some(id) = self.find(&listed.name) {
            return id;
        }
        *self.by_destination.entry(listed.destination).or_default() += 1;
        let row = Endpoint {
            name: listed.name.clone(),
            addr,
            zone: listed.zone.clone(),
            kind: listed.kind.clone(),
            serving: false,
            destination: Some(listed.destination),
            idle: vec![],
        };
        let id = match self.free.pop() {
            Some(id) => {
                self[id] = row;
                id
            }
            None => {
                self.rows.push(row);
                EndpointId(self.rows.len() as u32 - 1)
            }
        };
        self.by_name.insert(listed.name.clone(), id);
        id
    }

    /// Takes the name from an endpoint whose entry now says another destination, zone or kind: what goes to it, and may be
    /// repeated there, hangs on all three, so that name is another endpoint's from now on. The number of the old one.
    fn release_name(&mut self, listed: &ListedEndpoint) -> Option<EndpointId> {
        let id = self.find(&listed.name)?;
        let row = &mut self[id];
        let same = row.destination == Some(listed.destination)
            && row.zone == listed.zone
            && row.kind == listed.kind;
        if same {
            return None;
        }
        row.name.clear();
        self.by_name.remove(&listed.name);
        Some(id)
    }

    /// Endpoints come under new names for as long as a dispatcher runs: one that the decisions have forgotten gives its
    /// row to the next one.
    pub fn remove(&mut self, id: EndpointId) {
        let name = std::mem::take(&mut self[id].name);
        self.by_name.remove(&name);
        if let Some(destination) = self[id].destination.take() {
            self.decrement_destination(destination);
        }
        self.free.push(id);
    }

    fn decrement_destination(&mut self, destination: u64) {
        let Some(known) = self.by_destination.get_mut(&destination) else {
            return;
        };
        *known -= 1;
        if *known == 0 {
            self.by_destination.remove(&destination);
        }
    }

    /// Whether any endpoint is known of that destination, gone ones too: news of the next one may be late.
    pub fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.rows.len() as u32).map(EndpointId)
    }
}

/// Whether a connection could not be opened for want of something on this machine.
fn is_local(e: &std::io::Error) -> bool {
    matches!(
        e.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
    )
}

impl Runtime {
    /// Finds a connection for an attempt: an idle one, or a new one that has to come up.
    pub fn connect_attempt(&mut self, slot: MessageSlot, endpoint: EndpointId) {
        while let Some(conn) = self.endpoints[endpoint].idle.pop() {
            // After a stand-still its time may be up, and its deadline not seen yet.
            let in_time = !self.deadlines.is_expired(Timer::Connection(conn), self.now);
            self.deadlines.clear(Timer::Connection(conn));
            // The other side may have closed it, and the poller not yet told: a call written then would be lost.
            let good = in_time
                && self.connections.read(conn).is_ok()
                && self
                    .connections
                    .get(conn)
                    .is_some_and(|c| !c.peer_closed && c.input.is_empty());
            if good {
                return self.write_request(slot, conn);
            }
            self.connections.close(conn);
        }
        if self.connections.is_full() {
            self.close_oldest_idle();
        }
        let bounds = (http::MAX_HEAD_BYTES, MAX_COMMAND_BYTES);
        let opened = match !self.connections.is_full() {
            true => self.connections.open(
                self.endpoints[endpoint].addr,
                Role::Endpoint(endpoint),
                bounds,
            ),
            false => Err(std::io::Error::other("no descriptor is left")),
        };
        match opened {
            Ok(conn) => {
                self.endpoints.attempts.insert(conn, slot);
                self.deadlines
                    .set(Timer::Connection(conn), self.now + self.connect_timeout);
                if let Some(call) = self.messages.get_mut(slot).and_then(|m| m.attempt.as_mut()) {
                    call.connection = Some(conn);
                }
                self.transition(slot, crate::messages::DeliveryState::Connecting);
            }
            // Nobody was asked: taken for a refusal it would speak against the endpoint.
            Err(e) if self.connections.is_full() || is_local(&e) => {
                self.end_attempt(slot, Outcome::NotStarted, false)
            }
            Err(_) => self.end_attempt(slot, Outcome::ConnectFailed, false),
        }
    }

    /// Keeps a connection for the next call, while it is sure to be good.
    pub fn pool(&mut self, id: ConnectionId) {
        let Some(conn) = self.connections.get(id) else {
            return;
        };
        let Role::Endpoint(endpoint) = conn.role else {
            return;
        };
        let row = &self.endpoints[endpoint];
        // An endpoint that has moved while the call was out is elsewhere now.
        let there = conn.opened_to == Some(row.addr);
        if conn.peer_closed || !conn.input.is_empty() || !row.serving || !there {
            self.connections.close(id);
            return;
        }
        self.endpoints[endpoint].idle.push(id);
        // A request written when the other side has just closed is lost, so it is closed here a little earlier.
        self.deadlines
            .set(Timer::Connection(id), self.now + self.keep_alive / 20 * 19);
        if self.connections.arm(id).is_err() {
            self.close_idle(id);
        }
    }

    /// Closes a connection that no call is on.
    pub fn close_idle(&mut self, id: ConnectionId) {
        if let Some(Role::Endpoint(endpoint)) = self.connections.get(id).map(|c| c.role) {
            self.endpoints[endpoint].idle.retain(|c| *c != id);
        }
        self.endpoints.draining_responses.remove(&id);
        self.deadlines.clear(Timer::Connection(id));
        self.connections.close(id);
    }

    /// Gives back the idle connection that was used longest ago, so that a client or a call finds a descriptor.
    pub fn close_oldest_idle(&mut self) -> bool {
        let idle = |id: EndpointId| self.endpoints[id].idle.first().copied();
        let Some(oldest) = self.endpoints.ids().filter_map(idle).next() else {
            return false;
        };
        self.close_idle(oldest);
        true
    }

    /// Whether an attempt's time is not up.
    fn in_time(&self, slot: MessageSlot) -> bool {
        self.messages
            .get(slot)
            .and_then(|m| m.attempt)
            .is_some_and(|c| self.now < c.deadline)
    }

    /// Reads on in an answer. True: it is whole.
    fn read_response(
        &mut self,
        id: ConnectionId,
        answer: &mut ResponseProgress,
    ) -> Result<bool, http::Malformed> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Err(http::Malformed);
        };
        if answer.head.is_none() {
            answer.head = http::take_head(&mut conn.input)?;
        }
        let Some(head) = &mut answer.head else {
            return Ok(false);
        };
        let whole = head.body.discard(&mut conn.input, &mut answer.left)?;
        // Without a length it ends with its connection.
        Ok(whole || (conn.peer_closed && head.body == http::Body::UntilEnd))
    }

    /// The answer to a call, as far as it has come. True: it is known. Anything but a message relayed is believed only when
    /// the answer is whole and sound: a spoilt one may stand for a message that ran, and would go out again.
    pub fn read_attempt_response(
        &mut self,
        id: ConnectionId,
        slot: MessageSlot,
    ) -> Result<bool, http::Malformed> {
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(true);
        };
        if conn.input.is_empty() && !conn.peer_closed {
            return Ok(false);
        }
        let written = conn.output.is_empty();
        let begun = self.endpoints.responses.remove(&id);
        if begun.is_none() {
            self.deadlines
                .set(Timer::Connection(id), self.now + RESPONSE_TIMEOUT);
        }
        let mut answer = begun.unwrap_or(ResponseProgress {
            head: None,
            left: MAX_BODY_BYTES,
        });
        let read = self.read_response(id, &mut answer);
        let first = self
            .connections
            .get_mut(id)
            .is_some_and(|c| http::starts_with_success(c.input.contiguous()));
        let (status, retry_after) = answer
            .head
            .as_ref()
            .map_or((0, None), |head| (head.status, head.retry_after));
        let relayed = status == 200 || (answer.head.is_none() && first);
        let outcome = match status {
            _ if relayed => Outcome::Delivered,
            _ if !read? => {
                self.endpoints.responses.insert(id, answer);
                return Ok(false);
            }
            503 if retry_after.is_none()
                && answer.head.as_ref().is_some_and(|head| head.no_capacity) =>
            {
                Outcome::NotSent { no_capacity: true }
            }
            // A server with no place for one more connection takes it, says so and closes it: no limit was met. Could
            // take another refusal for that, where the server closes after each: that route alone then rests.
            503 if retry_after.is_none()
                && answer
                    .head
                    .as_ref()
                    .is_some_and(|head| head.closes_connection) =>
            {
                Outcome::ConnectFailed
            }
            429 | 503 => Outcome::RateLimited { retry_after },
            504 | 410 => Outcome::NotSent { no_capacity: false },
            _ => Outcome::ServerError,
        };
        let report = answer
            .head
            .as_ref()
            .and_then(|head| head.load_report)
            .filter(|_| self.reports_limits);
        self.apply_load_report(slot, report);
        self.endpoints.attempts.remove(&id);
        match read {
            Ok(whole)
                if written
                    && !answer
                        .head
                        .as_ref()
                        .is_some_and(|head| head.closes_connection) =>
            {
                self.endpoints.draining_responses.insert(id, answer);
                if whole {
                    self.response_complete(id);
                } else if self.connections.arm(id).is_err() {
                    self.close_idle(id);
                }
            }
            _ => self.close_idle(id),
        }
        self.end_attempt(slot, outcome, status == 410);
        Ok(true)
    }

    /// A report that cannot be read changes nothing; that is said once.
    fn apply_load_report(
        &mut self,
        slot: MessageSlot,
        report: Option<Result<f64, http::InvalidLoadReport>>,
    ) {
        match (
            report,
            self.messages.get_mut(slot).and_then(|m| m.attempt.as_mut()),
        ) {
            (Some(Ok(limit)), Some(call)) => call.reported_limit = Some(limit),
            (Some(Err(http::InvalidLoadReport)), _)
                if !std::mem::replace(&mut self.invalid_report_logged, true) =>
            {
                log::warn!(
                    "a load report has no `{}` between 0 and 1e9; such reports are ignored",
                    http::LIMIT
                )
            }
            _ => {}
        }
    }

    /// An answer is whole: its connection is kept for the next call.
    fn response_complete(&mut self, id: ConnectionId) {
        self.endpoints.draining_responses.remove(&id);
        self.deadlines.clear(Timer::Connection(id));
        self.pool(id);
    }
}

impl Daemon {
    /// Something happened on a connection to an endpoint.
    pub fn endpoint_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let Some(conn) = runtime.connections.get(id) else {
            return;
        };
        let Some(&slot) = runtime.endpoints.attempts.get(&id) else {
            return self.unassigned_ready(id);
        };
        if conn.connecting {
            return self.connection_established(id, slot);
        }
        let filled = runtime.connections.read(id);
        let ended = filled.is_err() || runtime.connections.get(id).is_some_and(|c| c.peer_closed);
        match self.runtime.read_attempt_response(id, slot) {
            Ok(true) => {}
            // What is not written by its time is not written later: its deadline is the next thing seen.
            Ok(false) if !ended && !self.runtime.in_time(slot) => {}
            // Half written, and its window has closed, or a drain or a wait has begun: what is not whole never runs.
            Ok(false) if !ended && self.must_abort_partial_request(slot) => {
                self.runtime.abort_attempt(slot, Outcome::ConnectionReset)
            }
            Ok(false) if !ended && self.runtime.connections.flush(id).is_ok() => {}
            // The end before an answer: nobody knows whether it ran.
            Ok(_) => self.runtime.abort_attempt(slot, Outcome::ConnectionReset),
            Err(_) => self.runtime.abort_attempt(slot, Outcome::MalformedResponse),
        }
    }

    /// While the connection came up its endpoint may have started to drain, a wait may have begun there, or the window in
    /// which the message may be repeated may have closed: only the decisions know. Or its time is up, and its deadline is the
    /// next thing seen: a dispatcher that stood still would otherwise send messages whose queue lifetime is long over. A message
    /// turned back here has not been sent, and the connection is kept.
    fn connection_established(&mut self, id: ConnectionId, slot: MessageSlot) {
        let runtime = &mut self.runtime;
        match runtime.connections.finish_connect(id) {
            Ok(()) => {
                runtime.deadlines.clear(Timer::Connection(id));
                let call = runtime
                    .messages
                    .get(slot)
                    .and_then(|m| Some((m.id, m.attempt?.endpoint)));
                let open = call.is_some_and(|(message, e)| {
                    self.dispatcher.may_start_attempt(runtime.now, message, e)
                });
                if open && runtime.in_time(slot) {
                    runtime.write_request(slot, id);
                } else {
                    runtime.endpoints.attempts.remove(&id);
                    runtime.pool(id);
                    runtime.end_attempt(slot, Outcome::NotSent { no_capacity: false }, false);
                }
            }
            Err(_) => runtime.abort_attempt(slot, Outcome::ConnectFailed),
        }
    }

    /// Whether a call is not whole yet, and might not begin now.
    fn must_abort_partial_request(&self, slot: MessageSlot) -> bool {
        let Some((id, call)) = self
            .runtime
            .messages
            .get(slot)
            .and_then(|m| Some((m.id, m.attempt?)))
        else {
            return false;
        };
        let half = call
            .connection
            .and_then(|c| self.runtime.connections.get(c))
            .is_some_and(|c| !c.output.is_empty());
        half && !self
            .dispatcher
            .may_start_attempt(self.runtime.now, id, call.endpoint)
    }

    fn unassigned_ready(&mut self, id: ConnectionId) {
        let runtime = &mut self.runtime;
        let mut good = runtime.connections.read(id).is_ok();
        let Some(conn) = runtime.connections.get_mut(id) else {
            return;
        };
        good &= !conn.peer_closed;
        let empty = conn.input.is_empty();
        if let Some(mut answer) = runtime.endpoints.draining_responses.remove(&id) {
            let last = |answer: &ResponseProgress| {
                answer
                    .head
                    .as_ref()
                    .is_some_and(|head| head.closes_connection)
            };
            match runtime.read_response(id, &mut answer) {
                Ok(true) if !last(&answer) => return runtime.response_complete(id),
                Ok(false) if good && !last(&answer) => {
                    runtime.endpoints.draining_responses.insert(id, answer);
                }
                _ => good = false,
            }
        } else {
            // Nothing is owed on an idle connection.
            good &= empty;
        }
        if !good || runtime.connections.arm(id).is_err() {
            runtime.close_idle(id);
        }
    }
}

impl Daemon {
    /// Applies what has changed in the scoped configuration. A destination that is no longer kept, and for which messages are
    /// held, is looked up.
    pub fn apply_changes(&mut self, applied: &Applied) {
        if applied.changed.is_empty() && applied.dropped.is_empty() {
            return;
        }
        self.apply_list(&scope::list_of(applied, self.runtime.discovery.names()));
        let dropped: BTreeSet<u64> = applied
            .dropped
            .iter()
            .map(|entry| entry.destination)
            .collect();
        for destination in dropped {
            if self
                .runtime
                .pending_by_destination
                .contains_key(&destination)
                && self.look_up(destination).is_err()
            {
                log::warn!(
                    "destination {destination} cannot be looked up: every cache entry is in use"
                );
            }
        }
    }

    /// Applies a list, whole or of changes.
    pub fn apply_list(&mut self, list: &EndpointList) {
        let runtime = &mut self.runtime;
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for listed in &list.endpoints {
            let replaced = runtime.remove_replaced(listed);
            let retry_after_until =
                replaced.map(|old| self.dispatcher.suspended_until(old.endpoint));
            entries.extend(replaced);
            match runtime.entry(listed) {
                Ok(entry) => entries.extend(entry.map(|entry| EndpointEntry {
                    retry_after_until,
                    ..entry
                })),
                Err(what) => endpoint_list::warn_of_entry(what),
            }
        }
        runtime.discovery.told(list.version);
        // By their ids: asked of each endpoint, a list of thousands would stop all else for seconds.
        let told: BTreeMap<EndpointId, bool> =
            entries.iter().map(|e| (e.endpoint, e.serving)).collect();
        if list.whole {
            for id in runtime.endpoints.ids().filter(|id| !told.contains_key(id)) {
                runtime.set_serving(id, false);
            }
        }
        for (id, serving) in told {
            runtime.set_serving(id, serving);
        }
        // PendingMessage out by hand, whatever the list says: the decisions know before they hear of it.
        let held: Vec<EndpointId> = runtime
            .disabled
            .iter()
            .filter_map(|name| runtime.endpoints.find(name))
            .collect();
        for id in held {
            self.dispatcher.set_disabled(runtime.now, id, true, runtime);
        }
        let scope = if list.whole {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.dispatcher
            .update_endpoints(runtime.now, scope, &entries, runtime);
    }
}

impl Runtime {
    /// What the decisions are told of the endpoint that had a listed one's name and is another by its entry: it is gone.
    fn remove_replaced(&mut self, listed: &ListedEndpoint) -> Option<EndpointEntry> {
        if !listed.serving {
            return None;
        }
        let endpoint = self.endpoints.release_name(listed)?;
        let destination = self.endpoints[endpoint].destination.unwrap_or_default();
        log::info!(
            "endpoint {} was replaced by its new entry, the old one belonged to destination {destination}",
            listed.name
        );
        Some(EndpointEntry {
            endpoint,
            destination: DestinationId(destination),
            ..EndpointEntry::default()
        })
    }

    /// What the decisions are told of a listed endpoint; nothing of one that never served and does not now, since nothing
    /// hangs on it. Else the field that cannot be read.
    fn entry(&mut self, listed: &ListedEndpoint) -> Result<Option<EndpointEntry>, &'static str> {
        let known = self.endpoints.find(&listed.name);
        let addr = match (listed.addr, known) {
            (Some(addr), _) => addr,
            (None, Some(id)) if !listed.serving => self.endpoints[id].addr,
            _ => return Err("addr"),
        };
        if known.is_none() && !listed.serving {
            return Ok(None);
        }
        let endpoint = self.endpoints.register(listed, addr);
        if self.endpoints[endpoint].addr != addr {
            self.relocate_endpoint(endpoint, addr);
        }
        let names = self.discovery.names();
        let find = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(usize::MAX)
        };
        Ok(Some(EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(listed.name.as_bytes()),
            destination: DestinationId(listed.destination),
            zone: ZoneId(find(&names.zones, &listed.zone)),
            kind: KindId(find(&names.kinds, &listed.kind)),
            serving: listed.serving,
            rate: listed.rate,
            retry_after_until: None,
        }))
    }

    /// Whether an endpoint takes messages; the idle connections to one that does not are closed.
    fn set_serving(&mut self, endpoint: EndpointId, serving: bool) {
        self.endpoints[endpoint].serving = serving;
        if !serving {
            self.close_idle_connections(endpoint);
        }
    }

    /// An endpoint listens elsewhere from now on.
    fn relocate_endpoint(&mut self, endpoint: EndpointId, addr: SocketAddr) {
        self.close_idle_connections(endpoint);
        self.endpoints[endpoint].addr = addr;
        // What still comes up at the old address would be somebody else's by then.
        let rises = |id: &ConnectionId| {
            self.connections
                .get(*id)
                .is_some_and(|c| c.connecting && c.role == Role::Endpoint(endpoint))
        };
        let calls = self.endpoints.attempts.iter().filter(|(id, _)| rises(id));
        for slot in calls.map(|(_, slot)| *slot).collect::<Vec<_>>() {
            self.abort_attempt(slot, Outcome::NotSent { no_capacity: false });
        }
    }
}
