//! Property tests of the parser of client commands.

mod property;

use bellsill_daemon::client::resp;
use property::check;
use std::time::{Duration, Instant};

#[test]
fn a_command_is_parsed_once_it_is_complete() {
    fn property(arguments: Vec<Vec<u8>>, cut: usize, rest: Vec<u8>) -> bool {
        let arguments = &arguments[..arguments.len().min(64)];
        let mut bytes = format!("*{}\r\n", arguments.len()).into_bytes();
        for argument in arguments {
            bytes.extend(
                format!("${}\r\n", argument.len())
                    .bytes()
                    .chain(argument.iter().copied())
                    .chain(*b"\r\n"),
            );
        }
        let complete = bytes.len();
        assert_eq!(resp::parse_command(&bytes[..cut % complete]), Ok(None));
        bytes.extend(rest);
        let (ranges, consumed) = resp::parse_command(&bytes).unwrap().unwrap();
        consumed == complete
            && ranges
                .iter()
                .map(|r| &bytes[r.clone()])
                .eq(arguments.iter().map(Vec::as_slice))
    }
    check(200, property as fn(Vec<Vec<u8>>, usize, Vec<u8>) -> bool);
}

#[test]
fn arbitrary_bytes_do_not_panic_the_parser() {
    fn property(bytes: Vec<u8>, mut similar: Vec<u8>) -> bool {
        // A command with a few bytes changed, so that the parser gets past the first line.
        for (i, pattern) in b"*2\r\n$3\r\nabc\r\n$1\r\n"
            .iter()
            .cycle()
            .take(similar.len())
            .enumerate()
        {
            if !similar[i].is_multiple_of(8) {
                similar[i] = *pattern;
            }
        }
        for bytes in [&bytes, &similar] {
            resp::parse_command(bytes).ok();
        }
        true
    }
    check(500, property as fn(Vec<u8>, Vec<u8>) -> bool);
}

/// Guards against a command whose reading costs time quadratic in its pieces, and against one that is read differently
/// because of where they end.
#[test]
fn a_command_in_pieces_is_the_same_command_or_the_same_error() {
    fn property(mut bytes: Vec<u8>, piece: u8) -> bool {
        for (i, pattern) in b"*2\r\n$3\r\nabc\r\n$1\r\nx\r\nPING\r\n"
            .iter()
            .cycle()
            .take(bytes.len())
            .enumerate()
        {
            if !bytes[i].is_multiple_of(16) {
                bytes[i] = *pattern;
            }
        }
        let step = usize::from(piece % 5) + 1;
        let mut reader = resp::CommandReader::default();
        (0..=bytes.len()).step_by(step).all(|end| {
            let read = reader.read(&bytes[..end]);
            let is_over = !matches!(read, Ok(None));
            let same = read == resp::parse_command(&bytes[..end]);
            if is_over {
                reader = resp::CommandReader::default();
            }
            same
        })
    }
    check(2_000, property as fn(Vec<u8>, u8) -> bool);
}

/// Guards against a command whose reading costs time quadratic in its pieces.
#[test]
fn a_large_command_that_arrives_byte_by_byte_is_read_in_linear_time() {
    // A reader that begins anew for each byte looks at 1,500 million bytes here.
    const TIME_LIMIT: Duration = Duration::from_millis(500);
    const ARGUMENTS: usize = 64;
    const LENGTH_DIGITS: usize = 1_000;
    let mut bytes = format!("*{ARGUMENTS}\r\n").into_bytes();
    for _ in 0..ARGUMENTS {
        bytes.extend(format!("${:0LENGTH_DIGITS$}\r\nx\r\n", 1).into_bytes());
    }
    let mut reader = resp::CommandReader::default();
    let started = Instant::now();
    for end in 0..bytes.len() {
        assert_eq!(reader.read(&bytes[..end]), Ok(None));
    }
    let (arguments, length) = reader.read(&bytes).unwrap().unwrap();
    assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
    assert_eq!((arguments.len(), length), (ARGUMENTS, bytes.len()));
}
