//! Notifications: what the platform is owed for messages that were accepted and not delivered, until it has acknowledged it.

use crate::connection::{ConnectionId, Role};
use crate::delivery::Runtime;
use crate::http;
use crate::http::{Body, Head};
use crate::journal::Resolution;
use crate::timer::Timer;
use bellsill_core::interface::{MessageId, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long to wait for an answer, and before notifications that failed are sent again.
const ANSWER_TIMEOUT: Nanos = 400_000_000;

const MIN_BACKOFF: Nanos = 50_000_000;

const MAX_BACKOFF: Nanos = 200_000_000;

/// The most notifications of one request, and the most that it can take.
const MAX_BATCH: usize = 256;

const MAX_REQUEST_BYTES: usize = 64 * 1024;

pub struct Notifications {
    addr: SocketAddr,
    pending: BTreeMap<MessageId, Resolution>,
    /// Those whose records are not written yet: until then, or until this time, they wait.
    unrecorded_until: BTreeMap<MessageId, Nanos>,
    /// Those of the request that is out.
    in_flight: Vec<MessageId>,
    conn: Option<ConnectionId>,
    /// After a failure nothing is sent for a while, longer each time.
    backing_off: bool,
    backoff: Nanos,
    head: Option<Head>,
}

impl Notifications {
    pub fn new(addr: SocketAddr) -> Notifications {
        Notifications {
            addr,
            pending: BTreeMap::new(),
            unrecorded_until: BTreeMap::new(),
            in_flight: vec![],
            conn: None,
            backing_off: false,
            backoff: MIN_BACKOFF,
            head: None,
        }
    }

    pub fn enqueue(&mut self, id: MessageId, ending: Resolution) {
        self.pending.insert(id, ending);
    }

    /// Owes a notice whose record could not be written. Sent at once, a kill would forget it, and the message would go out
    /// after its notice. At `due` it is sent in any case: nothing goes out for the message from then on.
    pub fn enqueue_once_recorded(&mut self, id: MessageId, ending: Resolution, due: Nanos) {
        self.enqueue(id, ending);
        self.unrecorded_until.insert(id, due);
    }

    /// All records are written now.
    pub fn recorded(&mut self) {
        self.unrecorded_until.clear();
    }

    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    pub(crate) fn lines(&self) -> String {
        let line = |id: &MessageId| match self.pending[id] {
            Resolution::Failed => format!("{{\"ref\":\"{:016x}\",\"result\":\"dead\"}}\n", id.0),
            Resolution::Rejected { retry_after: wait } => {
                let ms = wait.div_ceil(1_000_000);
                format!(
                    "{{\"ref\":\"{:016x}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n",
                    id.0
                )
            }
        };
        self.in_flight.iter().map(line).collect()
    }
}

impl Runtime {
    /// Sends what is pending, one request at a time.
    pub fn send_notifications(&mut self) {
        let n = &mut self.notifications;
        if n.pending.is_empty() || !n.in_flight.is_empty() || n.backing_off {
            return;
        }
        let now = self.now;
        let may_go = |id: &MessageId| n.unrecorded_until.get(id).is_none_or(|&until| now >= until);
        n.in_flight = n
            .pending
            .keys()
            .copied()
            .filter(may_go)
            .take(MAX_BATCH)
            .collect();
        if n.in_flight.is_empty() {
            return;
        }
        let request = http::notification_request(n.addr, &n.lines());
        let id = match n.conn {
            Some(id) => id,
            None => match self.connections.open(
                n.addr,
                Role::Notifications,
                (http::MAX_HEAD_BYTES, MAX_REQUEST_BYTES),
            ) {
                Ok(id) => id,
                Err(_) => return self.notification_failed(),
            },
        };
        self.notifications.conn = Some(id);
        if let Some(conn) = self.connections.get_mut(id) {
            conn.output.push(request.as_bytes());
        }
        self.deadlines
            .set(Timer::Connection(id), self.now + ANSWER_TIMEOUT);
        if self.connections.flush(id).is_err() {
            self.notification_failed();
        }
    }

    /// The request failed, or an idle connection ended. What is pending stays so: a notice told twice does no harm.
    pub fn notification_failed(&mut self) {
        if let Some(id) = self.notifications.conn.take() {
            self.deadlines.clear(Timer::Connection(id));
            self.connections.close(id);
        }
        self.notifications.head = None;
        if !std::mem::take(&mut self.notifications.in_flight).is_empty() {
            self.notifications.backing_off = true;
            self.deadlines.set(
                Timer::NotificationRetry,
                self.now + self.notifications.backoff,
            );
            self.notifications.backoff = (self.notifications.backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Notifications go elsewhere from now on, those too that are out and have no answer.
    pub fn set_notification_address(&mut self, addr: SocketAddr) {
        if addr != self.notifications.addr {
            self.notifications.addr = addr;
            self.notification_failed();
            self.deadlines.clear(Timer::NotificationRetry);
            (self.notifications.backing_off, self.notifications.backoff) = (false, MIN_BACKOFF);
        }
    }

    pub fn end_notification_backoff(&mut self) {
        self.notifications.backing_off = false;
    }

    pub fn notification_ready(&mut self, id: ConnectionId) {
        if self.read_notification_answer(id).is_err() {
            self.notification_failed();
        }
    }

    pub(crate) fn read_notification_answer(
        &mut self,
        id: ConnectionId,
    ) -> Result<(), http::Malformed> {
        let broken = |_| http::Malformed;
        if self.connections.get(id).is_some_and(|c| c.connecting) {
            self.connections.finish_connect(id).map_err(broken)?;
        }
        self.connections.read(id).map_err(broken)?;
        let Some(conn) = self.connections.get_mut(id) else {
            return Ok(());
        };
        if self.notifications.head.is_none() {
            self.notifications.head = http::take_head(&mut conn.input)?;
        }
        if let Some(head) = &mut self.notifications.head {
            head.body.take(&mut conn.input, |_| {})?;
            if head.body == Body::Done {
                let (status, last) = (head.status, head.closes_connection);
                self.notifications.head = None;
                if status != 204 && status != 200 {
                    log::warn!(
                        "notifications: a request with {} of them was answered with status {status}",
                        self.notifications.in_flight.len()
                    );
                    return Err(http::Malformed);
                }
                self.deadlines.clear(Timer::Connection(id));
                self.notifications.backoff = MIN_BACKOFF;
                for message in std::mem::take(&mut self.notifications.in_flight) {
                    self.notifications.pending.remove(&message);
                    self.notifications.unrecorded_until.remove(&message);
                    // Until it is written, a restart would tell it once more.
                    let _ = self.journal.append_notified(message);
                }
                if last {
                    return Err(http::Malformed);
                }
            }
        }
        if self.connections.get(id).is_some_and(|c| c.peer_closed) {
            return Err(http::Malformed);
        }
        self.connections.flush(id).map_err(broken)
    }
}
