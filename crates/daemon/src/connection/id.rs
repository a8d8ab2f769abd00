//! Connection ids.

use crate::slot_table::SlotId;

/// Identifies a connection; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConnectionId(u64);

impl SlotId for ConnectionId {
    fn from_raw(raw: u64) -> Self {
        ConnectionId(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}
