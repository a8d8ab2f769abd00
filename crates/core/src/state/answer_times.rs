//! How long answers usually take.

use crate::interface::DestinationId;
use crate::state::routes::Routes;

/// The usual answer times, in nanoseconds.
#[derive(Default)]
pub(crate) struct AnswerTimes {
    /// For each class: the usual answer time over all routes.
    pub(crate) by_class: Vec<f64>,
    /// The moving share of attempts that were not answered in usual time.
    pub(crate) missed_share: f64,
}

impl AnswerTimes {
    /// The answer times of that many classes before any answer has come.
    pub(crate) fn new(classes: usize, initial_nanos: f64) -> Self {
        AnswerTimes {
            by_class: vec![initial_nanos; classes],
            missed_share: 0.0,
        }
    }

    /// The usual answer time of a class at a destination.
    pub(crate) fn usual(&self, routes: &Routes, destination: DestinationId, class: usize) -> f64 {
        let extra = routes
            .destination(destination)
            .map_or(0.0, |known| known.extra_latency);
        self.by_class[class] * (1.0 + extra)
    }
}
