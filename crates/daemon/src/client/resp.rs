//! RESP2 as clients speak it: commands in, answers out. The words of the protocol end here.

use crate::delivery::MAX_BODY_BYTES;
use std::collections::BTreeMap;
use std::ops::Range;
use thiserror::Error;

/// The most that a complete command may take.
pub const MAX_COMMAND_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
/// The most words of a command.
const MAX_WORDS: usize = 64;
/// The longest line: of inline words, or of a length.
const MAX_LINE_BYTES: usize = 1024;
/// The longest idempotency key.
const MAX_KEY_BYTES: usize = 64;
/// Keys and ids are written with this many digits.
const HEX_DIGITS: usize = 16;

/// Why input is not a command; the text goes into the answer.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub &'static str);

/// Where the words of a command are in the input, and how much of the input the command took.
pub type Command = (Vec<Range<usize>>, usize);

/// The line that begins at `from`, and where the next one begins.
fn line(bytes: &[u8], from: usize) -> Result<Option<(&[u8], usize)>, Malformed> {
    let rest = &bytes[from..];
    match rest.iter().position(|&b| b == b'\n') {
        Some(end) if end > MAX_LINE_BYTES => Err(Malformed("a line is too long")),
        Some(end) => {
            let text = &rest[..end];
            Ok(Some((
                text.strip_suffix(b"\r").unwrap_or(text),
                from + end + 1,
            )))
        }
        None if rest.len() > MAX_LINE_BYTES => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

fn number(text: &[u8], most: usize, wrong: &'static str) -> Result<usize, Malformed> {
    let read = std::str::from_utf8(text)
        .ok()
        .and_then(|t| t.parse::<usize>().ok());
    read.filter(|&n| n <= most && text[0] != b'+')
        .ok_or(Malformed(wrong))
}

/// The first command of the input, once all of it has arrived: an array of bulk strings, or words on one line.
pub fn command(bytes: &[u8]) -> Result<Option<Command>, Malformed> {
    let Some((head, mut at)) = line(bytes, 0)? else {
        return Ok(None);
    };
    if head.first() != Some(&b'*') {
        return inline(head).map(|words| Some((words, at)));
    }
    let count = number(&head[1..], MAX_WORDS, "invalid multibulk length")?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((head, from)) = line(bytes, at)? else {
            return Ok(None);
        };
        if head.first() != Some(&b'$') {
            return Err(Malformed("expected '$'"));
        }
        let end = from + number(&head[1..], MAX_BODY_BYTES, "invalid bulk length")?;
        match bytes.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(Malformed("a bulk string does not end where it should")),
        }
        words.push(from..end);
        at = end + 2;
    }
    Ok(Some((words, at)))
}

/// Words on one line.
fn inline(line: &[u8]) -> Result<Vec<Range<usize>>, Malformed> {
    let mut words = Vec::new();
    let mut from = 0;
    for part in line.split(|b| *b == b' ') {
        if !part.is_empty() {
            words.push(from..from + part.len());
        }
        from += part.len() + 1;
    }
    if line.iter().all(|b| (b' '..=b'~').contains(b)) {
        Ok(words)
    } else {
        Err(Malformed("expected '*'"))
    }
}

/// MSG.PUT without its body: a message as a client hands it in.
#[derive(Debug, PartialEq)]
pub struct PutCommand {
    /// Messages of one key are delivered in order; zero for none.
    pub key: u64,
    /// The client's id of the message.
    pub id: u64,
    /// The name of its class: field `c`.
    pub class: String,
    /// Its queue lifetime: field `d`.
    pub lifetime_ms: u64,
    /// Where it goes: field `dest`.
    pub destination: u64,
    /// The idempotency key, which may be empty: field `k`.
    pub idempotency_key: String,
}

/// Why MSG.PUT is not accepted; the text goes into the answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PutError {
    /// It has too many or too few words.
    #[error("wrong number of arguments for 'MSG.PUT': expected key, id, fields and body")]
    Arguments,
    /// An argument is not a number as it is to be written.
    #[error("{0}: expected 16 hex digits")]
    NotHex(&'static str),
    /// The fields are not text.
    #[error("fields: expected text")]
    FieldsNotText,
    /// A field occurs twice.
    #[error("{}: named twice", .0.escape_debug())]
    Duplicate(String),
    /// A field is missing or not a number.
    #[error("{0}: expected a whole number")]
    NotNumber(&'static str),
    /// The idempotency key is too long, or has other characters.
    #[error("k: expected at most 64 plain characters")]
    Key,
    /// The class is missing.
    #[error("c: expected a class")]
    NoClass,
}

/// Reads the words of MSG.PUT except the body.
pub fn put(words: &[&[u8]]) -> Result<PutCommand, PutError> {
    let [_, key, id, fields, _] = words else {
        return Err(PutError::Arguments);
    };
    let (key, id) = (hex("key", key)?, hex("id", id)?);
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
    let plain = idempotency_key.bytes().all(|b| b.is_ascii_graphic());
    if idempotency_key.len() > MAX_KEY_BYTES || !plain {
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

fn hex(name: &'static str, word: &[u8]) -> Result<u64, PutError> {
    let digits =
        word.len() == HEX_DIGITS && word.iter().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    let text = std::str::from_utf8(word).ok().filter(|_| digits);
    text.and_then(|t| u64::from_str_radix(t, 16).ok())
        .ok_or(PutError::NotHex(name))
}
