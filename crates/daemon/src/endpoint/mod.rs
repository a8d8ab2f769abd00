//! Endpoints: the registry, the pool of idle connections, HTTP responses and updates from endpoint lists.

mod exchange;
mod list;
mod pool;
mod registry;

pub(crate) use exchange::{ConnectionReuse, Evaluation, RESPONSE_TIMEOUT, ResponseReader};
pub(crate) use list::ListUpdate;
pub(crate) use pool::{NoIdleConnection, UnassignedState};
pub use registry::EndpointRegistry;
