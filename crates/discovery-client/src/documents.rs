//! The JSON documents in the lines of a watch.

use serde::de::IgnoredAny;

/// Puts the lines of a call together to JSON documents.
pub enum DocumentReader {
    /// Each line that is not empty is a document.
    Lines,
    /// A document may stand over many lines, as an indented list does.
    Indented {
        /// The lines of a document that goes on.
        begun: Vec<u8>,
        /// The most bytes that such lines may take.
        longest: usize,
    },
}

/// Whether a text is a JSON document.
fn check(text: &[u8]) -> serde_json::Result<()> {
    serde_json::from_slice::<IgnoredAny>(text).map(drop)
}

impl DocumentReader {
    pub fn indented(longest: usize) -> DocumentReader {
        DocumentReader::Indented {
            begun: Vec::new(),
            longest,
        }
    }

    /// The document that ends with this line, if one does. A line that can be no part of a document is logged and skipped.
    pub fn line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return None;
        }
        let DocumentReader::Indented { begun, longest } = self else {
            return Some(line.to_vec());
        };
        if !begun.is_empty() {
            begun.push(b'\n');
            begun.extend(line);
            match check(begun) {
                Ok(()) => return Some(std::mem::take(begun)),
                Err(e) if e.is_eof() && begun.len() < *longest => return None,
                Err(e) => log::warn!("discovery: lines that are no JSON were skipped: {e}"),
            }
            begun.clear();
        }
        match check(line) {
            Ok(()) => return Some(line.to_vec()),
            Err(e) if e.is_eof() => *begun = line.to_vec(),
            Err(e) => log::warn!("discovery: a line that is no JSON was skipped: {e}"),
        }
        None
    }
}
