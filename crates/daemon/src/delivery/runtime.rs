//! Carries out the actions of the decision logic with connections, timers and the message journal. Nothing here makes
//! delivery decisions, and no action calls back into the decision logic.

use super::message::DeliveryState;
use super::pending::PendingMessages;
use crate::action_rules::{NotificationFacts, RestrictedAction, may_send_notification};
use crate::connection::{ConnectionId, ConnectionTable};
use crate::endpoint::{EndpointRegistry, NoIdleConnection, ResponseReader};
use crate::io::Io;
use crate::journal::{AdoptionCounters, MessageJournal, Resolution};
use crate::message_slot::MessageSlot;
use crate::metrics::{MessageResult, Metrics};
use crate::notification::{NotificationEvent, Notifications};
use crate::timer::Timer;
use crate::timer_queue::TimerQueue;
use bellsill_core::interface::{AttemptEnd, MessageId, Nanos, Outcome};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The delay before retrying journal records that could not be written.
const JOURNAL_RETRY_INTERVAL: Nanos = 50_000_000;

/// The settings that affect attempts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptSettings {
    /// The timeout for establishing a connection.
    pub(crate) connect_timeout: Nanos,
    /// How long endpoints keep idle connections open.
    pub(crate) keep_alive: Nanos,
    /// Whether responses may report rate limits.
    pub(crate) reports_limits: bool,
}

/// The state of delivery outside the decision logic: messages, connections, timers, journal and notifications.
pub(crate) struct Runtime {
    /// The time of the event being handled.
    pub(crate) now: Nanos,
    /// All connections.
    pub(crate) connections: ConnectionTable,
    /// All timers.
    pub(crate) timers: TimerQueue<Timer>,
    /// The counters shown to operators.
    pub(crate) metrics: Metrics,
    pub(super) messages: PendingMessages,
    pub(super) endpoints: EndpointRegistry,
    pub(super) notifications: Notifications,
    pub(super) journal: MessageJournal,
    /// The message whose attempt uses, or is waiting for, each connection.
    pub(super) attempts: BTreeMap<ConnectionId, MessageSlot>,
    /// The partially received responses.
    pub(super) responses: BTreeMap<ConnectionId, ResponseReader>,
    /// Attempt ends not yet reported to the decision logic.
    pub(super) attempt_ends: VecDeque<AttemptEnd>,
    pub(super) settings: AttemptSettings,
    /// Whether an invalid load report was already logged.
    pub(super) invalid_report_logged: bool,
}

impl Runtime {
    /// Creates a runtime with no messages and no endpoints.
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
            endpoints: EndpointRegistry::new(settings.keep_alive),
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

    /// The endpoint registry.
    pub(crate) fn endpoints(&self) -> &EndpointRegistry {
        &self.endpoints
    }

    /// Borrows the endpoint registry together with the I/O context of its connection pool.
    pub(super) fn endpoints_and_io(&mut self) -> (&mut EndpointRegistry, Io<'_>) {
        let io = Io {
            now: self.now,
            connections: &mut self.connections,
            timers: &mut self.timers,
        };
        (&mut self.endpoints, io)
    }

    /// Closes an idle connection to an endpoint to free a descriptor.
    pub(crate) fn close_oldest_idle(&mut self) -> Result<(), NoIdleConnection> {
        let (endpoints, mut io) = self.endpoints_and_io();
        endpoints.close_oldest_idle(&mut io)
    }

    /// Borrows the notifications together with the I/O context of their methods.
    fn notifications_and_io(&mut self) -> (&mut Notifications, Io<'_>) {
        let io = Io {
            now: self.now,
            connections: &mut self.connections,
            timers: &mut self.timers,
        };
        (&mut self.notifications, io)
    }

    /// The number of pending notifications.
    pub(crate) fn pending_notifications(&self) -> usize {
        self.notifications.pending()
    }

    /// Sends pending notifications, unless a request is in flight or backing off.
    pub(crate) fn send_notifications(&mut self) {
        let was_in_flight = !self.notifications.in_flight().is_empty();
        let (notifications, mut io) = self.notifications_and_io();
        notifications.send(&mut io);
        if !was_in_flight {
            self.check_sent_notifications();
        }
    }

    /// Counts and logs the notifications of the request just sent that may not be sent.
    fn check_sent_notifications(&mut self) {
        for &id in self.notifications.in_flight() {
            let pending = self
                .messages
                .slot_of(id)
                .and_then(|slot| self.messages.get(slot))
                .is_some_and(|message| !message.state.is_final());
            let facts = NotificationFacts {
                message_ended: !pending,
                ..self.notifications.facts(id, self.now)
            };
            self.metrics.violations.check(
                RestrictedAction::SendNotification,
                may_send_notification(facts),
                format_args!("message {:016x}", id.0),
            );
        }
    }

    /// Handles the timeout of a notification request or of the idle notification connection.
    pub(crate) fn notification_timed_out(&mut self) {
        let (notifications, mut io) = self.notifications_and_io();
        notifications.close_and_back_off(&mut io);
    }

    /// Ends the backoff that followed a failed notification request.
    pub(crate) fn end_notification_backoff(&mut self) {
        self.notifications.end_backoff();
    }

    /// Changes the address to which notifications are sent.
    pub(crate) fn relocate_notifications(&mut self, addr: SocketAddr) {
        let (notifications, mut io) = self.notifications_and_io();
        notifications.relocate(&mut io, addr);
    }

    /// Handles readiness of the notification connection.
    pub(crate) fn notification_ready(&mut self, id: ConnectionId) {
        let (notifications, mut io) = self.notifications_and_io();
        match notifications.connection_ready(&mut io, id) {
            NotificationEvent::Waiting => {}
            NotificationEvent::Acknowledged(messages) => {
                self.metrics.notifications_acknowledged += messages.len() as u64;
                for message in messages {
                    log::debug!("message {:016x}: notification acknowledged", message.0);
                    // If this write fails, a restart sends the notification again, which is harmless.
                    self.journal.append_notified(message).ok();
                }
            }
        }
    }

    /// Schedules a retry while the journal has unwritten records; otherwise releases the notifications that waited for
    /// them.
    pub(crate) fn update_journal_retry(&mut self) {
        if self.journal.has_pending_writes() {
            self.timers
                .set_if_unset(Timer::JournalRetry, self.now + JOURNAL_RETRY_INTERVAL);
        } else {
            self.notifications.mark_all_recorded();
        }
    }

    /// Retries writing the pending journal records.
    pub(crate) fn retry_journal(&mut self) {
        // On failure, the next `update_journal_retry` schedules another retry.
        self.journal.write_pending().ok();
    }

    /// Whether the last write of the journal failed, or records of the journal are queued.
    pub(crate) fn has_pending_writes(&self) -> bool {
        self.journal.has_pending_writes()
    }

    /// The number of journal writes that failed.
    pub(crate) fn journal_failures(&self) -> u64 {
        self.journal.failures()
    }

    /// What operators are shown of the adoptions of other journals.
    pub(crate) fn adoption_counters(&self) -> AdoptionCounters {
        self.journal.adoption_counters()
    }

    /// Changes the state of a message. No other function does so, which keeps the journal, the notifications and the
    /// tables consistent.
    pub(super) fn transition(&mut self, slot: MessageSlot, to: DeliveryState) {
        let Some(message) = self.messages.get_mut(slot) else {
            return;
        };
        let from = std::mem::replace(&mut message.state, to);
        log::debug!("message {:016x}: {from:?} -> {to:?}", message.id.0);
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

    /// Counts the end of a message, writes it to the journal and queues the notification, if one is due.
    fn record_end(
        &mut self,
        id: MessageId,
        deadline: Nanos,
        class: Option<usize>,
        state: DeliveryState,
    ) {
        let (resolution, result) = match state {
            DeliveryState::Rejected { retry_after } => (
                Some(Resolution::Rejected { retry_after }),
                Some(MessageResult::Rejected),
            ),
            DeliveryState::Failed => (Some(Resolution::Failed), Some(MessageResult::Failed)),
            DeliveryState::Delivered => (None, Some(MessageResult::Completed)),
            _ => (None, None),
        };
        if let (Some(class), Some(result)) = (class, result) {
            self.metrics.count_message(class, result);
        }
        // A notification must not be sent before its record is written: after a kill, the next process would not know
        // the end of the message and would send it after its notification.
        let recorded = self.journal.append_resolved(id, resolution).is_ok();
        match resolution {
            Some(resolution) if recorded => self.notifications.enqueue(id, resolution),
            Some(resolution) => {
                log::debug!(
                    "message {:016x}: notification held back until its record is written",
                    id.0
                );
                self.notifications
                    .enqueue_unrecorded(id, resolution, deadline);
            }
            None => {}
        }
    }

    /// Ends a message by order of the decision logic.
    pub(super) fn end_message(&mut self, message: MessageId, to: DeliveryState) {
        let Some(slot) = self.messages.slot_of(message) else {
            return;
        };
        self.transition(slot, to);
        // After its end is reported the message must not be sent, so an attempt whose request has not started is
        // aborted.
        if self
            .messages
            .attempt(slot)
            .is_some_and(|attempt| !attempt.request_started)
        {
            self.abort_attempt(slot, Outcome::ConnectFailed);
        }
    }
}
