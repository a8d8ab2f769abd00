//! Assembles the JSON documents in the lines of a watch.

use serde::de::IgnoredAny;

/// Splits the lines of a call into JSON documents.
pub(crate) enum DocumentReader {
    /// Each non-empty line is a document.
    Lines,
    /// A document may span several lines, as a pretty-printed list does.
    Indented {
        /// The lines of an incomplete document.
        partial: Vec<u8>,
        /// The size limit of an incomplete document.
        max_bytes: usize,
    },
}

impl DocumentReader {
    pub(crate) fn indented(max_bytes: usize) -> DocumentReader {
        DocumentReader::Indented {
            partial: Vec::new(),
            max_bytes,
        }
    }

    /// Adds a line, and returns the document that it completes, if any. A line that cannot be part of a document is
    /// logged and skipped.
    pub(crate) fn push_line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return None;
        }
        let DocumentReader::Indented { partial, max_bytes } = self else {
            return Some(line.to_vec());
        };
        if !partial.is_empty() {
            partial.push(b'\n');
            partial.extend(line);
            match check_json(partial) {
                Ok(()) => return Some(std::mem::take(partial)),
                Err(error) if error.is_eof() && partial.len() < *max_bytes => return None,
                Err(error) => {
                    log::warn!("discovery: skipped lines that are not valid JSON: {error}")
                }
            }
            partial.clear();
        }
        match check_json(line) {
            Ok(()) => return Some(line.to_vec()),
            Err(error) if error.is_eof() => *partial = line.to_vec(),
            Err(error) => log::warn!("discovery: skipped a line that is not valid JSON: {error}"),
        }
        None
    }
}

fn check_json(text: &[u8]) -> serde_json::Result<()> {
    serde_json::from_slice::<IgnoredAny>(text).map(drop)
}
