//! What has happened since the process began, counted where it happens.

/// How a message ended, as operators count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// It was delivered.
    Completed,
    /// It was given back to its client: rejected after a while, or answered `-BUSY`.
    Rejected,
    /// It failed for good.
    Failed,
}

/// The ended messages of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Delivered.
    pub completed: u64,
    /// Given back to their clients.
    pub rejected: u64,
    /// Failed for good.
    pub failed: u64,
}

/// The counters of this process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: Vec<ClassCounters>,
    /// Attempts whose request was written.
    pub attempts: u64,
    /// Configurations that were read again and taken.
    pub reloads: u64,
    /// Configurations that were read again and rejected.
    pub reload_errors: u64,
}

impl Metrics {
    /// Counts a message of the class with this index.
    pub fn count_message(&mut self, class: usize, result: MessageResult) {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassCounters::default());
        }
        let ends = &mut self.classes[class];
        match result {
            MessageResult::Completed => ends.completed += 1,
            MessageResult::Rejected => ends.rejected += 1,
            MessageResult::Failed => ends.failed += 1,
        }
    }

    /// The counts of a class; zeros if none of its messages has ended.
    pub fn class_counters(&self, class: usize) -> ClassCounters {
        self.classes.get(class).copied().unwrap_or_default()
    }
}
