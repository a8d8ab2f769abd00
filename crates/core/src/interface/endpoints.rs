//! Endpoints as discovery lists them.

use super::ids::{DestinationId, EndpointId, KindId, Nanos, ZoneId};

/// What an update of the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The entries that changed.
    Delta,
    /// All entries; an endpoint that is not among them is gone.
    Snapshot,
}

/// An endpoint in the list of discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// A hash of the endpoint's name, the same at every dispatcher.
    pub name_hash: u32,
    /// The destination that it serves.
    pub destination: DestinationId,
    /// Its zone.
    pub zone: ZoneId,
    /// The kind of its destination.
    pub kind: KindId,
    /// False when it is draining or gone.
    pub serving: bool,
    /// The attempts a second that its limiter takes from all dispatchers together, as listed: up to
    /// half too high or too low. `None` where nothing is listed.
    pub rate_limit: Option<f64>,
    /// Until when a Retry-After binds that the endpoint gave under an entry of other contents.
    pub retry_after_until: Option<Nanos>,
}
