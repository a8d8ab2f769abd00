//! The journals of one folder: a process beside an old one, while that one ends, writes one of its own, and takes the old
//! one's over when it has ended.

use super::record::Extent;
use super::replay::replay;
use bellsill_core::interface::Nanos;
use std::fs::{File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

const FILE: &str = "mails";
/// Journals that one folder may hold.
const JOURNALS_MOST: usize = 8;

/// Two processes writing one journal would each take the other's messages for their own. Where files cannot be locked,
/// nothing stops that. False: another process holds it.
pub fn lock(file: &File) -> bool {
    !matches!(file.try_lock(), Err(TryLockError::WouldBlock))
}

/// Whether the file is the one of that name: between its opening and its lock another process may have put a new one in its
/// place, or removed it.
pub fn is_at(file: &File, path: &Path) -> bool {
    let there = std::fs::metadata(path).map(|there| there.ino());
    matches!((there, file.metadata()), (Ok(there), Ok(file)) if there == file.ino())
}

pub struct Journals {
    folder: PathBuf,
}

impl Journals {
    pub fn new(folder: &Path) -> Journals {
        Journals {
            folder: folder.to_path_buf(),
        }
    }

    pub fn path(&self, journal: usize) -> PathBuf {
        let name = if journal == 0 {
            FILE.to_string()
        } else {
            format!("{FILE}.{journal}")
        };
        self.folder.join(name)
    }

    /// Where a journal is written anew, beside itself.
    pub fn next_path(&self, journal: usize) -> PathBuf {
        let mut path = self.path(journal).into_os_string();
        path.push(".next");
        path.into()
    }

    pub fn others(&self, own: usize) -> impl Iterator<Item = usize> + use<> {
        (0..JOURNALS_MOST).filter(move |&journal| journal != own)
    }

    /// What all files but one journal take, and whether there is another journal among them. The scoped configuration has a
    /// share of the limit to itself, which is not the journals'.
    fn bytes_of_others(&self, own: usize) -> (u64, bool) {
        let (path, next) = (self.path(own), self.next_path(own));
        let (mut bytes, mut journals) = (0, false);
        let Ok(files) = std::fs::read_dir(&self.folder) else {
            return (bytes, journals);
        };
        for file in files
            .flatten()
            .filter(|file| file.path() != path && file.path() != next)
        {
            let name = file.file_name().to_string_lossy().into_owned();
            if !name.starts_with(crate::scope::SCOPE_FILE) {
                let length = file.metadata().map_or(0, |metadata| metadata.len());
                bytes += super::blocks(length);
                journals |= name.starts_with(FILE) && length > 0;
            }
        }
        (bytes, journals)
    }

    /// The first journal that no other process holds.
    pub fn open_own(&self) -> io::Result<(usize, File)> {
        for journal in 0..JOURNALS_MOST {
            let path = self.path(journal);
            let file = OpenOptions::new()
                .read(true)
                .append(true)
                .create(true)
                .open(&path)?;
            if lock(&file) && is_at(&file, &path) {
                return Ok((journal, file));
            }
        }
        Err(io::Error::new(
            io::ErrorKind::ResourceBusy,
            "other dispatchers use this folder",
        ))
    }

    /// Another journal, if there is one.
    pub fn open_other(&self, journal: usize) -> io::Result<Option<File>> {
        match OpenOptions::new()
            .read(true)
            .append(true)
            .open(self.path(journal))
        {
            Ok(file) => Ok(Some(file)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Removes what a process left that was killed while it wrote a journal anew.
    pub fn remove_next(&self, journal: usize) -> io::Result<()> {
        match std::fs::remove_file(self.next_path(journal)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// How many of a journal's first bytes were taken over into another one, by a process that ended before it had emptied
    /// this one: read once more, messages that have ended since would be taken for new.
    pub fn adopted_by_others(&self, journal: usize, bytes: &[u8]) -> io::Result<usize> {
        let mut spent = 0;
        if bytes.is_empty() {
            return Ok(spent);
        }
        for other in self.others(journal) {
            let other = match std::fs::read(self.path(other)) {
                Ok(other) => other,
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => return Err(e),
            };
            let covered = replay(&other)
                .adopted
                .into_iter()
                .map(|source| source.covers(bytes));
            spent = covered.fold(spent, usize::max);
        }
        Ok(spent)
    }
}

/// What everything else in a folder takes of the disk limit, looked at now and then.
pub struct Neighbours {
    bytes: u64,
    /// Another process's journal is among them, and may grow.
    journals: bool,
    looked_at: Option<Nanos>,
}

/// For so long there is taken to be no other journal where there was none.
const LOOK_EVERY: Nanos = 20_000_000;

impl Neighbours {
    pub fn new() -> Neighbours {
        Neighbours {
            bytes: 0,
            journals: false,
            looked_at: None,
        }
    }

    /// The bytes that all other files of the folder take.
    pub fn bytes(&mut self, journals: &Journals, own: usize) -> u64 {
        let now = crate::clock::now();
        if self.journals || self.looked_at.is_none_or(|at| now >= at + LOOK_EVERY) {
            (self.bytes, self.journals) = journals.bytes_of_others(own);
            self.looked_at = Some(now);
        }
        self.bytes
    }

    /// Whether another journal was there when they were looked at.
    pub fn has_journals(&self) -> bool {
        self.journals
    }
}

/// A journal that was taken over and has to be emptied and removed; held for as long, so that nobody else takes it.
pub struct Emptying {
    pub journal: usize,
    pub file: File,
    pub source: Extent,
    pub at: PathBuf,
}

impl Emptying {
    /// True: it is empty.
    pub fn try_again(&mut self) -> bool {
        if let Err(e) = self.file.set_len(0) {
            log::warn!(
                "message journal: {} is taken over and cannot be emptied yet: {e}",
                self.at.display()
            );
            return false;
        }
        // Empty it says nothing, and the next process may have it.
        let _ = std::fs::remove_file(&self.at);
        true
    }
}
