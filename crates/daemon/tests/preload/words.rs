//! The words of the page that a test and the preloaded library share.

/// The size of the page.
pub const PAGE_BYTES: usize = 4096;
/// By how many seconds the wall clock is stepped.
pub const WALL_STEP_SECONDS: usize = 0;
/// By how many seconds the monotonic clock differs from the machine's.
pub const MONOTONIC_SHIFT_SECONDS: usize = 1;
/// The error of every write to a file, zero for none.
pub const WRITE_ERRNO: usize = 2;
/// Whether half of the bytes are written before that error.
pub const WRITE_HALF: usize = 3;
/// The error of truncating files of the state folder, zero for none.
pub const TRUNCATE_ERRNO: usize = 4;
/// The error of opening them, zero for none.
pub const OPEN_ERRNO: usize = 5;
/// The error of removing them, zero for none.
pub const UNLINK_ERRNO: usize = 6;
/// The error of renaming them, zero for none.
pub const RENAME_ERRNO: usize = 7;
/// At the n-th write to a file from now, half of it is written and the process is killed; zero for never.
pub const KILL_AT_WRITE: usize = 8;
/// Of a thousand calls of `socket`, `connect` and `accept`, how many fail.
pub const SOCKET_PERMILLE: usize = 9;
/// Of a thousand reads and writes of sockets, how many are interrupted or short.
pub const SHORT_PERMILLE: usize = 10;
/// The state of the sequence that draws those calls: the seed at first.
pub const RANDOM_STATE: usize = 11;
/// The library's own mark that half of a write was written.
pub const HALF_WRITTEN: usize = 12;
/// The error of reading files of the state folder, zero for none.
pub const READ_ERRNO: usize = 13;
/// The error that every connect answers though it continues, as an interrupted one does; zero for none.
pub const CONNECT_ERRNO: usize = 14;
/// How many writes failed.
pub const WRITE_FAULTS: usize = 16;
/// How many calls that truncate a file failed.
pub const TRUNCATE_FAULTS: usize = 17;
/// How many calls that open a file failed.
pub const OPEN_FAULTS: usize = 18;
/// How many calls on sockets failed.
pub const SOCKET_FAULTS: usize = 19;
