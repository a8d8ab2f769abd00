//! Default values of the sections `dispatchers` and `rules`.

use super::format::{Dispatchers, Rules};

impl Default for Dispatchers {
    fn default() -> Self {
        Dispatchers {
            count: 3,
            slots_times: 3.0,
            hold_s: 10.0,
            slots: None,
            hold: None,
            max_connects: 8,
            connect_timeout_ms: 1_000.0,
            keep_alive_ms: 15_000.0,
            max_come_back_ms: 2_000.0,
            memory_mb: 192,
            sockets: 1024,
            disk_mb: 32,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 2_000.0,
            cold_share: 0.2,
            ramp_ms: 10_000.0,
            tip_multiple: 2.0,
            tip_window_ms: 2_000.0,
            key_rest_ms: 100.0,
        }
    }
}
