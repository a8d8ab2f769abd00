//! Limits the size of the entries on a line.

use crate::entry::max_line_bytes;
use crate::line::EndpointEntry;

/// The entry does not fit on this line and must go on the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LineFull;

pub(crate) struct LineBudget {
    bytes_left: usize,
}

impl LineBudget {
    pub(crate) fn new(bytes: usize) -> LineBudget {
        LineBudget { bytes_left: bytes }
    }

    /// Reserves the maximum size of an entry. Reserves nothing if it exceeds the remaining budget.
    pub(crate) fn reserve(&mut self, entry: &EndpointEntry) -> Result<(), LineFull> {
        self.bytes_left = self
            .bytes_left
            .checked_sub(max_line_bytes(entry))
            .ok_or(LineFull)?;
        Ok(())
    }
}
