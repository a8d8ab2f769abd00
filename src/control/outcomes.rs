//! What the outcome of a connect tells of its route.

use super::{suspension::DOWN_AFTER, *};

/// The weight of one outcome in a route's failure share, and the share over which it is sick.
const FAIL_WEIGHT: f64 = 0.25;
const FAIL_MARGIN: f64 = 0.4;

impl Dispatcher {
    /// Takes in one piece of news: the last outcome of a call, or a told wait.
    pub(super) fn learn(&mut self, connect: Connect, end: &ConnectEnd, out: &mut impl Outlet) {
        let route = connect.route;
        self.learn_rate(route, end.limit);
        let late = end.took > self.silent_after(route, connect.class);
        self.learn_patience(end.outcome, late);
        self.rest_trials(route, end, late);
        let at_once = end.outcome == Outcome::Unconnected && end.took < self.facts.connect_timeout / 2;
        // No drop: a reset as late as an answer. No full table: a route that refuses again before it relays.
        let usual = self.usual(self.routes[route].entry.destination, connect.class);
        let early = (end.took as f64) < usual / 2.0;
        let met = !connect.fresh
            && ((at_once && self.untroubled(route)) || (end.outcome == Outcome::Reset && early));
        self.learn_tightness(&connect, end.outcome, met, out);
        match end.outcome {
            Outcome::Relayed => self.learn_relayed(connect, end.took, late, out),
            Outcome::Full(told) => self.refused(route, connect.at, told),
            // No connection, said at once: its table is full, or it is down. It alone is refused, untold.
            Outcome::Unconnected if at_once => self.connection_refused(route),
            Outcome::Reset if !connect.fresh && early => {} // Perhaps an idle connection dropped unseen.
            Outcome::Unsent(true) => self.no_slot_until = self.now + 10 * self.facts.tick,
            Outcome::Unsent(false) | Outcome::CalledOff => {}
            outcome => self.learn_failure(route, outcome, out),
        }
    }

    fn learn_relayed(&mut self, connect: Connect, took: Nanos, late: bool, out: &mut impl Outlet) {
        let route = connect.route;
        self.narrow_gap(route);
        self.reset_waits(route);
        self.routes[route].count(self.now, 1.0);
        self.routes[route].fail *= 1.0 - FAIL_WEIGHT;
        if !late {
            self.routes[route].spoke_at = self.now;
            self.learn_usual(route, connect.class, took);
        }
        if self.routes[route].suspect && late {
            self.suspect(route, "", out);
        } else {
            self.cleared(connect, took, out);
        }
    }

    fn connection_refused(&mut self, route: usize) {
        self.suspend(route, 0);
        self.routes[route].unmet += 1;
        let seldom = u32::from(self.crowd(route) > 1.0); // It is met seldom, and one fewer has to do.
        if self.routes[route].unmet + seldom >= DOWN_AFTER {
            self.routes[route].strike(self.now);
        }
    }

    fn learn_failure(&mut self, route: usize, outcome: Outcome, out: &mut impl Outlet) {
        // Single answers are spoilt on the way from any route; one that spoils all is found later.
        let spoilt = outcome == Outcome::Spoilt;
        let part = if spoilt { FAIL_WEIGHT / 4.0 } else { FAIL_WEIGHT };
        let share = self.routes[route].fail * (1.0 - part) + part;
        self.routes[route].fail = share;
        // In a crowd each meets a route seldom: one connection not had in time says that it is gone.
        let gone = outcome == Outcome::Unconnected && self.crowd(route) > 1.0;
        if (spoilt || self.routes[route].open()) && share <= FAIL_MARGIN && !gone {
            return;
        }
        self.routes[route].strike(self.now);
        self.routes[route].cold_since = None;
        self.suspect(route, &format!("failure share {share:.2}"), out);
    }
}
