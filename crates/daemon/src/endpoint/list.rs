//! Applying the endpoint list, from discovery or from the control processes.

use crate::connection::{ConnectionId, Role};
use crate::delivery::Runtime;
use crate::endpoint_list;
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::event_loop::Daemon;
use crate::scope;
use bellsill_core::interface::Actions;
use bellsill_core::interface::{
    DestinationId, EndpointEntry, EndpointId, EndpointUpdate, KindId, Outcome, ZoneId,
};
use bellsill_discovery_client::Applied;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl Daemon {
    /// Something happened on a connection of the watch.
    pub(crate) fn watch_ready(&mut self, id: ConnectionId) {
        let (discovery, mut io) = self.runtime.watch();
        let received = discovery.connection_ready(&mut io, id);
        self.apply_changes(&received.looked_up);
        for document in received.documents {
            if self.scope_file.is_none() {
                self.apply_plain_document(&document);
            } else if !self.apply_scoped_document(id, &document) {
                break;
            }
        }
        let (discovery, mut io) = self.runtime.watch();
        discovery.flush(&mut io, id);
    }

    /// A document of a plain watch.
    pub(crate) fn apply_plain_document(&mut self, document: &[u8]) {
        match serde_json::from_slice::<Value>(document) {
            Ok(json) => self.apply_json_list(&json),
            Err(e) => log::warn!("discovery: skipped a line that is not valid JSON: {e}"),
        }
    }

    /// A document of a scoped watch. False: it could not be applied, and the connection is closed.
    pub(crate) fn apply_scoped_document(&mut self, id: ConnectionId, document: &[u8]) -> bool {
        let (discovery, mut io) = self.runtime.watch();
        let applied = discovery.apply(&mut io, id, document);
        match &applied {
            Ok(applied) => self.apply_changes(applied),
            Err(e) => {
                log::warn!(
                    "configuration: rejected a line, reconnecting to another control process: {e}"
                )
            }
        }
        applied.is_ok()
    }

    /// The endpoints that are known at the start: of the scoped configuration those that it kept, else those that the
    /// platform's file names.
    pub(crate) fn apply_known_list(&mut self, known: &Value) {
        let Some(list) = self.runtime.discovery.scoped_list() else {
            return self.apply_json_list(known);
        };
        let entries = Applied {
            changed: list.entries().cloned().collect(),
            ..Applied::default()
        };
        self.apply_changes(&entries);
    }

    /// A list as discovery writes it.
    pub(crate) fn apply_json_list(&mut self, json: &Value) {
        if let Some(list) = endpoint_list::read(json, self.runtime.discovery.names()) {
            self.apply_list(&list);
        }
    }

    /// Applies what has changed in the scoped configuration. A destination that is no longer kept, and for which messages are
    /// held, is looked up.
    pub fn apply_changes(&mut self, applied: &Applied) {
        if applied.changed.is_empty() && applied.dropped.is_empty() {
            return;
        }
        self.apply_list(&scope::list_of(applied, self.runtime.discovery.names()));
        let dropped: BTreeSet<u64> = applied
            .dropped
            .iter()
            .map(|entry| entry.destination)
            .collect();
        for destination in dropped {
            if self
                .runtime
                .pending_by_destination
                .contains_key(&destination)
                && self.look_up(destination).is_err()
            {
                log::warn!(
                    "destination {destination} cannot be looked up: every cache entry is in use"
                );
            }
        }
    }

    /// Applies a list, whole or of changes.
    pub fn apply_list(&mut self, list: &EndpointList) {
        let runtime = &mut self.runtime;
        let mut entries = Vec::with_capacity(list.endpoints.len());
        for listed in &list.endpoints {
            let replaced = runtime.remove_replaced(listed);
            let retry_after_until =
                replaced.map(|old| self.dispatcher.suspended_until(old.endpoint));
            entries.extend(replaced);
            match runtime.entry(listed) {
                Ok(entry) => entries.extend(entry.map(|entry| EndpointEntry {
                    retry_after_until,
                    ..entry
                })),
                Err(what) => endpoint_list::warn_of_entry(what),
            }
        }
        runtime.discovery.told(list.version);
        // By their ids: asked of each endpoint, a list of thousands would stop all else for seconds.
        let told: BTreeMap<EndpointId, bool> =
            entries.iter().map(|e| (e.endpoint, e.serving)).collect();
        if list.whole {
            for id in runtime.endpoints.ids().filter(|id| !told.contains_key(id)) {
                runtime.set_serving(id, false);
            }
        }
        for (id, serving) in told {
            runtime.set_serving(id, serving);
        }
        // PendingMessage out by hand, whatever the list says: the decisions know before they hear of it.
        let held: Vec<EndpointId> = runtime
            .disabled
            .iter()
            .filter_map(|name| runtime.endpoints.find(name))
            .collect();
        for id in held {
            self.dispatcher.set_disabled(runtime.now, id, true, runtime);
        }
        let scope = if list.whole {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.dispatcher
            .update_endpoints(runtime.now, scope, &entries, runtime);
    }
}

impl Runtime {
    /// What the decisions are told of the endpoint that had a listed one's name and is another by its entry: it is gone.
    pub(crate) fn remove_replaced(&mut self, listed: &ListedEndpoint) -> Option<EndpointEntry> {
        if !listed.serving {
            return None;
        }
        let endpoint = self.endpoints.release_name(listed)?;
        let destination = self.endpoints[endpoint].destination.unwrap_or_default();
        log::info!(
            "endpoint {} was replaced by its new entry, the old one belonged to destination {destination}",
            listed.name
        );
        Some(EndpointEntry {
            endpoint,
            destination: DestinationId(destination),
            ..EndpointEntry::default()
        })
    }

    /// What the decisions are told of a listed endpoint; nothing of one that never served and does not now, since nothing
    /// hangs on it. Else the field that cannot be read.
    pub(crate) fn entry(
        &mut self,
        listed: &ListedEndpoint,
    ) -> Result<Option<EndpointEntry>, &'static str> {
        let known = self.endpoints.find(&listed.name);
        let addr = match (listed.addr, known) {
            (Some(addr), _) => addr,
            (None, Some(id)) if !listed.serving => self.endpoints[id].addr,
            _ => return Err("addr"),
        };
        if known.is_none() && !listed.serving {
            return Ok(None);
        }
        let endpoint = self.endpoints.register(listed, addr);
        if self.endpoints[endpoint].addr != addr {
            self.relocate_endpoint(endpoint, addr);
        }
        let names = self.discovery.names();
        let find = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(usize::MAX)
        };
        Ok(Some(EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(listed.name.as_bytes()),
            destination: DestinationId(listed.destination),
            zone: ZoneId(find(&names.zones, &listed.zone)),
            kind: KindId(find(&names.kinds, &listed.kind)),
            serving: listed.serving,
            rate: listed.rate,
            retry_after_until: None,
        }))
    }

    /// Whether an endpoint takes messages; the idle connections to one that does not are closed.
    pub(crate) fn set_serving(&mut self, endpoint: EndpointId, serving: bool) {
        self.endpoints[endpoint].serving = serving;
        if !serving {
            self.close_idle_connections(endpoint);
        }
    }

    /// An endpoint listens elsewhere from now on.
    pub(crate) fn relocate_endpoint(&mut self, endpoint: EndpointId, addr: SocketAddr) {
        self.close_idle_connections(endpoint);
        self.endpoints[endpoint].addr = addr;
        // What still comes up at the old address would be somebody else's by then.
        let rises = |id: &ConnectionId| {
            self.connections
                .get(*id)
                .is_some_and(|c| c.connecting && c.role == Role::Endpoint(endpoint))
        };
        let calls = self.endpoints.attempts.iter().filter(|(id, _)| rises(id));
        for slot in calls.map(|(_, slot)| *slot).collect::<Vec<_>>() {
            self.abort_attempt(slot, Outcome::NotSent { no_capacity: false });
        }
    }
}
