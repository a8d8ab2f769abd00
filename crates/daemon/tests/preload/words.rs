//! The words of the page that a test and the preloaded library share.

/// The size of the page.
pub(crate) const PAGE_BYTES: usize = 4096;
/// By how many seconds the wall clock is stepped, and by how many the monotonic one differs from the machine's.
pub(crate) const WALL_STEP_SECONDS: usize = 0;
pub(crate) const MONOTONIC_SHIFT_SECONDS: usize = 1;
/// The error of every write to a file, zero for none; and whether half of the bytes are written before it.
pub(crate) const WRITE_ERRNO: usize = 2;
pub(crate) const WRITE_HALF: usize = 3;
/// The errors of truncating, opening, removing and renaming files of the state folder, zero for none.
pub(crate) const TRUNCATE_ERRNO: usize = 4;
pub(crate) const OPEN_ERRNO: usize = 5;
pub(crate) const UNLINK_ERRNO: usize = 6;
pub(crate) const RENAME_ERRNO: usize = 7;
/// At the n-th write to a file from now, half of it is written and the process is killed; zero for never.
pub(crate) const KILL_AT_WRITE: usize = 8;
/// Of a thousand calls, how many of `socket`, `connect` and `accept` fail, and how many reads and writes of sockets are
/// interrupted or short.
pub(crate) const SOCKET_PERMILLE: usize = 9;
pub(crate) const SHORT_PERMILLE: usize = 10;
/// The state of the sequence that draws those calls: the seed at first.
pub(crate) const RANDOM_STATE: usize = 11;
/// The library's own mark that half of a write was written.
pub(crate) const HALF_WRITTEN: usize = 12;
/// The error of reading files of the state folder, zero for none.
pub(crate) const READ_ERRNO: usize = 13;
/// The error that every connect answers though it continues, as an interrupted one does; zero for none.
pub(crate) const CONNECT_ERRNO: usize = 14;
/// How many calls failed, by kind.
pub(crate) const WRITE_FAULTS: usize = 16;
pub(crate) const TRUNCATE_FAULTS: usize = 17;
pub(crate) const OPEN_FAULTS: usize = 18;
pub(crate) const SOCKET_FAULTS: usize = 19;
