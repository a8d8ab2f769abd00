//! The operators' side of a dispatcher.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// One call as an operator makes it: a line out, the lines of the answer.
pub fn admin_request(addr: &str, line: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut lines = BufReader::new(stream).lines().map(|l| l.unwrap());
    let first = lines.next().unwrap();
    let more = line == "show-stat" && first.starts_with("SUCCESS");
    let rest = lines
        .take_while(|l| l != "EOT")
        .take(if more { usize::MAX } else { 0 });
    std::iter::once(first).chain(rest).collect()
}

/// One of the metrics that `show-stat` lists at this address.
pub fn metric_at(addr: &str, name: &str) -> u64 {
    let lines = admin_request(addr, "show-stat");
    let value = lines
        .iter()
        .find_map(|l| l.strip_prefix(&format!("dispatcher.{name}=")));
    value
        .unwrap_or_else(|| panic!("{name} in {lines:?}"))
        .parse()
        .unwrap()
}
