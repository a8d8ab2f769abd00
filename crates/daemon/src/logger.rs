//! A small logger: one line a record on standard error, with the time in the shape 1789999999.123.

use log::{LevelFilter, Log, Metadata, Record};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// Linux's O_NONBLOCK.
const NON_BLOCKING: i32 = 0o4000;
/// A pipe takes a line of this length whole or not at all.
const LINE_MOST: usize = 4096;

struct Logger {
    /// Standard error opened once more where it is a pipe, so that writing to it never waits.
    pipe: Option<File>,
    lost: AtomicU64,
}

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut text = record.args().to_string().replace(['\n', '\r'], " ");
        let lost = self.lost.load(Ordering::Relaxed);
        if lost > 0 {
            text += &format!(" ({lost} lines before this one were lost)");
        }
        let (s, ms) = (now.as_secs(), now.subsec_millis());
        let mut line = format!("{s}.{ms:03} {:5} {text}", record.level()).into_bytes();
        line.truncate(LINE_MOST - 1);
        line.push(b'\n');
        // One thread does all: with a full pipe that nobody reads, a waiting write would stop the dispatcher, so the
        // line is lost instead and counted. It covers a log collector that hangs or is stopped; the harm is a gap.
        let written = match &self.pipe {
            Some(pipe) => (&*pipe).write(&line).map(drop),
            None => std::io::stderr().write_all(&line),
        };
        match written {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.lost.store(lost + 1, Ordering::Relaxed)
            }
            _ => self.lost.store(0, Ordering::Relaxed),
        }
    }

    fn flush(&self) {}
}

/// Starts logging; a second start changes only the level.
pub fn start(level: LevelFilter) {
    let is_pipe = std::fs::metadata(STANDARD_ERROR).is_ok_and(|m| m.file_type().is_fifo());
    let open = || {
        OpenOptions::new()
            .write(true)
            .custom_flags(NON_BLOCKING)
            .open(STANDARD_ERROR)
            .ok()
    };
    let pipe = is_pipe.then(open).flatten();
    let _ = log::set_boxed_logger(Box::new(Logger {
        pipe,
        lost: AtomicU64::new(0),
    }));
    log::set_max_level(level);
}
