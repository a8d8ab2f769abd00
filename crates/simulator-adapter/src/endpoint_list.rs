//! Endpoint lists: how the simulator writes their entries and the events that refer to them.

use crate::error::LineError;
use crate::line::Line;
use bellsill_core::interface::{DestinationId, EndpointUpdate};
use std::collections::HashMap;

/// An entry of an endpoint list under the simulator's names.
pub(crate) struct ListedEndpoint {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) destination: DestinationId,
    pub(crate) serving: bool,
    pub(crate) weight: Option<f64>,
}

impl ListedEndpoint {
    pub(crate) fn parse(line: &Line) -> Result<Self, LineError> {
        if line.name != "ITEM" {
            return Err(line.invalid_name("ITEM"));
        }
        Ok(ListedEndpoint {
            name: line.text("endpoint")?.to_string(),
            zone: line.get("locality").unwrap_or("").to_string(),
            kind: line.get("shape").unwrap_or("").to_string(),
            destination: DestinationId(line.number("belongs-to")?),
            serving: match line.text("state")? {
                "SERVING" => true,
                "DRAINING" | "DELETED" => false,
                _ => return Err(line.invalid("state", "SERVING, DRAINING or DELETED")),
            },
            weight: match line.get("power-hint").map(str::parse) {
                None => None,
                Some(Ok(weight)) => Some(weight),
                Some(Err(_)) => return Err(line.invalid("power-hint", "a number")),
            },
        })
    }
}

/// The endpoint lists that the simulator has defined, by number.
pub(crate) type EndpointLists = HashMap<u64, Vec<ListedEndpoint>>;

/// What a watch on the endpoint list reports.
pub(crate) enum WatchEvent<'a> {
    Update(EndpointUpdate, &'a [ListedEndpoint]),
    /// The watch is lost.
    Lost,
}

impl<'a> WatchEvent<'a> {
    pub(crate) fn parse(line: &Line, lists: &'a EndpointLists) -> Result<Self, LineError> {
        let scope = match line.text("scope")? {
            "update" => EndpointUpdate::Delta,
            "replace" | "restored" => EndpointUpdate::Snapshot,
            "unavailable" => return Ok(WatchEvent::Lost),
            _ => {
                return Err(line.invalid("scope", "update, replace, restored or unavailable"));
            }
        };
        match lists.get(&line.number("bank")?) {
            Some(list) => Ok(WatchEvent::Update(scope, list)),
            None => Err(line.invalid("bank", "the number of a list")),
        }
    }
}
