//! A bounded byte ring buffer for one direction of a connection; an empty buffer keeps little memory allocated.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// Memory that an empty buffer may keep allocated, in bytes.
const MAX_EMPTY_ALLOCATION: usize = 1024;

/// How often in a row a call may be interrupted before the interruption is returned as an error, so that the caller can
/// serve others first.
const MAX_INTERRUPTIONS: usize = 16;

/// A byte buffer that grows on demand up to a fixed capacity.
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    capacity: usize,
}

impl RingBuffer {
    /// Creates an empty buffer that holds at most `capacity` bytes. Nothing is allocated yet.
    pub fn new(capacity: usize) -> Self {
        RingBuffer {
            bytes: VecDeque::new(),
            capacity,
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
                    // The default doubling could allocate twice the capacity for each connection.
                    self.bytes.reserve_exact(n);
                    self.bytes.extend(&chunk[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if is_repeated(&e, &mut interruptions) => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
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
