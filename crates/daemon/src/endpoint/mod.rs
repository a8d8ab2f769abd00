//! Endpoints: their registry, the pool of idle connections, one HTTP exchange, and how the endpoint list is applied.

mod exchange;
mod list;
mod pool;
mod registry;

pub use exchange::{MAX_BODY_BYTES, RESPONSE_TIMEOUT, ResponseProgress};
pub use registry::{Endpoint, Endpoints};
