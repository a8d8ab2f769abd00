//! Admin requests, which operators send to a separate listener. Each request and each reply is one line, except that the
//! replies to `show-stat` and `show-diagnostics` are several lines up to `EOT`.

mod commands;
mod connections;
mod diagnostics;
mod disabled;
mod request;
mod stats;

pub use crate::metrics::{ClassCounters, MessageResult, Metrics};
pub(crate) use commands::{AdminContext, DrainRequest, execute};
pub(crate) use connections::{
    AdminInput, accept, close, flush_or_close, next_request, queue_reply, read,
};
pub(crate) use diagnostics::diagnostic_counters;
pub(crate) use disabled::{DisabledFile, refresh_disabled};
pub use disabled::{MAX_DISABLED, load_disabled, parse_disabled};
pub use request::{MAX_ENDPOINT_ID_BYTES, Request, RequestError, parse};
pub use stats::{Gauges, render};
