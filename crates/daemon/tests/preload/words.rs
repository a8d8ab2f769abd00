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
