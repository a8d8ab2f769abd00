//! Notices: what the platform is owed for messages that were accepted and not relayed, until it has answered.

use crate::conns::{ConnId, Role};
use crate::http::{self, Body, Head};
use crate::journal::Resolution;
use crate::messages::{Due, Runtime};
use bellsill_core::interface::{MessageId, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long to wait for an answer, and before notices that failed are sent again.
const ANSWER_WITHIN: Nanos = 400_000_000;
const AGAIN: Nanos = 50_000_000;
const AGAIN_MOST: Nanos = 200_000_000;
/// The most notices of one request, and the most that it can take.
const MOST: usize = 256;
const BYTES_MOST: usize = 64 * 1024;

pub struct Notices {
    addr: SocketAddr,
    owed: BTreeMap<MessageId, Resolution>,
    /// Those whose records are not written yet: until then, or until this time, they wait.
    unrecorded_until: BTreeMap<MessageId, Nanos>,
    /// Those of the request that is out.
    out: Vec<MessageId>,
    conn: Option<ConnId>,
    /// After a failure nothing is sent for a while, longer each time.
    rests: bool,
    again: Nanos,
    head: Option<Head>,
}

impl Notices {
    pub fn new(addr: SocketAddr) -> Notices {
        Notices {
            addr,
            owed: BTreeMap::new(),
            unrecorded_until: BTreeMap::new(),
            out: vec![],
            conn: None,
            rests: false,
            again: AGAIN,
            head: None,
        }
    }

    pub fn owe(&mut self, id: MessageId, ending: Resolution) {
        self.owed.insert(id, ending);
    }

    /// Owes a notice whose record could not be written. Sent at once, a kill would forget it, and the message would go out
    /// after its notice. At `due` it is sent in any case: nothing goes out for the message from then on.
    pub fn owe_once_recorded(&mut self, id: MessageId, ending: Resolution, due: Nanos) {
        self.owe(id, ending);
        self.unrecorded_until.insert(id, due);
    }

    /// All records are written now.
    pub fn recorded(&mut self) {
        self.unrecorded_until.clear();
    }

    pub fn owed(&self) -> usize {
        self.owed.len()
    }

    fn lines(&self) -> String {
        let line = |id: &MessageId| match self.owed[id] {
            Resolution::Failed => format!("{{\"ref\":\"{:016x}\",\"result\":\"dead\"}}\n", id.0),
            Resolution::Rejected { retry_after: wait } => {
                let ms = wait.div_ceil(1_000_000);
                format!(
                    "{{\"ref\":\"{:016x}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n",
                    id.0
                )
            }
        };
        self.out.iter().map(line).collect()
    }
}

impl Runtime {
    /// Sends what is owed, one request at a time.
    pub fn send_notices(&mut self) {
        let n = &mut self.notices;
        if n.owed.is_empty() || !n.out.is_empty() || n.rests {
            return;
        }
        let now = self.now;
        let may_go = |id: &MessageId| n.unrecorded_until.get(id).is_none_or(|&until| now >= until);
        n.out = n.owed.keys().copied().filter(may_go).take(MOST).collect();
        if n.out.is_empty() {
            return;
        }
        let request = http::notification_request(n.addr, &n.lines());
        let id = match n.conn {
            Some(id) => id,
            None => match self
                .conns
                .open(n.addr, Role::Notices, (http::MAX_HEAD_BYTES, BYTES_MOST))
            {
                Ok(id) => id,
                Err(_) => return self.notices_broke(),
            },
        };
        self.notices.conn = Some(id);
        if let Some(conn) = self.conns.get_mut(id) {
            conn.output.push(request.as_bytes());
        }
        self.deadlines.set(Due::Conn(id), self.now + ANSWER_WITHIN);
        if self.conns.flush(id).is_err() {
            self.notices_broke();
        }
    }

    /// The request failed, or an idle connection ended. What is owed stays so: a notice told twice does no harm.
    pub fn notices_broke(&mut self) {
        if let Some(id) = self.notices.conn.take() {
            self.deadlines.clear(Due::Conn(id));
            self.conns.close(id);
        }
        self.notices.head = None;
        if !std::mem::take(&mut self.notices.out).is_empty() {
            self.notices.rests = true;
            self.deadlines
                .set(Due::Notices, self.now + self.notices.again);
            self.notices.again = (self.notices.again * 2).min(AGAIN_MOST);
        }
    }

    /// Notices go elsewhere from now on, those too that are out and have no answer.
    pub fn notify_at(&mut self, addr: SocketAddr) {
        if addr != self.notices.addr {
            self.notices.addr = addr;
            self.notices_broke();
            self.deadlines.clear(Due::Notices);
            (self.notices.rests, self.notices.again) = (false, AGAIN);
        }
    }

    pub fn notices_rested(&mut self) {
        self.notices.rests = false;
    }

    pub fn notices_ready(&mut self, id: ConnId) {
        if self.notices_answer(id).is_err() {
            self.notices_broke();
        }
    }

    fn notices_answer(&mut self, id: ConnId) -> Result<(), http::Malformed> {
        let broken = |_| http::Malformed;
        if self.conns.get(id).is_some_and(|c| c.rising) {
            self.conns.risen(id).map_err(broken)?;
        }
        self.conns.fill(id).map_err(broken)?;
        let Some(conn) = self.conns.get_mut(id) else {
            return Ok(());
        };
        if self.notices.head.is_none() {
            self.notices.head = http::take_head(&mut conn.input)?;
        }
        if let Some(head) = &mut self.notices.head {
            head.body.take(&mut conn.input, |_| {})?;
            if head.body == Body::Done {
                let (status, last) = (head.status, head.closes_connection);
                self.notices.head = None;
                if status != 204 && status != 200 {
                    log::warn!("notices: {} were answered {status}", self.notices.out.len());
                    return Err(http::Malformed);
                }
                self.deadlines.clear(Due::Conn(id));
                self.notices.again = AGAIN;
                for message in std::mem::take(&mut self.notices.out) {
                    self.notices.owed.remove(&message);
                    self.notices.unrecorded_until.remove(&message);
                    // Until it is written, a restart would tell it once more.
                    let _ = self.journal.append_notified(message);
                }
                if last {
                    return Err(http::Malformed);
                }
            }
        }
        if self.conns.get(id).is_some_and(|c| c.ended) {
            return Err(http::Malformed);
        }
        self.conns.flush(id).map_err(broken)
    }
}
