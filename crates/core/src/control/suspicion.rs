//! Suspicion: routes that are avoided for silence or failures, their half-open trials, and how they
//! recover.

use crate::interface::{Actions, AttemptEnd, DeliverySemantics, Nanos, Outcome, Settings};
use crate::state::Dispatcher;
use crate::state::answer_times::AnswerTimes;
use crate::state::attempts::Attempt;
use crate::state::routes::{Route, Routes};
use crate::units::MS;

/// A route is silent when an attempt is in flight for this multiple of the usual answer time.
const SILENCE_MULTIPLE: f64 = 5.0;
/// The least time after which an unanswered attempt counts as silence.
const MIN_SILENCE: Nanos = 700 * MS;
/// The multiple is cut, down to this part, by the share of attempts not answered in usual time.
const MIN_PATIENCE: f64 = 0.4;
/// The weight of one attempt in that share.
const MISSED_WEIGHT: f64 = 0.15;
/// The interval between the half-open trials of a suspect route.
const TRIAL_INTERVAL: Nanos = 400 * MS;
/// How much longer at-most-once messages avoid a suspect route, since they fail if the trial does.
const AT_MOST_ONCE_DELAY: Nanos = 2_500 * MS;
/// The share of the in-flight capacity that all half-open trials together may take.
const TRIAL_CAPACITY_SHARE: f64 = 0.25;

impl AnswerTimes {
    /// After how long an unanswered attempt counts as silence. Its cost: slow answers are taken for
    /// silence.
    pub(super) fn silent_after(&self, routes: &Routes, route: usize, class: usize) -> Nanos {
        let multiple = SILENCE_MULTIPLE * (1.0 - self.missed_share).max(MIN_PATIENCE);
        let usual = self.usual(routes, routes[route].entry.destination, class);
        ((multiple * usual) as Nanos).max(MIN_SILENCE)
    }

    /// When an attempt counts as silent if it is still unanswered.
    pub(super) fn silent_at(&self, routes: &Routes, attempt: &Attempt) -> Nanos {
        attempt.sent_at + self.silent_after(routes, attempt.route, attempt.class)
    }

    /// Counts whether an attempt was answered in usual time.
    pub(super) fn observe_promptness(&mut self, outcome: Outcome, late: bool) {
        if matches!(
            outcome,
            Outcome::Delivered | Outcome::TimedOut | Outcome::Cancelled
        ) {
            let missed = f64::from(u8::from(late || outcome != Outcome::Delivered));
            self.missed_share += MISSED_WEIGHT * (missed - self.missed_share);
        }
    }
}

impl Route {
    /// Avoids the route until its next half-open trial.
    pub(super) fn mark_suspect(&mut self, now: Nanos, reason: &str, actions: &mut impl Actions) {
        self.observe_traffic(now, 0.0);
        self.suspended_until = self.suspended_until.max(now + TRIAL_INTERVAL);
        if !std::mem::replace(&mut self.suspect, true) {
            let endpoint = self.entry.endpoint.0;
            actions.log(&format!("endpoint {endpoint} is suspect: {reason}"));
        }
    }

    /// A delivery in usual time ends the suspicion, and an ejected route begins its slow start. At
    /// a known rate the dispatchers try at different times: on average the route returned half way
    /// since the attempt before. Some guess too early, so the spacing lasts longer.
    pub(super) fn recover(
        &mut self,
        settings: &Settings,
        now: Nanos,
        idle_for: Nanos,
        elapsed: Nanos,
        actions: &mut impl Actions,
    ) {
        let most = if self.fair_interval(settings).is_some() {
            settings.slow_start / 2
        } else {
            0
        };
        let (was_suspect, was_warming_since) =
            (std::mem::take(&mut self.suspect), self.warming_since);
        let returned_at = now - most.min(idle_for / 2);
        let new_slow_start = Some(returned_at).filter(|_| std::mem::take(&mut self.ejected));
        self.warming_since = was_warming_since
            .filter(|since| now < since + settings.slow_start + most)
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
    /// Avoids silent routes before they take the whole in-flight capacity. One silent attempt among
    /// answered ones is no sign.
    pub(super) fn detect_silence(&mut self, actions: &mut impl Actions) {
        for attempt in self.in_flight.iter().copied().collect::<Vec<_>>() {
            let silent_at = self.answer_times.silent_at(&self.routes, &attempt);
            let route = &mut self.routes[attempt.route];
            let silent = self.now >= silent_at && attempt.sent_at > route.answered_at;
            if silent && !route.suspect {
                let unanswered = (self.now - attempt.sent_at) / MS;
                let reason = format!("an attempt is unanswered for {unanswered} ms");
                route.mark_suspect(self.now, &reason, actions);
            }
        }
    }

    /// From when on a message may be the half-open trial of a suspect route; `None`: not before
    /// another event. Each route has one trial at a time, apart from silent ones, and all trials
    /// together leave capacity for the others.
    pub(super) fn half_open_trial_at(
        &self,
        route: usize,
        semantics: DeliverySemantics,
    ) -> Option<Nanos> {
        let most = ((self.settings.max_in_flight as f64 * TRIAL_CAPACITY_SHARE) as usize).max(1);
        let trials = self
            .in_flight
            .count_calls(|attempt| self.routes[attempt.route].suspect);
        let is_trial_here = |attempt: &Attempt| {
            attempt.route == route && self.now < self.answer_times.silent_at(&self.routes, attempt)
        };
        if trials >= most || self.in_flight.count_calls(is_trial_here) > 0 {
            return None;
        }
        let delay = if semantics == DeliverySemantics::AtMostOnce {
            AT_MOST_ONCE_DELAY
        } else {
            0
        };
        Some(
            self.trials_paused_until
                .max(self.routes[route].suspended_until + delay),
        )
    }

    /// Where the trials' share is less than one call, they get that share of the time in which one
    /// call is in flight.
    pub(super) fn pause_trials(&mut self, route: usize, end: &AttemptEnd, late: bool) {
        let share = self.settings.max_in_flight as f64 * TRIAL_CAPACITY_SHARE;
        if self.routes[route].suspect && share < 1.0 && (late || end.outcome != Outcome::Delivered)
        {
            self.trials_paused_until =
                self.now + (end.elapsed as f64 * (1.0 / share - 1.0)) as Nanos;
        }
    }
}
