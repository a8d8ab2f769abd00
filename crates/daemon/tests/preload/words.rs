//! The words of the page that a test and the preloaded library share.

/// The size of the page.
pub const PAGE_BYTES: usize = 4096;
/// By how many seconds the wall clock is stepped, and by how many the monotonic one differs from the machine's.
pub const WALL_STEP_SECONDS: usize = 0;
pub const MONOTONIC_SHIFT_SECONDS: usize = 1;
/// The error of every write to a file, nought for none; and whether half of the bytes are written before it.
pub const WRITE_ERRNO: usize = 2;
pub const WRITE_HALF: usize = 3;
/// The errors of truncating, opening, removing and renaming files of the folder that lasts, nought for none.
pub const TRUNCATE_ERRNO: usize = 4;
pub const OPEN_ERRNO: usize = 5;
pub const UNLINK_ERRNO: usize = 6;
pub const RENAME_ERRNO: usize = 7;
/// At the so many-th write to a file from now, half of it is written and the process is killed; nought for never.
pub const KILL_AT_WRITE: usize = 8;
/// Of a thousand calls, how many of `socket`, `connect` and `accept` fail, and how many reads and writes of sockets are
/// interrupted or short.
pub const SOCKET_PERMILLE: usize = 9;
pub const SHORT_PERMILLE: usize = 10;
/// The state of the sequence that draws those calls: the seed at first.
pub const RANDOM_STATE: usize = 11;
/// The library's own mark that half of a write was written.
pub const HALF_WRITTEN: usize = 12;
/// The error of reading files of the folder that lasts, nought for none.
pub const READ_ERRNO: usize = 13;
/// The error that every connect answers though it goes on, as an interrupted one does; nought for none.
pub const CONNECT_ERRNO: usize = 14;
/// How many calls failed, by kind.
pub const WRITE_FAULTS: usize = 16;
pub const TRUNCATE_FAULTS: usize = 17;
pub const OPEN_FAULTS: usize = 18;
pub const SOCKET_FAULTS: usize = 19;
