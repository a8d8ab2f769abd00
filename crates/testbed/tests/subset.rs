//! A dispatcher's subset of a large destination's routes: it is small, evenly spread over the fleet, and widened when all of it
//! is suspended.

use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    AttemptEnd, AttemptNumber, ClassId, ClassSettings, DeliverySemantics, DestinationId,
    EndpointEntry, EndpointId, EndpointUpdate, MessageHistory, MessageId, Nanos, NewMessage,
    Outcome, Settings,
};
use bellsill_testbed::recording_actions::RecordingActions;
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;
const DESTINATION: DestinationId = DestinationId(7);

struct FleetMember {
    dispatcher: Dispatcher,
    out: RecordingActions,
    now: Nanos,
    next: u64,
}

impl FleetMember {
    /// The dispatcher at `position` in a fleet, with `routes` routes to one destination that have separate rate limits.
    fn new(dispatchers: u32, position: u32, routes: u32) -> FleetMember {
        let class = ClassSettings {
            priority_weight: 1.0,
            latency_objective: 2 * S,
            lifetime: 10 * S,
            late_value_share: 0.5,
            semantics: DeliverySemantics::Idempotent,
            ordered: false,
        };
        let settings = Settings {
            seed: u64::from(position) + 1,
            dispatchers,
            dispatcher_index: Some(position),
            classes: vec![class],
            per_endpoint_limits: vec![true],
            max_in_flight: 64,
            queue_capacity: 100,
            caller_admission: true,
            max_attempts: 6,
            connect_timeout: S,
            cold_capacity_share: 0.2,
            slow_start: 10 * S,
            overload_multiple: 2.0,
            overload_window: 3 * S,
            clock_resolution: 5 * MS,
            ..Settings::default()
        };
        let now = 1_000 * S;
        let mut out = RecordingActions::default();
        let mut dispatcher = Dispatcher::new(now, settings);
        let entries: Vec<EndpointEntry> = (0..routes).map(entry).collect();
        dispatcher.update_endpoints(now, EndpointUpdate::Snapshot, &entries, &mut out);
        FleetMember {
            dispatcher,
            out,
            now,
            next: 0,
        }
    }

    /// Accepts a message and returns its first attempt.
    fn send(&mut self) -> (MessageId, EndpointId) {
        self.now += 100 * MS;
        self.next += 1;
        let message = NewMessage {
            id: MessageId(self.next),
            class: ClassId(0),
            key: None,
            destination: DESTINATION,
            deadline: self.now + 10 * S,
            history: MessageHistory::default(),
        };
        self.dispatcher.accept(self.now, [message], &mut self.out);
        *self.out.attempts.last().unwrap()
    }

    fn end_attempt(&mut self, (message, _): (MessageId, EndpointId), outcome: Outcome) {
        let end = AttemptEnd {
            message,
            number: AttemptNumber(0),
            outcome,
            message_ended: outcome == Outcome::Delivered,
            elapsed: 50 * MS,
            reported_rate_limit: None,
        };
        self.dispatcher.attempt_ended(self.now, end, &mut self.out);
    }

    /// Sends messages that are all delivered, and returns the number sent to each endpoint.
    fn deliver(&mut self, messages: usize) -> BTreeMap<EndpointId, usize> {
        let mut used = BTreeMap::new();
        for _ in 0..messages {
            let sent = self.send();
            *used.entry(sent.1).or_default() += 1;
            self.end_attempt(sent, Outcome::Delivered);
        }
        used
    }
}

fn entry(endpoint: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId(endpoint),
        name_hash: endpoint.wrapping_mul(0x9e37_79b9),
        destination: DESTINATION,
        serving: true,
        ..EndpointEntry::default()
    }
}

#[test]
fn large_fleets_use_small_subsets_that_cover_all_routes_evenly() {
    let mut users: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for position in 0..300 {
        let used = FleetMember::new(300, position, 48).deliver(40);
        assert_eq!(used.len(), 4, "{used:?}");
        assert!(
            used.values().all(|&messages| messages == 10),
            "routes must be picked evenly: {used:?}"
        );
        used.keys()
            .for_each(|&endpoint| *users.entry(endpoint).or_default() += 1);
    }
    let mean = 300.0 * 4.0 / 48.0;
    assert_eq!(users.len(), 48);
    assert!(
        users
            .values()
            .all(|&users| (users as f64 / mean - 1.0).abs() < 0.1),
        "{users:?}"
    );
}

#[test]
fn small_destinations_and_small_fleets_use_all_routes() {
    for (dispatchers, routes) in [(300, 4), (3, 48), (1, 64)] {
        let used = FleetMember::new(dispatchers, 0, routes).deliver(2 * routes as usize);
        assert_eq!(used.len(), routes as usize, "{dispatchers} dispatchers");
    }
}

#[test]
fn a_fully_suspended_subset_is_widened_and_retry_after_is_kept() {
    let mut member = FleetMember::new(300, 5, 48);
    let subset = member.deliver(8);
    for _ in 0..4 {
        // Each rejection moves the message to another route at once.
        let sent = member.send();
        assert!(subset.contains_key(&sent.1));
        member.end_attempt(
            sent,
            Outcome::RateLimited {
                retry_after: Some(60 * S),
            },
        );
    }
    let last = *member.out.attempts.last().unwrap();
    assert!(
        !subset.contains_key(&last.1),
        "no route outside the subset was tried"
    );
    for _ in 0..20 {
        let sent = member.send();
        assert!(
            !subset.contains_key(&sent.1),
            "a Retry-After delay was not kept"
        );
        member.end_attempt(sent, Outcome::Delivered);
    }
}
