//! The pending notifications.

use crate::connection::ConnectionId;
use crate::http::ResponseHead;
use crate::journal::Resolution;
use bellsill_core::interface::{MessageId, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long nothing is sent after the first failure.
pub(super) const MIN_BACKOFF: Nanos = 50_000_000;

/// The pending notifications, and the connection on which they are sent.
pub(crate) struct Notifications {
    pub(super) addr: SocketAddr,
    pub(super) pending: BTreeMap<MessageId, Resolution>,
    /// Notifications whose records are not written yet wait for that, at most until this time.
    pub(super) unrecorded_until: BTreeMap<MessageId, Nanos>,
    /// Those of the request that waits for its answer.
    pub(super) in_flight: Vec<MessageId>,
    pub(super) connection: Option<ConnectionId>,
    /// After a failure nothing is sent for a while.
    pub(super) backing_off: bool,
    /// How long that will be after the next failure.
    pub(super) backoff: Nanos,
    pub(super) head: Option<ResponseHead>,
}

impl Notifications {
    /// Notifications are sent to this address.
    pub(crate) fn new(addr: SocketAddr) -> Notifications {
        Notifications {
            addr,
            pending: BTreeMap::new(),
            unrecorded_until: BTreeMap::new(),
            in_flight: vec![],
            connection: None,
            backing_off: false,
            backoff: MIN_BACKOFF,
            head: None,
        }
    }

    /// Adds the notification of a message.
    pub(crate) fn enqueue(&mut self, id: MessageId, resolution: Resolution) {
        self.pending.insert(id, resolution);
    }

    /// Adds a notification whose record could not be written. Sent at once, it would be lost by a kill of the process,
    /// and the message be sent after its notification. At `deadline` it is sent in any case: no attempt begins after it.
    pub(crate) fn enqueue_once_recorded(
        &mut self,
        id: MessageId,
        resolution: Resolution,
        deadline: Nanos,
    ) {
        self.enqueue(id, resolution);
        self.unrecorded_until.insert(id, deadline);
    }

    /// All records are written now.
    pub(crate) fn recorded(&mut self) {
        self.unrecorded_until.clear();
    }

    /// How many are not acknowledged yet.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The body of the request that is in flight.
    pub(super) fn body(&self) -> String {
        let line = |id: &MessageId| match self.pending[id] {
            Resolution::Failed => format!("{{\"ref\":\"{:016x}\",\"result\":\"dead\"}}\n", id.0),
            Resolution::Rejected { retry_after } => {
                let ms = retry_after.div_ceil(1_000_000);
                format!(
                    "{{\"ref\":\"{:016x}\",\"result\":\"bounced\",\"wait_ms\":{ms}}}\n",
                    id.0
                )
            }
        };
        self.in_flight.iter().map(line).collect()
    }
}
