//! The versioned configuration of destinations, without I/O, clock or threads: its entries, the records that change them,
//! and the lines in which a watch tells them. `docs/configuration.md` describes the requests and lines.

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
