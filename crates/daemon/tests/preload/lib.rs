//! A fault-injection library that the tests preload into a dispatcher. It interposes functions of the C library and
//! makes them fail as the test requests. The test and the library share one page of 64-bit words, mapped from the file
//! named by `BELLSILL_FAULTS`; [`words`] defines the words. Only the tests use the library; `run` does not need it.

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::OnceLock;
use std::sync::atomic::Ordering;

/// The C library's function of this name and type, looked up on the first use.
macro_rules! next {
    ($name:literal, fn($($argument:ty),*) -> $result:ty) => {{
        static NEXT: OnceLock<usize> = OnceLock::new();
        let address = *NEXT.get_or_init(|| next_symbol($name) as usize);
        // SAFETY: the C library's function of that name has this type.
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(address) }
    }};
}

#[path = "page.rs"]
mod page;
#[path = "transient.rs"]
mod transient;
#[path = "words.rs"]
pub mod words;
use page::{fail, increment, is_selected, load_word, word};
use transient::{Origin, is_failing, set_origin};
use words::{
    ACCEPT, CONNECT_ERRNO, FILE_CALL_FAULTS, HALF_WRITTEN, KILL_AT_WRITE, MONOTONIC_SHIFT_SECONDS,
    OPEN_ERRNO, READ_ERRNO, READ_PIPE, RECEIVE, RENAME_ERRNO, SEND, SHORT_PERMILLE, SOCKET_FAULTS,
    SOCKET_PERMILLE, TRUNCATE_ERRNO, TRUNCATE_FAULTS, UNLINK_ERRNO, WALL_STEP_SECONDS, WRITE_ERRNO,
    WRITE_FAULTS, WRITE_HALF,
};

/// The address of the function that this library interposes.
fn next_symbol(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends in a null byte.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Whether a descriptor refers to a regular file other than the standard streams. The dispatcher writes such files only
/// in its state directory.
fn is_regular_file(fd: c_int) -> bool {
    if fd <= 2 {
        return false;
    }
    // SAFETY: `fstat64` fills the structure before it is read.
    unsafe {
        let mut status: libc::stat64 = std::mem::zeroed();
        libc::fstat64(fd, &mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Whether a path is in the directory that `BELLSILL_FAULT_FOLDER` names.
fn is_in_fault_directory(path: *const c_char) -> bool {
    // SAFETY: callers pass strings that end in a null byte; the value of the variable is only read.
    unsafe {
        let directory = libc::getenv(c"BELLSILL_FAULT_FOLDER".as_ptr());
        !directory.is_null()
            && CStr::from_ptr(path)
                .to_bytes()
                .starts_with(CStr::from_ptr(directory).to_bytes())
    }
}

/// One of these error numbers, chosen in turn by the number of failed socket calls.
fn next_errno(errors: &[c_int]) -> u64 {
    errors[(load_word(SOCKET_FAULTS) as usize) % errors.len()] as u64
}

/// The length for a call on a socket: half of it if the call is selected to be short.
fn shortened(length: usize) -> usize {
    if length > 1 && is_selected(SHORT_PERMILLE) {
        length / 2
    } else {
        length
    }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    let next = next!(c"write", fn(c_int, *const c_void, usize) -> isize);
    if !is_regular_file(fd) {
        // SAFETY: the caller guarantees valid arguments.
        return unsafe { next(fd, bytes, length) };
    }
    if let Some(left) = word(KILL_AT_WRITE).filter(|left| left.load(Ordering::SeqCst) > 0)
        && left.fetch_sub(1, Ordering::SeqCst) == 1
    {
        // SAFETY: the caller's buffer is valid for half of its length; then the process is killed.
        unsafe {
            next(fd, bytes, length / 2);
            libc::kill(libc::getpid(), libc::SIGKILL);
        }
    }
    let errno = load_word(WRITE_ERRNO);
    if errno == 0 {
        // SAFETY: the caller guarantees valid arguments.
        return unsafe { next(fd, bytes, length) };
    }
    let half = load_word(WRITE_HALF) != 0;
    // After a short write the caller writes the rest; that call fails.
    let is_continuation =
        word(HALF_WRITTEN).is_some_and(|word| word.swap(u64::from(half), Ordering::SeqCst) == 1);
    if half && !is_continuation && length > 1 {
        // SAFETY: the caller's buffer is valid for half of its length.
        return unsafe { next(fd, bytes, length / 2) };
    }
    word(HALF_WRITTEN)
        .into_iter()
        .for_each(|word| word.store(0, Ordering::SeqCst));
    increment(WRITE_FAULTS);
    fail(errno) as isize
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: usize) -> isize {
    let errno = load_word(READ_ERRNO);
    // Journals are opened for appending; the configuration, which is a regular file too, is not and must stay readable.
    // SAFETY: `F_GETFL` only reads the descriptor's flags.
    if errno != 0
        && is_regular_file(fd)
        && unsafe { libc::fcntl(fd, libc::F_GETFL) } & libc::O_APPEND != 0
    {
        increment(FILE_CALL_FAULTS);
        return fail(errno) as isize;
    }
    if is_failing(READ_PIPE, fd) {
        return -1;
    }
    let next = next!(c"read", fn(c_int, *mut c_void, usize) -> isize);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, bytes, length) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: i64) -> c_int {
    let errno = load_word(TRUNCATE_ERRNO);
    if errno != 0 && is_regular_file(fd) {
        increment(TRUNCATE_FAULTS);
        return fail(errno);
    }
    let next = next!(c"ftruncate64", fn(c_int, i64) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, length) }
}

/// # Safety
/// The same as for the C library's function. If the caller passes no mode, the argument is unspecified and passed on.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    let errno = load_word(OPEN_ERRNO);
    if errno != 0 && is_in_fault_directory(path) {
        increment(FILE_CALL_FAULTS);
        return fail(errno);
    }
    if !is_in_fault_directory(path) && transient::is_failing_anywhere(words::OPEN_ELSEWHERE) {
        return -1;
    }
    // SAFETY: the caller guarantees a string that ends in a null byte.
    let is_boot_id = unsafe { CStr::from_ptr(path) }
        .to_bytes()
        .ends_with(b"/boot_id");
    if is_boot_id && transient::is_failing_anywhere(words::OPEN_BOOT_ID) {
        return -1;
    }
    let next = next!(c"open64", fn(*const c_char, c_int, libc::mode_t) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(path, flags, mode) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let errno = load_word(UNLINK_ERRNO);
    if errno != 0 && is_in_fault_directory(path) {
        increment(FILE_CALL_FAULTS);
        return fail(errno);
    }
    let next = next!(c"unlink", fn(*const c_char) -> c_int);
    // SAFETY: the caller guarantees a valid argument.
    unsafe { next(path) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let errno = load_word(RENAME_ERRNO);
    if errno != 0 && is_in_fault_directory(to) {
        increment(FILE_CALL_FAULTS);
        return fail(errno);
    }
    let next = next!(c"rename", fn(*const c_char, *const c_char) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(from, to) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let next = next!(
        c"clock_gettime",
        fn(libc::clockid_t, *mut libc::timespec) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments; the time is read only after the call has written it.
    unsafe {
        let result = next(clock, time);
        let step = load_word(WALL_STEP_SECONDS) as i64;
        if result == 0 && clock == libc::CLOCK_REALTIME {
            (*time).tv_sec += step;
        }
        let shift = load_word(MONOTONIC_SHIFT_SECONDS) as i64;
        if result == 0 && clock == libc::CLOCK_MONOTONIC {
            (*time).tv_sec += shift;
        }
        result
    }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && is_selected(SOCKET_PERMILLE) {
        let errno = next_errno(&[libc::ENFILE, libc::ENOBUFS, libc::EMFILE]);
        increment(SOCKET_FAULTS);
        return fail(errno);
    }
    let next = next!(c"socket", fn(c_int, c_int, c_int) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    let fd = unsafe { next(domain, kind, protocol) };
    set_origin(fd, Origin::Created);
    fd
}

/// # Safety
/// The same as for the C library's function.
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
    let errno = load_word(CONNECT_ERRNO);
    if errno != 0 {
        // SAFETY: the caller guarantees valid arguments.
        unsafe { next(fd, to, length) };
        increment(SOCKET_FAULTS);
        return fail(errno);
    }
    if is_selected(SOCKET_PERMILLE) {
        let errno = next_errno(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR]);
        increment(SOCKET_FAULTS);
        if errno == libc::EINTR as u64 {
            // After EINTR the connection attempt continues in the kernel.
            // SAFETY: the caller guarantees valid arguments.
            unsafe { next(fd, to, length) };
        }
        return fail(errno);
    }
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, to, length) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    from: *mut libc::sockaddr,
    length: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    if is_failing(ACCEPT, fd) {
        return -1;
    }
    if is_selected(SOCKET_PERMILLE) {
        let errno = next_errno(&[libc::ECONNABORTED, libc::ENFILE, libc::EINTR]);
        increment(SOCKET_FAULTS);
        return fail(errno);
    }
    let next = next!(
        c"accept4",
        fn(c_int, *mut libc::sockaddr, *mut libc::socklen_t, c_int) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments.
    let accepted = unsafe { next(fd, from, length, flags) };
    set_origin(accepted, Origin::Accepted);
    accepted
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    if is_failing(RECEIVE, fd) {
        return -1;
    }
    if is_selected(SHORT_PERMILLE) {
        return fail(libc::EINTR as u64) as isize;
    }
    let next = next!(c"recv", fn(c_int, *mut c_void, usize, c_int) -> isize);
    // SAFETY: the caller guarantees valid arguments, and the buffer is valid for a shorter length.
    unsafe { next(fd, bytes, shortened(length), flags) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    fd: c_int,
    bytes: *const c_void,
    length: usize,
    flags: c_int,
) -> isize {
    if is_failing(SEND, fd) {
        return -1;
    }
    if is_selected(SHORT_PERMILLE) {
        return fail(libc::EINTR as u64) as isize;
    }
    let next = next!(c"send", fn(c_int, *const c_void, usize, c_int) -> isize);
    // SAFETY: the caller guarantees valid arguments, and the buffer is valid for a shorter length.
    unsafe { next(fd, bytes, shortened(length), flags) }
}
