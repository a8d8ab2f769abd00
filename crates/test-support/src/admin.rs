//! A client of a dispatcher's admin interface.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Sends a request line to the admin address, and returns the lines of the reply.
pub fn admin_request(addr: &str, line: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut lines = BufReader::new(stream).lines().map(|l| l.unwrap());
    let first = lines.next().unwrap();
    let multiline = line.starts_with("show-") && first.starts_with("SUCCESS");
    let rest = lines
        .take_while(|l| l != "EOT")
        .take(if multiline { usize::MAX } else { 0 });
    std::iter::once(first).chain(rest).collect()
}

/// Returns the metric with this name from `show-stat` at this admin address.
pub fn metric_at(addr: &str, name: &str) -> u64 {
    value_in(&admin_request(addr, "show-stat"), name)
}

/// Returns the counter with this name from `show-diagnostics` at this admin address.
pub fn diagnostic_at(addr: &str, name: &str) -> u64 {
    value_in(&admin_request(addr, "show-diagnostics"), name)
}

fn value_in(lines: &[String], name: &str) -> u64 {
    let value = lines
        .iter()
        .find_map(|l| l.strip_prefix(&format!("dispatcher.{name}=")));
    value
        .unwrap_or_else(|| panic!("no metric {name} in {lines:?}"))
        .parse()
        .unwrap()
}
