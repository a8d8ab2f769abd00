//! The scope file: the dispatcher's part of the configuration in its state folder. It is saved periodically and read at a
//! start, so that a restart while no control process can be reached serves what was served before.

use crate::installation::Installation;
use bellsill_discovery_client::ScopedList;
use bellsill_net::Nanos;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the file in the state folder.
pub const SCOPE_FILE: &str = "scope";
/// How often a changed list is saved, in nanoseconds: after a restart the configuration may be this old.
pub const SAVE_EVERY: Nanos = 5_000_000_000;
/// The part of the disk quota that the file and its replacement may take together.
const DISK_SHARE: f64 = 0.5;

/// Counts what happened to the file since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScopeFileCounters {
    /// Files that were there and could not be used.
    pub refused: u64,
    /// Times that it was saved.
    pub saved: u64,
    /// Times that it could not be saved.
    pub failed: u64,
}

/// The scope file of one dispatcher.
pub struct ScopeFile {
    path: PathBuf,
    dispatcher: String,
    max_bytes: usize,
    /// The list's revision when it was saved last.
    saved_revision: Option<u64>,
    /// For the operators' metrics.
    pub counters: ScopeFileCounters,
}

/// How much of the disk quota is left for all other files.
pub fn disk_left(disk_bytes: u64) -> u64 {
    disk_bytes - (disk_bytes as f64 * DISK_SHARE) as u64
}

impl ScopeFile {
    /// The file of this dispatcher in a state folder with this disk quota. Nothing is read yet.
    pub fn new(folder: &Path, dispatcher: &str, disk_bytes: u64) -> ScopeFile {
        ScopeFile {
            path: folder.join(SCOPE_FILE),
            dispatcher: dispatcher.to_string(),
            max_bytes: (disk_bytes as f64 * DISK_SHARE / 2.0) as usize,
            saved_revision: None,
            counters: ScopeFileCounters::default(),
        }
    }

    /// The list as it was saved last; `None` where there is no file. One that cannot be used is logged and counted.
    pub fn load(&mut self, installation: &Installation) -> Option<ScopedList> {
        let bytes = match std::fs::read(&self.path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
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

    fn reject(&mut self, why: &dyn std::error::Error) {
        self.counters.refused += 1;
        log::error!(
            "{}: rejected, the configuration starts empty: {why}",
            self.path.display()
        );
    }

    /// Whether the list has changed since it was saved last.
    pub fn has_unsaved_changes(&self, list: &ScopedList) -> bool {
        self.saved_revision != Some(list.revision())
    }

    /// Saves the list where it has changed since it was saved last.
    pub fn save(&mut self, list: &ScopedList) {
        if !self.has_unsaved_changes(list) {
            return;
        }
        match self.write(&list.to_bytes(&self.dispatcher)) {
            Ok(()) => {
                self.counters.saved += 1;
                self.saved_revision = Some(list.revision());
            }
            Err(e) => {
                self.counters.failed += 1;
                log::error!("{}: cannot be saved: {e}", self.path.display());
            }
        }
    }

    /// Replaces the file by a complete one.
    fn write(&self, bytes: &[u8]) -> io::Result<()> {
        if bytes.len() > self.max_bytes {
            let why = format!(
                "{} bytes are more than a quarter of the disk limit",
                bytes.len()
            );
            return Err(io::Error::other(why));
        }
        // A name of this process: another version of the dispatcher may run beside it.
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
