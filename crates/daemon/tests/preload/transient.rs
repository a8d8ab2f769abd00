//! Calls that fail for a moment: a number of them set by the test, or some selected at random.

use crate::next_symbol;
use crate::page::{fail, increment, is_selected, load_word, word};
use crate::words::{
    ACCEPTED_SOCKETS, CREATED_SOCKETS, GET_OPTION, LIST_DIRECTORY, LOCK, POLL_ADD, POLL_CREATE,
    POLL_MODIFY, POLL_WAIT, RANDOM_CALLS, SET_NONBLOCKING, SHUT_DOWN, SOCKET_PAIR, STATUS,
    TRANSIENT_FAULTS, TRANSIENT_PERMILLE, TransientCall,
};
use std::ffi::{c_char, c_int, c_uint, c_ulong, c_void};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};

/// Descriptors above this number have no recorded origin.
const MAX_DESCRIPTORS: usize = 4096;

/// How a socket came to be.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Origin {
    Accepted = ACCEPTED_SOCKETS as isize,
    Created = CREATED_SOCKETS as isize,
}

static ORIGINS: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(0) }; MAX_DESCRIPTORS];

/// Records the origin of a new socket.
pub(crate) fn set_origin(fd: c_int, origin: Origin) {
    if let Some(word) = usize::try_from(fd).ok().and_then(|fd| ORIGINS.get(fd)) {
        word.store(origin as u8, Ordering::SeqCst);
    }
}

fn has_origin(fd: c_int, wanted: u64) -> bool {
    let origin = usize::try_from(fd).ok().and_then(|fd| ORIGINS.get(fd));
    wanted == 0 || origin.is_some_and(|origin| u64::from(origin.load(Ordering::SeqCst)) == wanted)
}

/// Whether this call on a descriptor fails now; then `errno` is set.
pub(crate) fn is_failing(call: TransientCall, fd: c_int) -> bool {
    has_origin(fd, load_word(call.origin_word())) && is_failing_anywhere(call)
}

/// Whether this call fails now, whatever it refers to; then `errno` is set.
pub(crate) fn is_failing_anywhere(call: TransientCall) -> bool {
    let errno = if takes_one(call) {
        load_word(call.errno_word())
    } else if is_random(call) && is_selected(TRANSIENT_PERMILLE) {
        call.documented_errno as u64
    } else {
        return false;
    };
    increment(TRANSIENT_FAULTS);
    fail(errno);
    true
}

fn is_random(call: TransientCall) -> bool {
    RANDOM_CALLS
        .iter()
        .any(|random| random.errno_word() == call.errno_word())
}

/// Takes one from the number of calls that still fail; false if there are none.
fn takes_one(call: TransientCall) -> bool {
    let take = |remaining: u64| remaining.checked_sub(1);
    word(call.remaining_word()).is_some_and(|word| {
        word.fetch_update(Ordering::SeqCst, Ordering::SeqCst, take)
            .is_ok()
    })
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn epoll_ctl(
    poller: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    let is_failing = match operation {
        libc::EPOLL_CTL_ADD => is_failing(POLL_ADD, fd),
        libc::EPOLL_CTL_MOD => is_failing(POLL_MODIFY, fd),
        _ => false,
    };
    if is_failing {
        return -1;
    }
    let next = next!(
        c"epoll_ctl",
        fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(poller, operation, fd, event) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn epoll_wait(
    poller: c_int,
    events: *mut libc::epoll_event,
    count: c_int,
    timeout: c_int,
) -> c_int {
    if is_failing_anywhere(POLL_WAIT) {
        return -1;
    }
    let next = next!(
        c"epoll_wait",
        fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(poller, events, count, timeout) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn epoll_create1(flags: c_int) -> c_int {
    if is_failing_anywhere(POLL_CREATE) {
        return -1;
    }
    let next = next!(c"epoll_create1", fn(c_int) -> c_int);
    // SAFETY: the caller guarantees a valid argument.
    unsafe { next(flags) }
}

/// # Safety
/// The same as for the C library's function, which takes one argument after the request.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn ioctl(fd: c_int, request: c_ulong, argument: *mut c_void) -> c_int {
    if request == libc::FIONBIO && is_failing(SET_NONBLOCKING, fd) {
        return -1;
    }
    let next = next!(c"ioctl", fn(c_int, c_ulong, *mut c_void) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, request, argument) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn shutdown(fd: c_int, how: c_int) -> c_int {
    if is_failing(SHUT_DOWN, fd) {
        return -1;
    }
    let next = next!(c"shutdown", fn(c_int, c_int) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, how) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn flock(fd: c_int, operation: c_int) -> c_int {
    if is_failing_anywhere(LOCK) {
        return -1;
    }
    let next = next!(c"flock", fn(c_int, c_int) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, operation) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn getsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *mut c_void,
    length: *mut libc::socklen_t,
) -> c_int {
    if is_failing(GET_OPTION, fd) {
        return -1;
    }
    let next = next!(
        c"getsockopt",
        fn(c_int, c_int, c_int, *mut c_void, *mut libc::socklen_t) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(fd, level, name, value, length) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn socketpair(
    domain: c_int,
    kind: c_int,
    protocol: c_int,
    pair: *mut c_int,
) -> c_int {
    if is_failing_anywhere(SOCKET_PAIR) {
        return -1;
    }
    let next = next!(c"socketpair", fn(c_int, c_int, c_int, *mut c_int) -> c_int);
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(domain, kind, protocol, pair) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn opendir(path: *const c_char) -> *mut libc::DIR {
    if is_failing_anywhere(LIST_DIRECTORY) {
        return std::ptr::null_mut();
    }
    let next = next!(c"opendir", fn(*const c_char) -> *mut libc::DIR);
    // SAFETY: the caller guarantees a valid argument.
    unsafe { next(path) }
}

/// # Safety
/// The same as for the C library's function.
#[unsafe(no_mangle)]
pub(crate) unsafe extern "C" fn statx(
    directory: c_int,
    path: *const c_char,
    flags: c_int,
    mask: c_uint,
    status: *mut libc::statx,
) -> c_int {
    if is_failing_anywhere(STATUS) {
        return -1;
    }
    let next = next!(
        c"statx",
        fn(c_int, *const c_char, c_int, c_uint, *mut libc::statx) -> c_int
    );
    // SAFETY: the caller guarantees valid arguments.
    unsafe { next(directory, path, flags, mask, status) }
}
