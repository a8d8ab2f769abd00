//! All that carries messages: what the decisions order is done here, by connections, timers and the message journal.
//! Nothing here decides, and no action calls the decisions before it returns.

use super::message::DeliveryState;
use super::pending::PendingMessages;
use crate::connection::{ConnectionId, ConnectionTable};
use crate::endpoint::{Endpoints, NoIdleConnection, ResponseProgress};
use crate::io::Io;
use crate::journal::{MessageJournal, Resolution};
use crate::message_slot::MessageSlot;
use crate::metrics::{MessageResult, Metrics};
use crate::notification::{NotificationEvent, Notifications};
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::{AttemptEnd, MessageId, Nanos, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// How long to wait before records that could not be written are written again.
const JOURNAL_RETRY_INTERVAL: Nanos = 50_000_000;

/// What of the settings attempts depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptSettings {
    /// How long a connection may take to be established.
    pub(crate) connect_timeout: Nanos,
    /// How long endpoints keep an idle connection open.
    pub(crate) keep_alive: Nanos,
    /// Responses may report rate limits.
    pub(crate) reports_limits: bool,
}

/// Everything but the decisions.
pub(crate) struct Runtime {
    /// The time of the event that is handled.
    pub(crate) now: Nanos,
    /// All connections.
    pub(crate) connections: ConnectionTable,
    /// All timers.
    pub(crate) timers: TimerQueue<Timer>,
    /// What operators are shown.
    pub(crate) metrics: Metrics,
    pub(super) messages: PendingMessages,
    pub(super) endpoints: Endpoints,
    pub(super) notifications: Notifications,
    pub(super) journal: MessageJournal,
    /// The attempts that connections carry or are opened for.
    pub(super) attempts: BTreeMap<ConnectionId, MessageSlot>,
    /// Responses that have begun to arrive.
    pub(super) responses: BTreeMap<ConnectionId, ResponseProgress>,
    /// Outcomes that the decisions do not know yet.
    pub(super) attempt_ends: VecDeque<AttemptEnd>,
    pub(super) settings: AttemptSettings,
    /// A load report that cannot be read has been logged.
    pub(super) invalid_report_logged: bool,
}

impl Runtime {
    /// A runtime with no messages and no endpoints.
    pub(crate) fn new(
        now: Nanos,
        connections: ConnectionTable,
        journal: MessageJournal,
        notifications: Notifications,
        settings: AttemptSettings,
    ) -> Runtime {
        Runtime {
            now,
            connections,
            timers: TimerQueue::default(),
            metrics: Metrics::default(),
            messages: PendingMessages::default(),
            endpoints: Endpoints::new(settings.keep_alive),
            notifications,
            journal,
            attempts: BTreeMap::new(),
            responses: BTreeMap::new(),
            attempt_ends: VecDeque::new(),
            settings,
            invalid_report_logged: false,
        }
    }

    /// The pending messages.
    pub(crate) fn messages(&self) -> &PendingMessages {
        &self.messages
    }

    /// The registry of endpoints.
    pub(crate) fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// The registry of endpoints, and what its pool works with.
    pub(super) fn pool(&mut self) -> (&mut Endpoints, Io<'_>) {
        let io = Io {
            now: self.now,
            connections: &mut self.connections,
            timers: &mut self.timers,
        };
        (&mut self.endpoints, io)
    }

    /// Closes an idle connection to an endpoint, to free its descriptor.
    pub(crate) fn close_oldest_idle(&mut self) -> Result<(), NoIdleConnection> {
        let (endpoints, mut io) = self.pool();
        endpoints.close_oldest_idle(&mut io)
    }

    fn notifications(&mut self) -> (&mut Notifications, Io<'_>) {
        let io = Io {
            now: self.now,
            connections: &mut self.connections,
            timers: &mut self.timers,
        };
        (&mut self.notifications, io)
    }

    /// How many notifications are pending.
    pub(crate) fn pending_notifications(&self) -> usize {
        self.notifications.pending()
    }

    /// Sends pending notifications.
    pub(crate) fn send_notifications(&mut self) {
        let (notifications, mut io) = self.notifications();
        notifications.send(&mut io);
    }

    /// The request with notifications has no answer in time, or its connection was idle too long.
    pub(crate) fn notification_timed_out(&mut self) {
        let (notifications, mut io) = self.notifications();
        notifications.fail(&mut io);
    }

    /// Notifications may be sent again after a failure.
    pub(crate) fn end_notification_backoff(&mut self) {
        self.notifications.end_backoff();
    }

    /// Notifications are sent to another address from now on.
    pub(crate) fn relocate_notifications(&mut self, addr: SocketAddr) {
        let (notifications, mut io) = self.notifications();
        notifications.relocate(&mut io, addr);
    }

    /// Something happened on the connection of notifications.
    pub(crate) fn notification_ready(&mut self, id: ConnectionId) {
        let (notifications, mut io) = self.notifications();
        match notifications.ready(&mut io, id) {
            NotificationEvent::Waiting => {}
            NotificationEvent::Acknowledged(messages) => {
                for message in messages {
                    // Until it is written, a restart would send the notification once more, which does no harm.
                    self.journal.append_notified(message).ok();
                }
            }
        }
    }

    /// Has the journal try again while records are not written.
    pub(crate) fn update_journal_retry(&mut self) {
        if self.journal.has_unwritten() {
            self.timers
                .set_if_unset(Timer::JournalRetry, self.now + JOURNAL_RETRY_INTERVAL);
        } else {
            self.notifications.recorded();
        }
    }

    /// The journal tries again.
    pub(crate) fn retry_journal(&mut self) {
        // Whether it succeeded shows when `update_journal_retry` looks next.
        self.journal.write_pending().ok();
    }

    /// Whether the journal has records that are not written.
    pub(crate) fn has_unwritten_records(&self) -> bool {
        self.journal.has_unwritten()
    }

    /// The only place where a message changes its state: it keeps the journal, the notifications and the tables in step.
    pub(super) fn transition(&mut self, slot: MessageSlot, to: DeliveryState) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let from = std::mem::replace(&mut message.state, to);
        if !to.is_final() {
            return;
        }
        let has_attempt = message.attempt.is_some();
        if !from.is_final() {
            let (id, deadline, class) = (message.id, message.deadline, message.class);
            message.body = Vec::new();
            self.record_end(id, deadline, class, to);
        }
        if !has_attempt {
            self.messages.remove(self.now, slot);
        }
    }

    /// Counts, records and reports the end of a message.
    fn record_end(
        &mut self,
        id: MessageId,
        deadline: Nanos,
        class: Option<usize>,
        state: DeliveryState,
    ) {
        let (resolution, counted) = match state {
            DeliveryState::Rejected { retry_after } => (
                Some(Resolution::Rejected { retry_after }),
                Some(MessageResult::Rejected),
            ),
            DeliveryState::Failed => (Some(Resolution::Failed), Some(MessageResult::Failed)),
            DeliveryState::Delivered => (None, Some(MessageResult::Completed)),
            _ => (None, None),
        };
        if let (Some(class), Some(end)) = (class, counted) {
            self.metrics.count_message(class, end);
        }
        // A notification sent before its record is written would be lost by a kill, and the message sent after it.
        let recorded = self.journal.append_resolved(id, resolution).is_ok();
        match resolution {
            Some(resolution) if recorded => self.notifications.enqueue(id, resolution),
            Some(resolution) => {
                self.notifications
                    .enqueue_once_recorded(id, resolution, deadline);
            }
            None => {}
        }
    }

    /// Ends a message as the decisions have ordered.
    pub(super) fn end_message(&mut self, message: MessageId, to: DeliveryState) {
        let Some(slot) = self.messages.slot_of(message) else {
            return;
        };
        self.transition(slot, to);
        // Nothing of it may be sent once its end is reported, so an attempt that has not started its request ends here.
        if self
            .messages
            .attempt(slot)
            .is_some_and(|attempt| !attempt.request_started)
        {
            self.abort_attempt(slot, Outcome::ConnectFailed);
        }
    }
}
