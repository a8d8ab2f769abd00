//! The dispatcher's monotonic clock, which steps of the wall clock do not affect, and the conversion of its times for
//! another process.

use crate::start_retry;
use bellsill_core::interface::Nanos;
use nix::time::{ClockId, clock_gettime};
use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// A millisecond, in nanoseconds.
pub(crate) const NANOS_PER_MS: Nanos = 1_000_000;
/// The clock's value at the boot of the machine: 30 days, so that times before the boot can be represented too, such as
/// that of an attempt before a restart of the machine.
const TIME_AT_BOOT: Nanos = 30 * 24 * 3_600 * NANOS_PER_SECOND;
/// The file in which Linux provides the id of the current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The current time on the machine's monotonic clock, which all processes of one boot share.
pub fn now() -> Nanos {
    // The call fails only for clocks that do not exist, and every Linux kernel has this one.
    let since_boot = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |time| {
        time.tv_sec() as Nanos * NANOS_PER_SECOND + time.tv_nsec() as Nanos
    });
    TIME_AT_BOOT + since_boot
}

/// The current time on the wall clock, in nanoseconds of Unix time.
pub fn wall_now() -> Nanos {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as Nanos
}

/// The times of both clocks at one moment, and the boot during which they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The id of the boot; `None` if the system provides none.
    pub boot_id: Option<String>,
    /// The time by [`now`].
    pub monotonic: Nanos,
    /// The time by [`wall_now`].
    pub wall: Nanos,
}

impl ClockReading {
    /// Reads both clocks and the boot id. An error means that the boot id exists but cannot be read at present; taken for
    /// none, it would be that of another boot.
    pub fn read() -> io::Result<ClockReading> {
        let boot_id = match std::fs::read_to_string(BOOT_ID_FILE) {
            Err(e) if start_retry::is_transient(&e) => return Err(e),
            result => result.unwrap_or_default(),
        };
        Ok(ClockReading {
            boot_id: Some(boot_id.trim().to_string()).filter(|id| !id.is_empty()),
            monotonic: now(),
            wall: wall_now(),
        })
    }

    /// The conversion of times on the clock of an earlier reading to the clock of this one.
    pub fn translation_from(&self, earlier: &ClockReading) -> Translation {
        let same_boot = self.boot_id.is_some() && self.boot_id == earlier.boot_id;
        if same_boot && self.monotonic >= earlier.monotonic {
            return Translation::Same;
        }
        // If the wall clock was set back in between, the elapsed time is unknown and taken as zero.
        let elapsed = self.wall.saturating_sub(earlier.wall);
        Translation::ByWallClock {
            from: earlier.monotonic.saturating_add(elapsed),
            to: self.monotonic,
        }
    }

    /// The conversion of times on the wall clock to the clock of this reading.
    pub fn translation_from_wall(&self) -> Translation {
        Translation::ByWallClock {
            from: self.wall,
            to: self.monotonic,
        }
    }
}

/// A conversion of times that another process has written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Translation {
    /// No change: both processes read the same clock.
    Same,
    /// Times are converted by the wall clock, the only clock that both processes have in common.
    ByWallClock {
        /// A time on the clock of the other process.
        from: Nanos,
        /// The time on the clock of this process at the same moment.
        to: Nanos,
    },
}

impl Translation {
    /// Converts a time.
    pub fn apply(self, time: Nanos) -> Nanos {
        match self {
            Translation::Same => time,
            Translation::ByWallClock { from, to } if time >= from => to.saturating_add(time - from),
            Translation::ByWallClock { from, to } => to.saturating_sub(from - time),
        }
    }
}
