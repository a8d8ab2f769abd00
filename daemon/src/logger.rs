//! A small logger: one line a record on standard error, with the time in the shape 1789999999.123.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

impl Log for Logger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }
    fn log(&self, record: &Record) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let text = record.args().to_string().replace(['\n', '\r'], " ");
        let (s, ms) = (now.as_secs(), now.subsec_millis());
        // A log that can no longer be written must not end the dispatcher.
        let _ = writeln!(std::io::stderr(), "{s}.{ms:03} {:5} {text}", record.level());
    }
    fn flush(&self) {}
}

/// Starts logging; a second start changes only the level.
pub fn start(level: LevelFilter) {
    let _ = log::set_logger(&Logger);
    log::set_max_level(level);
}
