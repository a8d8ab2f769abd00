//! Discovery: which endpoints there are, when to request a watch on their list, which are disabled.

use super::{suspension::FIRST_BACKOFF, *};

/// How long the state of an unlisted endpoint is kept, in case it returns.
const FORGET_AFTER: Nanos = 60_000 * MS;

impl Dispatcher {
    /// Schedules the next request for a watch, spread over the time that the settings allow. Its cost: until
    /// then a drain goes unnoticed.
    pub(super) fn schedule_watch_request(&mut self) {
        let Some(within) = self.settings.watch_request_limit else {
            return;
        };
        // A failed request allows four times as long; requests at shorter intervals would only queue up.
        let spread = self.watch_request_spread;
        let (least, most) = (spread / 2, (spread * 3 / 2).max(within / 4 * 3));
        self.watch_request_at = self.now + self.random.range(least..most.max(least + 1));
        self.watch_request_spread = (spread * 2).clamp(within, 2 * within);
    }

    /// The watch on the list was lost, or a request for one failed.
    pub fn watch_lost(&mut self, now: Nanos, out: &mut impl Actions) {
        self.now = now;
        self.schedule_watch_request();
        self.decide(out);
    }

    /// Discovery sent entries of the list.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        scope: EndpointUpdate,
        entries: &[EndpointEntry],
        out: &mut impl Actions,
    ) {
        self.now = now;
        if self.watch_request_at == NEVER {
            self.watch_request_spread = 0; // The watch is there.
        }
        if scope == EndpointUpdate::Snapshot {
            self.routes.unlist(now);
        }
        entries
            .iter()
            .for_each(|entry| self.apply_entry(entry, out));
        self.decide(out);
    }

    fn apply_entry(&mut self, entry: &EndpointEntry, out: &mut impl Actions) {
        let known = self.routes.find(entry.endpoint);
        let added = || entry.serving.then(|| self.add_route(entry, out));
        let Some(route) = known.or_else(added) else {
            return;
        };
        let disabled = self.disabled.contains(&entry.endpoint);
        self.routes[route].apply(entry, disabled, self.now);
    }

    /// An operator disables an endpoint, or enables it again.
    pub fn set_disabled(
        &mut self,
        now: Nanos,
        endpoint: EndpointId,
        to: bool,
        out: &mut impl Actions,
    ) {
        let changed = if to {
            self.disabled.insert(endpoint)
        } else {
            self.disabled.remove(&endpoint)
        };
        if !changed {
            return;
        }
        self.now = now;
        if let Some(route) = self.routes.find(endpoint) {
            self.routes[route].set_disabled(to, now);
            self.routes[route].ejected |= !to; // It was restarted in the meantime, so it returns cold.
            out.close_idle_connections(endpoint);
        }
        self.decide(out);
    }

    fn add_route(&mut self, entry: &EndpointEntry, out: &mut impl Actions) -> usize {
        let separate_limits = self
            .settings
            .per_endpoint_limits
            .get(entry.kind.0)
            .copied()
            .unwrap_or(false);
        let number = self
            .forgotten_route(entry.destination)
            .unwrap_or(self.routes.next_number());
        let destination = self.routes.destination_mut(entry.destination);
        let limiter_route = destination.limiter_route(number, separate_limits);
        let entry = EndpointEntry {
            serving: !self.disabled.contains(&entry.endpoint),
            ..*entry
        };
        let (backoff, sent_at) = (FIRST_BACKOFF, self.now);
        let route = Route {
            entry,
            listed: true,
            limiter_route,
            backoff,
            sent_at,
            ..Route::default()
        };
        if let Some(replaced) = self.routes.put(number, route) {
            self.disabled.remove(&replaced);
            out.endpoint_removed(replaced);
        }
        self.inherit(number);
        let route = &mut self.routes[number];
        let bound_until = entry.retry_after_until.unwrap_or(0);
        route.suspended_until = route.suspended_until.max(bound_until);
        number
    }

    /// A route whose number may be reused, so that memory does not grow with the endpoints that ever were.
    fn forgotten_route(&self, destination: DestinationId) -> Option<usize> {
        let shared = self
            .routes
            .destination(destination)
            .and_then(|known| known.shared_limiter_route);
        let forgotten = |&number: &usize| {
            let route = &self.routes[number];
            let kept_until = route.suspended_until.max(route.sent_at + FORGET_AFTER);
            let over = !route.listed && self.now >= kept_until;
            over && shared != Some(number) && !self.in_flight.has_route(number)
        };
        self.routes.of(destination).iter().copied().find(forgotten)
    }

    /// A new route is bound by a suspension of its limiter. Listed in an outage it returns as cold as the
    /// others: all backlogs meet there.
    fn inherit(&mut self, number: usize) {
        let (siblings, routes) = (self.routes.sharing_limiter(number), &mut self.routes);
        let suspended_until = siblings
            .iter()
            .map(|&sibling| routes[sibling].suspended_until)
            .max();
        routes[number].suspended_until = suspended_until.unwrap_or(0);
        routes[number].ejected = siblings.iter().any(|&sibling| routes[sibling].ejected);
        routes[number].traffic = routes[siblings[0]].traffic;
        routes[number].jitter = self.random.range(0.5..1.5);
    }
}
