//! The counters of the process, incremented where the events occur.

use crate::action_rules::Violations;
use crate::client::CloseReason;
use crate::delivery::Rejection;

/// The result of a message, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// The message was delivered.
    Completed,
    /// The message was rejected, either with the reply `-BUSY` or after it had been accepted.
    Rejected,
    /// The message failed permanently.
    Failed,
}

/// The numbers of ended messages of one queue class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Delivered messages.
    pub completed: u64,
    /// Rejected messages.
    pub rejected: u64,
    /// Permanently failed messages.
    pub failed: u64,
}

/// The counters since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounters>,
    /// Attempts whose request was started.
    pub attempts: u64,
    /// Successful configuration reloads.
    pub reloads: u64,
    /// Configuration reloads that were rejected.
    pub reload_errors: u64,
    /// Attempts that could not start: no record in the journal, no descriptor or no port.
    pub attempts_not_started: u64,
    /// Notifications that the platform has acknowledged.
    pub notifications_acknowledged: u64,
    /// Actions that were carried out although their rule forbade them.
    pub violations: Violations,
    client_closes: [u64; CloseReason::ALL.len()],
    refusals: [u64; Rejection::ALL.len()],
}

impl Metrics {
    /// Counts an ended message of the queue class with this index.
    pub fn count_message(&mut self, class: usize, result: MessageResult) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassCounters::default());
        }
        let counters = &mut self.classes[class];
        match result {
            MessageResult::Completed => counters.completed += 1,
            MessageResult::Rejected => counters.rejected += 1,
            MessageResult::Failed => counters.failed += 1,
        }
    }

    /// Counts the close of a client's connection.
    pub(crate) fn count_client_close(&mut self, reason: CloseReason) {
        self.client_closes[reason as usize] += 1;
    }

    /// Counts a request whose message was not accepted.
    pub(crate) fn count_refusal(&mut self, reason: Rejection) {
        self.refusals[reason as usize] += 1;
    }

    /// The number of client connections closed for this reason.
    pub fn client_closes(&self, reason: CloseReason) -> u64 {
        self.client_closes[reason as usize]
    }

    /// The number of requests whose message was not accepted for this reason.
    pub fn refusals(&self, reason: Rejection) -> u64 {
        self.refusals[reason as usize]
    }

    /// The counters of a queue class; zeros if none of its messages has ended.
    pub fn class_counters(&self, class: usize) -> ClassCounters {
        self.classes.get(class).copied().unwrap_or_default()
    }
}
