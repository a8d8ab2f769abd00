//! The number of a pending message, as timers and connections refer to it.

use crate::slot_table::SlotId;

/// The number of a pending message in its table; a later message never has the same one.
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
