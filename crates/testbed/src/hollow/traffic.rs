//! Bytes that a dispatcher reads, counted in windows of 100 ms.

use super::clock::{MILLISECOND, SECOND};
use super::messages::Traffic;
use bellsill_core::interface::Nanos;

const WINDOW: Nanos = 100 * MILLISECOND;
const WINDOWS_IN_THREE_SECONDS: usize = 30;

/// What one dispatcher reads, from a moment on.
pub struct TrafficMeter {
    began: Nanos,
    /// The windows of the last three seconds, by their number modulo the length.
    windows: [u64; WINDOWS_IN_THREE_SECONDS],
    window: u64,
    second: u64,
    in_second: u64,
    traffic: Traffic,
}

impl TrafficMeter {
    pub fn new(now: Nanos) -> Self {
        TrafficMeter {
            began: now,
            windows: [0; WINDOWS_IN_THREE_SECONDS],
            window: 0,
            second: 0,
            in_second: 0,
            traffic: Traffic::default(),
        }
    }

    pub fn read(&mut self, now: Nanos, bytes: usize) {
        self.advance(now);
        self.traffic.bytes += bytes as u64;
        self.in_second += bytes as u64;
        self.windows[self.window as usize % WINDOWS_IN_THREE_SECONDS] += bytes as u64;
        let three_seconds = self.windows.iter().sum();
        self.traffic.largest_three_seconds = self.traffic.largest_three_seconds.max(three_seconds);
    }

    fn advance(&mut self, now: Nanos) {
        let since = now.saturating_sub(self.began);
        let window = since / WINDOW;
        for passed in self.window + 1..=window.min(self.window + WINDOWS_IN_THREE_SECONDS as u64) {
            self.windows[passed as usize % WINDOWS_IN_THREE_SECONDS] = 0;
        }
        self.window = window.max(self.window);
        let second = since / SECOND;
        if second > self.second {
            self.record(self.in_second, 1);
            self.record(0, second - self.second - 1);
            (self.second, self.in_second) = (second, 0);
        }
    }

    fn record(&mut self, bytes: u64, seconds: u64) {
        if seconds > 0 {
            *self.traffic.seconds_by_bytes.entry(bytes).or_default() += seconds;
        }
    }

    /// What was read in all; a last second that is not whole is in the total only.
    pub fn end(&mut self, now: Nanos) -> Traffic {
        self.advance(now);
        self.traffic.dispatcher_seconds = now.saturating_sub(self.began) as f64 / SECOND as f64;
        std::mem::take(&mut self.traffic)
    }
}

impl Traffic {
    pub fn add(&mut self, other: &Traffic) {
        self.bytes += other.bytes;
        self.dispatcher_seconds += other.dispatcher_seconds;
        self.largest_three_seconds = self.largest_three_seconds.max(other.largest_three_seconds);
        for (&bytes, &seconds) in &other.seconds_by_bytes {
            *self.seconds_by_bytes.entry(bytes).or_default() += seconds;
        }
    }

    /// Bytes of a dispatcher in a second, on average.
    pub fn mean(&self) -> f64 {
        self.bytes as f64 / self.dispatcher_seconds.max(f64::MIN_POSITIVE)
    }

    /// Bytes that the given share of seconds do not pass.
    pub fn quantile(&self, share: f64) -> u64 {
        let all: u64 = self.seconds_by_bytes.values().sum();
        let rank = (all as f64 * share).ceil() as u64;
        let mut seen = 0;
        for (&bytes, &seconds) in &self.seconds_by_bytes {
            seen += seconds;
            if seen >= rank {
                return bytes;
            }
        }
        0
    }
}
