//! Placement: assigns the configuration of destinations to dispatchers. Performs no I/O, reads no clock and starts no
//! threads.
//!
//! A destination hashes to a bucket of its region ([`Layout::bucket_of`]). An [`Assignment`] has two holders for each
//! bucket, in different zones of the region. [`Assignment::plan`] compares it with the present members and returns an
//! [`AssignmentChange`] that moves close to the minimum number of replicas. [`Assignment::apply`] applies the change,
//! both in the leader that planned it and in its followers.

mod assignment;
mod candidate;
mod change;
mod error;
pub mod hash;
mod ids;
mod layout;
mod lower_bound;
mod member;
mod names;
mod place_missing;
mod plan;
mod region_plan;
mod region_state;
mod share;
mod table;
mod transfer;

pub use assignment::Assignment;
pub use change::{AssignmentChange, BucketHolders, PlacementWarning, REPLICAS};
pub use error::PlacementError;
pub use hash::HASH_VERSION;
pub use ids::{BucketId, Epoch};
pub use layout::{DEFAULT_BUCKETS_PER_REGION, Layout, LayoutError, RegionId, ZoneDeclaration};
pub use member::Member;
pub use names::{MemberName, RegionName, ZoneName};
pub use share::LOAD_TOLERANCE;
pub use table::{AssignmentTable, TableError};
