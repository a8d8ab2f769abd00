//! The registry of endpoints: the number, name and address of each.

use super::exchange::ResponseProgress;
use crate::connection::ConnectionId;
use crate::delivery::message::MessageSlot;
use crate::endpoint_list::ListedEndpoint;
use bellsill_core::interface::EndpointId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::{Index, IndexMut};

pub struct Endpoint {
    /// Its name in the list; empty once it is forgotten.
    name: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub serving: bool,
    /// Where it was listed last; none once it is forgotten.
    pub destination: Option<u64>,
    /// The last one was used last.
    pub idle: Vec<ConnectionId>,
}

#[derive(Default)]
pub struct Endpoints {
    rows: Vec<Endpoint>,
    /// Rows of endpoints that are forgotten, for the next ones.
    free: Vec<EndpointId>,
    by_name: BTreeMap<String, EndpointId>,
    /// How many endpoints are known of each destination.
    by_destination: BTreeMap<u64, usize>,
    /// The attempts that connections carry or rise for.
    pub attempts: BTreeMap<ConnectionId, MessageSlot>,
    /// Answers to calls that have begun to come.
    pub responses: BTreeMap<ConnectionId, ResponseProgress>,
    /// Connections on which the rest of an answer that is known is still to come.
    pub draining_responses: BTreeMap<ConnectionId, ResponseProgress>,
}

impl Index<EndpointId> for Endpoints {
    type Output = Endpoint;
    fn index(&self, id: EndpointId) -> &Endpoint {
        &self.rows[id.0 as usize]
    }
}

impl IndexMut<EndpointId> for Endpoints {
    fn index_mut(&mut self, id: EndpointId) -> &mut Endpoint {
        &mut self.rows[id.0 as usize]
    }
}

impl Endpoints {
    /// The number of a listed endpoint, which is given one if it has none.
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
                self[id] = row;
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

    /// Takes the name from an endpoint whose entry now says another destination, zone or kind: what goes to it, and may be
    /// repeated there, hangs on all three, so that name is another endpoint's from now on. The number of the old one.
    pub(crate) fn release_name(&mut self, listed: &ListedEndpoint) -> Option<EndpointId> {
        let id = self.find(&listed.name)?;
        let row = &mut self[id];
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

    /// Endpoints come under new names for as long as a dispatcher runs: one that the decisions have forgotten gives its
    /// row to the next one.
    pub fn remove(&mut self, id: EndpointId) {
        let name = std::mem::take(&mut self[id].name);
        self.by_name.remove(&name);
        if let Some(destination) = self[id].destination.take() {
            self.decrement_destination(destination);
        }
        self.free.push(id);
    }

    pub(crate) fn decrement_destination(&mut self, destination: u64) {
        let Some(known) = self.by_destination.get_mut(&destination) else {
            return;
        };
        *known -= 1;
        if *known == 0 {
            self.by_destination.remove(&destination);
        }
    }

    /// Whether any endpoint is known of that destination, gone ones too: news of the next one may be late.
    pub fn has_destination(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    pub fn ids(&self) -> impl Iterator<Item = EndpointId> + use<> {
        (0..self.rows.len() as u32).map(EndpointId)
    }
}
