//! System calls that fail on request: a library that the tests preload into a dispatcher. The test and the library
//! share one page of 64-bit words, a file that `BELLSILL_FAULTS` names; [`words`] says what each word asks for.
//!
//! It stands in front of the C library's functions of the same names. `run` never needs it.

use std::ffi::{CStr, CString, c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

#[path = "words.rs"]
pub mod words;
use words::{
    CONNECT_ERRNO, HALF_WRITTEN, KILL_AT_WRITE, MONOTONIC_SHIFT_SECONDS, OPEN_ERRNO, OPEN_FAULTS,
    PAGE_BYTES, RANDOM_STATE, READ_ERRNO, RENAME_ERRNO, SHORT_PERMILLE, SOCKET_FAULTS,
    SOCKET_PERMILLE, TRUNCATE_ERRNO, TRUNCATE_FAULTS, UNLINK_ERRNO, WALL_STEP_SECONDS, WRITE_ERRNO,
    WRITE_FAULTS, WRITE_HALF,
};

struct Page(*mut AtomicU64);
// SAFETY: the page is mapped for as long as the process runs and is accessed by atomic operations alone.
unsafe impl Send for Page {}
// SAFETY: as above.
unsafe impl Sync for Page {}

/// The shared page; none where the variable names no file.
fn page() -> Option<&'static Page> {
    static PAGE: OnceLock<Option<Page>> = OnceLock::new();
    PAGE.get_or_init(|| {
        // SAFETY: plain calls of the C library on strings that end in a null byte; the mapping is never removed.
        unsafe {
            let name = CString::new("BELLSILL_FAULTS").ok()?;
            let path = libc::getenv(name.as_ptr());
            if path.is_null() {
                return None;
            }
            let file =
                libc::syscall(libc::SYS_open, path, libc::O_RDWR | libc::O_CLOEXEC, 0) as c_int;
            if file < 0 {
                return None;
            }
            let protection = libc::PROT_READ | libc::PROT_WRITE;
            let at = libc::mmap(
                std::ptr::null_mut(),
                PAGE_BYTES,
                protection,
                libc::MAP_SHARED,
                file,
                0,
            );
            libc::close(file);
            (at != libc::MAP_FAILED).then_some(Page(at.cast()))
        }
    })
    .as_ref()
}

fn word(index: usize) -> Option<&'static AtomicU64> {
    // SAFETY: every index is under the number of words of the page, which stays mapped.
    page().map(|page| unsafe { &*page.0.add(index) })
}

fn asked(index: usize) -> u64 {
    word(index).map_or(0, |word| word.load(Ordering::SeqCst))
}

fn count(index: usize) {
    if let Some(word) = word(index) {
        word.fetch_add(1, Ordering::SeqCst);
    }
}

/// The function that a name stands for behind this library.
fn behind(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends in a null byte.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

macro_rules! next {
    ($name:literal, fn($($argument:ty),*) -> $result:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let address = *NEXT.get_or_init(|| behind($name) as usize);
        // SAFETY: the C library's function of that name has this type.
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(address) }
    }};
}

fn fail(errno: u64) -> c_int {
    // SAFETY: the location of this thread's error number is always valid.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

/// Whether a descriptor is a file of the folder that lasts: the dispatcher writes no other files.
fn is_file(fd: c_int) -> bool {
    if fd <= 2 {
        return false;
    }
    // SAFETY: the structure is written by the call before it is read.
    unsafe {
        let mut status: libc::stat64 = std::mem::zeroed();
        libc::fstat64(fd, &mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

fn in_folder(path: *const c_char) -> bool {
    // SAFETY: callers pass strings that end in a null byte; the variable's text is only read.
    unsafe {
        let folder = libc::getenv(c"BELLSILL_FAULT_FOLDER".as_ptr());
        !folder.is_null()
            && CStr::from_ptr(path)
                .to_bytes()
                .starts_with(CStr::from_ptr(folder).to_bytes())
    }
}

/// One of a thousand calls, by a sequence that depends on the seed in the page alone.
fn is_drawn(permille: usize) -> bool {
    let share = asked(permille);
    if share == 0 {
        return false;
    }
    let Some(state) = word(RANDOM_STATE) else {
        return false;
    };
    let drawn = state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    let mut mixed = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % 1000 < share
}

/// One of these error numbers, in turn.
fn one_of(errors: &[c_int]) -> u64 {
    errors[(asked(SOCKET_FAULTS) as usize) % errors.len()] as u64
}

fn shortened(length: usize) -> usize {
    if length > 1 && is_drawn(SHORT_PERMILLE) {
        length / 2
    } else {
        length
    }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    let next = next!(c"write", fn(c_int, *const c_void, usize) -> isize);
    if !is_file(fd) {
        // SAFETY: the caller's arguments.
        return unsafe { next(fd, bytes, length) };
    }
    if let Some(left) = word(KILL_AT_WRITE).filter(|left| left.load(Ordering::SeqCst) > 0)
        && left.fetch_sub(1, Ordering::SeqCst) == 1
    {
        // SAFETY: half of the caller's bytes; then the process ends.
        unsafe {
            next(fd, bytes, length / 2);
            libc::kill(libc::getpid(), libc::SIGKILL);
        }
    }
    let errno = asked(WRITE_ERRNO);
    if errno == 0 {
        // SAFETY: the caller's arguments.
        return unsafe { next(fd, bytes, length) };
    }
    let half = asked(WRITE_HALF) != 0;
    // A write that failed half way is continued by its caller, and fails then.
    let continued =
        word(HALF_WRITTEN).is_some_and(|word| word.swap(u64::from(half), Ordering::SeqCst) == 1);
    if half && !continued && length > 1 {
        // SAFETY: half of the caller's bytes.
        return unsafe { next(fd, bytes, length / 2) };
    }
    word(HALF_WRITTEN)
        .into_iter()
        .for_each(|word| word.store(0, Ordering::SeqCst));
    count(WRITE_FAULTS);
    fail(errno) as isize
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: usize) -> isize {
    let errno = asked(READ_ERRNO);
    // The configuration is a file too, but not one of the folder that lasts: those are opened for writing as well.
    // SAFETY: the call only reads the descriptor's flags.
    if errno != 0 && is_file(fd) && unsafe { libc::fcntl(fd, libc::F_GETFL) } & libc::O_APPEND != 0
    {
        count(OPEN_FAULTS);
        return fail(errno) as isize;
    }
    let next = next!(c"read", fn(c_int, *mut c_void, usize) -> isize);
    // SAFETY: the caller's arguments.
    unsafe { next(fd, bytes, length) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: i64) -> c_int {
    let errno = asked(TRUNCATE_ERRNO);
    if errno != 0 && is_file(fd) {
        count(TRUNCATE_FAULTS);
        return fail(errno);
    }
    let next = next!(c"ftruncate64", fn(c_int, i64) -> c_int);
    // SAFETY: the caller's arguments.
    unsafe { next(fd, length) }
}

/// # Safety
/// As the C library's function; without a mode the register holds whatever the caller left, as there.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    let errno = asked(OPEN_ERRNO);
    if errno != 0 && in_folder(path) {
        count(OPEN_FAULTS);
        return fail(errno);
    }
    let next = next!(c"open64", fn(*const c_char, c_int, libc::mode_t) -> c_int);
    // SAFETY: the caller's arguments.
    unsafe { next(path, flags, mode) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let errno = asked(UNLINK_ERRNO);
    if errno != 0 && in_folder(path) {
        count(OPEN_FAULTS);
        return fail(errno);
    }
    let next = next!(c"unlink", fn(*const c_char) -> c_int);
    // SAFETY: the caller's argument.
    unsafe { next(path) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let errno = asked(RENAME_ERRNO);
    if errno != 0 && in_folder(to) {
        count(OPEN_FAULTS);
        return fail(errno);
    }
    let next = next!(c"rename", fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller's arguments.
    unsafe { next(from, to) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let next = next!(
        c"clock_gettime",
        fn(libc::clockid_t, *mut libc::timespec) -> c_int
    );
    // SAFETY: the caller's arguments; the time is read after the call has written it.
    unsafe {
        let result = next(clock, time);
        let step = asked(WALL_STEP_SECONDS) as i64;
        if result == 0 && clock == libc::CLOCK_REALTIME {
            (*time).tv_sec += step;
        }
        let shift = asked(MONOTONIC_SHIFT_SECONDS) as i64;
        if result == 0 && clock == libc::CLOCK_MONOTONIC {
            (*time).tv_sec += shift;
        }
        result
    }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && is_drawn(SOCKET_PERMILLE) {
        let errno = one_of(&[libc::ENFILE, libc::ENOBUFS, libc::EMFILE]);
        count(SOCKET_FAULTS);
        return fail(errno);
    }
    let next = next!(c"socket", fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller's arguments.
    unsafe { next(domain, kind, protocol) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(
    fd: c_int,
    to: *const libc::sockaddr,
    length: libc::socklen_t,
) -> c_int {
    let next = next!(
        c"connect",
        fn(c_int, *const libc::sockaddr, libc::socklen_t) -> c_int
    );
    let errno = asked(CONNECT_ERRNO);
    if errno != 0 {
        // SAFETY: the caller's arguments.
        unsafe { next(fd, to, length) };
        count(SOCKET_FAULTS);
        return fail(errno);
    }
    if is_drawn(SOCKET_PERMILLE) {
        let errno = one_of(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR]);
        count(SOCKET_FAULTS);
        if errno == libc::EINTR as u64 {
            // An interrupted connect goes on by itself.
            // SAFETY: the caller's arguments.
            unsafe { next(fd, to, length) };
        }
        return fail(errno);
    }
    // SAFETY: the caller's arguments.
    unsafe { next(fd, to, length) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    if is_drawn(SOCKET_PERMILLE) {
        let errno = one_of(&[libc::ECONNABORTED, libc::ENFILE, libc::EINTR]);
        count(SOCKET_FAULTS);
        return fail(errno);
    }
    let next = next!(
        c"accept4",
        fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t, c_int) -> c_int
    );
    // SAFETY: the caller's arguments.
    unsafe { next(fd, from, length, flags) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    if is_drawn(SHORT_PERMILLE) {
        return fail(libc::EINTR as u64) as isize;
    }
    let next = next!(c"recv", fn(c_int, *mut c_void, usize, c_int) -> isize);
    // SAFETY: the caller's arguments, or a part of them.
    unsafe { next(fd, bytes, shortened(length), flags) }
}

/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    fd: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    if is_drawn(SHORT_PERMILLE) {
        return fail(libc::EINTR as u64) as isize;
    }
    let next = next!(c"send", fn(c_int, *const c_void, usize, c_int) -> isize);
    // SAFETY: the caller's arguments, or a part of them.
    unsafe { next(fd, bytes, shortened(length), flags) }
}
