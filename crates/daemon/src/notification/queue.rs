//! The queue of pending notifications.

use crate::connection::ConnectionId;
use crate::http::ResponseHead;
use crate::journal::Resolution;
use bellsill_core::interface::{MessageId, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The backoff after the first failure.
pub(super) const MIN_BACKOFF: Nanos = 50_000_000;

/// The pending notifications and the connection to the platform.
pub(crate) struct Notifications {
    pub(super) addr: SocketAddr,
    pub(super) pending: BTreeMap<MessageId, Resolution>,
    /// Notifications held back until their journal records are written, but no longer than until this time.
    pub(super) unrecorded_until: BTreeMap<MessageId, Nanos>,
    /// The messages of the request in flight.
    pub(super) in_flight: Vec<MessageId>,
    pub(super) connection: Option<ConnectionId>,
    /// Set during the backoff after a failure, when nothing is sent.
    pub(super) backing_off: bool,
    /// The backoff after the next failure.
    pub(super) backoff: Nanos,
    pub(super) head: Option<ResponseHead>,
}

impl Notifications {
    /// Creates an empty queue that sends to this address.
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

    /// Adds a notification.
    pub(crate) fn enqueue(&mut self, id: MessageId, resolution: Resolution) {
        self.pending.insert(id, resolution);
    }

    /// Adds a notification whose journal record could not be written, and holds it back until the record is. Sent at
    /// once, it would not be known after a kill of the process, and the next process would send the message after its
    /// notification. From `deadline` on it is sent in any case, since no attempt starts after it.
    pub(crate) fn enqueue_unrecorded(
        &mut self,
        id: MessageId,
        resolution: Resolution,
        deadline: Nanos,
    ) {
        self.enqueue(id, resolution);
        self.unrecorded_until.insert(id, deadline);
    }

    /// Releases all notifications that were held back, because all journal records are written.
    pub(crate) fn mark_all_recorded(&mut self) {
        self.unrecorded_until.clear();
    }

    /// The number of notifications not yet acknowledged.
    pub(crate) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Builds the body of the request for the batch in flight.
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
