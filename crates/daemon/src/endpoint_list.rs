//! A list of endpoints: read from discovery's JSON, and converted from and to the entries of the scoped configuration.

use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_discovery_client::Applied;
use bellsill_settings::{InvalidWeight, PlatformNames};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An endpoint as a list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The id under which discovery knows it.
    pub name: String,
    /// Where it listens; `None` where that is absent or cannot be read.
    pub addr: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its kind.
    pub kind: String,
    /// The destination that it serves.
    pub destination: u64,
    /// False while it drains, and once it is removed.
    pub serving: bool,
    /// The weight as the list has it.
    pub weight: Option<f64>,
    /// What the weight says, by [`PlatformNames::rate_from_weight`].
    pub rate: Option<f64>,
}

/// A list: a complete one, or changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Discovery's version; zero for changes of the scoped configuration, whose entries have versions of their own.
    pub version: u64,
    /// It is complete: an endpoint that it does not name is removed.
    pub complete: bool,
    /// The entries, in the list's order.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The field of an entry that is missing or cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UnreadableField(&'static str);

/// Reads a list. One without a version or endpoints is logged and skipped, and so is an entry that cannot be read.
pub fn read(json: &Value, names: &PlatformNames) -> Option<EndpointList> {
    let version = json.get("version").and_then(Value::as_u64);
    let servers = json.get("servers").and_then(Value::as_array);
    let (Some(version), Some(servers)) = (version, servers) else {
        log::warn!("discovery: a line without a version or servers was skipped");
        return None;
    };
    let complete = json.get("full").and_then(Value::as_bool).unwrap_or(false);
    let repeated = if complete {
        repeated_entries(servers)
    } else {
        BTreeSet::new()
    };
    let mut endpoints = Vec::with_capacity(servers.len());
    for (position, server) in servers.iter().enumerate() {
        if repeated.contains(&position) {
            let id = id_of(server).unwrap_or_default();
            log::warn!("discovery: an entry was skipped, its id {id:?} is in the list twice");
            continue;
        }
        match read_endpoint(server, names) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(UnreadableField(field)) => warn_skipped_entry(field),
        }
    }
    Some(EndpointList {
        version,
        complete,
        endpoints,
    })
}

fn id_of(server: &Value) -> Option<&str> {
    server.get("id").and_then(Value::as_str)
}

fn is_draining(server: &Value) -> bool {
    let state = server.get("state").and_then(Value::as_str);
    matches!(state, Some("draining" | "removed"))
}

/// The positions of entries that a complete list has twice and that do not count. Of two that differ the one that drains
/// counts, since nothing new may go to an endpoint that drains. Changes may name an endpoint twice, the later change last.
fn repeated_entries(servers: &[Value]) -> BTreeSet<usize> {
    let draining: BTreeSet<&str> = servers
        .iter()
        .filter(|server| is_draining(server))
        .filter_map(id_of)
        .collect();
    let mut named = BTreeSet::new();
    let mut repeated = BTreeSet::new();
    for (position, server) in servers.iter().enumerate() {
        let Some(id) = id_of(server) else { continue };
        let counts = is_draining(server) || !draining.contains(id);
        if !counts || !named.insert(id) {
            repeated.insert(position);
        }
    }
    repeated
}

/// Logs that an entry was skipped for one of its fields.
pub fn warn_skipped_entry(field: &str) {
    log::warn!("discovery: an entry was skipped, its {field} cannot be read");
}

/// A field that only a serving endpoint needs: of one that takes nothing new, it does not matter what else can be read.
fn needed_to_serve<T: Default>(
    field: Result<T, UnreadableField>,
    serving: bool,
) -> Result<T, UnreadableField> {
    match field {
        Err(_) if !serving => Ok(T::default()),
        field => field,
    }
}

fn read_endpoint(server: &Value, names: &PlatformNames) -> Result<ListedEndpoint, UnreadableField> {
    let text = |field: &'static str| {
        let text = server.get(field).and_then(Value::as_str);
        text.ok_or(UnreadableField(field))
    };
    let name = text("id")?;
    let serving = match text("state")? {
        "up" => true,
        "draining" | "removed" => false,
        _ => return Err(UnreadableField("state")),
    };
    let zone = needed_to_serve(text("zone"), serving)?;
    let kind = needed_to_serve(text("kind"), serving)?;
    let weight = server
        .get("weight")
        .filter(|_| serving)
        .map(|weight| weight.as_f64().ok_or(UnreadableField("weight")))
        .transpose()?;
    let rate = names
        .rate_from_weight(weight)
        .map_err(|InvalidWeight| UnreadableField("weight"))?;
    let destination = server.get("cell").and_then(Value::as_u64);
    let destination = needed_to_serve(destination.ok_or(UnreadableField("cell")), serving)?;
    Ok(ListedEndpoint {
        name: name.to_string(),
        addr: text("addr").ok().and_then(|addr| addr.parse().ok()),
        zone: zone.to_string(),
        kind: kind.to_string(),
        destination,
        serving,
        weight,
        rate,
    })
}

/// A list that comes from no control process, as entries of the scoped configuration.
pub fn entries_of(list: &EndpointList) -> impl Iterator<Item = EndpointEntry> {
    let entry = |listed: &ListedEndpoint| EndpointEntry {
        id: listed.name.clone(),
        addr: listed.addr.map(|addr| addr.to_string()),
        zone: listed.zone.clone(),
        kind: listed.kind.clone(),
        destination: listed.destination,
        state: if listed.serving {
            EndpointState::Up
        } else {
            EndpointState::Draining
        },
        weight: listed.weight,
        version: Version(0),
    };
    list.endpoints.iter().map(entry)
}

/// The changes to the scoped configuration as a list. An entry whose weight makes no sense is logged and skipped.
pub fn list_from_changes(applied: &Applied, names: &PlatformNames) -> EndpointList {
    let changed = applied
        .changed
        .iter()
        .filter_map(|entry| listed(entry, names));
    let dropped = applied.dropped.iter().filter_map(|entry| {
        let gone = EndpointEntry {
            state: EndpointState::Removed,
            ..entry.clone()
        };
        listed(&gone, names)
    });
    // Dropped ones come first: one that was dropped and added again under the same name is there.
    let endpoints = dropped.chain(changed).collect();
    EndpointList {
        version: 0,
        complete: false,
        endpoints,
    }
}

fn listed(entry: &EndpointEntry, names: &PlatformNames) -> Option<ListedEndpoint> {
    let Ok(rate) = names.rate_from_weight(entry.weight) else {
        warn_skipped_entry("weight");
        return None;
    };
    Some(ListedEndpoint {
        name: entry.id.clone(),
        addr: entry.addr.as_ref().and_then(|addr| addr.parse().ok()),
        zone: entry.zone.clone(),
        kind: entry.kind.clone(),
        destination: entry.destination,
        serving: entry.state == EndpointState::Up,
        weight: entry.weight,
        rate,
    })
}
