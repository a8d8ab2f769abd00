//! Parser of the arguments of `MSG.PUT`. The field names of the protocol are used only here.

use crate::command_reader::MAX_ARGUMENT_BYTES;
use crate::delivery::MAX_BODY_BYTES;
use std::collections::BTreeMap;
use thiserror::Error;

pub use crate::command_reader::{Command, CommandReader, ProtocolError, parse_command};

/// A body is an argument.
const _: () = assert!(MAX_ARGUMENT_BYTES == MAX_BODY_BYTES);

/// Maximum length of a complete command.
pub const MAX_COMMAND_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Number of digits of a key or message id.
const HEX_DIGITS: usize = 16;

/// The arguments of `MSG.PUT` without the body.
#[derive(Debug, PartialEq)]
pub struct PutCommand {
    /// Ordering key: messages with the same key are delivered in order. Zero for none.
    pub key: u64,
    /// Message id, chosen by the client.
    pub id: u64,
    /// Name of the queue class: field `c`.
    pub class: String,
    /// How long the message may stay queued: field `d`.
    pub lifetime_ms: u64,
    /// Destination: field `dest`.
    pub destination: u64,
    /// Idempotency key, empty if the client sent none: field `k`.
    pub idempotency_key: String,
}

/// The reason that the arguments of `MSG.PUT` are invalid; the text is part of the reply.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PutError {
    /// Too many or too few arguments.
    #[error("wrong number of arguments for 'MSG.PUT': expected key, id, fields and body")]
    Arguments,
    /// An argument is not a number of 16 lower-case hex digits.
    #[error("{0}: expected 16 hex digits")]
    NotHex(&'static str),
    /// The fields are not UTF-8.
    #[error("fields: expected text")]
    FieldsNotText,
    /// A field occurs twice.
    #[error("{}: named twice", .0.escape_debug())]
    Duplicate(String),
    /// A numeric field is missing or invalid.
    #[error("{0}: expected a whole number")]
    NotNumber(&'static str),
    /// The idempotency key is too long or contains other characters than graphic ASCII.
    #[error("k: expected at most 64 plain characters")]
    Key,
    /// The field of the class is missing.
    #[error("c: expected a class")]
    NoClass,
}

/// Parses the arguments of `MSG.PUT` except the body.
pub fn parse_put(arguments: &[&[u8]]) -> Result<PutCommand, PutError> {
    let [_, key, id, fields, _] = arguments else {
        return Err(PutError::Arguments);
    };
    let (key, id) = (parse_hex("key", key)?, parse_hex("id", id)?);
    let fields = std::str::from_utf8(fields).or(Err(PutError::FieldsNotText))?;
    let mut values = BTreeMap::new();
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        if values.insert(name, value).is_some() {
            return Err(PutError::Duplicate(name.to_string()));
        }
    }
    let number = |name: &'static str| {
        let digits = values
            .get(name)
            .filter(|value| value.bytes().all(|b| b.is_ascii_digit()));
        digits
            .and_then(|value| value.parse::<u64>().ok())
            .ok_or(PutError::NotNumber(name))
    };
    let idempotency_key = values.get("k").copied().unwrap_or("");
    let graphic = idempotency_key.bytes().all(|b| b.is_ascii_graphic());
    if idempotency_key.len() > MAX_KEY_BYTES || !graphic {
        return Err(PutError::Key);
    }
    Ok(PutCommand {
        key,
        id,
        class: values.get("c").ok_or(PutError::NoClass)?.to_string(),
        lifetime_ms: number("d")?,
        destination: number("dest")?,
        idempotency_key: idempotency_key.to_string(),
    })
}

fn parse_hex(name: &'static str, argument: &[u8]) -> Result<u64, PutError> {
    let digits = argument.len() == HEX_DIGITS
        && argument
            .iter()
            .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let text = std::str::from_utf8(argument).ok().filter(|_| digits);
    text.and_then(|t| u64::from_str_radix(t, 16).ok())
        .ok_or(PutError::NotHex(name))
}
