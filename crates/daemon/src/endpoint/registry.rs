//! The endpoint registry: the id, name and address of each endpoint.

use super::exchange::ResponseReader;
use crate::connection::ConnectionId;
use crate::endpoint_list::ListedEndpoint;
use bellsill_core::interface::{EndpointId, Nanos};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A registered endpoint.
pub(super) struct Endpoint {
    /// The name in the list; empty once another endpoint took over the name or this one was removed.
    name: String,
    pub(super) addr: SocketAddr,
    pub(super) zone: String,
    kind: String,
    /// The weight by the list, which is kept to write the list again.
    pub(super) weight: Option<f64>,
    pub(super) serving: bool,
    /// The destination under which the endpoint was listed; none once the endpoint is removed.
    pub(super) destination: Option<u64>,
    /// The idle connections, most recently used last.
    pub(super) idle: Vec<ConnectionId>,
}

/// The entry of an endpoint in discovery's form.
#[derive(Serialize)]
struct JsonEntry<'a> {
    id: &'a str,
    addr: SocketAddr,
    zone: &'a str,
    kind: &'a str,
    #[serde(rename = "cell")]
    destination: Option<u64>,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    weight: Option<f64>,
}

/// A list in discovery's form.
#[derive(Serialize)]
struct JsonList<'a> {
    version: u64,
    full: bool,
    servers: Vec<JsonEntry<'a>>,
}

impl Endpoint {
    fn json_entry(&self) -> JsonEntry<'_> {
        JsonEntry {
            id: &self.name,
            addr: self.addr,
            zone: &self.zone,
            kind: &self.kind,
            destination: self.destination,
            state: if self.serving { "up" } else { "draining" },
            weight: self.weight,
        }
    }
}

/// The endpoints known to the decision logic, and the connections to them that have no attempt.
#[derive(Default)]
pub struct EndpointRegistry {
    rows: Vec<Endpoint>,
    /// The rows of removed endpoints, which are reused.
    free: Vec<EndpointId>,
    by_name: BTreeMap<String, EndpointId>,
    /// The number of endpoints of each destination.
    by_destination: BTreeMap<u64, usize>,
    /// Connections without an attempt on which the rest of a response is still expected.
    pub(super) unfinished_responses: BTreeMap<ConnectionId, ResponseReader>,
    /// How long endpoints keep idle connections open.
    pub(super) keep_alive: Nanos,
}

impl EndpointRegistry {
    /// Creates an empty registry. `keep_alive` is how long endpoints keep idle connections open.
    pub fn new(keep_alive: Nanos) -> EndpointRegistry {
        EndpointRegistry {
            keep_alive,
            ..EndpointRegistry::default()
        }
    }

    pub(super) fn row(&self, id: EndpointId) -> &Endpoint {
        &self.rows[id.0 as usize]
    }

    pub(super) fn row_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.rows[id.0 as usize]
    }

    /// The address of an endpoint.
    pub fn addr(&self, id: EndpointId) -> SocketAddr {
        self.row(id).addr
    }

    /// The zone of an endpoint.
    pub fn zone(&self, id: EndpointId) -> &str {
        &self.row(id).zone
    }

    /// Returns the id of a listed endpoint, and registers the endpoint first if its name is new.
    pub fn register(&mut self, listed: &ListedEndpoint, addr: SocketAddr) -> EndpointId {
        if let Some(id) = self.find(&listed.name) {
            return id;
        }
        *self.by_destination.entry(listed.destination).or_default() += 1;
        let row = Endpoint {
            name: listed.name.clone(),
            addr,
            zone: listed.zone.clone(),
            kind: listed.kind.clone(),
            weight: listed.weight,
            serving: false,
            destination: Some(listed.destination),
            idle: vec![],
        };
        let id = match self.free.pop() {
            Some(id) => {
                *self.row_mut(id) = row;
                id
            }
            None => {
                self.rows.push(row);
                EndpointId(self.rows.len() as u32 - 1)
            }
        };
        self.by_name.insert(listed.name.clone(), id);
        id
    }

    /// Releases the name of an endpoint whose entry now has another destination, zone or kind, and returns its id.
    /// Which messages may be sent or retried at an endpoint depends on all three, so the name now denotes a new
    /// endpoint.
    pub(super) fn release_name(&mut self, listed: &ListedEndpoint) -> Option<EndpointId> {
        let id = self.find(&listed.name)?;
        let row = self.row_mut(id);
        let unchanged = row.destination == Some(listed.destination)
            && row.zone == listed.zone
            && row.kind == listed.kind;
        if unchanged {
            return None;
        }
        row.name.clear();
        self.by_name.remove(&listed.name);
        Some(id)
    }

    /// Removes an endpoint that the decision logic has removed. Its row is reused, because new names keep appearing for
    /// as long as a dispatcher runs.
    pub fn remove(&mut self, id: EndpointId) {
        let name = std::mem::take(&mut self.row_mut(id).name);
        self.by_name.remove(&name);
        if let Some(destination) = self.row_mut(id).destination.take() {
            self.decrement_destination(destination);
        }
        self.free.push(id);
    }

    fn decrement_destination(&mut self, destination: u64) {
        let Some(count) = self.by_destination.get_mut(&destination) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.by_destination.remove(&destination);
        }
    }

    /// Whether the destination has any endpoint. One that is not serving counts too, because the list entry of its
    /// successor may arrive late.
    pub fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    /// Looks up the id of an endpoint by name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// The ids of all rows, including those of removed endpoints.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.rows.len() as u32).map(EndpointId)
    }

    /// The list as it is in force, in discovery's form.
    pub(crate) fn to_json(&self, version: u64) -> String {
        let rows = self.rows.iter().filter(|row| !row.name.is_empty());
        let list = JsonList {
            version,
            full: true,
            servers: rows.map(Endpoint::json_entry).collect(),
        };
        serde_json::to_string(&list).expect("a list serializes to JSON without errors")
    }

    /// The number of endpoints that are serving.
    pub fn serving(&self) -> usize {
        self.rows.iter().filter(|row| row.serving).count()
    }
}
