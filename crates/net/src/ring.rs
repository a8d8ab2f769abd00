//! A bounded ring buffer of bytes, one for each direction of a connection; small when it is empty.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// What an empty ring may keep of its memory.
const AT_REST: usize = 1024;

pub struct Ring {
    bytes: VecDeque<u8>,
    bound: usize,
}

impl Ring {
    pub fn new(bound: usize) -> Self {
        Ring {
            bytes: VecDeque::new(),
            bound,
        }
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn room(&self) -> usize {
        self.bound.saturating_sub(self.bytes.len())
    }

    /// Takes all of the bytes, or none where they pass the bound.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.room();
        if fits {
            self.bytes.extend(bytes);
        }
        fits
    }

    /// Reads until the source has no more for now, has ended (true), or the ring is full.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<bool> {
        let mut part = [0; 16 * 1024];
        while self.room() > 0 {
            let most = self.room().min(part.len());
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

    /// Writes as much as the sink takes.
    pub fn drain(&mut self, to: &mut impl Write) -> io::Result<()> {
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

    /// All that it holds, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.bytes.make_contiguous()
    }

    pub fn consume(&mut self, count: usize) {
        self.bytes.drain(..count.min(self.bytes.len()));
        if self.bytes.is_empty() {
            self.bytes.shrink_to(AT_REST);
        }
    }
}
