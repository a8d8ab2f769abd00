//! Parser of RESP2 commands and of the arguments of `MSG.PUT`. The field names of the protocol are used only here.

use crate::delivery::MAX_BODY_BYTES;
use std::collections::BTreeMap;
use std::ops::Range;
use thiserror::Error;

/// Maximum length of a complete command.
pub const MAX_COMMAND_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
/// Maximum number of arguments of a command, its name included.
const MAX_ARGUMENTS: usize = 64;
/// Maximum length of an inline command and of a line that declares a length.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Number of digits of a key or message id.
const HEX_DIGITS: usize = 16;

/// The reason that input is not a valid command; the text is part of the reply.
#[derive(Debug, PartialEq)]
pub struct ProtocolError(pub &'static str);

/// The positions of a command's arguments in the input, and the length of the command.
pub type Command = (Vec<Range<usize>>, usize);

/// The line that begins at `from`, without its end, and the position of the next line.
fn read_line(bytes: &[u8], from: usize) -> Result<Option<(&[u8], usize)>, ProtocolError> {
    let rest = &bytes[from..];
    match rest.iter().position(|&b| b == b'\n') {
        Some(end) if end > MAX_LINE_BYTES => Err(ProtocolError("a line is too long")),
        Some(end) => {
            let text = &rest[..end];
            Ok(Some((
                text.strip_suffix(b"\r").unwrap_or(text),
                from + end + 1,
            )))
        }
        None if rest.len() > MAX_LINE_BYTES => Err(ProtocolError("a line is too long")),
        None => Ok(None),
    }
}

fn parse_length(text: &[u8], max: usize, error: &'static str) -> Result<usize, ProtocolError> {
    let length = std::str::from_utf8(text)
        .ok()
        .and_then(|t| t.parse::<usize>().ok());
    length
        .filter(|&n| n <= max && text[0] != b'+')
        .ok_or(ProtocolError(error))
}

/// Parses the first command of the input: an array of bulk strings, or an inline command. `None` if it has not arrived
/// completely.
pub fn parse_command(bytes: &[u8]) -> Result<Option<Command>, ProtocolError> {
    let Some((head, mut at)) = read_line(bytes, 0)? else {
        return Ok(None);
    };
    if head.first() != Some(&b'*') {
        return parse_inline(head).map(|arguments| Some((arguments, at)));
    }
    let count = parse_length(&head[1..], MAX_ARGUMENTS, "invalid multibulk length")?;
    let mut arguments = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((head, from)) = read_line(bytes, at)? else {
            return Ok(None);
        };
        if head.first() != Some(&b'$') {
            return Err(ProtocolError("expected '$'"));
        }
        let end = from + parse_length(&head[1..], MAX_BODY_BYTES, "invalid bulk length")?;
        match bytes.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(ProtocolError("a bulk string does not end where it should")),
        }
        arguments.push(from..end);
        at = end + 2;
    }
    Ok(Some((arguments, at)))
}

/// Parses an inline command: arguments separated by spaces on one line.
fn parse_inline(line: &[u8]) -> Result<Vec<Range<usize>>, ProtocolError> {
    let mut arguments = Vec::new();
    let mut from = 0;
    for part in line.split(|b| *b == b' ') {
        if !part.is_empty() {
            arguments.push(from..from + part.len());
        }
        from += part.len() + 1;
    }
    if line.iter().all(|b| (b' '..=b'~').contains(b)) {
        Ok(arguments)
    } else {
        Err(ProtocolError("expected '*'"))
    }
}

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
