//! The bytes that the entries of a line may take.

use crate::entry::max_line_bytes;
use crate::line::EndpointEntry;

/// The next entry belongs on another line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LineFull;

pub(crate) struct LineBudget {
    bytes_left: usize,
}

impl LineBudget {
    pub(crate) fn new(bytes: usize) -> LineBudget {
        LineBudget { bytes_left: bytes }
    }

    /// Reserves the most bytes that an entry may take; nothing is reserved where they do not fit.
    pub(crate) fn reserve(&mut self, entry: &EndpointEntry) -> Result<(), LineFull> {
        self.bytes_left = self
            .bytes_left
            .checked_sub(max_line_bytes(entry))
            .ok_or(LineFull)?;
        Ok(())
    }
}
