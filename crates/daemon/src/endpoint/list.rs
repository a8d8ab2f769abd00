//! Applies endpoint lists to the registry.

use super::registry::EndpointRegistry;
use crate::endpoint_list::{self, EndpointList, ListedEndpoint};
use bellsill_core::interface::{DestinationId, EndpointEntry, EndpointId, KindId, Nanos, ZoneId};
use bellsill_settings::PlatformNames;
use std::collections::BTreeMap;

/// The changes made by a list. The caller applies them to connections and attempts: first the relocated endpoints, then
/// those not serving, and last the entries.
#[must_use]
#[derive(Default)]
pub(crate) struct ListUpdate {
    /// The entries for the decision logic.
    pub(crate) entries: Vec<EndpointEntry>,
    /// Endpoints with a new address: idle connections and connects to the old one are closed.
    pub(crate) relocated: Vec<EndpointId>,
    /// Endpoints that do not accept messages: their idle connections are closed.
    pub(crate) not_serving: Vec<EndpointId>,
}

/// The entry has no valid address.
struct InvalidAddress;

impl EndpointRegistry {
    /// Applies a snapshot or a delta. `suspended_until` returns the end of an endpoint's suspension by the decision
    /// logic; an endpoint that takes over the name of a replaced one inherits it.
    pub(crate) fn apply(
        &mut self,
        list: &EndpointList,
        names: &PlatformNames,
        suspended_until: impl Fn(EndpointId) -> Nanos,
    ) -> ListUpdate {
        let mut update = ListUpdate {
            entries: Vec::with_capacity(list.endpoints.len()),
            ..ListUpdate::default()
        };
        for listed in &list.endpoints {
            let replaced = self.remove_replaced(listed);
            let retry_after_until = replaced.map(|old| suspended_until(old.endpoint));
            update.entries.extend(replaced);
            match self.entry(listed, names, &mut update.relocated) {
                Ok(entry) => update.entries.extend(entry.map(|entry| EndpointEntry {
                    retry_after_until,
                    ..entry
                })),
                Err(InvalidAddress) => endpoint_list::warn_skipped_entry("addr"),
            }
        }
        // Indexed by endpoint: a linear search for each one would block the event loop for seconds on a list of
        // thousands.
        let listed: BTreeMap<EndpointId, bool> = update
            .entries
            .iter()
            .map(|e| (e.endpoint, e.serving))
            .collect();
        if list.complete {
            let unlisted = self.ids().filter(|id| !listed.contains_key(id));
            update.not_serving.extend(unlisted);
        }
        for (&id, &serving) in &listed {
            if serving {
                self.row_mut(id).serving = true;
            } else {
                update.not_serving.push(id);
            }
        }
        for &id in &update.not_serving {
            self.row_mut(id).serving = false;
        }
        update
    }

    /// If a listed endpoint replaces another one of the same name, returns the entry by which the decision logic
    /// removes the old one.
    fn remove_replaced(&mut self, listed: &ListedEndpoint) -> Option<EndpointEntry> {
        if !listed.serving {
            return None;
        }
        let endpoint = self.release_name(listed)?;
        let destination = self.row(endpoint).destination.unwrap_or_default();
        log::info!(
            "endpoint {}: replaced by a new endpoint of the same name; the old one belonged to destination {destination}",
            listed.name
        );
        Some(EndpointEntry {
            endpoint,
            destination: DestinationId(destination),
            ..EndpointEntry::default()
        })
    }

    /// Registers a listed endpoint and returns its entry for the decision logic; none if it is neither registered nor
    /// serving.
    fn entry(
        &mut self,
        listed: &ListedEndpoint,
        names: &PlatformNames,
        relocated: &mut Vec<EndpointId>,
    ) -> Result<Option<EndpointEntry>, InvalidAddress> {
        let known = self.find(&listed.name);
        let addr = match (listed.addr, known) {
            (Some(addr), _) => addr,
            (None, Some(id)) if !listed.serving => self.addr(id),
            _ => return Err(InvalidAddress),
        };
        if known.is_none() && !listed.serving {
            return Ok(None);
        }
        let endpoint = self.register(listed, addr);
        self.row_mut(endpoint).weight = listed.weight;
        if self.addr(endpoint) != addr {
            self.row_mut(endpoint).addr = addr;
            relocated.push(endpoint);
        }
        let index_of = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).unwrap_or(usize::MAX)
        };
        Ok(Some(EndpointEntry {
            endpoint,
            name_hash: crc32fast::hash(listed.name.as_bytes()),
            destination: DestinationId(listed.destination),
            zone: ZoneId(index_of(&names.zones, &listed.zone)),
            kind: KindId(index_of(&names.kinds, &listed.kind)),
            serving: listed.serving,
            rate_limit: listed.rate,
            retry_after_until: None,
        }))
    }
}
