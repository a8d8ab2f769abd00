//! A logger that writes one line per record to standard error, with a Unix timestamp such as 1789999999.123.

use log::{LevelFilter, Log, Metadata, Record};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

const STANDARD_ERROR: &str = "/proc/self/fd/2";
/// A write of up to this length to a pipe is atomic (Linux's `PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4096;

struct Logger {
    /// A separate, non-blocking file description of standard error if it is a pipe.
    pipe: Option<File>,
    /// The number of lines dropped since the last one that was written.
    dropped_lines: AtomicU64,
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
        let dropped_lines = self.dropped_lines.load(Ordering::Relaxed);
        if dropped_lines > 0 {
            text += &format!(" ({dropped_lines} earlier lines were dropped)");
        }
        let (seconds, millis) = (now.as_secs(), now.subsec_millis());
        let mut line = format!("{seconds}.{millis:03} {:5} {text}", record.level()).into_bytes();
        line.truncate(MAX_LINE_BYTES - 1);
        line.push(b'\n');
        // A blocking write to a full pipe would stop the dispatcher, which has a single thread. The line is dropped and
        // counted instead, so the log has a gap when the log collector hangs or is stopped.
        let written = match &self.pipe {
            Some(pipe) => (&*pipe).write(&line).map(drop),
            None => std::io::stderr().write_all(&line),
        };
        match written {
            Err(e) if e.kind() == ErrorKind::WouldBlock => self
                .dropped_lines
                .store(dropped_lines + 1, Ordering::Relaxed),
            _ => self.dropped_lines.store(0, Ordering::Relaxed),
        }
    }

    fn flush(&self) {}
}

/// Installs the logger at the given level. A second call changes only the level.
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
        dropped_lines: AtomicU64::new(0),
    };
    // Fails if a logger is already installed.
    log::set_boxed_logger(Box::new(logger)).ok();
    log::set_max_level(level);
}
