//! The registry of endpoints: the number, name and address of each.

use super::exchange::ResponseProgress;
use crate::connection::ConnectionId;
use crate::endpoint_list::ListedEndpoint;
use bellsill_core::interface::{EndpointId, Nanos};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One endpoint.
pub(super) struct Endpoint {
    /// Its name in the list; empty once another endpoint has the name or it is removed.
    name: String,
    pub(super) addr: SocketAddr,
    pub(super) zone: String,
    kind: String,
    pub(super) serving: bool,
    /// The destination under which it was listed; none once it is removed.
    pub(super) destination: Option<u64>,
    /// Its idle connections; the last one was used last.
    pub(super) idle: Vec<ConnectionId>,
}

/// All endpoints that the decisions know, and their idle connections.
#[derive(Default)]
pub struct Endpoints {
    rows: Vec<Endpoint>,
    /// Rows of removed endpoints, for the next ones.
    free: Vec<EndpointId>,
    by_name: BTreeMap<String, EndpointId>,
    /// How many endpoints each destination has.
    by_destination: BTreeMap<u64, usize>,
    /// Connections without an attempt on which the rest of a response is still to come.
    pub(super) draining: BTreeMap<ConnectionId, ResponseProgress>,
    /// How long endpoints keep an idle connection open.
    pub(super) keep_alive: Nanos,
}

impl Endpoints {
    /// No endpoints; those to come keep an idle connection open for this long.
    pub fn new(keep_alive: Nanos) -> Endpoints {
        Endpoints {
            keep_alive,
            ..Endpoints::default()
        }
    }

    pub(super) fn row(&self, id: EndpointId) -> &Endpoint {
        &self.rows[id.0 as usize]
    }

    pub(super) fn row_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.rows[id.0 as usize]
    }

    /// Where an endpoint listens.
    pub fn addr(&self, id: EndpointId) -> SocketAddr {
        self.row(id).addr
    }

    /// The zone of an endpoint.
    pub fn zone(&self, id: EndpointId) -> &str {
        &self.row(id).zone
    }

    /// The number of a listed endpoint, which gets one if it has none.
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

    /// Takes the name from an endpoint whose entry now has another destination, zone or kind, and returns its number.
    /// What may be sent to an endpoint, and repeated there, depends on all three, so the name is that of a new endpoint.
    pub(super) fn release_name(&mut self, listed: &ListedEndpoint) -> Option<EndpointId> {
        let id = self.find(&listed.name)?;
        let row = self.row_mut(id);
        let same = row.destination == Some(listed.destination)
            && row.zone == listed.zone
            && row.kind == listed.kind;
        if same {
            return None;
        }
        row.name.clear();
        self.by_name.remove(&listed.name);
        Some(id)
    }

    /// Removes an endpoint that the decisions have removed. Its row is used again, since new names appear for as long as
    /// a dispatcher runs.
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

    /// Whether the destination has any endpoint, serving or not: the list of its next one may be late.
    pub fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    /// The number of an endpoint by its name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// The numbers of all rows, those of removed endpoints among them.
    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.rows.len() as u32).map(EndpointId)
    }

    /// How many endpoints take messages.
    pub fn serving(&self) -> usize {
        self.rows.iter().filter(|row| row.serving).count()
    }
}
