//! Starting and killing a dispatcher's process, and updates of its endpoint list.

use super::simulation::Simulation;
use crate::record::Observation;
use crate::world::ListState;
use crate::world::time::MS;
use bellsill_core::control::Dispatcher;
use bellsill_core::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointUpdate, KindId, MessageId, Nanos, NewMessage,
    ZoneId,
};

/// The time from a process start until it accepts messages.
const START_DURATION: Nanos = 50 * MS;

impl Simulation {
    /// Starts a dispatcher with its last received endpoint list and the messages in its journal.
    pub(super) fn start(&mut self, dispatcher: usize) {
        let state = &mut self.dispatchers[dispatcher];
        if state.decisions.is_some() {
            return;
        }
        state.starts += 1;
        state.wakeups += 1;
        state.shutting_down = false;
        state.accepts_from = self.now + START_DURATION;
        let settings = self
            .world
            .plan
            .dispatcher_settings(dispatcher, state.starts);
        state.decisions = Some(Dispatcher::new(self.now, settings));
        let list = self.world.listing(state.version);
        let entries: Vec<EndpointEntry> = list
            .iter()
            .map(|(endpoint, listed)| self.entry(*endpoint, *listed == ListState::Up))
            .collect();
        self.observe(Observation::Started { dispatcher });
        self.decide(dispatcher, |d, now, out| {
            d.update_endpoints(now, EndpointUpdate::Snapshot, &entries, out)
        });
        let mut journaled: Vec<(u64, NewMessage)> = self.dispatchers[dispatcher]
            .messages
            .iter()
            .map(|(id, pending)| (pending.accepted, pending.as_new_message(*id)))
            .collect();
        journaled.sort_by_key(|k| k.0);
        for (_, new) in journaled {
            self.decide(dispatcher, |d, now, out| d.accept(now, [new], out));
        }
        self.observe(Observation::Ready { dispatcher });
    }

    pub(super) fn kill(&mut self, dispatcher: usize) {
        let state = &mut self.dispatchers[dispatcher];
        if state.decisions.take().is_none() {
            return;
        }
        let idle = std::mem::take(&mut state.idle);
        state.idle_since.clear();
        (state.idle_count, state.shutting_down) = (0, false);
        for idle in idle.into_values().flatten() {
            self.world.close(idle.conn);
        }
        let in_flight: Vec<MessageId> = self.dispatchers[dispatcher]
            .messages
            .iter()
            .filter(|m| m.1.in_flight.is_some())
            .map(|m| *m.0)
            .collect();
        for message in in_flight {
            self.close_attempt(dispatcher, message);
            let Some(pending) = self.dispatchers[dispatcher].messages.get_mut(&message) else {
                continue;
            };
            if let Some(attempt) = pending.in_flight.take().filter(|a| a.call.is_some()) {
                let zone = ZoneId(self.world.endpoint(attempt.endpoint).zone);
                pending.record_possible_run(attempt.started_at, zone);
            }
        }
        let state = &mut self.dispatchers[dispatcher];
        state.messages.retain(|_, pending| !pending.ended);
        self.ended.retain(|(of, _)| *of != dispatcher);
        self.observe(Observation::Stopped { dispatcher });
    }

    pub(super) fn list_published(&mut self, dispatcher: usize, version: usize) {
        let state = &mut self.dispatchers[dispatcher];
        if state.decisions.is_none() || version <= state.version {
            return;
        }
        let changes = self.world.changes(state.version, version).to_vec();
        state.version = version;
        let mut entries = vec![];
        for change in changes {
            let (endpoint, serving) = (change.endpoint, change.listed == ListState::Up);
            entries.push(self.entry(endpoint, serving));
            self.observe(Observation::EndpointListed {
                dispatcher,
                endpoint,
                serving,
            });
            if !serving {
                self.close_idle(dispatcher, endpoint);
            }
        }
        self.decide(dispatcher, |d, now, out| {
            d.update_endpoints(now, EndpointUpdate::Delta, &entries, out)
        });
    }

    fn entry(&self, endpoint: EndpointId, serving: bool) -> EndpointEntry {
        let plan = self.world.endpoint(endpoint);
        EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(&endpoint.0.to_le_bytes()),
            destination: DestinationId(plan.destination as u64),
            zone: ZoneId(plan.zone),
            kind: KindId(plan.kind),
            serving,
            rate_limit: None,
            retry_after_until: None,
        }
    }
}
