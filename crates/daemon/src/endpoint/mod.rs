//! Endpoints: their registry, the pool of idle connections, one HTTP exchange, and what an endpoint list changes.

mod exchange;
mod list;
mod pool;
mod registry;

pub(crate) use exchange::{RESPONSE_TIMEOUT, ResponseProgress, Reuse, Verdict};
pub(crate) use list::ListUpdate;
pub(crate) use pool::{NoIdleConnection, Unassigned};
pub use registry::Endpoints;
