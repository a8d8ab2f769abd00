//! The endpoints that operators have disabled, and the file that preserves them across restarts.

use super::request::{Request, parse};
use crate::delivery::Delivery;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// Maximum number of disabled endpoints, so that the file stays small.
pub const MAX_DISABLED: usize = 1024;
/// The file in the state directory that lists the disabled endpoints, one id per line.
pub(super) const DISABLED_FILE: &str = "held-out";

/// Parses a list of disabled endpoints. Invalid lines, and those beyond [`MAX_DISABLED`], are skipped; the second part
/// of the result describes them.
pub fn parse_disabled(text: &str) -> (BTreeSet<String>, Vec<String>) {
    let (mut disabled, mut errors) = (BTreeSet::new(), Vec::new());
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        match parse(format!("disable-server {line}").as_bytes()) {
            Ok(Request::Disable(id)) if disabled.len() < MAX_DISABLED => {
                disabled.insert(id);
            }
            Ok(_) => errors.push(format!(
                "line {}: more than {MAX_DISABLED} endpoints",
                n + 1
            )),
            Err(_) => errors.push(format!("line {}: no endpoint id", n + 1)),
        }
    }
    (disabled, errors)
}

/// Loads the disabled endpoints from the file in the state directory; a missing file means that there are none. Invalid
/// lines are logged and skipped.
pub fn load_disabled(directory: &Path) -> io::Result<BTreeSet<String>> {
    let path = directory.join(DISABLED_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(e),
    };
    let (disabled, errors) = parse_disabled(&text);
    for error in errors {
        log::error!("{}: skipped an invalid line: {error}", path.display());
    }
    log::info!("loaded {} disabled endpoints", disabled.len());
    Ok(disabled)
}

/// Identifies a version of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified: SystemTime,
}

/// The list of disabled endpoints on disk, shared by all processes that share the state directory.
pub(crate) struct DisabledFile {
    directory: PathBuf,
    /// The version last read or written; `None` if there was no file.
    stamp: Option<FileStamp>,
    /// Changes not written yet: endpoint ids, and whether each endpoint is disabled.
    unsaved: BTreeMap<String, bool>,
}

impl DisabledFile {
    /// Opens the file in this directory, whose current version the caller has already loaded.
    pub(crate) fn new(directory: &Path) -> DisabledFile {
        DisabledFile {
            directory: directory.to_path_buf(),
            stamp: stamp(directory),
            unsaved: BTreeMap::new(),
        }
    }

    /// Returns the disabled endpoints if another process has written the file since this process last read or wrote it.
    /// Changes not written yet are applied to them.
    fn read_changes(&mut self) -> Option<BTreeSet<String>> {
        let stamp = stamp(&self.directory);
        if stamp == self.stamp {
            return None;
        }
        match load_disabled(&self.directory) {
            Ok(mut disabled) => {
                self.stamp = stamp;
                for (name, &is_disabled) in &self.unsaved {
                    update(&mut disabled, name, is_disabled);
                }
                Some(disabled)
            }
            Err(e) => {
                log::error!(
                    "{DISABLED_FILE}: cannot read the changed list of disabled endpoints, keeping the current one \
                     and retrying: {e}"
                );
                None
            }
        }
    }

    /// Writes the file if a request has changed the list. The change takes effect before the write and independently of
    /// its success, since the platform expects an endpoint to be disabled one second after the request. A failed write
    /// is retried by each [`refresh_disabled`].
    pub(super) fn save(&mut self, disabled: &BTreeSet<String>) -> io::Result<()> {
        if !self.unsaved.is_empty() {
            write(&self.directory, disabled)?;
            self.unsaved.clear();
            self.stamp = stamp(&self.directory);
        }
        Ok(())
    }

    /// Records that a request has disabled or enabled an endpoint.
    pub(super) fn record_change(&mut self, name: String, disabled: bool) {
        self.unsaved.insert(name, disabled);
    }
}

/// Applies the changes that another process sharing the state directory has written. During an upgrade the old and the
/// new process run side by side, and a request that reaches one of them applies to both.
pub(crate) fn refresh_disabled(delivery: &mut Delivery, file: &mut DisabledFile) {
    if let Some(disabled) = file.read_changes() {
        delivery.set_disabled(disabled);
    }
    // The error was logged when the request was executed.
    file.save(delivery.disabled()).ok();
}

/// Disables or enables an endpoint in the list, and returns whether the list changed.
pub(super) fn update(disabled: &mut BTreeSet<String>, name: &str, is_disabled: bool) -> bool {
    if is_disabled {
        disabled.insert(name.to_string())
    } else {
        disabled.remove(name)
    }
}

fn stamp(directory: &Path) -> Option<FileStamp> {
    let file = std::fs::metadata(directory.join(DISABLED_FILE)).ok()?;
    Some(FileStamp {
        inode: file.ino(),
        modified: file.modified().ok()?,
    })
}

/// Replaces the file atomically: a reader finds either the old list or the new one.
fn write(directory: &Path, disabled: &BTreeSet<String>) -> io::Result<()> {
    let next = directory.join(format!("{DISABLED_FILE}.{}", std::process::id()));
    let text: String = disabled.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, directory.join(DISABLED_FILE)))
}
