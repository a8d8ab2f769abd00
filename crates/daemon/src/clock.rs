//! The dispatcher's clock, which no step of the wall clock moves, and how its times are carried to the next process.

use bellsill_core::interface::Nanos;
use nix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

/// The clock's time at the machine's start: times from before it can still be told, such as an attempt of a process that
/// ran before the machine was started anew.
const AT_BOOT: Nanos = 30 * 24 * 3_600 * 1_000_000_000;
/// Where Linux tells which boot this is.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The time now: the machine's monotonic clock, which all processes of one boot share.
pub fn now() -> Nanos {
    // The call fails for clocks that do not exist alone; this one does on every Linux.
    let time = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |time| {
        time.tv_sec() as Nanos * 1_000_000_000 + time.tv_nsec() as Nanos
    });
    AT_BOOT + time
}

/// The wall clock, in nanoseconds of Unix time.
pub fn wall_now() -> Nanos {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_nanos() as Nanos
}

/// Both clocks at one moment, and the boot in which they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Empty where the system does not tell.
    pub boot: String,
    pub monotonic: Nanos,
    pub wall: Nanos,
}

impl ClockReading {
    pub fn take() -> ClockReading {
        let boot = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        ClockReading {
            boot: boot.trim().to_string(),
            monotonic: now(),
            wall: wall_now(),
        }
    }

    /// How times on the clock of an earlier reading become times on the clock of this one.
    pub fn translation_from(&self, earlier: &ClockReading) -> Translation {
        let same_boot = !self.boot.is_empty() && self.boot == earlier.boot;
        if same_boot && self.monotonic >= earlier.monotonic {
            return Translation::Same;
        }
        // A wall clock that was set back in between tells nothing of how long it was.
        let elapsed = self.wall.saturating_sub(earlier.wall);
        Translation::ByWallClock {
            from: earlier.monotonic.saturating_add(elapsed),
            to: self.monotonic,
        }
    }

    /// How times on the wall clock become times on the clock of this reading.
    pub fn translation_from_wall(&self) -> Translation {
        Translation::ByWallClock {
            from: self.wall,
            to: self.monotonic,
        }
    }
}

/// How times that another process wrote are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Translation {
    /// It read the same clock.
    Same,
    /// The wall clock is all that both have read: `from` there is `to` here.
    ByWallClock { from: Nanos, to: Nanos },
}

impl Translation {
    pub fn apply(self, time: Nanos) -> Nanos {
        match self {
            Translation::Same => time,
            Translation::ByWallClock { from, to } if time >= from => to.saturating_add(time - from),
            Translation::ByWallClock { from, to } => to.saturating_sub(from - time),
        }
    }
}
