//! The configuration of one control process at one version: endpoints, members and the assignment.

mod bounds;
mod directory;
mod error;
mod point;
mod removals;
mod restore;

pub use bounds::{MAX_MEMBERS, MAX_REMOVED_ENDPOINTS, Retention};
pub use directory::{Applied, Directory};
pub use error::{ApplyError, EndpointError, MemberError};
pub use point::{LogId, RestorePoint};
pub use restore::Restore;
