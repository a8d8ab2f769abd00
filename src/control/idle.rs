//! Whether idle connections are kept: not for a while where they are dropped unseen or fill tables.

use super::*;

/// How long a kind keeps no idle connections once this share of connects met drops or full tables, the least
/// weight of one in it; one is enough where nothing had gone for so long.
const TIGHT: Nanos = 60_000 * MS;
const TIGHT_RESTED: Nanos = 2_000 * MS;
const TIGHT_SHARE: f64 = 0.15;
const TIGHT_WEIGHT: f64 = 0.05;

impl Dispatcher {
    pub(super) fn tight(&self, route: usize) -> bool {
        self.tight.get(&self.routes[route].entry.kind.0).is_some_and(|tight| self.now < tight.until)
    }

    pub(super) fn learn_tightness(
        &mut self,
        connect: &Connect,
        outcome: Outcome,
        met: bool,
        out: &mut impl Outlet,
    ) {
        let kind = self.routes[connect.route].entry.kind.0;
        let tight = self.tight.entry(kind).or_default();
        tight.count(met, TIGHT_WEIGHT);
        if connect.fresh && outcome == Outcome::Reset {
            *tight = Tight { share: 0.0, of: 1.0 / TIGHT_WEIGHT, until: self.now }; // New ones break as well.
        }
        let many = tight.share > TIGHT_SHARE || connect.rested > TIGHT_RESTED;
        if met && many && std::mem::replace(&mut tight.until, self.now + TIGHT) <= self.now {
            out.log(&format!("kind {kind} keeps no idle connections: {:.2} of connects", tight.share));
            let of_kind = self.routes.iter().filter(|route| route.entry.kind.0 == kind);
            of_kind.for_each(|route| out.hang_up(route.entry.endpoint));
        }
    }
}
