//! The usual answer times of attempts.

use crate::interface::DestinationId;
use crate::state::routes::Routes;

/// The usual answer times, in nanoseconds, and the share of late answers.
#[derive(Default)]
pub(crate) struct AnswerTimes {
    /// The usual answer time of each class over all routes.
    pub(crate) by_class: Vec<f64>,
    /// The moving share of attempts that were not answered within the usual time.
    pub(crate) late_share: f64,
}

impl AnswerTimes {
    /// Creates the initial answer times for this number of classes.
    pub(crate) fn new(classes: usize, initial_nanos: f64) -> Self {
        AnswerTimes {
            by_class: vec![initial_nanos; classes],
            late_share: 0.0,
        }
    }

    /// The usual answer time of a class at a destination.
    pub(crate) fn usual(&self, routes: &Routes, destination: DestinationId, class: usize) -> f64 {
        let extra = routes
            .destination(destination)
            .map_or(0.0, |routes| routes.extra_latency);
        self.by_class[class] * (1.0 + extra)
    }
}
