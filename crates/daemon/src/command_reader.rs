//! Parses RESP2 commands that arrive in pieces: arrays of bulk strings, and inline commands.

use std::ops::Range;

/// The maximum length of an argument.
pub(crate) const MAX_ARGUMENT_BYTES: usize = 64 * 1024;
/// The maximum number of arguments of a command, its name included.
const MAX_ARGUMENTS: usize = 64;
/// The maximum length of an inline command and of a line that declares a length.
const MAX_LINE_BYTES: usize = 1024;

/// The reason that input is not a valid command; the text is part of the reply.
#[derive(Debug, PartialEq)]
pub struct ProtocolError(pub &'static str);

/// The positions of a command's arguments in the input, and the length of the command.
pub type Command = (Vec<Range<usize>>, usize);

/// Parses the first command of an input that arrives in pieces. Each byte is looked at once, however many pieces there are.
#[derive(Debug, Default)]
pub struct CommandReader {
    /// The number of arguments, once the line that declares it is complete.
    count: Option<usize>,
    /// The arguments that are complete.
    arguments: Vec<Range<usize>>,
    /// The position of the next argument, once its length is declared.
    next: Option<Range<usize>>,
    /// The position behind everything that is complete.
    at: usize,
    /// The number of bytes behind `at` that have no line end.
    scanned: usize,
}

impl CommandReader {
    /// Parses on. `bytes` is the input from the beginning of the command; between two calls it may only grow. Returns the
    /// command once it has arrived completely. The reader is then, or after an error, ready for the next command.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Option<Command>, ProtocolError> {
        let command = self.continue_command(bytes);
        if !matches!(command, Ok(None)) {
            *self = CommandReader::default();
        }
        command
    }

    fn continue_command(&mut self, bytes: &[u8]) -> Result<Option<Command>, ProtocolError> {
        if self.count.is_none() {
            let Some(line) = self.read_line(bytes)? else {
                return Ok(None);
            };
            let head = &bytes[line];
            if head.first() != Some(&b'*') {
                return parse_inline(head).map(|arguments| Some((arguments, self.at)));
            }
            self.count = Some(parse_length(
                &head[1..],
                MAX_ARGUMENTS,
                "invalid multibulk length",
            )?);
        }
        while self.count.is_some_and(|count| self.arguments.len() < count) {
            if self.read_argument(bytes)?.is_none() {
                return Ok(None);
            }
        }
        Ok(Some((std::mem::take(&mut self.arguments), self.at)))
    }

    /// Reads the next argument; `None` if it has not arrived completely.
    fn read_argument(&mut self, bytes: &[u8]) -> Result<Option<()>, ProtocolError> {
        let argument = match self.next.clone() {
            Some(argument) => argument,
            None => {
                let Some(line) = self.read_line(bytes)? else {
                    return Ok(None);
                };
                let head = &bytes[line];
                if head.first() != Some(&b'$') {
                    return Err(ProtocolError("expected '$'"));
                }
                let length = parse_length(&head[1..], MAX_ARGUMENT_BYTES, "invalid bulk length")?;
                self.next.insert(self.at..self.at + length).clone()
            }
        };
        let end = argument.end;
        match bytes.get(end..end + 2) {
            None => return Ok(None),
            Some(b"\r\n") => {}
            Some(_) => return Err(ProtocolError("a bulk string does not end where it should")),
        }
        self.arguments.push(argument);
        self.next = None;
        self.at = end + 2;
        Ok(Some(()))
    }

    /// The line that begins at `at`, without its end; `at` moves behind it. `None` if it has not arrived completely.
    fn read_line(&mut self, bytes: &[u8]) -> Result<Option<Range<usize>>, ProtocolError> {
        let from = self.at;
        let unscanned = &bytes[from + self.scanned..];
        let end = match unscanned.iter().position(|&b| b == b'\n') {
            Some(end) => self.scanned + end,
            None => {
                self.scanned += unscanned.len();
                return match self.scanned > MAX_LINE_BYTES {
                    true => Err(ProtocolError("a line is too long")),
                    false => Ok(None),
                };
            }
        };
        if end > MAX_LINE_BYTES {
            return Err(ProtocolError("a line is too long"));
        }
        self.scanned = 0;
        self.at = from + end + 1;
        let text = &bytes[from..from + end];
        let length = text.strip_suffix(b"\r").unwrap_or(text).len();
        Ok(Some(from..from + length))
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
    CommandReader::default().read(bytes)
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
