//! The bytes in which a [`ScopedList`] lasts over a restart: a magic word with the version of the format, a checksum, and the
//! list as JSON.

use crate::scoped_list::{BucketMap, ScopedList};
use bellsill_directory::line::{EndpointEntry, Version};
use bellsill_placement::{BucketId, Epoch};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What the file begins with; the digit is the version of the format.
const MAGIC: &[u8; 8] = b"BSSCOPE1";
const CHECKSUM_BYTES: usize = 4;

/// Why saved bytes are not taken.
#[derive(Debug)]
pub enum StateFileError {
    /// They are no list of this version of the format.
    Format,
    /// They are torn or were changed.
    Checksum,
    Content(serde_json::Error),
    /// They are another dispatcher's.
    OtherDispatcher(String),
}

impl std::fmt::Display for StateFileError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            StateFileError::Format => write!(f, "it is no saved configuration of this version"),
            StateFileError::Checksum => write!(f, "it is torn or damaged"),
            StateFileError::Content(e) => write!(f, "its content cannot be read: {e}"),
            StateFileError::OtherDispatcher(name) => {
                write!(f, "it is that of the dispatcher `{name}`")
            }
        }
    }
}

impl std::error::Error for StateFileError {}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Saved<Entries> {
    dispatcher: String,
    log: String,
    version: Version,
    epoch: Option<Epoch>,
    complete: Vec<BucketId>,
    filling: Vec<BucketId>,
    cells: Vec<u64>,
    entries: Entries,
}

impl ScopedList {
    /// The bytes to save.
    pub fn to_bytes(&self, dispatcher: &str) -> Vec<u8> {
        let saved = Saved {
            dispatcher: dispatcher.to_string(),
            log: self.log().to_string(),
            version: self.version(),
            epoch: self.epoch(),
            complete: self.complete_buckets().collect(),
            filling: self.filling_buckets().collect(),
            cells: self.saved_cells(),
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

    /// The list that was saved.
    pub fn from_bytes(
        bytes: &[u8],
        dispatcher: &str,
        layout: Arc<dyn BucketMap>,
        cache_destinations: usize,
    ) -> Result<ScopedList, StateFileError> {
        let rest = bytes.strip_prefix(MAGIC).ok_or(StateFileError::Format)?;
        let (checksum, content) = rest.split_first_chunk().ok_or(StateFileError::Checksum)?;
        if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
            return Err(StateFileError::Checksum);
        }
        let saved: Saved<Vec<EndpointEntry>> =
            serde_json::from_slice(content).map_err(StateFileError::Content)?;
        if saved.dispatcher != dispatcher {
            return Err(StateFileError::OtherDispatcher(saved.dispatcher));
        }
        let mut list = ScopedList::new(layout, cache_destinations);
        list.restore_history(saved.log, saved.version, saved.epoch);
        list.restore_buckets(saved.complete, saved.filling);
        list.restore_cells(saved.cells);
        saved
            .entries
            .into_iter()
            .for_each(|entry| list.put_entry(entry, false));
        Ok(list)
    }
}
