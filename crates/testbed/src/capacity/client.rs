//! A client of a dispatcher: RESP2 on one connection, blocking.

use super::listing::{CLASS, LIFETIME_MS};
use anyhow::{Result, bail, ensure};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Messages handed in before their answers are read.
const PIPELINE: usize = 32;
const ANSWER_WITHIN: Duration = Duration::from_secs(60);

pub struct Client {
    stream: BufReader<TcpStream>,
    next_id: u64,
}

impl Client {
    pub fn connect(to: SocketAddr) -> Result<Client> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_WITHIN))?;
        Ok(Client {
            stream: BufReader::new(stream),
            next_id: 1,
        })
    }

    /// Numbers messages from here on; ids of one dispatcher must differ.
    pub fn numbered_from(mut self, id: u64) -> Client {
        self.next_id = id;
        self
    }

    pub fn ping(&mut self) -> Result<()> {
        self.stream.get_mut().write_all(b"*1\r\n$4\r\nPING\r\n")?;
        self.answer()
    }

    fn answer(&mut self) -> Result<()> {
        let mut line = String::new();
        self.stream.read_line(&mut line)?;
        ensure!(line.starts_with('+'), "the dispatcher answered {line:?}");
        Ok(())
    }

    fn send(&mut self, destination: u64, body: &[u8]) -> Result<()> {
        let fields = format!("c={CLASS},d={LIFETIME_MS},dest={destination}");
        let id = format!("{:016x}", self.next_id);
        self.next_id += 1;
        let words: [&[u8]; 5] = [
            b"MSG.PUT",
            b"0000000000000000",
            id.as_bytes(),
            fields.as_bytes(),
            body,
        ];
        let mut command = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            command.extend(format!("${}\r\n", word.len()).as_bytes());
            command.extend(word);
            command.extend(b"\r\n");
        }
        Ok(self.stream.get_mut().write_all(&command)?)
    }

    /// Hands messages in as fast as they are answered.
    pub fn hand_in_all(&mut self, destinations: &[u64], body: &[u8]) -> Result<()> {
        for part in destinations.chunks(PIPELINE) {
            for destination in part {
                self.send(*destination, body)?;
            }
            for _ in part {
                self.answer()?;
            }
        }
        Ok(())
    }

    /// Hands messages in at even spaces, each answered before the next.
    pub fn hand_in_paced(
        &mut self,
        destinations: &[u64],
        body: &[u8],
        per_second: f64,
    ) -> Result<()> {
        let start = Instant::now();
        for (i, destination) in destinations.iter().enumerate() {
            let at = start + Duration::from_secs_f64(i as f64 / per_second);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            self.send(*destination, body)?;
            self.answer()?;
        }
        let wanted = destinations.len() as f64 / per_second;
        if start.elapsed().as_secs_f64() > LATE_TIMES * wanted + LATE_SECONDS {
            bail!(
                "the dispatcher took {:?} for the messages of {wanted:.1} s",
                start.elapsed()
            );
        }
        Ok(())
    }
}

/// A pace that was missed by more than this is not the load that was meant.
const LATE_TIMES: f64 = 4.0;
const LATE_SECONDS: f64 = 5.0;
