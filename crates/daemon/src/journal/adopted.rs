//! A journal whose records were taken over, until its file is gone.

use super::record::Extent;
use std::fs::File;
use std::io;
use std::path::PathBuf;

/// A journal that was adopted and still has to be emptied. Its file stays locked until then, so that no other process
/// adopts it.
pub(super) struct AdoptedJournal {
    /// Its index in the folder.
    pub(super) index: usize,
    pub(super) file: File,
    /// The bytes that were taken over.
    pub(super) source: Extent,
    pub(super) path: PathBuf,
}

impl AdoptedJournal {
    /// Empties the file and removes it. Until that succeeds it has to be called again.
    pub(super) fn try_remove(&self) -> io::Result<()> {
        self.file.set_len(0).inspect_err(|e| {
            log::warn!(
                "message journal: {} is adopted and cannot be emptied yet: {e}",
                self.path.display()
            );
        })?;
        // An empty journal says nothing: one that cannot be removed is used by the next process.
        std::fs::remove_file(&self.path).ok();
        Ok(())
    }
}
