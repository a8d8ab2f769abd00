//! Timeouts: the usual answer times, and how long the answer to an attempt is awaited.

use super::*;

/// The timeout, as a multiple of the usual answer time, with its bounds.
const TIMEOUT_MULTIPLE: f64 = 8.0;
const TIMEOUT_FLOOR: Nanos = 2_000 * MS;
const TIMEOUT_CEILING: Nanos = 8_000 * MS;
/// Enough for an answer of a very slow route, and for a repeat of a deduplicated message within its window.
const TRIAL_TIMEOUT: Nanos = 5_000 * MS;
/// The least weight of one answer in the usual answer times, and the usual time before any answer.
const LATENCY_WEIGHT: f64 = 0.1;
pub(super) const INITIAL_LATENCY: f64 = 300e6;

impl Dispatcher {
    /// Counts an answer that was not late.
    pub(super) fn observe_latency(&mut self, route: usize, class: usize, took: Nanos) {
        let destination = self.routes[route].entry.destination;
        let (usual, known) = (
            &mut self.usual_latency[class],
            self.routes.destination_mut(destination),
        );
        let factor = 1.0 + known.extra_latency;
        *usual += LATENCY_WEIGHT * (took as f64 / factor - *usual);
        let seen = (took as f64 / *usual).max(0.1);
        known.latency_samples += 1.0;
        let weight = (1.0 / (1.0 + known.latency_samples)).max(LATENCY_WEIGHT);
        known.extra_latency += weight * (seen - factor);
    }

    /// How long the answer to an attempt of this message by this route is awaited.
    pub(super) fn timeout(&self, message: &Message, route: usize) -> Nanos {
        let repeat = self.settings.classes[message.class].semantics;
        let timeout = match repeat {
            // The timeout of an at-most-once message is its bounce; still a hung route must release its slot.
            DeliverySemantics::AtMostOnce => TIMEOUT_CEILING,
            _ if self.routes[route].suspect => TRIAL_TIMEOUT,
            _ => self.usual_timeout(message),
        };
        let DeliverySemantics::IdempotencyKey { window, .. } = repeat else {
            return timeout;
        };
        let leaves_repeat = window / 3 * 2;
        if timeout < window {
            timeout
        } else if leaves_repeat >= self.silent_after(route, message.class) {
            leaves_repeat
        } else {
            TIMEOUT_CEILING
        }
    }

    fn usual_timeout(&self, message: &Message) -> Nanos {
        let usual = self.usual_latency(message.destination, message.class);
        ((TIMEOUT_MULTIPLE * usual) as Nanos).clamp(TIMEOUT_FLOOR, TIMEOUT_CEILING)
    }
}
