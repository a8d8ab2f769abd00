//! What an endpoint list changes in the registry.

use super::registry::Endpoints;
use crate::endpoint_list::{self, EndpointList, ListedEndpoint};
use bellsill_core::interface::{DestinationId, EndpointEntry, EndpointId, KindId, Nanos, ZoneId};
use bellsill_settings::PlatformNames;
use std::collections::BTreeMap;

/// What a list has changed; connections and attempts are the caller's to follow up, in this order.
#[must_use]
#[derive(Default)]
pub(crate) struct ListUpdate {
    /// What the decisions are to know.
    pub(crate) entries: Vec<EndpointEntry>,
    /// Endpoints with a new address: what goes to the old one ends.
    pub(crate) relocated: Vec<EndpointId>,
    /// Endpoints that take no messages: their idle connections are closed.
    pub(crate) not_serving: Vec<EndpointId>,
}

/// An entry has no address that can be read.
struct UnreadableAddress;

impl Endpoints {
    /// Applies a list, a snapshot or a delta. `suspended_until` tells how long the decisions have suspended an endpoint:
    /// the endpoint that takes over its name inherits that.
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
                Err(UnreadableAddress) => endpoint_list::warn_skipped_entry("addr"),
            }
        }
        // By number: a search for each endpoint would stop the loop for seconds with a list of thousands.
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

    /// The entry by which the decisions remove the endpoint that had a listed one's name and was another.
    fn remove_replaced(&mut self, listed: &ListedEndpoint) -> Option<EndpointEntry> {
        if !listed.serving {
            return None;
        }
        let endpoint = self.release_name(listed)?;
        let destination = self.row(endpoint).destination.unwrap_or_default();
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

    /// The entry of a listed endpoint for the decisions. They need none of one that never served and does not now.
    fn entry(
        &mut self,
        listed: &ListedEndpoint,
        names: &PlatformNames,
        relocated: &mut Vec<EndpointId>,
    ) -> Result<Option<EndpointEntry>, UnreadableAddress> {
        let known = self.find(&listed.name);
        let addr = match (listed.addr, known) {
            (Some(addr), _) => addr,
            (None, Some(id)) if !listed.serving => self.addr(id),
            _ => return Err(UnreadableAddress),
        };
        if known.is_none() && !listed.serving {
            return Ok(None);
        }
        let endpoint = self.register(listed, addr);
        if self.addr(endpoint) != addr {
            self.row_mut(endpoint).addr = addr;
            relocated.push(endpoint);
        }
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
            rate_limit: listed.rate,
            retry_after_until: None,
        }))
    }
}
