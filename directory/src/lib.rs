//! The versioned configuration of destinations, without I/O, clock or threads: its entries and the lines in which a watch
//! tells them. `docs/configuration.md` describes the requests and lines.

pub mod line;
