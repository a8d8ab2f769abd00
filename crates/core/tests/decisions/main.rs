//! Tests of the decision logic in a simulated environment: individual cases by subject, whole
//! fleets and random runs.

mod discovery;
mod final_answers;
mod fleet;
mod idle_connections;
mod random_runs;
mod ranking;
mod rate_limits;
mod recovery;
mod routing;
mod simulation;
mod slow_start;
mod timers;
