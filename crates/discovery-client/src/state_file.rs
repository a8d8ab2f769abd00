//! The file format of a saved [`ScopedList`]: magic bytes with the format version, a CRC-32 checksum, and the list as
//! JSON.

use crate::bucket_map::BucketMap;
use crate::scoped_list::{SavedList, ScopedList};
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt;
use std::sync::Arc;

/// The magic bytes at the start of the file. The digit is the format version.
const MAGIC: &[u8; 8] = b"BSSCOPE1";
const CHECKSUM_BYTES: usize = 4;

/// The reason why a saved list was rejected.
#[derive(Debug)]
pub enum StateFileError {
    /// The file does not start with the magic bytes of this format version.
    UnknownFormat,
    /// The file is truncated or corrupted.
    Checksum,
    /// The content is not the JSON of a list.
    Content(serde_json::Error),
    /// The file was saved by the dispatcher with this name.
    DispatcherMismatch(String),
}

impl fmt::Display for StateFileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StateFileError::UnknownFormat => {
                write!(f, "not a saved configuration in this format version")
            }
            StateFileError::Checksum => {
                write!(f, "checksum mismatch: the file is truncated or corrupted")
            }
            StateFileError::Content(error) => write!(f, "invalid content: {error}"),
            StateFileError::DispatcherMismatch(name) => {
                write!(f, "saved by another dispatcher, `{name}`")
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
    /// Serializes the list of this dispatcher.
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
        serde_json::to_writer(&mut bytes, &saved)
            .expect("a list serializes to JSON without errors");
        let content = MAGIC.len() + CHECKSUM_BYTES;
        let checksum = crc32fast::hash(&bytes[content..]);
        bytes[MAGIC.len()..content].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Deserializes a list that was saved by this dispatcher.
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
