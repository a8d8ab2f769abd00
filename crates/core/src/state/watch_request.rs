//! The schedule of watch requests for the endpoint list.

use crate::interface::Nanos;

/// The schedule of watch requests, used if endpoint lists are sent on request only.
#[derive(Default)]
pub(crate) struct WatchRequest {
    /// When to make the next request; `None` while none is planned.
    pub(crate) at: Option<Nanos>,
    /// The base of the random delay before the request after that.
    pub(crate) spread: Nanos,
}
