//! What all measurements share: the stand-ins, the place of the measured program, and the sizes.

use super::peers::Peers;
use super::process::Place;
use super::traffic::Traffic;

/// The bytes of a message's body, here and at the full size.
pub const BODY_BYTES: usize = 512;

/// At which sizes what is measured. Every list holds four sizes or more in a full run.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Destinations known at a start, and to the decisions alone.
    pub known: Vec<u32>,
    /// One start far beyond them.
    pub large_start: Option<u32>,
    /// Destinations that serve where something else varies.
    pub serving: u32,
    pub message_known: Vec<u32>,
    pub message_held: Vec<u32>,
    pub message_down: Vec<u32>,
    /// Messages measured at each size, through a process and through the decisions alone.
    pub messages: usize,
    /// Processes measured one after the other at each size; the median counts.
    pub repeats: usize,
    pub decisions: u32,
    /// Destinations known where lists are told, and how many lists of each kind.
    pub change_known: Vec<u32>,
    pub changes: u32,
    pub wholes: u32,
    /// Whole lists told over the watch to a dispatcher that knows nothing.
    pub whole_lines: Vec<u32>,
    pub held: Vec<u32>,
    pub dispatchers: Vec<u32>,
    pub traffic: Traffic,
}

impl Sizes {
    /// The sizes of the scale test.
    pub fn full() -> Sizes {
        Sizes {
            known: vec![1_000, 10_000, 30_000, 60_000, 100_000],
            large_start: Some(730_000),
            serving: 100,
            message_known: vec![1_000, 10_000, 30_000, 60_000, 100_000],
            message_held: vec![0, 1_000, 5_000, 15_000, 40_000],
            message_down: vec![0, 100, 200, 400, 800],
            messages: 1_500,
            repeats: 3,
            decisions: 2_000,
            change_known: vec![1_000, 10_000, 30_000, 60_000],
            changes: 200,
            wholes: 8,
            whole_lines: vec![60_000, 100_000],
            held: vec![1_000, 5_000, 20_000, 50_000],
            dispatchers: vec![2, 3, 30, 300, 1_900],
            traffic: Traffic {
                destinations: 200,
                down: 10,
                messages_per_second: 384.0,
                seconds: 120,
                seed: 1,
            },
        }
    }

    /// Sizes that show no more than that every part runs.
    pub fn tiny() -> Sizes {
        Sizes {
            known: vec![10, 20, 40, 80],
            large_start: Some(200),
            serving: 10,
            message_known: vec![10, 20, 40, 80],
            message_held: vec![0, 10, 20, 40],
            message_down: vec![0, 5, 10, 20],
            messages: 40,
            repeats: 1,
            decisions: 40,
            change_known: vec![10, 20, 40, 80],
            changes: 3,
            wholes: 2,
            whole_lines: vec![40],
            held: vec![10, 20, 40, 80],
            dispatchers: vec![1, 3, 10, 30],
            traffic: Traffic {
                destinations: 20,
                down: 2,
                messages_per_second: 40.0,
                seconds: 10,
                seed: 1,
            },
        }
    }
}

/// What a measurement is made with.
pub struct Bench {
    pub place: Place,
    pub peers: Peers,
    pub sizes: Sizes,
    /// Messages a second handed to a process.
    pub rate: f64,
}

impl Bench {
    /// The body of every message.
    pub fn body(&self) -> Vec<u8> {
        vec![b'.'; BODY_BYTES]
    }
}
