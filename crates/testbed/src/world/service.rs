//! How endpoints process their calls.

use super::draw::{draw, interpolate};
use super::effects::{Answer, CallId, Effect};
use super::state::{CallState, Timer, World};
use super::time::{S, ms};
use crate::spec::Repeat;
use bellsill_core::interface::{EndpointId, Nanos};

/// How long an idempotency key is kept after its deduplication window.
const EFFECT_RETENTION: Nanos = 30 * S;

impl World {
    pub(super) fn start_work(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.state = CallState::Working;
        let (e, message, count, class, handshake) = (
            call.endpoint,
            call.new.message,
            call.count,
            call.new.class,
            call.handshake,
        );
        let plan = &self.plan.endpoints[e];
        let service = &self.plan.spec.classes[class].service_ms;
        let drawn = draw(self.plan.seed, message.0, count, 3);
        // The number of workers is rounded up, so each is slowed down to match the capacity available in slow start.
        let stretch =
            f64::from(self.workers(e)) / (f64::from(plan.workers) * self.warm_fraction(e));
        let slow = self.endpoints[e].condition.slow;
        let duration_ms = interpolate(*service, drawn)
            * self.plan.service_time_factors[plan.destination]
            * slow
            * stretch.max(1.0);
        self.endpoints[e].working += 1;
        self.schedule(
            self.now + handshake + ms(duration_ms).max(1),
            Timer::Finish(id),
        );
    }

    pub(super) fn finish(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (e, message, count) = (call.endpoint, call.new.message, call.count);
        if self.endpoints[e].condition.hung {
            return self.endpoints[e].stalled.push(id);
        }
        self.endpoints[e].working -= 1;
        let condition = self.endpoints[e].condition;
        let seed = self.plan.seed;
        let drawn = |salt| draw(seed, message.0, count, salt);
        if drawn(4) < condition.failing {
            if drawn(5) < 0.5 {
                self.apply(id);
            }
            self.answer(id, Answer::ServerError);
        } else {
            self.apply(id);
            if condition.silent || drawn(6) < condition.lost {
                self.leave_unanswered(id);
            } else if drawn(6) < condition.lost + condition.malformed {
                self.answer(id, Answer::Malformed);
            } else {
                self.answer(id, Answer::Delivered);
            }
        }
        self.start_queued_calls(e);
    }

    pub(super) fn start_queued_calls(&mut self, e: usize) {
        while !self.endpoints[e].condition.hung && self.endpoints[e].working < self.workers(e) {
            let Some(id) = self.endpoints[e].queue.pop_front() else {
                break;
            };
            self.start_work(id);
        }
    }

    /// Applies the effect of a call, unless it is discarded as a duplicate.
    pub(super) fn apply(&mut self, id: CallId) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let (e, class, message) = (
            call.endpoint,
            &self.plan.spec.classes[call.new.class],
            call.new.message,
        );
        // Deduplication depends on the arrival time, regardless of how long the work takes.
        let arrived_at = call.arrived_at;
        let mut fresh = true;
        if class.repeat == Repeat::Tagged {
            let zone = if class.same_zone {
                self.plan.endpoints[e].zone
            } else {
                usize::MAX
            };
            let (key, window) = ((call.new.idempotency_key, zone), ms(class.window_ms));
            match self.applied.get(&key) {
                Some(first) if arrived_at < first + window => fresh = false,
                _ => {
                    self.applied.insert(key, arrived_at);
                    self.expiring_effects
                        .push_back((self.now + window + EFFECT_RETENTION, key));
                }
            }
        }
        self.effects.push_back(Effect::Applied {
            call: id,
            message,
            endpoint: EndpointId(e as u32),
            fresh,
        });
    }
}
