//! Waiting for what a test expects.

use std::time::{Duration, Instant};

/// Waits for a condition to become true. It fails only if that does not happen within a minute.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let from = Instant::now();
    while !done() {
        assert!(
            from.elapsed() < Duration::from_secs(60),
            "never came: {what}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}
