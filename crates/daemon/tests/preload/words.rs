//! The layout of the page that a test shares with the preloaded library: the indexes of its 64-bit words.

/// The size of the page, in bytes.
pub const PAGE_BYTES: usize = 4096;
/// The offset of the wall clock from the machine's, in seconds.
pub const WALL_STEP_SECONDS: usize = 0;
/// The offset of the monotonic clock from the machine's, in seconds.
pub const MONOTONIC_SHIFT_SECONDS: usize = 1;
/// The error number with which every write to a file fails; zero for none.
pub const WRITE_ERRNO: usize = 2;
/// Whether half of the bytes are written before a write fails.
pub const WRITE_HALF: usize = 3;
/// The error number with which truncating a file fails; zero for none.
pub const TRUNCATE_ERRNO: usize = 4;
/// The error number with which opening a file of the state directory fails; zero for none.
pub const OPEN_ERRNO: usize = 5;
/// The error number with which removing a file of the state directory fails; zero for none.
pub const UNLINK_ERRNO: usize = 6;
/// The error number with which renaming a file into the state directory fails; zero for none.
pub const RENAME_ERRNO: usize = 7;
/// At the n-th write to a file from now, half of the bytes are written and the process is killed; zero for never.
pub const KILL_AT_WRITE: usize = 8;
/// How many of a thousand calls of `socket`, `connect` and `accept4` fail.
pub const SOCKET_PERMILLE: usize = 9;
/// How many of a thousand calls of `recv` and `send` are interrupted, and how many of the others are short.
pub const SHORT_PERMILLE: usize = 10;
/// The state of the pseudo-random sequence that selects those calls; initially the seed.
pub const RANDOM_STATE: usize = 11;
/// Set by the library after it has written half of a write, until the caller's next write has failed.
pub const HALF_WRITTEN: usize = 12;
/// The error number with which reading a file of the state directory fails; zero for none.
pub const READ_ERRNO: usize = 13;
/// The error number that every `connect` returns although the connection attempt continues, as after a signal; zero for
/// none.
pub const CONNECT_ERRNO: usize = 14;
/// The number of writes that the library made fail.
pub const WRITE_FAULTS: usize = 16;
/// The number of truncations that the library made fail.
pub const TRUNCATE_FAULTS: usize = 17;
/// The number of calls that open, read, remove or rename a file that the library made fail.
pub const FILE_CALL_FAULTS: usize = 18;
/// The number of `socket`, `connect` and `accept4` calls that the library made fail.
pub const SOCKET_FAULTS: usize = 19;

/// The first of the words of [`TransientCall`]s: three for each kind of call.
const TRANSIENT_WORDS: usize = 32;
/// How many of a thousand calls of each kind of [`TransientCall`] fail.
pub const TRANSIENT_PERMILLE: usize = 20;
/// The number of calls of [`TransientCall`]s that the library made fail.
pub const TRANSIENT_FAULTS: usize = 21;

/// A kind of system call that can be made to fail for a moment. The test sets how many calls fail, with which error
/// number, and on which sockets.
#[derive(Clone, Copy)]
pub struct TransientCall {
    index: usize,
    /// An error number that the system documents for the call, used for calls selected at random.
    pub documented_errno: i32,
}

impl TransientCall {
    /// The word with the error number.
    pub const fn errno_word(self) -> usize {
        TRANSIENT_WORDS + 3 * self.index
    }

    /// The word with the number of calls that still fail.
    pub const fn remaining_word(self) -> usize {
        TRANSIENT_WORDS + 3 * self.index + 1
    }

    /// The word with the origin of the sockets on which calls fail: one of [`ANY_SOCKET`], [`ACCEPTED_SOCKETS`] and
    /// [`CREATED_SOCKETS`].
    pub const fn origin_word(self) -> usize {
        TRANSIENT_WORDS + 3 * self.index + 2
    }
}

/// Calls fail on all descriptors.
pub const ANY_SOCKET: u64 = 0;
/// Calls fail only on connections that were accepted from a listener.
pub const ACCEPTED_SOCKETS: u64 = 1;
/// Calls fail only on sockets that the process has created, such as connections to endpoints.
pub const CREATED_SOCKETS: u64 = 2;

const fn transient_call(index: usize, documented_errno: i32) -> TransientCall {
    TransientCall {
        index,
        documented_errno,
    }
}

/// `recv`; fails with `ENOMEM`.
pub const RECEIVE: TransientCall = transient_call(0, 12);
/// `send`; fails with `ENOBUFS`.
pub const SEND: TransientCall = transient_call(1, 105);
/// `epoll_ctl` with `EPOLL_CTL_ADD`; fails with `ENOSPC`.
pub const POLL_ADD: TransientCall = transient_call(2, 28);
/// `epoll_ctl` with `EPOLL_CTL_MOD`; fails with `ENOMEM`.
pub const POLL_MODIFY: TransientCall = transient_call(3, 12);
/// `epoll_wait`; fails with `EINTR`.
pub const POLL_WAIT: TransientCall = transient_call(4, 4);
/// `ioctl`, which makes an accepted socket non-blocking; fails with `ENOMEM`.
pub const SET_NONBLOCKING: TransientCall = transient_call(5, 12);
/// `shutdown`; fails with `ENOBUFS`.
pub const SHUT_DOWN: TransientCall = transient_call(6, 105);
/// `accept4`; fails with `EMFILE`.
pub const ACCEPT: TransientCall = transient_call(7, 24);
/// `flock`; fails with `ENOLCK`.
pub const LOCK: TransientCall = transient_call(8, 37);
/// `read` of what is not a regular file, such as a pipe; fails with `EIO`.
pub const READ_PIPE: TransientCall = transient_call(9, 5);
/// `open` of a file outside the state directory, such as the configuration; fails with `EMFILE`.
pub const OPEN_ELSEWHERE: TransientCall = transient_call(10, 24);
/// `getsockopt`; fails with `ENOBUFS`.
pub const GET_OPTION: TransientCall = transient_call(11, 105);
/// `epoll_create1`; fails with `EMFILE`.
pub const POLL_CREATE: TransientCall = transient_call(12, 24);
/// `socketpair`; fails with `ENFILE`.
pub const SOCKET_PAIR: TransientCall = transient_call(13, 23);
/// The status of a file by its path; fails with `EIO`.
pub const STATUS: TransientCall = transient_call(14, 5);

/// `open` of the file with the id of the machine's boot; fails with `ENFILE`.
pub const OPEN_BOOT_ID: TransientCall = transient_call(15, 23);
/// `open` of a directory, to list its files; fails with `EMFILE`.
pub const LIST_DIRECTORY: TransientCall = transient_call(16, 24);

/// The calls that fail at random by [`TRANSIENT_PERMILLE`].
pub const RANDOM_CALLS: [TransientCall; 12] = [
    RECEIVE,
    SEND,
    POLL_ADD,
    POLL_MODIFY,
    SET_NONBLOCKING,
    SHUT_DOWN,
    ACCEPT,
    LOCK,
    READ_PIPE,
    OPEN_ELSEWHERE,
    GET_OPTION,
    LIST_DIRECTORY,
];
