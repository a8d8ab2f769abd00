//! Decodes the entries of endpoint lists, and the watch events that refer to the lists.

use crate::error::LineError;
use crate::line::Line;
use bellsill_core::interface::{DestinationId, EndpointUpdate};
use std::collections::HashMap;

/// An entry of an endpoint list, with the simulator's names instead of numeric IDs.
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
            name: line.required("endpoint")?.to_string(),
            zone: line.optional("locality").unwrap_or("").to_string(),
            kind: line.optional("shape").unwrap_or("").to_string(),
            destination: DestinationId(line.number("belongs-to")?),
            serving: match line.required("state")? {
                "SERVING" => true,
                "DRAINING" | "DELETED" => false,
                _ => return Err(line.invalid_field("state", "SERVING, DRAINING or DELETED")),
            },
            weight: match line.optional("power-hint").map(str::parse) {
                None => None,
                Some(Ok(weight)) => Some(weight),
                Some(Err(_)) => return Err(line.invalid_field("power-hint", "a number")),
            },
        })
    }
}

/// The endpoint lists defined by the simulator, by list number.
pub(crate) type EndpointLists = HashMap<u64, Vec<ListedEndpoint>>;

/// An event of a watch on the endpoint list.
pub(crate) enum WatchEvent<'a> {
    Update(EndpointUpdate, &'a [ListedEndpoint]),
    /// The watch was lost.
    Lost,
}

impl<'a> WatchEvent<'a> {
    pub(crate) fn parse(line: &Line, endpoint_lists: &'a EndpointLists) -> Result<Self, LineError> {
        let update = match line.required("scope")? {
            "update" => EndpointUpdate::Delta,
            "replace" | "restored" => EndpointUpdate::Snapshot,
            "unavailable" => return Ok(WatchEvent::Lost),
            _ => {
                return Err(line.invalid_field("scope", "update, replace, restored or unavailable"));
            }
        };
        match endpoint_lists.get(&line.number("bank")?) {
            Some(list) => Ok(WatchEvent::Update(update, list)),
            None => Err(line.invalid_field("bank", "the number of a defined list")),
        }
    }
}
