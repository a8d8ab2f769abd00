//! Timeouts: the usual answer times, and how long an attempt waits for its answer.

use crate::interface::{DeliverySemantics, Nanos, Settings};
use crate::state::answer_times::AnswerTimes;
use crate::state::messages::Message;
use crate::state::routes::Routes;
use crate::units::MS;

/// The timeout, as a multiple of the usual answer time.
const TIMEOUT_MULTIPLE: f64 = 8.0;
/// The lower bound of the timeout.
const MIN_TIMEOUT: Nanos = 2_000 * MS;
/// The upper bound of the timeout.
const MAX_TIMEOUT: Nanos = 8_000 * MS;
/// The timeout of a half-open trial. It covers the answer of a very slow route and leaves time to
/// repeat a deduplicated message within its window.
const TRIAL_TIMEOUT: Nanos = 5_000 * MS;
/// The minimum weight of one answer in the usual answer times.
const LATENCY_WEIGHT: f64 = 0.1;
/// The assumed usual answer time before the first answer.
pub(super) const INITIAL_LATENCY_NANOS: f64 = 300e6;

impl AnswerTimes {
    /// Updates the usual answer times with an answer that was not late.
    pub(super) fn observe_answer(
        &mut self,
        routes: &mut Routes,
        route: usize,
        class: usize,
        elapsed: Nanos,
    ) {
        let destination = routes[route].entry.destination;
        let (usual, known) = (
            &mut self.by_class[class],
            routes.destination_mut(destination),
        );
        let factor = 1.0 + known.extra_latency;
        *usual += LATENCY_WEIGHT * (elapsed as f64 / factor - *usual);
        let observed = (elapsed as f64 / *usual).max(0.1);
        known.latency_samples += 1.0;
        let weight = (1.0 / (1.0 + known.latency_samples)).max(LATENCY_WEIGHT);
        known.extra_latency += weight * (observed - factor);
    }

    /// The timeout of an attempt to send a message over a route.
    pub(super) fn timeout(
        &self,
        settings: &Settings,
        routes: &Routes,
        message: &Message,
        route: usize,
    ) -> Nanos {
        let semantics = settings.classes[message.class].semantics;
        let timeout = match semantics {
            // An at-most-once message fails when it times out, so it gets the longest timeout. It
            // still needs one, so that a hanging route releases its capacity.
            DeliverySemantics::AtMostOnce => MAX_TIMEOUT,
            _ if routes[route].suspect => TRIAL_TIMEOUT,
            _ => self.usual_timeout(routes, message),
        };
        let DeliverySemantics::IdempotencyKey { window, .. } = semantics else {
            return timeout;
        };
        let repeatable_timeout = window / 3 * 2;
        if timeout < window {
            timeout
        } else if repeatable_timeout >= self.silent_after(routes, route, message.class) {
            repeatable_timeout
        } else {
            MAX_TIMEOUT
        }
    }

    fn usual_timeout(&self, routes: &Routes, message: &Message) -> Nanos {
        let usual = self.usual(routes, message.destination, message.class);
        ((TIMEOUT_MULTIPLE * usual) as Nanos).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
