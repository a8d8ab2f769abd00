//! Hollow dispatchers: the real watch, scoped list and route table of a dispatcher, without clients and calls, hundreds of
//! them in a process, against real control processes on loopback. Measures what a fleet costs and whether it keeps its
//! bounds. `docs/lab.md` says how to use it.

pub mod bad_server;
pub mod churn;
pub mod clock;
pub mod control_process;
pub mod corruption;
pub mod dispatcher;
pub mod events;
pub mod fleet;
pub mod holders;
pub mod measure;
pub mod messages;
pub mod options;
pub mod plan;
pub mod player;
pub mod propagation;
pub mod report;
pub mod routes;
pub mod scenario;
pub mod traffic;
pub mod worker;
pub mod worker_process;
