//! Connection ids.

use crate::slot_table::SlotId;
use std::fmt;

/// Identifies a connection; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}
