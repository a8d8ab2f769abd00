//! Parses a line: a name, followed by name=value pairs separated by spaces. The last field may be free text.

use crate::error::LineError;
use bellsill_core::interface::MessageId;

/// Fields whose value is free text that extends to the end of the line.
const FREE_TEXT_FIELDS: [&str; 2] = ["boot-info", "message"];
/// The maximum number of characters of a line that are quoted in an error.
const MAX_QUOTED_CHARS: usize = 120;

/// A line split into its name and fields.
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
            let Some((field, remainder)) = rest.split_once('=') else {
                return Err(LineError::MissingValue {
                    line: text.to_string(),
                });
            };
            let value = if FREE_TEXT_FIELDS.contains(&field) {
                remainder
            } else {
                remainder
                    .split_once(' ')
                    .map_or(remainder, |(value, _)| value)
            };
            fields.push((field, value));
            rest = remainder[value.len()..].trim_start_matches(' ');
        }
        Ok(Line { name, text, fields })
    }

    /// Creates the error for a field that is missing or malformed.
    pub(crate) fn invalid_field(&self, field: &str, expected: &str) -> LineError {
        LineError::InvalidField {
            line: self.text.chars().take(MAX_QUOTED_CHARS).collect(),
            field: field.to_string(),
            expected: expected.to_string(),
        }
    }

    /// Creates the error for an unexpected line name.
    pub(crate) fn invalid_name(&self, expected: &str) -> LineError {
        self.invalid_field("", expected)
    }

    pub(crate) fn optional(&self, field: &str) -> Option<&'a str> {
        self.fields
            .iter()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| *value)
    }

    pub(crate) fn required(&self, field: &str) -> Result<&'a str, LineError> {
        self.optional(field)
            .ok_or_else(|| self.invalid_field(field, "a value"))
    }

    pub(crate) fn optional_number(&self, field: &str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.optional(field) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.invalid_field(field, "a whole number")),
        }
    }

    pub(crate) fn number(&self, field: &str) -> Result<u64, LineError> {
        self.optional_number(field)?
            .ok_or_else(|| self.invalid_field(field, "a whole number"))
    }

    pub(crate) fn message_id(&self, field: &str) -> Result<MessageId, LineError> {
        match u64::from_str_radix(self.required(field)?, 16) {
            Ok(id) => Ok(MessageId(id)),
            Err(_) => Err(self.invalid_field(field, "16 hex digits")),
        }
    }
}
