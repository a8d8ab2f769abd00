//! The file of the update log. Every operation opens and locks it anew, since two processes may share the state
//! directory and either may replace the file.

use crate::disk_space::disk_bytes;
use crate::file_lock::{Lock, try_lock, try_lock_at};
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

/// How often the lock is tried before the update is left to a later retry.
const LOCK_ATTEMPTS: usize = 20;
/// The delay between two attempts.
const LOCK_RETRY_DELAY: Duration = Duration::from_micros(100);

/// Identifies the content of the file: another process that writes to it changes the stamp.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct FileStamp {
    inode: u64,
    /// The length of the file in bytes.
    pub(super) length: u64,
}

impl FileStamp {
    fn new(metadata: &Metadata) -> FileStamp {
        FileStamp {
            inode: metadata.ino(),
            length: metadata.len(),
        }
    }

    fn of(file: &File) -> io::Result<FileStamp> {
        Ok(FileStamp::new(&file.metadata()?))
    }
}

/// The result of replacing the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Replacement {
    Written,
    /// Another process has written to the file, which is unchanged.
    ChangedElsewhere,
}

/// The path of the log, and the space that it may use.
pub(super) struct LogFile {
    path: PathBuf,
    /// The maximum length of the file.
    max_bytes: u64,
    /// The quota of all files of the directory.
    disk_bytes: u64,
}

impl LogFile {
    pub(super) fn new(path: PathBuf, max_bytes: u64, disk_bytes: u64) -> LogFile {
        LogFile {
            path,
            max_bytes,
            disk_bytes,
        }
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the whole file; empty if there is none.
    pub(super) fn read(&self) -> io::Result<(Vec<u8>, FileStamp)> {
        let mut file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Default::default()),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let stamp = FileStamp {
            length: bytes.len() as u64,
            ..FileStamp::of(&file)?
        };
        Ok((bytes, stamp))
    }

    /// The stamp of the file as it is now; the default if there is none.
    pub(super) fn stamp(&self) -> io::Result<FileStamp> {
        match std::fs::metadata(&self.path) {
            Ok(metadata) => Ok(FileStamp::new(&metadata)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(FileStamp::default()),
            Err(e) => Err(e),
        }
    }

    /// Appends lines behind the last complete one. The stamp follows, unless another process has written since: then it
    /// stays behind, so that what the other one wrote is read.
    pub(super) fn append(&self, lines: &[u8], stamp: &mut FileStamp) -> io::Result<()> {
        let mut file = self.open_locked()?;
        let before = FileStamp::of(&file)?;
        self.check_space(lines.len() as u64 + 1, before.length)?;
        let mut separated = Vec::with_capacity(lines.len() + 1);
        if !ends_with_newline(&mut file, before.length)? {
            separated.push(b'\n');
        }
        separated.extend(lines);
        let written = file.write_all(&separated);
        if written.is_err() {
            // Readers skip what stays of the lines.
            file.set_len(before.length).ok();
        }
        if before == *stamp || before.length == 0 {
            *stamp = FileStamp::of(&file)?;
        }
        written
    }

    /// Replaces the file, and sets its stamp, unless another process has written to it since it had this stamp.
    pub(super) fn replace(&self, lines: &[u8], stamp: &mut FileStamp) -> io::Result<Replacement> {
        let file = self.open_locked()?;
        let found = FileStamp::of(&file)?;
        let is_new = stamp.length == 0 && found.length == 0;
        if !is_new && found != *stamp {
            return Ok(Replacement::ChangedElsewhere);
        }
        if lines.is_empty() {
            file.set_len(0)?;
            *stamp = FileStamp::of(&file)?;
            return Ok(Replacement::Written);
        }
        self.check_space(lines.len() as u64, 0)?;
        let replacement = self.replacement_path();
        let written = std::fs::write(&replacement, lines)
            .and_then(|()| std::fs::rename(&replacement, &self.path));
        if written.is_err() {
            std::fs::remove_file(&replacement).ok();
        }
        written?;
        *stamp = self.stamp()?;
        Ok(Replacement::Written)
    }

    /// Removes the replacement file of a process that was killed while it wrote one.
    pub(super) fn remove_replacement(&self) -> io::Result<()> {
        let lock = match self.open_existing_locked() {
            Ok(Some(file)) => file,
            // Another process may be writing it.
            Ok(None) => return Ok(()),
            Err(e) => return Err(e),
        };
        let removed = std::fs::remove_file(self.replacement_path());
        drop(lock);
        match removed {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// One path for all processes: only the one that holds the lock writes there.
    fn replacement_path(&self) -> PathBuf {
        let mut path = self.path.clone().into_os_string();
        path.push(".next");
        path.into()
    }

    /// Opens and locks the file, which is created if there is none. Another process holds the lock only for a write, so a few
    /// attempts are made.
    fn open_locked(&self) -> io::Result<File> {
        for _ in 1..LOCK_ATTEMPTS {
            match self.try_open_locked() {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => sleep(LOCK_RETRY_DELAY),
                result => return result,
            }
        }
        self.try_open_locked()
    }

    fn try_open_locked(&self) -> io::Result<File> {
        let mut options = OpenOptions::new();
        let file = options
            .read(true)
            .append(true)
            .create(true)
            .open(&self.path)?;
        match try_lock_at(&file, &self.path)? {
            Lock::Acquired => Ok(file),
            Lock::HeldElsewhere => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Opens and locks the file; `None` if there is none, or another process holds the lock.
    fn open_existing_locked(&self) -> io::Result<Option<File>> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        Ok((try_lock(&file)? == Lock::Acquired).then_some(file))
    }

    /// Whether a replacement of this length may be written beside the file.
    pub(super) fn has_space_for(&self, length: u64) -> bool {
        self.check_space(length, 0).is_ok()
    }

    /// Whether the files of the directory stay within the quota after `additional` bytes behind `length` bytes.
    fn check_space(&self, additional: u64, length: u64) -> io::Result<()> {
        let Some(directory) = self.path.parent() else {
            return Ok(());
        };
        let mut used = disk_bytes(length + additional) - disk_bytes(length);
        for file in std::fs::read_dir(directory)? {
            // A file that was removed since it was listed uses no space.
            used += file?
                .metadata()
                .map_or(0, |metadata| disk_bytes(metadata.len()));
        }
        if length + additional > self.max_bytes || used > self.disk_bytes {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the files of the state directory would exceed the disk quota",
            ));
        }
        Ok(())
    }
}

/// Whether the file is empty or its last line is complete.
fn ends_with_newline(file: &mut File, length: u64) -> io::Result<bool> {
    if length == 0 {
        return Ok(true);
    }
    file.seek(SeekFrom::Start(length - 1))?;
    let mut last = [0];
    file.read_exact(&mut last)?;
    Ok(last == *b"\n")
}
