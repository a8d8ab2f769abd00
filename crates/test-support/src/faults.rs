//! Fault injection into the system calls of a dispatcher process. The test controls a preloaded library through a page
//! of memory that both share through a file.

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use words::TransientCall;

#[path = "../../daemon/tests/preload/words.rs"]
pub mod words;

/// The error number of a full disk.
pub const ENOSPC: u64 = 28;
/// The error number of a failed device.
pub const EIO: u64 = 5;
/// The error number of a call interrupted by a signal.
pub const EINTR: u64 = 4;

/// The shared page of one dispatcher. It is kept across restarts of the process.
pub struct Faults {
    path: PathBuf,
    page: File,
}

/// Returns the path of the preloaded library, which is an example target of the package under test and built with its
/// tests.
fn library_path() -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let library = test_binary
        .parent()
        .unwrap()
        .with_file_name("examples")
        .join("libbellsill_faults.so");
    assert!(
        library.exists(),
        "{} does not exist; build it with `cargo build --examples`",
        library.display()
    );
    library
}

impl Faults {
    /// Creates a page in `folder` that injects no faults. `seed` selects the socket calls that fail later.
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

    /// Returns another handle of the same page.
    pub fn clone_handle(&self) -> Faults {
        Faults {
            path: self.path.clone(),
            page: self.page.try_clone().unwrap(),
        }
    }

    /// Sets the word of the page at this index, one of [`words`].
    pub fn set(&self, word: usize, value: u64) {
        self.page
            .write_all_at(&value.to_ne_bytes(), word as u64 * 8)
            .unwrap();
    }

    /// Reads a word of the page, such as the number of failed calls.
    pub fn get(&self, word: usize) -> u64 {
        let mut bytes = [0; 8];
        self.page
            .read_exact_at(&mut bytes, word as u64 * 8)
            .unwrap();
        u64::from_ne_bytes(bytes)
    }

    /// Makes the next `count` calls of this kind fail with the error that the system documents, on sockets of this origin.
    pub fn fail_next(&self, call: TransientCall, count: u64, origin: u64) {
        self.set(call.errno_word(), call.documented_errno as u64);
        self.set(call.origin_word(), origin);
        self.set(call.remaining_word(), count);
    }

    /// Makes calls of this kind succeed again.
    pub fn stop_failing(&self, call: TransientCall) {
        self.set(call.remaining_word(), 0);
    }

    /// Whether all calls that were to fail by [`Faults::fail_next`] have failed.
    pub fn have_failed(&self, call: TransientCall) -> bool {
        self.get(call.remaining_word()) == 0
    }

    /// Offsets the wall clock of the process from the machine's.
    pub fn step_wall_clock(&self, seconds: i64) {
        self.set(words::WALL_STEP_SECONDS, seconds as u64);
    }

    /// Makes writes to the state directory fail with this error. If `half` is set, half of the bytes are written first,
    /// and truncation fails as well.
    pub fn fail_writes(&self, errno: u64, half: bool) {
        self.set(words::WRITE_HALF, u64::from(half));
        self.set(words::TRUNCATE_ERRNO, if half { errno } else { 0 });
        self.set(words::WRITE_ERRNO, errno);
    }

    /// Makes every call fail that opens or changes a file of the state directory; zero for none.
    pub fn fail_state_directory(&self, errno: u64) {
        for word in [words::WRITE_ERRNO, words::TRUNCATE_ERRNO, words::OPEN_ERRNO] {
            self.set(word, errno);
        }
        self.set(words::UNLINK_ERRNO, errno);
        self.set(words::RENAME_ERRNO, errno);
    }

    /// Ends the faults that [`Faults::fail_writes`] and [`Faults::fail_state_directory`] inject.
    pub fn restore_state_directory(&self) {
        self.fail_state_directory(0);
        self.set(words::WRITE_HALF, 0);
    }

    /// Makes the process of `command` preload the library, which injects file faults in `state_directory`.
    pub fn preload(&self, command: &mut Command, state_directory: &Path) {
        command.env("LD_PRELOAD", library_path());
        command
            .env("BELLSILL_FAULTS", &self.path)
            .env("BELLSILL_FAULT_FOLDER", state_directory);
    }
}
