//! A list of endpoints as discovery writes it: the words of its JSON end here.

use bellsill_settings::{InvalidWeight, Names};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// An endpoint as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    pub name: String,
    /// Where it listens; none where that is absent or cannot be read.
    pub addr: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    /// False when it drains or is gone.
    pub serving: bool,
    pub weight: Option<f64>,
    /// What the weight says, by [`Names::rate`].
    pub rate: Option<f64>,
}

/// A list, whole or of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub version: u64,
    /// What it does not name is gone.
    pub whole: bool,
    pub endpoints: Vec<ListedEndpoint>,
}

/// Reads a list. One with no version or no servers is logged and skipped, and so is an entry that cannot be read.
pub fn read(json: &Value, names: &Names) -> Option<EndpointList> {
    let (version, servers) = (
        json.get("version").and_then(Value::as_u64),
        json.get("servers"),
    );
    let (Some(version), Some(servers)) = (version, servers.and_then(Value::as_array)) else {
        log::warn!("discovery: a line with no version or no servers was skipped");
        return None;
    };
    let whole = json.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut endpoints = Vec::with_capacity(servers.len());
    let id = |server: &Value| server.get("id").and_then(Value::as_str).map(str::to_string);
    let drains = |server: &&Value| {
        matches!(
            server.get("state").and_then(Value::as_str),
            Some("draining" | "removed")
        )
    };
    let draining: BTreeSet<String> = servers.iter().filter(drains).filter_map(id).collect();
    let mut named = BTreeSet::new();
    for server in servers {
        // A whole list names each once. Of two that differ the one that serves is not believed: nothing new may go to
        // one that drains. Changes may tell of one endpoint twice, the later change last.
        if whole && let Some(id) = id(server) {
            let believed = drains(&server) || !draining.contains(&id);
            if !believed || !named.insert(id.clone()) {
                log::warn!("discovery: an entry was skipped, its id {id:?} is in the list twice");
                continue;
            }
        }
        match read_endpoint(server, names) {
            Ok(endpoint) => endpoints.push(endpoint),
            Err(what) => warn_of_entry(what),
        }
    }
    Some(EndpointList {
        version,
        whole,
        endpoints,
    })
}

/// Logs that an entry was skipped for what its field says.
pub fn warn_of_entry(field: &str) {
    log::warn!("discovery: an entry was skipped, its {field} cannot be read");
}

/// A field of an entry. Of an endpoint that takes nothing new only that counts, whatever else of it can be read.
fn needed<T: Default>(field: Result<T, &'static str>, serving: bool) -> Result<T, &'static str> {
    field.or_else(|what| if serving { Err(what) } else { Ok(T::default()) })
}

/// Reads an entry, or says which of its fields cannot be read.
fn read_endpoint(server: &Value, names: &Names) -> Result<ListedEndpoint, &'static str> {
    let word = |field: &'static str| server.get(field).and_then(Value::as_str).ok_or(field);
    let name = word("id")?;
    let serving = match word("state")? {
        "up" => true,
        "draining" | "removed" => false,
        _ => return Err("state"),
    };
    let (zone, kind) = (
        needed(word("zone"), serving)?,
        needed(word("kind"), serving)?,
    );
    let weight = server.get("weight").filter(|_| serving);
    let weight = weight.map(|w| w.as_f64().ok_or("weight")).transpose()?;
    let rate = names.rate(weight).map_err(|InvalidWeight| "weight")?;
    let destination = needed(
        server.get("cell").and_then(Value::as_u64).ok_or("cell"),
        serving,
    )?;
    Ok(ListedEndpoint {
        name: name.to_string(),
        addr: word("addr").ok().and_then(|addr| addr.parse().ok()),
        zone: zone.to_string(),
        kind: kind.to_string(),
        destination,
        serving,
        weight,
        rate,
    })
}
