//! The testbed: a model of endpoints and their faults that does no I/O, two drivers for it (real sockets and virtual time), a
//! load generator, an auditor of the six rules, experiments and reports. `docs/lab.md` describes its use.
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

pub mod audit;
pub mod capacity;
pub mod command_line;
pub mod compare;
pub mod cost;
pub mod experiment;
pub mod hollow;
pub mod ledger;
pub mod load;
pub mod measure;
pub mod record;
pub mod recording_actions;
pub mod report;
pub mod run;
pub mod sockets;
pub mod spec;
pub mod virtual_time;
pub mod world;
