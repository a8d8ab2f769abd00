//! The endpoints that an operator has disabled, and the file in which they outlast the process.

use super::request::{Request, parse};
use crate::delivery::Delivery;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The most endpoints that may be disabled at once, so that the file stays small.
pub const MAX_DISABLED: usize = 1024;
/// The file of the state folder that names them, one a line.
pub(super) const DISABLED_FILE: &str = "held-out";

/// Reads the names of disabled endpoints. Lines that are no name, and those beyond the most, are described in the second
/// part and skipped.
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

/// The disabled endpoints by the file in the state folder; none if there is no file. Lines that cannot be read are logged
/// and skipped.
pub fn load_disabled(folder: &Path) -> io::Result<BTreeSet<String>> {
    let path = folder.join(DISABLED_FILE);
    let text = match std::fs::read(&path) {
        Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
        Err(e) if e.kind() == io::ErrorKind::NotFound => String::new(),
        Err(e) => return Err(e),
    };
    let (disabled, errors) = parse_disabled(&text);
    for error in errors {
        log::error!("{}: {error}, skipped", path.display());
    }
    log::info!("{} endpoints are disabled", disabled.len());
    Ok(disabled)
}

/// What differs between two versions of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileStamp {
    inode: u64,
    modified: SystemTime,
}

/// The file, which processes that share the state folder share too.
pub(crate) struct DisabledFile {
    folder: PathBuf,
    /// Of the version read or written last; none if there was no file.
    stamp: Option<FileStamp>,
    /// Changes that are not written yet: whether the endpoint is disabled.
    unsaved: BTreeMap<String, bool>,
}

impl DisabledFile {
    /// The file in this folder, of which the present version has been loaded.
    pub(crate) fn new(folder: &Path) -> DisabledFile {
        DisabledFile {
            folder: folder.to_path_buf(),
            stamp: stamp(folder),
            unsaved: BTreeMap::new(),
        }
    }

    /// The disabled endpoints, if another process has written the file since it was read or written here. Changes that
    /// are not written yet are applied.
    fn read_changes(&mut self) -> Option<BTreeSet<String>> {
        let stamp = stamp(&self.folder);
        if stamp == self.stamp {
            return None;
        }
        match load_disabled(&self.folder) {
            Ok(mut disabled) => {
                self.stamp = stamp;
                for (name, &is_disabled) in &self.unsaved {
                    set(&mut disabled, name, is_disabled);
                }
                Some(disabled)
            }
            Err(e) => {
                log::error!("{DISABLED_FILE}: cannot be read: {e}");
                None
            }
        }
    }

    /// Writes the file if a request has changed the list. The list is in force before, whatever becomes of the file:
    /// the platform counts an endpoint as disabled a second after the request. A write that fails is tried again whenever
    /// the file is looked at.
    pub(super) fn save(&mut self, disabled: &BTreeSet<String>) -> io::Result<()> {
        if !self.unsaved.is_empty() {
            write(&self.folder, disabled)?;
            self.unsaved.clear();
            self.stamp = stamp(&self.folder);
        }
        Ok(())
    }

    /// A request has changed whether an endpoint is disabled.
    pub(super) fn note_change(&mut self, name: String, disabled: bool) {
        self.unsaved.insert(name, disabled);
    }
}

/// Takes over what another process that shares the state folder has written: a request reaches the old or the new version
/// while both run, and applies to both.
pub(crate) fn refresh_disabled(delivery: &mut Delivery, file: &mut DisabledFile) {
    if let Some(disabled) = file.read_changes() {
        delivery.set_disabled(disabled);
    }
    // The error was logged when the request came.
    file.save(delivery.disabled()).ok();
}

/// Disables or enables an endpoint, and returns whether that was a change.
pub(super) fn set(disabled: &mut BTreeSet<String>, name: &str, is_disabled: bool) -> bool {
    if is_disabled {
        disabled.insert(name.to_string())
    } else {
        disabled.remove(name)
    }
}

fn stamp(folder: &Path) -> Option<FileStamp> {
    let file = std::fs::metadata(folder.join(DISABLED_FILE)).ok()?;
    Some(FileStamp {
        inode: file.ino(),
        modified: file.modified().ok()?,
    })
}

/// Writes a new file and renames it, so that a reader finds the old list or the new one.
fn write(folder: &Path, disabled: &BTreeSet<String>) -> io::Result<()> {
    let next = folder.join(format!("{DISABLED_FILE}.{}", std::process::id()));
    let text: String = disabled.iter().map(|id| format!("{id}\n")).collect();
    std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, folder.join(DISABLED_FILE)))
}
