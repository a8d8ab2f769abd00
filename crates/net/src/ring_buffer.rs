//! A bounded byte ring buffer for one direction of a connection; an empty buffer keeps little memory allocated.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// Memory that an empty buffer may keep allocated, in bytes.
const MAX_EMPTY_ALLOCATION: usize = 1024;

/// A parser begins anew once the bytes that it has seen have grown by one part in this many.
const PARSE_FRACTION: usize = 8;

/// How often in a row a call may be interrupted before the interruption is returned as an error, so that the caller can
/// serve others first.
const MAX_INTERRUPTIONS: usize = 16;

/// A byte buffer that grows on demand up to a fixed capacity.
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    capacity: usize,
    /// The number of bytes at the front that are known to hold no line end.
    scanned: usize,
    /// The number of bytes at the front that a parser has found to be incomplete.
    incomplete: usize,
    /// Whether these bytes are more than line ends.
    has_content: bool,
    /// The length at which a parser has said that the bytes will be complete; 0 if it is not known.
    complete_at: usize,
}

impl RingBuffer {
    /// Creates an empty buffer that holds at most `capacity` bytes. Nothing is allocated yet.
    pub fn new(capacity: usize) -> Self {
        RingBuffer {
            bytes: VecDeque::new(),
            capacity,
            scanned: 0,
            incomplete: 0,
            has_content: false,
            complete_at: 0,
        }
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that can still be appended.
    pub fn remaining_capacity(&self) -> usize {
        self.capacity.saturating_sub(self.bytes.len())
    }

    /// Appends all of the bytes, or none of them if they do not fit. Returns whether they were appended.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.remaining_capacity();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Reads until the source would block, reaches end of file, or the buffer is full. Returns whether it reached end
    /// of file. Calls that are interrupted are repeated a few times.
    pub fn read_from(&mut self, source: &mut impl Read) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let mut interruptions = 0;
        while self.remaining_capacity() > 0 {
            let limit = self.remaining_capacity().min(chunk.len());
            match source.read(&mut chunk[..limit]) {
                Ok(0) => return Ok(true),
                Ok(n) => {
                    self.reserve(n);
                    self.bytes.extend(&chunk[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if is_repeated(&e, &mut interruptions) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Allocates space for more bytes: half as much again as there is, so that input in small pieces is not copied for
    /// each of them, but never more than the capacity.
    fn reserve(&mut self, additional: usize) {
        let needed = self.bytes.len() + additional;
        if needed > self.bytes.capacity() {
            let grown = (self.bytes.capacity() / 2 * 3).min(self.capacity);
            self.bytes
                .reserve_exact(needed.max(grown) - self.bytes.len());
        }
    }

    /// The position of the first line end. Each byte is looked at once, however often more of the line arrives.
    pub fn find_line_end(&mut self) -> Option<usize> {
        let scanned = self.scanned;
        let unscanned = &self.bytes.make_contiguous()[scanned..];
        match unscanned.iter().position(|&b| b == b'\n') {
            Some(end) => {
                self.scanned += end;
                Some(self.scanned)
            }
            None => {
                self.scanned = self.bytes.len();
                None
            }
        }
    }

    /// Notes that a parser has found the buffered bytes to be incomplete.
    pub fn mark_incomplete(&mut self) {
        self.has_content |= self.has_new_content();
        self.incomplete = self.bytes.len();
    }

    /// Notes that a parser needs this many bytes.
    pub fn mark_incomplete_until(&mut self, length: usize) {
        self.complete_at = length;
    }

    /// Whether enough has arrived since the bytes were marked as incomplete that a parser that begins anew should: all that
    /// it needs, the rest of a line, a fraction of what it has seen, or `limit` bytes. So a head of a limited number of
    /// lines costs time linear in its length.
    pub fn is_parse_due(&self, limit: usize) -> bool {
        let length = self.bytes.len();
        if self.complete_at > 0 {
            return length >= self.complete_at;
        }
        let arrived = length.saturating_sub(self.incomplete);
        length >= limit
            || arrived * PARSE_FRACTION >= self.incomplete.max(1)
            || self.completes_line()
    }

    /// Whether what has arrived since ends a line behind more than line ends, which may stand in front of a head.
    fn completes_line(&self) -> bool {
        (self.has_content || self.has_new_content())
            && self.bytes.range(self.incomplete..).any(|&b| b == b'\n')
    }

    fn has_new_content(&self) -> bool {
        let mut arrived = self.bytes.range(self.incomplete..);
        arrived.any(|b| !matches!(b, b'\r' | b'\n'))
    }

    /// Writes until the buffer is empty or the sink would block. Calls that are interrupted are repeated a few times.
    pub fn write_to(&mut self, sink: &mut impl Write) -> io::Result<()> {
        let mut interruptions = 0;
        while !self.is_empty() {
            match sink.write(self.bytes.as_slices().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if is_repeated(&e, &mut interruptions) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Rearranges the buffered bytes into one contiguous slice and returns it.
    pub fn make_contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Removes up to `count` bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        self.scanned = self.scanned.saturating_sub(count);
        if count > 0 {
            self.incomplete = 0;
            self.has_content = false;
            self.complete_at = 0;
        }
        if self.bytes.is_empty() {
            self.bytes.shrink_to(MAX_EMPTY_ALLOCATION);
        }
    }
}

/// Whether a call that failed with this error is repeated at once; counts the interruptions.
fn is_repeated(error: &io::Error, interruptions: &mut usize) -> bool {
    *interruptions += 1;
    error.kind() == io::ErrorKind::Interrupted && *interruptions < MAX_INTERRUPTIONS
}
