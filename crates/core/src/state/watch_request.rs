//! The next request for a watch on the endpoint list.

use crate::interface::Nanos;

/// When a watch is requested, where endpoint lists come only on request.
#[derive(Default)]
pub(crate) struct WatchRequest {
    /// When the next request is made; `None` while no request is planned.
    pub(crate) at: Option<Nanos>,
    /// Over how long the request after that is spread.
    pub(crate) spread: Nanos,
}
