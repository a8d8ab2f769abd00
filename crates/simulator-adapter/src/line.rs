//! The form of a line: a name, then name=value pairs separated by spaces. Some last fields are free text.

use crate::error::LineError;
use bellsill_core::interface::MessageId;

/// Fields whose value is free text up to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["boot-info", "message"];
/// The most characters of a line that are shown in an error.
const SHOWN_CHARACTERS: usize = 120;

/// A line, split into its fields.
pub(crate) struct Line<'a> {
    pub(crate) name: &'a str,
    text: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    pub(crate) fn parse(text: &'a str) -> Result<Self, LineError> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        let mut fields = Vec::new();
        while !rest.is_empty() {
            let Some((field, after)) = rest.split_once('=') else {
                return Err(LineError::NotPairs {
                    line: text.to_string(),
                });
            };
            let value = if TEXT_FIELDS.contains(&field) {
                after
            } else {
                after.split_once(' ').map_or(after, |(value, _)| value)
            };
            fields.push((field, value));
            rest = after[value.len()..].trim_start_matches(' ');
        }
        Ok(Line { name, text, fields })
    }

    /// The error that a field is not as expected.
    pub(crate) fn invalid(&self, field: &str, expected: &str) -> LineError {
        LineError::Field {
            line: self.text.chars().take(SHOWN_CHARACTERS).collect(),
            field: field.to_string(),
            expected: expected.to_string(),
        }
    }

    /// The error that the line's name is not as expected.
    pub(crate) fn invalid_name(&self, expected: &str) -> LineError {
        self.invalid("", expected)
    }

    pub(crate) fn get(&self, field: &str) -> Option<&'a str> {
        self.fields
            .iter()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| *value)
    }

    pub(crate) fn text(&self, field: &str) -> Result<&'a str, LineError> {
        self.get(field)
            .ok_or_else(|| self.invalid(field, "a value"))
    }

    pub(crate) fn optional_number(&self, field: &str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.get(field) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.invalid(field, "a whole number")),
        }
    }

    pub(crate) fn number(&self, field: &str) -> Result<u64, LineError> {
        self.optional_number(field)?
            .ok_or_else(|| self.invalid(field, "a whole number"))
    }

    pub(crate) fn message_id(&self, field: &str) -> Result<MessageId, LineError> {
        match u64::from_str_radix(self.text(field)?, 16) {
            Ok(id) => Ok(MessageId(id)),
            Err(_) => Err(self.invalid(field, "16 hex digits")),
        }
    }
}
