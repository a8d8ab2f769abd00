//! Endpoint lists: parses them from discovery's JSON, and converts them to and from entries of the scoped
//! configuration.

use bellsill_directory::line::{EndpointEntry, EndpointState, Version};
use bellsill_discovery_client::Applied;
use bellsill_settings::{InvalidWeight, PlatformNames};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An endpoint as described by a list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The endpoint's id in discovery.
    pub name: String,
    /// The address of the endpoint; `None` if it is missing or invalid.
    pub addr: Option<SocketAddr>,
    /// The name of the endpoint's zone.
    pub zone: String,
    /// The name of the endpoint's kind.
    pub kind: String,
    /// The destination that the endpoint serves.
    pub destination: u64,
    /// False if the endpoint is draining or removed.
    pub serving: bool,
    /// The weight given by the list.
    pub weight: Option<f64>,
    /// The rate that [`PlatformNames::rate_from_weight`] derives from the weight.
    pub rate: Option<f64>,
}

/// A list of endpoints: either complete, or only the changes since an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version assigned by discovery; zero for changes of the scoped configuration, in which each entry has its own
    /// version.
    pub version: u64,
    /// Whether the list is complete: endpoints that are missing from a complete list are removed.
    pub complete: bool,
    /// The entries, in the order of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// The name of a field of an entry that is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidEntryField(&'static str);

/// Parses a list. A list without a version or endpoints is logged and skipped, and so is an invalid entry.
pub fn read(json: &Value, names: &PlatformNames) -> Option<EndpointList> {
    let version = json.get("version").and_then(Value::as_u64);
    let servers = json.get("servers").and_then(Value::as_array);
    let (Some(version), Some(servers)) = (version, servers) else {
        log::warn!("discovery: skipped a line without `version` or `servers`");
        return None;
    };
    let complete = json.get("full").and_then(Value::as_bool).unwrap_or(false);
    let duplicates = if complete {
        duplicate_entries(servers)
    } else {
        BTreeSet::new()
    };
    let mut endpoints = Vec::with_capacity(servers.len());
    for (position, server) in servers.iter().enumerate() {
        if duplicates.contains(&position) {
            let id = id_of(server).unwrap_or_default();
            log::warn!("discovery: skipped an entry with the duplicate id {id:?}");
            continue;
        }
        match read_endpoint(server, names) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(InvalidEntryField(field)) => warn_skipped_entry(field),
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

/// The positions of the duplicate entries of a complete list that are skipped. If duplicates differ, the draining entry
/// takes precedence, since a draining endpoint must not get new messages. A list of changes may contain an endpoint
/// more than once, in the order of the changes.
fn duplicate_entries(servers: &[Value]) -> BTreeSet<usize> {
    let draining: BTreeSet<&str> = servers
        .iter()
        .filter(|server| is_draining(server))
        .filter_map(id_of)
        .collect();
    let mut seen = BTreeSet::new();
    let mut duplicates = BTreeSet::new();
    for (position, server) in servers.iter().enumerate() {
        let Some(id) = id_of(server) else { continue };
        let takes_precedence = is_draining(server) || !draining.contains(id);
        if !takes_precedence || !seen.insert(id) {
            duplicates.insert(position);
        }
    }
    duplicates
}

/// Logs that an entry was skipped because of a missing or invalid field.
pub fn warn_skipped_entry(field: &str) {
    log::warn!("discovery: skipped an entry with a missing or invalid field `{field}`");
}

/// Ignores errors in a field that only a serving endpoint needs: an endpoint that gets no new messages is applied even
/// if the field is invalid.
fn required_if_serving<T: Default>(
    field: Result<T, InvalidEntryField>,
    serving: bool,
) -> Result<T, InvalidEntryField> {
    match field {
        Err(_) if !serving => Ok(T::default()),
        field => field,
    }
}

fn read_endpoint(
    server: &Value,
    names: &PlatformNames,
) -> Result<ListedEndpoint, InvalidEntryField> {
    let text = |field: &'static str| {
        let text = server.get(field).and_then(Value::as_str);
        text.ok_or(InvalidEntryField(field))
    };
    let name = text("id")?;
    let serving = match text("state")? {
        "up" => true,
        "draining" | "removed" => false,
        _ => return Err(InvalidEntryField("state")),
    };
    let zone = required_if_serving(text("zone"), serving)?;
    let kind = required_if_serving(text("kind"), serving)?;
    let weight = server
        .get("weight")
        .filter(|_| serving)
        .map(|weight| weight.as_f64().ok_or(InvalidEntryField("weight")))
        .transpose()?;
    let rate = names
        .rate_from_weight(weight)
        .map_err(|InvalidWeight| InvalidEntryField("weight"))?;
    let destination = server.get("cell").and_then(Value::as_u64);
    let destination = required_if_serving(destination.ok_or(InvalidEntryField("cell")), serving)?;
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

/// Converts a list that does not come from a control process to entries of the scoped configuration.
pub fn to_entries(list: &EndpointList) -> impl Iterator<Item = EndpointEntry> {
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

/// Converts changes to the scoped configuration to a list. An entry with an invalid weight is logged and skipped.
pub fn list_from_changes(applied: &Applied, names: &PlatformNames) -> EndpointList {
    let changed = applied
        .changed
        .iter()
        .filter_map(|entry| listed_endpoint(entry, names));
    let dropped = applied.dropped.iter().filter_map(|entry| {
        let removed = EndpointEntry {
            state: EndpointState::Removed,
            ..entry.clone()
        };
        listed_endpoint(&removed, names)
    });
    // Dropped entries come first, so that an endpoint that was dropped and added again under the same name is present.
    let endpoints = dropped.chain(changed).collect();
    EndpointList {
        version: 0,
        complete: false,
        endpoints,
    }
}

fn listed_endpoint(entry: &EndpointEntry, names: &PlatformNames) -> Option<ListedEndpoint> {
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
