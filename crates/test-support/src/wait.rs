//! Polling for a condition that a test expects.

use std::time::{Duration, Instant};

/// Polls until the condition is true. Panics with `what` in the message if that takes more than a minute.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}
