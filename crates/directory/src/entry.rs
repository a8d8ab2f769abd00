//! One validated endpoint of the configuration, as records contain it.

use crate::line::{EndpointEntry, EndpointState, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The maximum length of the name of an endpoint, a zone or a kind.
pub const MAX_NAME_BYTES: usize = 128;
/// The maximum length of the name of a dispatcher.
pub const MAX_MEMBER_NAME_BYTES: usize = 64;
/// The maximum weight of an endpoint or a member.
pub const MAX_WEIGHT: f64 = 1e9;
/// An upper bound on the bytes of an entry on a line without its names: field names, punctuation and numbers.
const MAX_BYTES_WITHOUT_NAMES: usize = 200;

/// An endpoint of a destination, without the version of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name; unique in the configuration.
    pub id: String,
    /// The address on which it listens; a removed endpoint may have none.
    pub address: Option<SocketAddr>,
    /// The zone, which determines the region.
    pub zone: String,
    /// The kind of endpoint, as the platform names it.
    pub kind: String,
    /// The number of its destination.
    pub destination: u64,
    /// Whether it accepts messages.
    pub state: EndpointState,
    /// The relative capacity, as declared by the operators.
    pub weight: Option<f64>,
}

/// Why an entry is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidEntry {
    /// The value of this field is not a valid name: it is empty, too long, or has characters other than visible ASCII,
    /// or a quote or backslash.
    Name(&'static str),
    /// The address cannot be parsed; expected an IP address and a port, such as `10.0.0.1:9000`.
    Address(String),
    /// The address is missing, although the endpoint is not removed.
    AddressMissing,
    /// The weight is not in the range from 0 to [`MAX_WEIGHT`].
    Weight(f64),
}

impl std::fmt::Display for InvalidEntry {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            InvalidEntry::Name(field) => {
                write!(
                    f,
                    "{field}: expected 1 to {MAX_NAME_BYTES} visible ASCII characters without quotes"
                )
            }
            InvalidEntry::Address(address) => {
                write!(
                    f,
                    "addr: expected an address such as 10.0.0.1:9000, not {address:?}"
                )
            }
            InvalidEntry::AddressMissing => {
                write!(f, "addr: expected an address, as the state is not removed")
            }
            InvalidEntry::Weight(weight) => {
                write!(
                    f,
                    "weight: expected a number from 0 to {MAX_WEIGHT}, not {weight}"
                )
            }
        }
    }
}

impl std::error::Error for InvalidEntry {}

/// Whether this is a valid name. A valid name needs no escaping in JSON or in a request, so its length on a line is
/// known.
pub fn is_name(name: &str) -> bool {
    let visible = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(visible)
}

/// Whether this is a valid name of a dispatcher. A valid name needs no escaping in the query of a request.
pub fn is_member_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_MEMBER_NAME_BYTES).contains(&name.len()) && name.bytes().all(allowed)
}

impl TryFrom<EndpointEntry> for Endpoint {
    type Error = InvalidEntry;

    fn try_from(entry: EndpointEntry) -> Result<Endpoint, InvalidEntry> {
        for (field, name) in [
            ("id", &entry.id),
            ("zone", &entry.zone),
            ("kind", &entry.kind),
        ] {
            if !is_name(name) {
                return Err(InvalidEntry::Name(field));
            }
        }
        if let Some(weight) = entry
            .weight
            .filter(|weight| !(0.0..=MAX_WEIGHT).contains(weight))
        {
            return Err(InvalidEntry::Weight(weight));
        }
        let address = match entry.addr {
            Some(text) => match text.parse() {
                Ok(address) => Some(address),
                Err(_) => return Err(InvalidEntry::Address(text)),
            },
            None if entry.state == EndpointState::Removed => None,
            None => return Err(InvalidEntry::AddressMissing),
        };
        Ok(Endpoint {
            id: entry.id,
            address,
            zone: entry.zone,
            kind: entry.kind,
            destination: entry.destination,
            state: entry.state,
            weight: entry.weight,
        })
    }
}

impl Endpoint {
    /// Converts to the entry of a line, with the version of the endpoint's last change.
    pub fn into_entry(self, version: Version) -> EndpointEntry {
        EndpointEntry {
            id: self.id,
            addr: self.address.map(|address| address.to_string()),
            zone: self.zone,
            kind: self.kind,
            destination: self.destination,
            state: self.state,
            weight: self.weight,
            version,
        }
    }
}

/// An upper bound on the size of the entry on a line, in bytes.
pub(crate) fn max_line_bytes(entry: &EndpointEntry) -> usize {
    MAX_BYTES_WITHOUT_NAMES + entry.id.len() + entry.zone.len() + entry.kind.len()
}
