//! The bytes in which a [`ScopedList`] outlasts a restart: a magic word with the version of the format, a checksum, and the
//! list as JSON.

use crate::bucket_map::BucketMap;
use crate::scoped_list::{SavedList, ScopedList};
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// What the file begins with; the digit is the version of the format.
const MAGIC: &[u8; 8] = b"BSSCOPE1";
const CHECKSUM_BYTES: usize = 4;

/// Why saved bytes are rejected.
#[derive(Debug)]
pub enum StateFileError {
    /// They are not a list in this version of the format.
    UnknownFormat,
    /// They are incomplete or damaged.
    Checksum,
    /// They hold other JSON than that of a list.
    Content(serde_json::Error),
    /// They are those of the dispatcher with this name.
    DispatcherMismatch(String),
}

impl fmt::Display for StateFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StateFileError::UnknownFormat => {
                write!(f, "it is not a saved configuration of this version")
            }
            StateFileError::Checksum => write!(f, "it is incomplete or damaged"),
            StateFileError::Content(error) => write!(f, "its content cannot be read: {error}"),
            StateFileError::DispatcherMismatch(name) => {
                write!(f, "it is that of the dispatcher `{name}`")
            }
        }
    }
}

impl Error for StateFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            StateFileError::Content(error) => Some(error),
            _ => None,
        }
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Content<Entries> {
    dispatcher: String,
    log: String,
    version: Version,
    epoch: Option<Epoch>,
    complete: Vec<BucketId>,
    filling: Vec<BucketId>,
    #[serde(rename = "cells")]
    cached: Vec<u64>,
    entries: Entries,
}

impl ScopedList {
    /// The bytes to save.
    pub fn to_bytes(&self, dispatcher: &str) -> Vec<u8> {
        let saved = Content {
            dispatcher: dispatcher.to_string(),
            log: self.log().to_string(),
            version: self.version(),
            epoch: self.epoch(),
            complete: self.complete_buckets().collect(),
            filling: self.filling_buckets().collect(),
            cached: self.known_destinations().collect(),
            entries: self.entries().collect::<Vec<_>>(),
        };
        let mut bytes = MAGIC.to_vec();
        bytes.extend([0; CHECKSUM_BYTES]);
        serde_json::to_writer(&mut bytes, &saved).expect("plain fields are always written");
        let content = MAGIC.len() + CHECKSUM_BYTES;
        let checksum = crc32fast::hash(&bytes[content..]);
        bytes[MAGIC.len()..content].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// The list that was saved by this dispatcher.
    pub fn from_bytes(
        bytes: &[u8],
        dispatcher: &str,
        layout: Arc<dyn BucketMap>,
        cache_destinations: usize,
    ) -> Result<ScopedList, StateFileError> {
        let rest = bytes
            .strip_prefix(MAGIC)
            .ok_or(StateFileError::UnknownFormat)?;
        let (checksum, content) = rest.split_first_chunk().ok_or(StateFileError::Checksum)?;
        if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
            return Err(StateFileError::Checksum);
        }
        let saved: Content<Vec<EndpointEntry>> =
            serde_json::from_slice(content).map_err(StateFileError::Content)?;
        if saved.dispatcher != dispatcher {
            return Err(StateFileError::DispatcherMismatch(saved.dispatcher));
        }
        let list = SavedList {
            log: saved.log,
            version: saved.version,
            epoch: saved.epoch,
            complete: saved.complete,
            filling: saved.filling,
            cached: saved.cached,
            entries: saved.entries,
        };
        Ok(ScopedList::restore(layout, cache_destinations, list))
    }
}
