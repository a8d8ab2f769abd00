//! The key by which timers and connections refer to a pending message.

use crate::slot_table::SlotId;

/// The key of a pending message in its table. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct MessageSlot(u64);

impl SlotId for MessageSlot {
    fn from_raw(raw: u64) -> Self {
        MessageSlot(raw)
    }
    fn raw(self) -> u64 {
        self.0
    }
}
