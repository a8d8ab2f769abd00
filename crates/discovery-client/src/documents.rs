//! Assembles the JSON documents in the lines of a watch.

use json_event_parser::{JsonEvent, JsonSyntaxError, LowLevelJsonParser};
use log::Level;
use serde::de::IgnoredAny;
use std::fmt::Display;
use thiserror::Error;

/// The maximum nesting of a document; `serde_json` rejects deeper ones.
const MAX_DEPTH: usize = 127;

/// Splits the lines of a call into JSON documents.
pub(crate) enum DocumentReader {
    /// Each non-empty line is a document.
    Lines,
    /// A document may span several lines, as a pretty-printed list does.
    Indented {
        /// The document that is not complete, if one has begun.
        partial: Option<PartialDocument>,
        /// The size limit of an incomplete document.
        max_bytes: usize,
        /// Whether skipped lines were already logged as a warning.
        has_warned: bool,
    },
}

impl DocumentReader {
    pub(crate) fn indented(max_bytes: usize) -> DocumentReader {
        DocumentReader::Indented {
            partial: None,
            max_bytes,
            has_warned: false,
        }
    }

    /// Adds a line, and returns the document that it completes, if any. A line that cannot be part of a document is
    /// skipped. The first one of a call is logged as a warning.
    pub(crate) fn push_line(&mut self, line: &[u8]) -> Option<Vec<u8>> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return None;
        }
        let DocumentReader::Indented {
            partial,
            max_bytes,
            has_warned,
        } = self
        else {
            return Some(line.to_vec());
        };
        let mut log_skipped = |reason: &dyn Display| {
            let level = match std::mem::replace(has_warned, true) {
                false => Level::Warn,
                true => Level::Debug,
            };
            log::log!(
                level,
                "discovery: skipped lines that are not valid JSON: {reason}"
            );
        };
        if let Some(mut document) = partial.take() {
            match document.push_line(line) {
                Ok(Progress::Complete) => return Some(document.into_text()),
                Ok(Progress::Partial) if document.text.len() < *max_bytes => {
                    *partial = Some(document);
                    return None;
                }
                Ok(Progress::Partial) => {
                    log_skipped(&format_args!("a document exceeds {max_bytes} bytes"));
                }
                Err(error) => log_skipped(&error),
            }
        }
        // Most documents are on one line, and this check is faster than the parser of partial ones.
        if is_json(line) {
            return Some(line.to_vec());
        }
        let mut document = PartialDocument::new();
        match document.push_line(line) {
            Ok(Progress::Complete) => return Some(document.into_text()),
            Ok(Progress::Partial) => *partial = Some(document),
            Err(error) => log_skipped(&error),
        }
        None
    }
}

fn is_json(text: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(text).is_ok()
}

/// Why lines are not the beginning of a JSON document.
#[derive(Debug, Error)]
enum DocumentError {
    #[error(transparent)]
    Syntax(#[from] JsonSyntaxError),
    #[error("a line ends within a string")]
    UnterminatedString,
}

/// Whether a document is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Partial,
    Complete,
}

/// The lines of a document so far. Each byte is parsed once, so a document costs time linear in its length, however many
/// lines it spans.
pub(crate) struct PartialDocument {
    text: Vec<u8>,
    /// The length of the text that the parser has consumed.
    parsed_bytes: usize,
    parser: LowLevelJsonParser,
    /// The number of objects and arrays that are open.
    depth: usize,
    progress: Progress,
}

impl PartialDocument {
    fn new() -> PartialDocument {
        PartialDocument {
            text: Vec::new(),
            parsed_bytes: 0,
            parser: LowLevelJsonParser::new().with_max_stack_size(MAX_DEPTH),
            depth: 0,
            progress: Progress::Partial,
        }
    }

    /// Adds a line. The newline behind it ends its last token, unless that is a string.
    fn push_line(&mut self, line: &[u8]) -> Result<Progress, DocumentError> {
        self.text.extend(line);
        self.text.push(b'\n');
        while let Some(event) = self.next_event()? {
            match event {
                Nesting::Opened => self.depth += 1,
                Nesting::Closed => self.depth -= 1,
                Nesting::Unchanged => {}
            }
            if self.depth == 0 {
                self.progress = Progress::Complete;
            }
        }
        if self.text[self.parsed_bytes..].starts_with(b"\"") {
            return Err(DocumentError::UnterminatedString);
        }
        Ok(self.progress)
    }

    /// Parses up to the next event; `None` if the text has no further one.
    fn next_event(&mut self) -> Result<Option<Nesting>, DocumentError> {
        let unparsed = &self.text[self.parsed_bytes..];
        let parsed = self.parser.parse_next(unparsed, false);
        self.parsed_bytes += parsed.consumed_bytes;
        let event = parsed.event.transpose()?;
        Ok(event.map(|event| match event {
            JsonEvent::StartObject | JsonEvent::StartArray => Nesting::Opened,
            JsonEvent::EndObject | JsonEvent::EndArray => Nesting::Closed,
            _ => Nesting::Unchanged,
        }))
    }

    /// The text without the newline of its last line.
    fn into_text(mut self) -> Vec<u8> {
        self.text.pop();
        self.text
    }
}

/// The effect of an event of the parser on the nesting.
enum Nesting {
    Opened,
    Closed,
    Unchanged,
}
