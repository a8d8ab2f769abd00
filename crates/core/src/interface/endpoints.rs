//! Endpoints as listed by discovery.

use super::ids::{DestinationId, EndpointId, KindId, Nanos, ZoneId};

/// The contents of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The update contains only the entries that changed.
    Delta,
    /// The update contains all entries; endpoints that are missing have been removed.
    Snapshot,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEntry {
    /// The endpoint number.
    pub endpoint: EndpointId,
    /// A hash of the endpoint's name, identical on every dispatcher.
    pub name_hash: u32,
    /// The destination that the endpoint serves.
    pub destination: DestinationId,
    /// The zone that the endpoint is in.
    pub zone: ZoneId,
    /// The kind of the destination.
    pub kind: KindId,
    /// Whether the endpoint accepts messages; false while it drains or once it is removed.
    pub serving: bool,
    /// The listed rate limit: attempts per second that the limiter accepts from all dispatchers
    /// together. It may be up to half too high or too low. `None` if no limit is listed.
    pub rate_limit: Option<f64>,
    /// The end of a Retry-After that the endpoint gave while it was listed with a different entry.
    pub retry_after_until: Option<Nanos>,
}
