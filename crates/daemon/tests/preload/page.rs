//! The page of words that the test and the library share, and the selection of the calls that fail.

use crate::words::{PAGE_BYTES, RANDOM_STATE};
use std::ffi::{CString, c_int};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

struct Page(*mut AtomicU64);
// SAFETY: the page stays mapped for the lifetime of the process and is accessed only by atomic operations.
unsafe impl Send for Page {}
// SAFETY: as above.
unsafe impl Sync for Page {}

/// The shared page; `None` if `BELLSILL_FAULTS` does not name a file that can be opened and mapped.
fn page() -> Option<&'static Page> {
    static PAGE: OnceLock<Option<Page>> = OnceLock::new();
    PAGE.get_or_init(|| {
        // SAFETY: all strings passed to the C library end in a null byte; the mapping is never removed.
        unsafe {
            let name = CString::new("BELLSILL_FAULTS").ok()?;
            let path = libc::getenv(name.as_ptr());
            if path.is_null() {
                return None;
            }
            let file = libc::syscall(
                libc::SYS_openat,
                libc::AT_FDCWD,
                path,
                libc::O_RDWR | libc::O_CLOEXEC,
                0,
            ) as c_int;
            if file < 0 {
                return None;
            }
            let protection = libc::PROT_READ | libc::PROT_WRITE;
            let address = libc::mmap(
                std::ptr::null_mut(),
                PAGE_BYTES,
                protection,
                libc::MAP_SHARED,
                file,
                0,
            );
            libc::close(file);
            (address != libc::MAP_FAILED).then_some(Page(address.cast()))
        }
    })
    .as_ref()
}

pub(crate) fn word(index: usize) -> Option<&'static AtomicU64> {
    // SAFETY: every index in `words` is less than the number of words of the page, which stays mapped.
    page().map(|page| unsafe { &*page.0.add(index) })
}

pub(crate) fn load_word(index: usize) -> u64 {
    word(index).map_or(0, |word| word.load(Ordering::SeqCst))
}

pub(crate) fn increment(index: usize) {
    if let Some(word) = word(index) {
        word.fetch_add(1, Ordering::SeqCst);
    }
}

/// Selects calls at random with the permille value in the word at this index. The pseudo-random sequence depends only
/// on the seed in the page.
pub(crate) fn is_selected(permille_index: usize) -> bool {
    let permille = load_word(permille_index);
    if permille == 0 {
        return false;
    }
    let Some(state) = word(RANDOM_STATE) else {
        return false;
    };
    let value = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    let mut mixed = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % 1000 < permille
}

/// Sets `errno` and returns the result of a failed call.
pub(crate) fn fail(errno: u64) -> c_int {
    // SAFETY: the pointer to this thread's `errno` is always valid.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}
