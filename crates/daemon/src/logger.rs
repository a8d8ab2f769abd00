//! A small logger: one line per record on standard error, with the time in the form 1789999999.123.

use log::{LevelFilter, Log, Metadata, Record};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// A pipe takes a line of this length completely or not at all (Linux's `PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4096;

struct Logger {
    /// Standard error opened a second time where it is a pipe, so that writing to it never blocks.
    pipe: Option<File>,
    /// Lines that were lost since the last one that was written.
    lost_lines: AtomicU64,
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
        let lost_lines = self.lost_lines.load(Ordering::Relaxed);
        if lost_lines > 0 {
            text += &format!(" ({lost_lines} lines before this one were lost)");
        }
        let (seconds, millis) = (now.as_secs(), now.subsec_millis());
        let mut line = format!("{seconds}.{millis:03} {:5} {text}", record.level()).into_bytes();
        line.truncate(MAX_LINE_BYTES - 1);
        line.push(b'\n');
        // The dispatcher has one thread: with a full pipe that nobody reads, a blocking write would stop it. Such a line is
        // dropped and counted instead, which leaves a gap when the log collector hangs or is stopped.
        let written = match &self.pipe {
            Some(pipe) => (&*pipe).write(&line).map(drop),
            None => std::io::stderr().write_all(&line),
        };
        match written {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.lost_lines.store(lost_lines + 1, Ordering::Relaxed)
            }
            _ => self.lost_lines.store(0, Ordering::Relaxed),
        }
    }

    fn flush(&self) {}
}

/// Starts logging at this level. A second call changes only the level.
pub fn start(level: LevelFilter) {
    let is_pipe = std::fs::metadata(STANDARD_ERROR).is_ok_and(|m| m.file_type().is_fifo());
    let open = || {
        OpenOptions::new()
            .write(true)
            .custom_flags(libc::O_NONBLOCK)
            .open(STANDARD_ERROR)
            .ok()
    };
    let pipe = is_pipe.then(open).flatten();
    let logger = Logger {
        pipe,
        lost_lines: AtomicU64::new(0),
    };
    // It fails where a logger is set already.
    log::set_boxed_logger(Box::new(logger)).ok();
    log::set_max_level(level);
}
