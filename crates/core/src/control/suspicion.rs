//! Suspicion: routes held for silence or failures, their trials, and how they recover.

use super::*;

/// A route is silent when an attempt is in flight for this multiple of the usual answer time.
const SILENCE_MULTIPLE: f64 = 5.0;
const SILENCE_FLOOR: Nanos = 700 * MS;
/// The multiple is cut, down to this part, by the share of attempts not answered in usual time.
const MIN_PATIENCE: f64 = 0.4;
const MISSED_WEIGHT: f64 = 0.15;
/// The interval between the trials of a suspect route, and how much longer at-most-once messages avoid it.
const TRIAL_INTERVAL: Nanos = 400 * MS;
const AT_MOST_ONCE_DELAY: Nanos = 2_500 * MS;
/// The share of the slots that all trials together may hold.
const TRIAL_SLOT_SHARE: f64 = 0.25;

impl Dispatcher {
    /// After how long an unanswered attempt counts as silence. Its cost: slow answers are taken for silence.
    pub(super) fn silent_after(&self, route: usize, class: usize) -> Nanos {
        let multiple = SILENCE_MULTIPLE * (1.0 - self.missed_share).max(MIN_PATIENCE);
        let usual = self.usual_latency(self.routes[route].entry.destination, class);
        ((multiple * usual) as Nanos).max(SILENCE_FLOOR)
    }

    pub(super) fn silent_at(&self, attempt: &Attempt) -> Nanos {
        attempt.sent_at + self.silent_after(attempt.route, attempt.class)
    }

    /// Counts whether an attempt was answered in usual time.
    pub(super) fn observe_patience(&mut self, outcome: Outcome, late: bool) {
        if matches!(
            outcome,
            Outcome::Delivered | Outcome::TimedOut | Outcome::Cancelled
        ) {
            let missed = f64::from(u8::from(late || outcome != Outcome::Delivered));
            self.missed_share += MISSED_WEIGHT * (missed - self.missed_share);
        }
    }

    /// Holds silent routes before they take all slots. One silent attempt among answered ones is no sign.
    pub(super) fn detect_silence(&mut self, out: &mut impl Actions) {
        for attempt in self.in_flight.iter().copied().collect::<Vec<_>>() {
            let route = &self.routes[attempt.route];
            let silent =
                self.now >= self.silent_at(&attempt) && attempt.sent_at > route.answered_at;
            if silent && !route.suspect {
                let why = format!(
                    "oldest connect {} ms unanswered",
                    (self.now - attempt.sent_at) / MS
                );
                self.suspect(attempt.route, &why, out);
            }
        }
    }

    /// Holds a route, or goes on holding it, until its next trial.
    pub(super) fn suspect(&mut self, number: usize, why: &str, out: &mut impl Actions) {
        self.update_traffic(number, 0.0);
        let route = &mut self.routes[number];
        route.suspended_until = route.suspended_until.max(self.now + TRIAL_INTERVAL);
        if !std::mem::replace(&mut route.suspect, true) {
            out.log(&format!("route {} suspect: {why}", route.entry.endpoint.0));
        }
    }

    /// From when on a message may be the trial of a suspect route. Each has one trial at a time, apart from
    /// silent ones, and all trials together leave slots for the sound routes.
    pub(super) fn trial_at(&self, route: usize, repeat: DeliverySemantics) -> Nanos {
        let most = ((self.settings.max_in_flight as f64 * TRIAL_SLOT_SHARE) as usize).max(1);
        let trials = self
            .in_flight
            .count_calls(|attempt| self.routes[attempt.route].suspect);
        let on_trial =
            |attempt: &Attempt| attempt.route == route && self.now < self.silent_at(attempt);
        if trials >= most || self.in_flight.count_calls(on_trial) > 0 {
            return NEVER;
        }
        let delay = if repeat == DeliverySemantics::AtMostOnce {
            AT_MOST_ONCE_DELAY
        } else {
            0
        };
        self.trial_until
            .max(self.routes[route].suspended_until + delay)
    }

    /// Where the share of the trials is less than one slot, they get that share of one slot's time.
    pub(super) fn space_trials(&mut self, route: usize, end: &AttemptEnd, late: bool) {
        let share = self.settings.max_in_flight as f64 * TRIAL_SLOT_SHARE;
        if self.routes[route].suspect && share < 1.0 && (late || end.outcome != Outcome::Delivered)
        {
            self.trial_until = self.now + (end.elapsed as f64 * (1.0 / share - 1.0)) as Nanos;
        }
    }

    /// A delivery in usual time ends the suspicion, and an ejected route starts its ramp. At a known rate the
    /// dispatchers try at different times: on average the route returned half way since the attempt before.
    /// Some guess too early, so the spacing lasts longer.
    pub(super) fn recover(&mut self, attempt: Attempt, took: Nanos, out: &mut impl Actions) {
        let most = if self.fair_interval(attempt.route) > 0.0 {
            self.settings.slow_start / 2
        } else {
            0
        };
        let route = &mut self.routes[attempt.route];
        let (suspect, cold) = (std::mem::take(&mut route.suspect), route.cold_since);
        let returned_at = self.now - most.min(attempt.idle_for / 2);
        let new_ramp = Some(returned_at).filter(|_| std::mem::take(&mut route.ejected));
        route.cold_since = cold
            .filter(|since| self.now < since + self.settings.slow_start + most)
            .or(new_ramp);
        let word = match (cold, route.cold_since) {
            (None, Some(_)) => "returns cold",
            (_, None) if suspect || cold.is_some() => "open",
            _ => return,
        };
        let (id, share) = (route.entry.endpoint.0, route.failure_share);
        out.log(&format!(
            "route {id} {word}: relayed in {} ms, failure share {share:.2}",
            took / MS
        ));
    }
}
