//! Suspect routes: detecting routes that are silent or failing, their half-open trials, and their
//! recovery.

use crate::interface::{Actions, AttemptEnd, DeliverySemantics, Nanos, Outcome, Settings};
use crate::state::Dispatcher;
use crate::state::answer_times::AnswerTimes;
use crate::state::attempts::Attempt;
use crate::state::routes::{Route, Routes};
use crate::units::MS;

/// An attempt counts as silent after this multiple of the usual answer time without an answer.
const SILENCE_MULTIPLE: f64 = 5.0;
/// The minimum time after which an unanswered attempt counts as silent.
const MIN_SILENCE_TIME: Nanos = 700 * MS;
/// The lower bound of the factor by which `SILENCE_MULTIPLE` shrinks as the share of late attempts
/// grows.
const MIN_LATE_FACTOR: f64 = 0.4;
/// The weight of one attempt in the share of late attempts.
const LATE_WEIGHT: f64 = 0.15;
/// The interval between the half-open trials of a suspect route.
const TRIAL_INTERVAL: Nanos = 400 * MS;
/// How much longer at-most-once messages avoid a suspect route, since they fail if their trial
/// fails.
const AT_MOST_ONCE_TRIAL_DELAY: Nanos = 2_500 * MS;
/// The share of the in-flight capacity that all half-open trials together may use.
const TRIAL_CAPACITY_SHARE: f64 = 0.25;

impl AnswerTimes {
    /// The time after which an unanswered attempt counts as silent. Trade-off: slow answers are
    /// mistaken for silence.
    pub(super) fn silent_after(&self, routes: &Routes, route: usize, class: usize) -> Nanos {
        let multiple = SILENCE_MULTIPLE * (1.0 - self.late_share).max(MIN_LATE_FACTOR);
        let usual = self.usual(routes, routes[route].entry.destination, class);
        ((multiple * usual) as Nanos).max(MIN_SILENCE_TIME)
    }

    /// The time at which an attempt counts as silent if it is still unanswered.
    pub(super) fn silent_at(&self, routes: &Routes, attempt: &Attempt) -> Nanos {
        attempt.sent_at + self.silent_after(routes, attempt.route, attempt.class)
    }

    /// Updates the share of attempts that were not answered within the usual time.
    pub(super) fn observe_lateness(&mut self, outcome: Outcome, late: bool) {
        if matches!(
            outcome,
            Outcome::Delivered | Outcome::TimedOut | Outcome::Cancelled
        ) {
            let is_late = f64::from(u8::from(late || outcome != Outcome::Delivered));
            self.late_share += LATE_WEIGHT * (is_late - self.late_share);
        }
    }
}

impl Route {
    /// Marks the route as suspect: it is avoided until its next half-open trial.
    pub(super) fn mark_suspect(&mut self, now: Nanos, reason: &str, actions: &mut impl Actions) {
        self.observe_traffic(now, 0.0);
        self.suspended_until = self.suspended_until.max(now + TRIAL_INTERVAL);
        if !std::mem::replace(&mut self.suspect, true) {
            let endpoint = self.entry.endpoint.0;
            actions.log(&format!("endpoint {endpoint} is suspect: {reason}"));
        }
    }

    /// Handles a delivery, unless it is a late one of a suspect route: the route is no longer
    /// suspect, and an ejected route begins its slow start. With a known rate the dispatchers try
    /// at different times, so the route is assumed to have recovered half way back to the previous
    /// attempt, which is right on average. Because some dispatchers estimate too early a time, the
    /// spacing lasts longer.
    pub(super) fn recover(
        &mut self,
        settings: &Settings,
        now: Nanos,
        idle_for: Nanos,
        elapsed: Nanos,
        actions: &mut impl Actions,
    ) {
        let max_backdating = if self.fair_interval(settings).is_some() {
            settings.slow_start / 2
        } else {
            0
        };
        let (was_suspect, was_warming_since) =
            (std::mem::take(&mut self.suspect), self.warming_since);
        let recovered_at = now - max_backdating.min(idle_for / 2);
        let new_slow_start = Some(recovered_at).filter(|_| std::mem::take(&mut self.ejected));
        self.warming_since = was_warming_since
            .filter(|since| now < since + settings.slow_start + max_backdating)
            .or(new_slow_start);
        let change = match (was_warming_since, self.warming_since) {
            (None, Some(_)) => "begins a slow start",
            (_, None) if was_suspect || was_warming_since.is_some() => "is healthy again",
            _ => return,
        };
        let (endpoint, share) = (self.entry.endpoint.0, self.failure_share);
        actions.log(&format!(
            "endpoint {endpoint} {change}: delivered in {} ms, failure share {share:.2}",
            elapsed / MS
        ));
    }
}

impl Dispatcher {
    /// Marks silent routes as suspect before they use up the in-flight capacity. A silent attempt
    /// does not count if its route has answered in usual time since it was sent.
    pub(super) fn detect_silence(&mut self, actions: &mut impl Actions) {
        for attempt in self.in_flight.iter().copied().collect::<Vec<_>>() {
            let silent_at = self.answer_times.silent_at(&self.routes, &attempt);
            let route = &mut self.routes[attempt.route];
            let silent = self.now >= silent_at && attempt.sent_at > route.answered_at;
            if silent && !route.suspect {
                let unanswered = (self.now - attempt.sent_at) / MS;
                let reason = format!("no answer to an attempt for {unanswered} ms");
                route.mark_suspect(self.now, &reason, actions);
            }
        }
    }

    /// The earliest time at which a message may be the half-open trial of a suspect route, or
    /// `None` if only another event can allow one. Each route has one trial at a time, not counting
    /// silent ones, and the trials of all routes together leave capacity for other attempts.
    pub(super) fn half_open_trial_at(
        &self,
        route: usize,
        semantics: DeliverySemantics,
    ) -> Option<Nanos> {
        let max_trials =
            ((self.settings.max_in_flight as f64 * TRIAL_CAPACITY_SHARE) as usize).max(1);
        let trials = self
            .in_flight
            .count_calls(|attempt| self.routes[attempt.route].suspect);
        let is_trial_here = |attempt: &Attempt| {
            attempt.route == route && self.now < self.answer_times.silent_at(&self.routes, attempt)
        };
        if trials >= max_trials || self.in_flight.count_calls(is_trial_here) > 0 {
            return None;
        }
        let delay = if semantics == DeliverySemantics::AtMostOnce {
            AT_MOST_ONCE_TRIAL_DELAY
        } else {
            0
        };
        Some(
            self.trials_paused_until
                .max(self.routes[route].suspended_until + delay),
        )
    }

    /// If the trials' share of the capacity is less than one call, pauses trials after a failed or
    /// late one so that they use that share of the time instead.
    pub(super) fn pause_trials(&mut self, route: usize, end: &AttemptEnd, late: bool) {
        let share = self.settings.max_in_flight as f64 * TRIAL_CAPACITY_SHARE;
        if self.routes[route].suspect && share < 1.0 && (late || end.outcome != Outcome::Delivered)
        {
            self.trials_paused_until =
                self.now + (end.elapsed as f64 * (1.0 / share - 1.0)) as Nanos;
        }
    }
}
