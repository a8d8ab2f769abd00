//! The scope file stores the dispatcher's part of the configuration in its state directory. It is saved periodically
//! and loaded at startup, so that a dispatcher that restarts while no control process is reachable serves the same
//! destinations.

use crate::installation::Installation;
use bellsill_discovery_client::ScopedList;
use bellsill_net::Nanos;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the file in the state directory.
pub const SCOPE_FILE: &str = "scope";
/// How often a changed list is saved, in nanoseconds. What changes in between is in the update log.
pub const SAVE_INTERVAL: Nanos = 5_000_000_000;
/// The fraction of the disk quota for the file and its replacement together.
const DISK_QUOTA_FRACTION: f64 = 0.5;

/// Counters of loading and saving the file since startup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScopeFileCounters {
    /// Existing files that were rejected as unusable.
    pub rejected: u64,
    /// Successful saves.
    pub saved: u64,
    /// Failed saves.
    pub failed: u64,
}

/// The result of saving a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum SaveOutcome {
    /// The list was written.
    Saved,
    /// The list could not be written.
    Failed,
}

/// A list in the format of the file.
pub struct EncodedList {
    bytes: Vec<u8>,
    revision: u64,
}

/// The scope file of one dispatcher.
pub struct ScopeFile {
    path: PathBuf,
    dispatcher: String,
    max_bytes: usize,
    /// The revision of the list at the last successful save.
    saved_revision: Option<u64>,
    /// Counters for the metrics.
    pub counters: ScopeFileCounters,
}

/// The disk quota that remains for all other files.
pub fn remaining_disk_bytes(disk_bytes: u64) -> u64 {
    disk_bytes - (disk_bytes as f64 * DISK_QUOTA_FRACTION) as u64
}

impl ScopeFile {
    /// The scope file of `dispatcher` in the state directory `directory`. The file is not read yet.
    pub fn new(directory: &Path, dispatcher: &str, disk_bytes: u64) -> ScopeFile {
        ScopeFile {
            path: directory.join(SCOPE_FILE),
            dispatcher: dispatcher.to_string(),
            max_bytes: (disk_bytes as f64 * DISK_QUOTA_FRACTION / 2.0) as usize,
            saved_revision: None,
            counters: ScopeFileCounters::default(),
        }
    }

    /// Reads the file with the last saved list; `None` if there is none.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(&self.path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Returns the list in the bytes that [`ScopeFile::read`] has read; `None` if there is no usable file. An unusable file is
    /// logged and counted.
    pub fn load(
        &mut self,
        read: io::Result<Option<Vec<u8>>>,
        installation: &Installation,
    ) -> Option<ScopedList> {
        let bytes = match read {
            Ok(bytes) => bytes?,
            Err(e) => {
                self.reject(&e);
                return None;
            }
        };
        let layout = installation.layout.clone();
        match ScopedList::from_bytes(
            &bytes,
            &self.dispatcher,
            layout,
            installation.cache_destinations,
        ) {
            Ok(list) => Some(list),
            Err(e) => {
                self.reject(&e);
                None
            }
        }
    }

    fn reject(&mut self, reason: &dyn std::error::Error) {
        self.counters.rejected += 1;
        log::error!(
            "{}: scope file rejected, starting without a saved configuration: {reason}",
            self.path.display()
        );
    }

    /// Whether the list has changed since it was last saved.
    pub fn has_unsaved_changes(&self, list: &ScopedList) -> bool {
        self.saved_revision != Some(list.revision())
    }

    /// Encodes the list if it has changed since it was last saved.
    pub fn encode_changes(&self, list: &ScopedList) -> Option<EncodedList> {
        self.has_unsaved_changes(list).then(|| EncodedList {
            bytes: list.to_bytes(&self.dispatcher),
            revision: list.revision(),
        })
    }

    /// Whether the file, its replacement by this list and `updates_bytes` of the update log exceed their share of the
    /// quota.
    pub fn exceeds_quota(&self, list: &EncodedList, updates_bytes: u64) -> bool {
        let file_bytes = std::fs::metadata(&self.path).map_or(0, |metadata| metadata.len());
        file_bytes + list.bytes.len() as u64 + updates_bytes > 2 * self.max_bytes as u64
    }

    /// Saves an encoded list. An error is logged.
    pub fn save(&mut self, list: &EncodedList) -> SaveOutcome {
        match self.write(&list.bytes) {
            Ok(()) => {
                self.counters.saved += 1;
                self.saved_revision = Some(list.revision);
                SaveOutcome::Saved
            }
            Err(e) => {
                self.counters.failed += 1;
                log::error!(
                    "{}: cannot save the scope file, its previous version is kept: {e}",
                    self.path.display()
                );
                SaveOutcome::Failed
            }
        }
    }

    /// Writes a new file and renames it over the old one.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.max_bytes {
            let reason = format!(
                "its size of {} bytes exceeds a quarter of the disk quota",
                bytes.len()
            );
            return Err(io::Error::other(reason));
        }
        // The process id makes the name unique, since another version of the dispatcher may use the same state
        // directory.
        let replacement = self
            .path
            .with_extension(format!("{}.new", std::process::id()));
        let written = std::fs::write(&replacement, bytes)
            .and_then(|()| std::fs::rename(&replacement, &self.path));
        if written.is_err() {
            std::fs::remove_file(&replacement).ok();
        }
        written
    }
}
