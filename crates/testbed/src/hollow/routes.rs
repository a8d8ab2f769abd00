//! The route table of a hollow dispatcher: the real decisions, told of entries as the daemon tells them, and what is in
//! force by endpoint.

use super::messages::BucketDigest;
use super::plan::{DispatcherIndex, Plan};
use crate::recording_actions::RecordingActions;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    ClassSettings, DeliverySemantics, DestinationId, EndpointEntry, EndpointId, EndpointUpdate,
    KindId, Nanos, Settings, ZoneId,
};
use bellsill_directory::line;
use bellsill_directory::line::EndpointState;
use bellsill_placement::BucketId;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// What is known of an endpoint that the decisions know.
struct Route {
    endpoint: EndpointId,
    address: SocketAddr,
    serving: bool,
    zone: ZoneId,
    destination: u64,
}

/// The decisions of a dispatcher and the endpoints that they know by name.
pub struct RouteTable {
    decisions: Dispatcher,
    routes: BTreeMap<String, Route>,
    free: Vec<EndpointId>,
    next: u32,
    wake_at: Option<Nanos>,
}

impl RouteTable {
    pub fn new(now: Nanos, seed: u64, dispatchers: usize) -> Self {
        let settings = Settings {
            seed,
            dispatchers: dispatchers as u32,
            classes: vec![queue_class()],
            per_endpoint_limits: vec![false],
            max_batch: vec![1],
            max_in_flight: 64,
            queue_capacity: 10_000,
            caller_admission: true,
            max_attempts: 3,
            connect_timeout: 1_000_000_000,
            cold_capacity_share: 0.2,
            slow_start: 10_000_000_000,
            overload_multiple: 2.0,
            overload_window: 1_000_000_000,
            clock_resolution: 1_000_000,
            ..Settings::default()
        };
        let decisions = Dispatcher::new(now, settings);
        RouteTable {
            decisions,
            routes: BTreeMap::new(),
            free: vec![],
            next: 0,
            wake_at: None,
        }
    }

    pub fn wake_at(&self) -> Option<Nanos> {
        self.wake_at
    }

    pub fn woken(&mut self, now: Nanos) {
        self.wake_at = None;
        let mut outlet = RecordingActions::default();
        self.decisions.wakeup(now, &mut outlet);
        self.follow(now, outlet);
    }

    /// Puts changed entries and those that are gone in force.
    pub fn apply<'a>(
        &mut self,
        now: Nanos,
        plan: &Plan,
        changed: impl IntoIterator<Item = &'a line::EndpointEntry>,
        dropped: &[String],
    ) {
        let mut entries: Vec<EndpointEntry> =
            dropped.iter().filter_map(|name| self.gone(name)).collect();
        entries.extend(
            changed
                .into_iter()
                .filter_map(|entry| self.listed(plan, entry)),
        );
        let mut outlet = RecordingActions::default();
        self.decisions
            .update_endpoints(now, EndpointUpdate::Delta, &entries, &mut outlet);
        self.follow(now, outlet);
    }

    fn follow(&mut self, now: Nanos, outlet: RecordingActions) {
        if let Some(after) = outlet.wake_after {
            self.wake_at = Some(now + after);
        }
        if outlet.removed_endpoints.is_empty() {
            return;
        }
        self.routes
            .retain(|_, route| !outlet.removed_endpoints.contains(&route.endpoint));
        self.free.extend(outlet.removed_endpoints);
    }

    fn gone(&mut self, name: &str) -> Option<EndpointEntry> {
        let route = self.routes.get_mut(name)?;
        route.serving = false;
        Some(list_entry(route))
    }

    /// None for an endpoint that never served and does not now.
    fn listed(&mut self, plan: &Plan, entry: &line::EndpointEntry) -> Option<EndpointEntry> {
        let serving = entry.state == EndpointState::Up;
        if !serving && !self.routes.contains_key(&entry.id) {
            return None;
        }
        let address = entry.addr.as_ref().and_then(|address| address.parse().ok());
        if let Some(route) = self.routes.get_mut(&entry.id) {
            route.serving = serving;
            route.address = address.unwrap_or(route.address);
            return Some(list_entry(route));
        }
        let zone = plan.zones.iter().position(|zone| zone.name == entry.zone)?;
        let route = Route {
            endpoint: self.next_endpoint(),
            address: address?,
            serving,
            zone: ZoneId(zone),
            destination: entry.destination,
        };
        let listed = list_entry(&route);
        self.routes.insert(entry.id.clone(), route);
        Some(listed)
    }

    fn next_endpoint(&mut self) -> EndpointId {
        self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            EndpointId(self.next - 1)
        })
    }

    /// Fingerprints of what serves, by bucket.
    pub fn digests(&self, plan: &Plan, dispatcher: DispatcherIndex) -> Vec<BucketDigest> {
        let mut buckets: BTreeMap<BucketId, BucketDigest> = BTreeMap::new();
        for (name, route) in self.routes.iter().filter(|(_, route)| route.serving) {
            let bucket = plan.bucket_of(route.destination);
            let empty = BucketDigest {
                dispatcher,
                bucket,
                entries: 0,
                digest: 0,
            };
            let digest = buckets.entry(bucket).or_insert(empty);
            digest.entries += 1;
            digest.digest ^= fingerprint(name, route.address);
        }
        buckets.into_values().collect()
    }
}

fn queue_class() -> ClassSettings {
    ClassSettings {
        priority_weight: 1.0,
        latency_objective: 5_000_000_000,
        lifetime: 60_000_000_000,
        late_value_share: 0.5,
        semantics: DeliverySemantics::Idempotent,
        ordered: false,
    }
}

fn list_entry(route: &Route) -> EndpointEntry {
    EndpointEntry {
        endpoint: route.endpoint,
        destination: DestinationId(route.destination),
        zone: route.zone,
        kind: KindId(0),
        serving: route.serving,
        rate_limit: None,
        ..EndpointEntry::default()
    }
}

/// Of an endpoint that serves at an address; the same in all processes of a build.
pub fn fingerprint(name: &str, address: SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    (name, address).hash(&mut hasher);
    hasher.finish()
}
