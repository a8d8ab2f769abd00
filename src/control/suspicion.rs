//! Routes held for silence or failing, their trials, and how they return.

use super::*;

/// A route is silent when its oldest connect is this many usual answer times old, and no less than the floor.
const SILENT_TIMES: f64 = 5.0;
/// The patience is cut, down to this part, by the share of connects not answered in usual time; one's weight.
const LEAST_PATIENCE: f64 = 0.4;
const MISSED_WEIGHT: f64 = 0.15;
const SILENT_FLOOR: Nanos = 700 * MS;
/// Rest between trials of a suspect route; once-only mails stand back by the spare.
const TRIAL_REST: Nanos = 400 * MS;
const SPARE: Nanos = 2_500 * MS;
/// The share of the slots that all suspect routes together may hold.
const TRIAL_SHARE: f64 = 0.25;

impl Dispatcher {
    /// How long a connect may go unanswered, by all routes. Could hold slow answers for silence.
    pub(super) fn silent_after(&self, route: usize, class: usize) -> Nanos {
        let times = SILENT_TIMES * (1.0 - self.missed).max(LEAST_PATIENCE);
        ((times * self.usual(self.routes[route].entry.destination, class)) as Nanos).max(SILENT_FLOOR)
    }

    pub(super) fn silent_at(&self, connect: &Connect) -> Nanos {
        connect.at + self.silent_after(connect.route, connect.class)
    }

    pub(super) fn learn_patience(&mut self, outcome: Outcome, late: bool) {
        if matches!(outcome, Outcome::Relayed | Outcome::TimedOut | Outcome::CalledOff) {
            let missed = f64::from(u8::from(late || outcome != Outcome::Relayed));
            self.missed += MISSED_WEIGHT * (missed - self.missed);
        }
    }

    /// Stops silent routes from taking up the slots. One overdue while others are answered is a lost answer.
    pub(super) fn watch_silence(&mut self, out: &mut impl Outlet) {
        let connects: Vec<Connect> = self.out.iter().copied().collect();
        for connect in connects {
            let route = &self.routes[connect.route];
            let silent = self.now >= self.silent_at(&connect) && connect.at > route.spoke_at;
            if silent && !route.suspect {
                let why = format!("oldest connect {} ms unanswered", (self.now - connect.at) / MS);
                self.suspect(connect.route, &why, out);
            }
        }
    }

    /// Holds a route, or holds it on: after a rest it is tried.
    pub(super) fn suspect(&mut self, number: usize, why: &str, out: &mut impl Outlet) {
        self.routes[number].count(self.now, 0.0);
        let route = &mut self.routes[number];
        route.closed_until = route.closed_until.max(self.now + TRIAL_REST);
        if !std::mem::replace(&mut route.suspect, true) {
            out.log(&format!("route {} suspect: {why}", route.entry.endpoint.0));
        }
    }

    /// When a mail may be the trial of a suspect route. One at a time; overdue ones hold up none. Many at
    /// once would leave sound routes no slots.
    pub(super) fn trial_at(&self, route: usize, repeat: Repeat) -> Nanos {
        let most = ((self.facts.slots as f64 * TRIAL_SHARE) as usize).max(1);
        if self.out.count_calls(|o| self.routes[o.route].suspect) >= most
            || self.out.count_calls(|o| o.route == route && self.now < self.silent_at(o)) > 0
        {
            return NEVER;
        }
        let spare = if repeat == Repeat::OnceOnly { SPARE } else { 0 };
        self.trial_until.max(self.routes[route].closed_until + spare)
    }

    /// Where the share of the trials is less than one slot, it is a share of one slot's time.
    pub(super) fn rest_trials(&mut self, route: usize, end: &ConnectEnd, late: bool) {
        let part = self.facts.slots as f64 * TRIAL_SHARE;
        if self.routes[route].suspect && part < 1.0 && (late || end.outcome != Outcome::Relayed) {
            self.trial_until = self.now + (end.took as f64 * (1.0 / part - 1.0)) as Nanos;
        }
    }

    /// A mail relayed in usual time: not suspect, cold if struck. With shares all try at different times: in
    /// the mean it came back half way since the connect before. Some guess early: paced for longer.
    pub(super) fn cleared(&mut self, connect: Connect, took: Nanos, out: &mut impl Outlet) {
        let most = if self.share(connect.route) > 0.0 { self.facts.ramp / 2 } else { 0 };
        let route = &mut self.routes[connect.route];
        let (suspect, cold) = (std::mem::take(&mut route.suspect), route.cold_since);
        let begun = self.now - most.min(connect.rested / 2);
        let begins = Some(begun).filter(|_| std::mem::take(&mut route.struck));
        route.cold_since = cold.filter(|since| self.now < since + self.facts.ramp + most).or(begins);
        let word = match (cold, route.cold_since) {
            (None, Some(_)) => "returns cold",
            (_, None) if suspect || cold.is_some() => "open",
            _ => return,
        };
        let (id, share) = (route.entry.endpoint.0, route.fail);
        out.log(&format!("route {id} {word}: relayed in {} ms, failure share {share:.2}", took / MS));
    }
}
