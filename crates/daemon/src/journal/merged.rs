//! A journal whose live records were merged into another journal of this process, and whose file is not removed yet.

use super::file::JournalFile;
use super::record::JournalPrefix;
use std::io;
use std::path::PathBuf;

/// A merged journal whose file still has to be truncated. The open file keeps its lock until then, so that no other
/// process adopts it.
pub(super) struct MergedJournal {
    /// The journal's index in the state directory.
    pub(super) index: usize,
    pub(super) file: JournalFile,
    /// The bytes of the file whose live records were merged.
    pub(super) source: JournalPrefix,
    pub(super) path: PathBuf,
}

impl MergedJournal {
    /// Truncates the file to zero bytes and removes it. The caller retries until this succeeds.
    pub(super) fn try_remove(&self) -> io::Result<()> {
        self.file.remove(&self.path)
    }
}
