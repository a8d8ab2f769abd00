//! The JSON documents in the lines of a watch.

use serde::de::IgnoredAny;

/// Assembles JSON documents from the lines of a call.
pub(crate) enum DocumentReader {
    /// Each line that is not empty is a document.
    Lines,
    /// A document may take several lines, as an indented list does.
    Indented {
        /// The lines of an incomplete document.
        partial: Vec<u8>,
        /// The most bytes that an incomplete document may take.
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

    /// The document that ends with this line, if one does. A line that cannot be part of a document is logged and skipped.
    pub(crate) fn line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
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
                Err(error) => log::warn!("discovery: skipped lines that are not JSON: {error}"),
            }
            partial.clear();
        }
        match check_json(line) {
            Ok(()) => return Some(line.to_vec()),
            Err(error) if error.is_eof() => *partial = line.to_vec(),
            Err(error) => log::warn!("discovery: skipped a line that is not JSON: {error}"),
        }
        None
    }
}

fn check_json(text: &[u8]) -> serde_json::Result<()> {
    serde_json::from_slice::<IgnoredAny>(text).map(drop)
}
