//! Files of frames: each has a head with its length and checksums, and then its bytes.

use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, Read, Seek, SeekFrom, Write};
use std::path::Path;

/// The length of the bytes, the checksum of the length, and the checksum of the bytes: little-endian, 32 bits each.
const HEAD: usize = 12;
/// The longest frame that is read.
const LONGEST: u32 = 64 * 1024 * 1024;
/// Frames that wait for a sync are written once they are so long.
const LONG: usize = 1024 * 1024;

/// What a file has next.
pub enum Next {
    Frame(Vec<u8>),
    End,
    /// The file ends in the middle of a frame.
    Torn,
    /// What there is was not written so.
    Damaged(&'static str),
}

/// Reads the frames of a file.
pub struct FrameReader {
    file: BufReader<File>,
    offset: u64,
    length: u64,
}

impl FrameReader {
    /// Opens a file; none where there is no such file.
    pub fn open(path: &Path) -> io::Result<Option<FrameReader>> {
        match File::open(path) {
            Ok(file) => {
                let length = file.metadata()?.len();
                Ok(Some(FrameReader { file: BufReader::new(file), offset: 0, length }))
            }
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Where the next frame begins.
    pub fn offset(&self) -> u64 {
        self.offset
    }

    pub fn next(&mut self) -> io::Result<Next> {
        let left = self.length - self.offset;
        if left == 0 {
            return Ok(Next::End);
        }
        if left < HEAD as u64 {
            return Ok(Next::Torn);
        }
        let mut head = [0; HEAD];
        self.file.read_exact(&mut head)?;
        let [length, length_sum, sum] = numbers(head);
        if head == [0; HEAD] && self.rest_is_empty()? {
            // A file system may lengthen a file before it has the bytes.
            return Ok(Next::Torn);
        }
        if length_sum != crc32fast::hash(&head[..4]) || length > LONGEST {
            return Ok(Next::Damaged("the checksum of a length is wrong"));
        }
        if left < HEAD as u64 + u64::from(length) {
            return Ok(Next::Torn);
        }
        let mut bytes = vec![0; length as usize];
        self.file.read_exact(&mut bytes)?;
        if crc32fast::hash(&bytes) != sum {
            return Ok(Next::Damaged("the checksum of a record is wrong"));
        }
        self.offset += HEAD as u64 + u64::from(length);
        Ok(Next::Frame(bytes))
    }

    fn rest_is_empty(&mut self) -> io::Result<bool> {
        for byte in self.file.by_ref().bytes() {
            if byte? != 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }
}

fn numbers(head: [u8; HEAD]) -> [u32; 3] {
    let number = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    [number(0), number(4), number(8)]
}

/// Writes frames to the end of a file.
pub struct FrameWriter {
    file: File,
    /// Frames that are not written yet.
    buffer: Vec<u8>,
    length: u64,
}

impl FrameWriter {
    /// Begins an empty file.
    pub fn create(path: &Path) -> io::Result<FrameWriter> {
        Ok(FrameWriter { file: File::create(path)?, buffer: Vec::new(), length: 0 })
    }

    /// Goes on in a file behind its good frames; what follows them is cut off.
    pub fn open(path: &Path, length: u64) -> io::Result<FrameWriter> {
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.set_len(length)?;
        file.seek(SeekFrom::Start(length))?;
        Ok(FrameWriter { file, buffer: Vec::new(), length })
    }

    /// The bytes written, and waiting to be.
    pub fn length(&self) -> u64 {
        self.length + self.buffer.len() as u64
    }

    /// Adds a frame.
    pub fn push(&mut self, bytes: &[u8]) {
        let length = (bytes.len() as u32).to_le_bytes();
        self.buffer.extend(length);
        self.buffer.extend(crc32fast::hash(&length).to_le_bytes());
        self.buffer.extend(crc32fast::hash(bytes).to_le_bytes());
        self.buffer.extend(bytes);
    }

    /// Writes what waits, if it is much.
    pub fn flush_if_long(&mut self) -> io::Result<()> {
        if self.buffer.len() < LONG { Ok(()) } else { self.flush() }
    }

    /// Writes what waits, and returns once it is on disk.
    pub fn sync(&mut self) -> io::Result<()> {
        self.flush()?;
        self.file.sync_data()
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.write_all(&self.buffer)?;
        self.length += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }
}
