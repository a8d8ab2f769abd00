//! Reads typed JSON fields by path; errors name the field and the expected type.

use serde_json::Value;
use std::error::Error;
use std::fmt;

/// A field of the settings that is missing, of the wrong type or out of range.
#[derive(Debug, PartialEq)]
pub struct InvalidField {
    /// The path from the root of the settings, such as `limits.max-open`.
    pub field: String,
    /// A noun phrase for the values that the field accepts.
    pub expected: String,
}

impl fmt::Display for InvalidField {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "field {}: expected {}", self.field, self.expected)
    }
}

impl Error for InvalidField {}

/// Reads fields of a JSON object by paths such as `limits.max-open`.
pub struct FieldReader<'a> {
    /// The object that paths are relative to.
    pub json: &'a Value,
    /// The path of `json` itself, which is prepended to the field in errors.
    pub path_prefix: &'a str,
}

impl<'a> FieldReader<'a> {
    /// Creates the error for a field that does not hold what is expected.
    pub fn invalid(&self, path: &str, expected: &str) -> InvalidField {
        let dot = if self.path_prefix.is_empty() { "" } else { "." };
        InvalidField {
            field: format!("{}{dot}{path}", self.path_prefix),
            expected: expected.to_string(),
        }
    }

    /// Returns the value of a field, if it is present.
    pub fn get(&self, path: &str) -> Option<&'a Value> {
        path.split('.')
            .try_fold(self.json, |value, part| value.get(part))
    }

    /// Converts the value of a field with `convert`; `expected` describes the accepted values in errors.
    pub fn require<T>(
        &self,
        path: &str,
        expected: &str,
        convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, InvalidField> {
        self.get(path)
            .and_then(convert)
            .ok_or_else(|| self.invalid(path, expected))
    }

    /// Reads any number.
    pub fn number(&self, path: &str) -> Result<f64, InvalidField> {
        self.require(path, "a number", Value::as_f64)
    }

    /// Reads a number from `min` to `max`, both included.
    pub fn number_in_range(&self, min: f64, max: f64, path: &str) -> Result<f64, InvalidField> {
        let expected = format!("a number from {min} to {max}");
        self.require(path, &expected, |value| {
            value.as_f64().filter(|n| (min..=max).contains(n))
        })
    }

    /// Reads an integer that is not negative.
    pub fn unsigned_integer(&self, path: &str) -> Result<u64, InvalidField> {
        self.require(path, "a whole number", Value::as_u64)
    }

    /// Reads an integer of at least `min`.
    pub fn integer_at_least(&self, min: u64, path: &str) -> Result<u64, InvalidField> {
        let expected = format!("a whole number from {min}");
        self.require(path, &expected, |value| {
            value.as_u64().filter(|n| *n >= min)
        })
    }

    /// Reads a string.
    pub fn string(&self, path: &str) -> Result<&'a str, InvalidField> {
        self.require(path, "a string", Value::as_str)
    }

    /// Reads a boolean; false if the field is absent or of another type.
    pub fn flag(&self, path: &str) -> bool {
        self.get(path).and_then(Value::as_bool).unwrap_or(false)
    }

    /// Reads an array.
    pub fn array(&self, path: &str) -> Result<&'a [Value], InvalidField> {
        self.require(path, "an array", |value| {
            value.as_array().map(Vec::as_slice)
        })
    }

    /// Reads an array of strings.
    pub fn strings(&self, path: &str) -> Result<Vec<String>, InvalidField> {
        let string = |value: &Value| {
            value
                .as_str()
                .map(str::to_string)
                .ok_or_else(|| self.invalid(path, "an array of strings"))
        };
        self.array(path)?.iter().map(string).collect()
    }
}
