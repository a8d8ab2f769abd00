//! RESP2 as clients speak it: commands in, replies out. Its words end here.

use std::collections::BTreeMap;
use std::ops::Range;

/// The most that a body may hold.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The most that a whole command may take.
pub const MAX_COMMAND_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
const MAX_WORDS: usize = 64;
const MAX_LINE_BYTES: usize = 1024;

/// What is wrong with a command, said plainly.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub &'static str);

/// Where the words of a command stand in the input, and how much of it the command took.
pub type Command = (Vec<Range<usize>>, usize);

/// The line at `from`, and where the next one begins.
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

/// The first command of the input, once all of it has come: an array of bulk strings, or words on one line.
pub fn command(bytes: &[u8]) -> Result<Option<Command>, Malformed> {
    let Some((head, mut at)) = line(bytes, 0)? else {
        return Ok(None);
    };
    if head.first() != Some(&b'*') {
        let mut words = Vec::new();
        let mut from = 0;
        for part in head.split(|b| *b == b' ') {
            if !part.is_empty() {
                words.push(from..from + part.len());
            }
            from += part.len() + 1;
        }
        let plain = head.iter().all(|b| (b' '..=b'~').contains(b));
        return if plain {
            Ok(Some((words, at)))
        } else {
            Err(Malformed("expected '*'"))
        };
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

/// A message as a client hands it in.
#[derive(Debug, PartialEq)]
pub struct PutCommand {
    pub key: u64,
    pub id: u64,
    pub class: String,
    pub lifetime_ms: u64,
    pub destination: u64,
    pub idempotency_key: String,
}

/// Reads the words of MSG.PUT but for the body; says which is bad.
pub fn put(words: &[&[u8]]) -> Result<PutCommand, String> {
    let [_, key, id, fields, _] = words else {
        return Err(
            "wrong number of arguments for 'MSG.PUT': expected key, id, fields and body".into(),
        );
    };
    let hex = |name: &str, word: &[u8]| {
        let digits =
            word.len() == 16 && word.iter().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let text = std::str::from_utf8(word).ok().filter(|_| digits);
        text.and_then(|t| u64::from_str_radix(t, 16).ok())
            .ok_or(format!("{name}: expected 16 hex digits"))
    };
    let (key, id) = (hex("key", key)?, hex("id", id)?);
    let fields = std::str::from_utf8(fields).map_err(|_| "fields: expected text")?;
    let mut values = BTreeMap::new();
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        if values.insert(name, value).is_some() {
            return Err(format!("{}: named twice", name.escape_debug()));
        }
    }
    let find = |name: &str| values.get(name).copied();
    let whole = |name: &str| {
        let digits = find(name).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        digits
            .and_then(|v| v.parse::<u64>().ok())
            .ok_or(format!("{name}: expected a whole number"))
    };
    let idempotency_key = find("k").unwrap_or("");
    if idempotency_key.len() > 64 || !idempotency_key.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("k: expected at most 64 plain characters".into());
    }
    Ok(PutCommand {
        key,
        id,
        class: find("c").ok_or("c: expected a class")?.to_string(),
        lifetime_ms: whole("d")?,
        destination: whole("dest")?,
        idempotency_key: idempotency_key.to_string(),
    })
}
