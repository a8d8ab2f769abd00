//! The records of the update log: one line each, with a checksum in front of the JSON.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use thiserror::Error;

/// The number of hex digits of a line's checksum; one space follows them.
const CHECKSUM_DIGITS: usize = 8;

/// An update of the configuration, as it was received.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Whose versions the update has: the address of a discovery server, or the id of a control process's log.
    pub(crate) source: String,
    /// The version that the receiver had before the update. A reader with a lower one has missed another update.
    pub(crate) since: u64,
    /// The checksum of the receiver's `known` list, which tells whether the list is older than the update.
    pub(crate) known: u32,
    /// The document that discovery or a control process sent.
    pub(crate) document: Box<RawValue>,
}

/// The fields of a document that tell which update it is.
#[derive(Debug, Deserialize)]
pub(crate) struct DocumentHeader {
    pub(crate) version: u64,
    /// Whether the document is a complete list.
    #[serde(default)]
    pub(crate) full: bool,
}

/// Why a line of the log is skipped.
#[derive(Debug, Error)]
pub(super) enum RecordError {
    #[error("checksum mismatch: the line is incomplete or damaged")]
    Checksum,
    #[error("invalid content: {0}")]
    Content(#[from] serde_json::Error),
}

impl Record {
    /// The record as a line of the log.
    pub(super) fn to_line(&self) -> serde_json::Result<Vec<u8>> {
        let content = serde_json::to_string(self)?;
        let checksum = crc32fast::hash(content.as_bytes());
        Ok(format!("{checksum:0CHECKSUM_DIGITS$x} {content}\n").into_bytes())
    }

    /// Parses a line without its newline.
    pub(super) fn from_line(line: &[u8]) -> Result<Record, RecordError> {
        let (digits, rest) = line
            .split_at_checked(CHECKSUM_DIGITS)
            .ok_or(RecordError::Checksum)?;
        let content = rest.strip_prefix(b" ").ok_or(RecordError::Checksum)?;
        let expected = std::str::from_utf8(digits)
            .ok()
            .and_then(|digits| u32::from_str_radix(digits, 16).ok());
        if expected != Some(crc32fast::hash(content)) {
            return Err(RecordError::Checksum);
        }
        Ok(serde_json::from_slice(content)?)
    }

    /// The version of the document, and whether it is a complete list; `None` if it has no version.
    pub(crate) fn header(&self) -> Option<DocumentHeader> {
        self.parse().ok()
    }

    /// The document as JSON.
    pub(crate) fn json(&self) -> serde_json::Result<Value> {
        self.parse()
    }

    /// Parses the document.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        serde_json::from_str(self.document.get())
    }
}

/// Parses the lines of a log. Damaged and incomplete ones are skipped and counted.
pub(super) fn parse_log(bytes: &[u8]) -> (Vec<Record>, usize) {
    let lines = bytes.split(|&b| b == b'\n').filter(|line| !line.is_empty());
    let mut skipped = 0;
    let records = lines
        .filter_map(|line| match Record::from_line(line) {
            Ok(record) => Some(record),
            Err(error) => {
                log::debug!("update log: skipped a line: {error}");
                skipped += 1;
                None
            }
        })
        .collect();
    (records, skipped)
}
