//! Decodes the bodies of write requests, which are JSON lines, and validates them against the configuration.

use crate::presence::Heartbeat;
use bellsill_directory::entry::Endpoint;
use bellsill_directory::line::EndpointEntry;
use bellsill_directory::state::{ApplyError, Directory};
use bellsill_placement::{Member, MemberName, ZoneName};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The reason for rejecting a write.
#[derive(Debug, Error)]
pub(crate) enum WriteError {
    #[error("{0}; nothing of the request is taken")]
    InvalidLine(#[from] InvalidLine),
    #[error("{0}")]
    Apply(#[from] ApplyError),
    #[error("this control process has no configuration yet")]
    NoConfiguration,
}

/// A line that cannot be decoded or is invalid for the current configuration.
#[derive(Debug, Error)]
#[error("line {number}: {reason}")]
pub(crate) struct InvalidLine {
    number: usize,
    reason: String,
}

/// A line of `POST /v2/members`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberDeclaration {
    name: MemberName,
    zone: ZoneName,
    #[serde(default = "default_weight")]
    weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

/// The decoded lines of a body. Empty lines are skipped.
struct Lines<T> {
    values: Vec<T>,
    /// The line number of each value, starting at 1.
    numbers: Vec<usize>,
}

impl<T: DeserializeOwned> Lines<T> {
    fn decode(body: &[u8]) -> Result<Lines<T>, InvalidLine> {
        let mut lines = Lines {
            values: Vec::new(),
            numbers: Vec::new(),
        };
        for (line, number) in body.split(|byte| *byte == b'\n').zip(1..) {
            if line.trim_ascii().is_empty() {
                continue;
            }
            let value = serde_json::from_slice(line).map_err(|error| InvalidLine {
                number,
                reason: error.to_string(),
            })?;
            lines.values.push(value);
            lines.numbers.push(number);
        }
        Ok(lines)
    }
}

/// Decodes and validates the endpoints of `POST /api/targets`.
pub(crate) fn decode_endpoints(
    body: &[u8],
    directory: Option<&Directory>,
) -> Result<Vec<Endpoint>, InvalidLine> {
    let Lines { values, numbers } = Lines::<EndpointEntry>::decode(body)?;
    let mut endpoints = Vec::with_capacity(values.len());
    for (entry, number) in values.into_iter().zip(numbers.iter().copied()) {
        endpoints.push(Endpoint::try_from(entry).map_err(|error| InvalidLine {
            number,
            reason: error.to_string(),
        })?);
    }
    if let Some(directory) = directory {
        directory
            .check_endpoints(&endpoints)
            .map_err(|(index, reason)| InvalidLine {
                number: numbers[index],
                reason: reason.to_string(),
            })?;
    }
    Ok(endpoints)
}

/// Decodes and validates the members of `POST /v2/members`.
pub(crate) fn decode_members(
    body: &[u8],
    directory: Option<&Directory>,
) -> Result<Vec<Member>, InvalidLine> {
    let Lines { values, numbers } = Lines::<MemberDeclaration>::decode(body)?;
    let members: Vec<Member> = values
        .into_iter()
        .map(|declared| declared_member(declared, directory))
        .collect();
    if let Some(directory) = directory {
        directory
            .check_members(&members)
            .map_err(|(index, reason)| InvalidLine {
                number: numbers[index],
                reason: reason.to_string(),
            })?;
    }
    Ok(members)
}

/// Decodes the heartbeats of `POST /v2/presence`.
pub(crate) fn decode_heartbeats(body: &[u8]) -> Result<Vec<Heartbeat>, InvalidLine> {
    Ok(Lines::decode(body)?.values)
}

/// Converts a declaration to a member. A known member keeps its presence; a new one is present.
fn declared_member(declared: MemberDeclaration, directory: Option<&Directory>) -> Member {
    let known = directory.and_then(|directory| directory.member(&declared.name));
    Member {
        present: known.is_none_or(|known| known.present),
        name: declared.name,
        zone: declared.zone,
        weight: declared.weight,
    }
}
