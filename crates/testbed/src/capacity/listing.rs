//! The configuration of a dispatcher under measurement, and lists of destinations with one endpoint each.

use serde::Serialize;
use serde_json::json;
use std::net::SocketAddr;

/// The one queue class of all measured messages; a repeat does no harm, so nothing is bounced early.
pub const CLASS: &str = "event";
/// How long a message may wait.
pub const LIFETIME_MS: u64 = 3_600_000;
const ZONE: &str = "zone-01";
const KIND: &str = "partner";
/// Settings that bind nothing here: retries, messages held and disk.
const ATTEMPTS_MOST: u32 = 1_000_000;
const HELD_MOST: u32 = 4_000_000;
const DISK_MB: u32 = 8_000;
const SOCKETS: u32 = 2_000;
const SLOTS: u32 = 64;
/// The dispatchers that each is told to be one of, as at the full size.
const DISPATCHERS: u32 = 1_900;

/// A destination, by where its one endpoint listens.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    pub number: u64,
    pub endpoint: SocketAddr,
}

/// An entry of the list as discovery writes it.
#[derive(Serialize)]
struct ListedEndpoint {
    id: String,
    addr: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: u64,
    state: &'static str,
}

/// One line of the watch.
#[derive(Serialize)]
struct ListLine {
    version: u64,
    full: bool,
    servers: Vec<ListedEndpoint>,
}

/// Whether a list names all destinations or only those that changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    Whole,
    Change,
}

/// A list as one line of JSON, without its line end.
pub fn line(version: u64, extent: Extent, destinations: &[Destination]) -> String {
    let entry = |destination: &Destination| ListedEndpoint {
        id: format!("d{:07}-1", destination.number),
        addr: destination.endpoint,
        zone: ZONE,
        kind: KIND,
        cell: destination.number,
        state: "up",
    };
    let servers = destinations.iter().map(entry).collect();
    let line = ListLine {
        version,
        full: extent == Extent::Whole,
        servers,
    };
    serde_json::to_string(&line).unwrap_or_default()
}

/// Destinations numbered from 1, spread over these endpoints.
pub fn destinations(count: u32, endpoints: &[SocketAddr]) -> Vec<Destination> {
    let at = |number: u64| Destination {
        number,
        endpoint: endpoints[number as usize % endpoints.len()],
    };
    (1..=u64::from(count)).map(at).collect()
}

/// Where a dispatcher listens and whom it asks.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub listen: SocketAddr,
    pub operators: SocketAddr,
    pub platform: SocketAddr,
}

/// The configuration file of a dispatcher that knows these destinations at its start.
pub fn configuration(addresses: Addresses, known: &[Destination]) -> String {
    let rest = json!({
        "name": "capacity",
        "listen": addresses.listen,
        "mgmt": addresses.operators,
        "discovery": addresses.platform,
        "seed": "00000000000000c1",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": SOCKETS, "disk_mb": DISK_MB},
        "settings": {
            "balancers": DISPATCHERS,
            "dcs": [ZONE],
            "flavors": [KIND],
            "family-info": {"decay": "line", "own-limits": [false], "workers": SLOTS},
            "services": [{
                "name": CLASS, "repeat": "idempotent", "worth": 1.0, "aim-ns": 2_000_000_000_u64,
                "deadline-ns": LIFETIME_MS * 1_000_000, "late-share": 0.4,
            }],
            "limits": {
                "max-open": HELD_MOST, "max-attempts": ATTEMPTS_MOST, "connect-timeout-ns": 1_000_000_000_u64,
                "keepalive-ns": 15_000_000_000_u64, "retry-after": true,
                "max-retry-after-ns": LIFETIME_MS * 1_000_000,
            },
            "guarantees": {
                "cold-share": 0.2, "ramp-time-ns": 10_000_000_000_u64, "tip-multiple": 2.0,
                "overload-for-ns": 3_000_000_000_u64, "drain-grace-ns": 2_000_000_000_u64,
            },
            "tick-ns": 5_000_000,
        },
    });
    // The list is by far the largest part: written as text, it is not held as a tree of values here.
    let rest = rest.to_string();
    let known = line(1, Extent::Whole, known);
    format!("{{\"known\":{known},{}", rest.trim_start_matches('{'))
}
