//! A bounded ring buffer of bytes, one for each direction of a connection; small when it is empty.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// How much memory an empty buffer may keep.
const EMPTY_CAPACITY: usize = 1024;

/// A buffer that grows up to a bound.
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    bound: usize,
}

impl RingBuffer {
    /// An empty buffer for this many bytes at most.
    pub fn new(bound: usize) -> Self {
        RingBuffer {
            bytes: VecDeque::new(),
            bound,
        }
    }

    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// How many more bytes it takes.
    pub fn remaining_capacity(&self) -> usize {
        self.bound.saturating_sub(self.bytes.len())
    }

    /// Appends all of the bytes, or none of them where they exceed the bound. Returns whether they were appended.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.remaining_capacity();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Reads until the source would block or has ended, or the buffer is full. Returns whether the source has ended.
    pub fn read_from(&mut self, from: &mut impl Read) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        while self.remaining_capacity() > 0 {
            let most = self.remaining_capacity().min(part.len());
            match from.read(&mut part[..most]) {
                Ok(0) => return Ok(true),
                Ok(n) => {
                    // Doubling would hold twice the bound for each connection.
                    self.bytes.reserve_exact(n);
                    self.bytes.extend(&part[..n]);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(false)
    }

    /// Writes as much as the sink takes without blocking.
    pub fn write_to(&mut self, to: &mut impl Write) -> io::Result<()> {
        while !self.is_empty() {
            match to.write(self.bytes.as_slices().0) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => self.consume(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// All bytes that it holds, moved into one slice.
    pub fn make_contiguous(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    /// Removes this many bytes from the front, or all where it holds fewer.
    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() {
            self.bytes.shrink_to(EMPTY_CAPACITY);
        }
    }
}
