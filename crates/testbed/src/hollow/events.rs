//! What the parent learns from its workers and from its writers of changes.

use super::messages::Report;
use super::propagation::Change;
use bellsill_core::interface::Nanos;
use bellsill_directory::line::{EndpointEntry, Version};

/// What happens in the parent's threads.
pub enum Event {
    /// A worker has reported something.
    Report {
        /// Its number.
        worker: usize,
        /// What it reported.
        report: Report,
    },
    /// A worker has written a line that cannot be read.
    BadReport {
        /// Its number.
        worker: usize,
        /// What is wrong with it.
        what: String,
    },
    /// A worker's process has ended.
    WorkerEnded {
        /// Its number.
        worker: usize,
    },
    /// A change is about to be written.
    Writing {
        /// The change.
        change: Change,
        /// The entry that it makes.
        entry: EndpointEntry,
    },
    /// A change has been written.
    Written {
        /// The endpoint that it changes.
        endpoint: String,
        /// The version that it made.
        version: Version,
        /// When the request was sent.
        started: Nanos,
        /// When it was answered.
        answered: Nanos,
    },
    /// A change was not accepted.
    WriteRefused {
        /// The endpoint that it would have changed.
        endpoint: String,
        /// The answer.
        what: String,
    },
}
