//! What a test asks of the system calls of its dispatcher, by the page that it shares with the preloaded library.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

#[path = "../../daemon/tests/preload/words.rs"]
pub mod words;

/// The disk is full.
pub const ENOSPC: u64 = 28;
/// The device has failed.
pub const EIO: u64 = 5;
/// A signal came in between.
pub const EINTR: u64 = 4;

/// The page of one dispatcher, which outlasts its restarts.
pub struct Faults {
    path: PathBuf,
    page: File,
}

/// The preloaded library: an example of the package whose test runs, built with its tests.
fn library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let built = test
        .parent()
        .unwrap()
        .with_file_name("examples")
        .join("libbellsill_faults.so");
    assert!(
        built.exists(),
        "{}: built by `cargo build --examples`",
        built.display()
    );
    built
}

impl Faults {
    /// A page in this folder that asks for nothing.
    pub fn new(folder: &Path, seed: u64) -> Faults {
        let path = folder.join("faults");
        let page = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(&path)
            .unwrap();
        page.set_len(words::PAGE_BYTES as u64).unwrap();
        let faults = Faults { path, page };
        faults.set(words::RANDOM_STATE, seed);
        faults
    }

    /// Sets a word of the page, one of [`words`].
    pub fn set(&self, word: usize, value: u64) {
        self.page
            .write_all_at(&value.to_ne_bytes(), word as u64 * 8)
            .unwrap();
    }

    /// Reads a word of the page, such as the number of calls that failed.
    pub fn get(&self, word: usize) -> u64 {
        let mut bytes = [0; 8];
        self.page
            .read_exact_at(&mut bytes, word as u64 * 8)
            .unwrap();
        u64::from_ne_bytes(bytes)
    }

    /// From now on the wall clock is this far from the machine's.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.set(words::WALL_STEP_SECONDS, seconds as u64);
    }

    /// Writes to the folder that lasts fail with this error, after half of the bytes or before any; truncating fails too
    /// where half is written.
    pub fn fail_writes(&self, errno: u64, half: bool) {
        self.set(words::WRITE_HALF, u64::from(half));
        self.set(words::TRUNCATE_ERRNO, if half { errno } else { 0 });
        self.set(words::WRITE_ERRNO, errno);
    }

    /// Everything that changes files in the folder that lasts fails, opening them too.
    pub fn fail_state_directory(&self, errno: u64) {
        for word in [words::WRITE_ERRNO, words::TRUNCATE_ERRNO, words::OPEN_ERRNO] {
            self.set(word, errno);
        }
        self.set(words::UNLINK_ERRNO, errno);
        self.set(words::RENAME_ERRNO, errno);
    }

    /// The folder is good again.
    pub fn restore_state_directory(&self) {
        self.fail_state_directory(0);
        self.set(words::WRITE_HALF, 0);
    }

    /// Has a command's process preload the library, with faults in that folder.
    pub fn preload(&self, command: &mut Command, folder: &Path) {
        command.env("LD_PRELOAD", library());
        command
            .env("BELLSILL_FAULTS", &self.path)
            .env("BELLSILL_FAULT_FOLDER", folder);
    }
}
