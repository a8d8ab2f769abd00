//! Admin requests: one line in, one line out (`show-stat`: lines up to `EOT`), on a listener of their own.

mod connections;
mod disabled;
mod metrics;
mod request;

pub use disabled::{
    DISABLED_FILE, MAX_DISABLED, disabled_stamp, load_disabled, parse_disabled, set_disabled_flag,
    write_disabled,
};
pub use metrics::{COMPLETED, FAILED, Gauges, Metrics, REJECTED, render, scope_lines};
pub use request::{MAX_ENDPOINT_ID_BYTES, Request, parse};
