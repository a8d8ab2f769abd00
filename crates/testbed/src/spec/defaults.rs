//! Default values of fields that an experiment leaves out.

pub(super) fn one_seed() -> Vec<u64> {
    vec![1]
}

pub(super) fn late_ms() -> f64 {
    20.0
}

pub(super) fn list_lag_ms() -> [f64; 2] {
    [500.0, 2_000.0]
}

pub(super) fn headroom() -> f64 {
    2.0
}

pub(super) fn queue() -> f64 {
    4.0
}

pub(super) fn span_ms() -> f64 {
    1_000.0
}

pub(super) fn half() -> f64 {
    0.5
}

pub(super) fn told_ms() -> [f64; 2] {
    [300.0, 900.0]
}

pub(super) fn connections() -> usize {
    512
}

pub(super) fn handshake_ms() -> f64 {
    3.0
}

pub(super) fn pace() -> [f64; 2] {
    [0.8, 1.5]
}

pub(super) fn one() -> f64 {
    1.0
}

pub(super) fn late_share() -> f64 {
    0.4
}

pub(super) fn window_ms() -> f64 {
    8_000.0
}

pub(super) fn burst_size() -> usize {
    20
}

pub(super) fn retries() -> u32 {
    2
}

pub(super) fn retry_ms() -> [f64; 2] {
    [300.0, 900.0]
}

pub(super) fn answer_ms() -> f64 {
    400.0
}

pub(super) fn body_bytes() -> usize {
    120
}
