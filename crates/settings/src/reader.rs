//! Reads fields of JSON by their paths, with an error that says what is missing.

use serde_json::Value;
use std::error::Error;
use std::fmt;

/// A field of the settings that is missing or of the wrong form.
#[derive(Debug, PartialEq)]
pub struct InvalidField {
    /// The path from the root of the settings, such as `limits.max-open`.
    pub field: String,
    /// The form that the field has to have, as a noun.
    pub expected: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field {}: expected {}", self.field, self.expected)
    }
}

impl Error for InvalidField {}

/// Reads values by paths such as `limits.max-open`.
pub struct FieldReader<'a> {
    /// The object that paths start from.
    pub json: &'a Value,
    /// The path of `json` itself, which comes first in errors.
    pub path_prefix: &'a str,
}

impl<'a> FieldReader<'a> {
    /// The error that a field is not as expected.
    pub fn invalid(&self, path: &str, expected: &str) -> InvalidField {
        let dot = if self.path_prefix.is_empty() { "" } else { "." };
        InvalidField {
            field: format!("{}{dot}{path}", self.path_prefix),
            expected: expected.to_string(),
        }
    }

    /// The value of a field, if it is there.
    pub fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.')
            .try_fold(self.json, |value, part| value.get(part))
    }

    /// The value of a field that `read` accepts; `expected` names the form that it accepts.
    pub fn require<T>(
        &self,
        path: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, InvalidField> {
        self.get(path)
            .and_then(read)
            .ok_or_else(|| self.invalid(path, expected))
    }

    /// Any number.
    pub fn number(&self, path: &str) -> Result<f64, InvalidField> {
        self.require(path, "a number", Value::as_f64)
    }

    /// A number in this range, its ends included.
    pub fn number_in_range(&self, least: f64, most: f64, path: &str) -> Result<f64, InvalidField> {
        let expected = format!("a number from {least} to {most}");
        self.require(path, &expected, |value| {
            value.as_f64().filter(|n| (least..=most).contains(n))
        })
    }

    /// A whole number that is not negative.
    pub fn unsigned_integer(&self, path: &str) -> Result<u64, InvalidField> {
        self.require(path, "a whole number", Value::as_u64)
    }

    /// A whole number of at least `least`.
    pub fn integer_at_least(&self, least: u64, path: &str) -> Result<u64, InvalidField> {
        let expected = format!("a whole number from {least}");
        self.require(path, &expected, |value| {
            value.as_u64().filter(|n| *n >= least)
        })
    }

    /// A string.
    pub fn string(&self, path: &str) -> Result<&'a str, InvalidField> {
        self.require(path, "a word", Value::as_str)
    }

    /// A boolean; false where there is none.
    pub fn flag(&self, path: &str) -> bool {
        self.get(path).and_then(Value::as_bool).unwrap_or(false)
    }

    /// An array.
    pub fn array(&self, path: &str) -> Result<&'a [Value], InvalidField> {
        self.require(path, "a list", |value| value.as_array().map(Vec::as_slice))
    }

    /// An array of strings.
    pub fn strings(&self, path: &str) -> Result<Vec<String>, InvalidField> {
        let word = |value: &Value| {
            value
                .as_str()
                .map(str::to_string)
                .ok_or_else(|| self.invalid(path, "words"))
        };
        self.array(path)?.iter().map(word).collect()
    }
}
