//! The versioned configuration of destinations, without I/O, clock or threads: its entries, the records that change them,
//! and the lines in which a watch tells them. `docs/configuration.md` describes the requests and lines.
// Not finished yet: see docs/ROADMAP.md.
#![allow(
    missing_docs,
    unreachable_pub,
    clippy::cognitive_complexity,
    clippy::let_underscore_must_use,
    clippy::map_err_ignore,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

pub mod entries;
pub mod entry;
pub mod feed;
pub mod history;
pub mod line;
pub mod member_scope;
pub mod pace;
pub mod record;
pub mod request;
pub mod snapshot;
pub mod state;
pub mod watchers;
pub mod whole_line;
pub mod whole_scope;
