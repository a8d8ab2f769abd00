//! The dispatcher's clock, which no step of the wall clock changes, and how its times are translated for the next process.

use bellsill_core::interface::Nanos;
use nix::time::{ClockId, clock_gettime};
use std::time::{SystemTime, UNIX_EPOCH};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// The clock's time at the boot of the machine, 30 days: earlier times have values too, such as that of an attempt before
/// the machine was restarted.
const TIME_AT_BOOT: Nanos = 30 * 24 * 3_600 * NANOS_PER_SECOND;
/// Where Linux names the present boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// The time now: the machine's monotonic clock, which all processes of one boot share.
pub fn now() -> Nanos {
    // The call fails only for clocks that do not exist, and every Linux has this one.
    let since_boot = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(0, |time| {
        time.tv_sec() as Nanos * NANOS_PER_SECOND + time.tv_nsec() as Nanos
    });
    TIME_AT_BOOT + since_boot
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
    /// The id of the boot; `None` where the system has none.
    pub boot_id: Option<String>,
    /// By [`now`].
    pub monotonic: Nanos,
    /// By [`wall_now`].
    pub wall: Nanos,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn take() -> ClockReading {
        let boot_id = std::fs::read_to_string(BOOT_ID_FILE).unwrap_or_default();
        ClockReading {
            boot_id: Some(boot_id.trim().to_string()).filter(|id| !id.is_empty()),
            monotonic: now(),
            wall: wall_now(),
        }
    }

    /// How times on the clock of an earlier reading become times on the clock of this one.
    pub fn translation_from(&self, earlier: &ClockReading) -> Translation {
        let same_boot = self.boot_id.is_some() && self.boot_id == earlier.boot_id;
        if same_boot && self.monotonic >= earlier.monotonic {
            return Translation::Same;
        }
        // A wall clock that was set back in between does not say how much time has passed.
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

/// How times that another process wrote are translated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Translation {
    /// Not at all: it read the same clock.
    Same,
    /// By the wall clock, the only one that both have read.
    ByWallClock {
        /// A time on the clock of the other process.
        from: Nanos,
        /// The same moment on the clock of this one.
        to: Nanos,
    },
}

impl Translation {
    /// Translates one time.
    pub fn apply(self, time: Nanos) -> Nanos {
        match self {
            Translation::Same => time,
            Translation::ByWallClock { from, to } if time >= from => to.saturating_add(time - from),
            Translation::ByWallClock { from, to } => to.saturating_sub(from - time),
        }
    }
}
