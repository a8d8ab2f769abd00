//! Endpoint discovery: updates of the endpoint list, the timing of watch requests, and endpoints
//! that an operator disabled.

use super::suspension::FIRST_BACKOFF;
use crate::interface::{
    Actions, DestinationId, EndpointEntry, EndpointId, EndpointUpdate, Nanos, Settings,
};
use crate::random::Random;
use crate::state::Dispatcher;
use crate::state::attempts::AttemptsInFlight;
use crate::state::routes::{Route, Routes};
use crate::state::watch_request::WatchRequest;
use crate::units::MS;

/// How long the state of an endpoint is kept after it left the list, in case it is listed again.
const UNLISTED_RETENTION: Nanos = 60_000 * MS;

impl WatchRequest {
    /// Schedules the next watch request at a random time within the delay that the settings allow.
    /// Trade-off: a draining endpoint goes unnoticed until then.
    fn schedule(&mut self, settings: &Settings, now: Nanos, random: &mut Random) {
        let Some(max_delay) = settings.max_watch_request_delay else {
            return;
        };
        // After a failed request, four times the delay is allowed. Requests at shorter intervals
        // would only queue up.
        let spread = self.spread;
        let (earliest, latest) = (spread / 2, (spread * 3 / 2).max(max_delay / 4 * 3));
        self.at = Some(now + random.range(earliest..latest.max(earliest + 1)));
        self.spread = (spread * 2).clamp(max_delay, 2 * max_delay);
    }
}

impl Routes {
    /// Finds a route whose number can be reused, so that memory use does not grow with the number
    /// of endpoints ever listed.
    fn reusable_route(
        &self,
        now: Nanos,
        in_flight: &AttemptsInFlight,
        destination: DestinationId,
    ) -> Option<usize> {
        let shared = self
            .destination(destination)
            .and_then(|known| known.shared_limiter_route);
        let reusable = |&number: &usize| {
            let route = &self[number];
            let kept_until = route
                .suspended_until
                .max(route.last_sent_at + UNLISTED_RETENTION);
            let expired = !route.listed && now >= kept_until;
            expired && shared != Some(number) && !in_flight.has_route(number)
        };
        self.of(destination).iter().copied().find(reusable)
    }

    /// Applies a suspension of the limiter to a new route as well. A route that is listed during an
    /// outage recovers with the same slow start as its siblings, because all dispatchers send their
    /// backlogs to it.
    fn inherit_limiter_state(&mut self, number: usize) {
        let siblings = self.sharing_limiter(number);
        let suspended_until = siblings
            .iter()
            .map(|&sibling| self[sibling].suspended_until)
            .max();
        self[number].suspended_until = suspended_until.unwrap_or(0);
        self[number].ejected = siblings.iter().any(|&sibling| self[sibling].ejected);
        self[number].traffic = self[siblings[0]].traffic;
    }
}

impl Dispatcher {
    pub(super) fn schedule_watch_request(&mut self) {
        self.watch_request
            .schedule(&self.settings, self.now, &mut self.random);
    }

    /// Handles the loss of the watch on the endpoint list, or a failed watch request.
    pub fn watch_lost(&mut self, now: Nanos, actions: &mut impl Actions) {
        self.now = now;
        self.schedule_watch_request();
        self.decide(actions);
    }

    /// Applies an update of the endpoint list from discovery.
    pub fn update_endpoints(
        &mut self,
        now: Nanos,
        update: EndpointUpdate,
        entries: &[EndpointEntry],
        actions: &mut impl Actions,
    ) {
        self.now = now;
        if self.watch_request.at.is_none() {
            self.watch_request.spread = 0; // The watch is active: the next failure starts over.
        }
        if update == EndpointUpdate::Snapshot {
            self.routes.mark_all_unlisted(now);
        }
        entries
            .iter()
            .for_each(|entry| self.apply_entry(entry, actions));
        self.decide(actions);
    }

    fn apply_entry(&mut self, entry: &EndpointEntry, actions: &mut impl Actions) {
        let known = self.routes.find(entry.endpoint);
        let added = || entry.serving.then(|| self.add_route(entry, actions));
        let Some(route) = known.or_else(added) else {
            return;
        };
        let disabled = self.disabled.contains(&entry.endpoint);
        self.routes[route].apply(entry, disabled, self.now);
    }

    /// Disables an endpoint on an operator's request, or enables it again.
    pub fn set_disabled(
        &mut self,
        now: Nanos,
        endpoint: EndpointId,
        disabled: bool,
        actions: &mut impl Actions,
    ) {
        let changed = if disabled {
            self.disabled.insert(endpoint)
        } else {
            self.disabled.remove(&endpoint)
        };
        if !changed {
            return;
        }
        self.now = now;
        if let Some(route) = self.routes.find(endpoint) {
            self.routes[route].set_disabled(disabled, now);
            // Endpoints are usually restarted while they are disabled, so an endpoint that is
            // enabled again gets a slow start.
            self.routes[route].ejected |= !disabled;
            actions.close_idle_connections(endpoint);
        }
        self.decide(actions);
    }

    fn add_route(&mut self, entry: &EndpointEntry, actions: &mut impl Actions) -> usize {
        let separate_limits = self
            .settings
            .per_endpoint_limits
            .get(entry.kind.0)
            .copied()
            .unwrap_or(false);
        let number = self
            .routes
            .reusable_route(self.now, &self.in_flight, entry.destination)
            .unwrap_or(self.routes.next_number());
        let destination = self.routes.destination_mut(entry.destination);
        let limiter_route = destination.assign_limiter_route(number, separate_limits);
        let entry = EndpointEntry {
            serving: !self.disabled.contains(&entry.endpoint),
            ..*entry
        };
        let route = Route {
            entry,
            listed: true,
            limiter_route,
            backoff: FIRST_BACKOFF,
            last_sent_at: self.now,
            ..Route::default()
        };
        if let Some(replaced) = self.routes.put(number, route) {
            self.disabled.remove(&replaced);
            actions.endpoint_removed(replaced);
        }
        self.routes.inherit_limiter_state(number);
        let route = &mut self.routes[number];
        route.jitter = self.random.range(0.5..1.5);
        let retry_after_until = entry.retry_after_until.unwrap_or(0);
        route.suspended_until = route.suspended_until.max(retry_after_until);
        number
    }
}
