//! Applies configuration changes from discovery or the control processes to the endpoint registry and the decision
//! logic.

use super::coordinator::Delivery;
use crate::connection::ConnectionId;
use crate::endpoint::ListUpdate;
use crate::endpoint_list::{self, EndpointList};
use bellsill_core::interface::{Actions, EndpointId, EndpointUpdate};
use bellsill_discovery_client::{Applied, ScopedLineError};
use serde_json::Value;
use std::collections::BTreeSet;

impl Delivery {
    /// Handles readiness of a watch connection.
    pub(crate) fn watch_ready(&mut self, id: ConnectionId) {
        let scoped = self.discovery.scoped_list().is_some();
        let (discovery, mut io) = self.discovery_and_io();
        let received = discovery.connection_ready(&mut io, id);
        self.apply_changes(&received.looked_up);
        for document in received.documents {
            if !scoped {
                self.apply_plain_document(&document);
            } else if let Err(e) = self.apply_scoped_document(id, &document) {
                log::warn!(
                    "configuration: rejected a line, reconnecting to another control process: {e}"
                );
                break;
            }
        }
        let (discovery, mut io) = self.discovery_and_io();
        discovery.flush(&mut io, id);
    }

    /// Applies a document of an unscoped watch.
    fn apply_plain_document(&mut self, document: &[u8]) {
        match serde_json::from_slice::<Value>(document) {
            Ok(json) => self.apply_received_list(document, &json),
            Err(e) => log::warn!("discovery: skipped a line that is not valid JSON: {e}"),
        }
    }

    /// Applies a document of a scoped watch. On an error, the connection is already closed.
    fn apply_scoped_document(
        &mut self,
        id: ConnectionId,
        document: &[u8],
    ) -> Result<(), ScopedLineError> {
        self.record_line(document);
        let (discovery, mut io) = self.discovery_and_io();
        let applied = discovery.apply(&mut io, id, document)?;
        self.apply_changes(&applied);
        Ok(())
    }

    fn apply_received_list(&mut self, document: &[u8], json: &Value) {
        let Some(list) = endpoint_list::read(json, self.discovery.names()) else {
            return;
        };
        if self.is_outdated(&list) {
            return;
        }
        self.record_list(&list, document, json);
        self.apply_list(&list);
        self.compact_updates();
    }

    /// Applies changes of the scoped configuration. A dropped destination that has pending messages is looked up again.
    pub(super) fn apply_changes(&mut self, applied: &Applied) {
        if applied.changed.is_empty() && applied.dropped.is_empty() {
            return;
        }
        self.apply_list(&endpoint_list::list_from_changes(
            applied,
            self.discovery.names(),
        ));
        let dropped: BTreeSet<u64> = applied
            .dropped
            .iter()
            .map(|entry| entry.destination)
            .collect();
        for destination in dropped {
            if self.runtime.messages.has_destination(destination) {
                self.look_up_for_pending(destination);
            }
        }
    }

    pub(super) fn apply_list(&mut self, list: &EndpointList) {
        let dispatcher = &self.dispatcher;
        let update = self
            .runtime
            .endpoints
            .apply(list, self.discovery.names(), |id| {
                dispatcher.suspended_until(id)
            });
        let ListUpdate {
            entries,
            relocated,
            not_serving,
        } = update;
        for endpoint in relocated {
            self.runtime.close_idle_connections(endpoint);
            self.runtime.abort_connecting(endpoint);
        }
        self.discovery.set_version(list.version);
        for endpoint in not_serving {
            self.runtime.close_idle_connections(endpoint);
        }
        let now = self.runtime.now;
        // Disabled endpoints are reported before the update, so that the decision logic does not select one of them
        // whatever the list says.
        let disabled: Vec<EndpointId> = self
            .disabled
            .iter()
            .filter_map(|name| self.runtime.endpoints.find(name))
            .collect();
        for id in disabled {
            self.dispatcher
                .set_disabled(now, id, true, &mut self.runtime);
        }
        let scope = if list.complete {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.dispatcher
            .update_endpoints(now, scope, &entries, &mut self.runtime);
    }
}
